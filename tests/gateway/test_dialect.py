"""Headers towards backend servers and callers."""

from __future__ import annotations

import math

import pytest

from radishmux.dispatch.server_response import ServerResponse
from radishmux.outcome import Unavailable
from radishmux.platform import dialect
from radishmux.verdict import Verdict
from tests.gateway import parts


def encoded(**headers):
    request = parts.request("/p/1?a=%20b", **headers)
    call = dialect.read_call(request)
    head = dialect.encode_request(call, "i-1", "t1", 1.5)[0].decode()
    lines = head.split("\r\n")
    fields = [line.split(": ", 1) for line in lines[1:] if line]
    return lines[0], [(name.lower(), value) for name, value in fields]


def test_request_is_forwarded_unchanged_but_for_our_headers():
    line, fields = encoded(
        api_key="secret",
        tenant="forged",
        target_instance="forged",
        deadline_remaining="9000",
        traceparent="00-1-2-03",
        x_other="kept",
        connection="x-hop",
        x_hop="dropped",
        te="trailers",
    )
    assert line == "GET /p/1?a=%20b HTTP/1.1"
    assert sorted(fields) == sorted(
        [
            ("host", "h.example"),
            ("request-id", "id-1"),
            ("traceparent", "00-1-2-03"),
            ("x-other", "kept"),
            ("deadline-remaining", "1500"),
            ("target-instance", "i-1"),
            ("tenant", "t1"),
        ]
    )


def test_path_is_what_precedes_the_query():
    call = dialect.read_call(parts.request("/p/1?x=/q/#y", host="H.Example:80"))
    assert (call.path, call.host) == ("/p/1", "h.example")


@pytest.mark.parametrize("target", ["*", "http://h.example/p/", "p/1"])
def test_target_that_is_no_path_is_refused(target):
    assert isinstance(dialect.read_call(parts.request(target)), Unavailable)


ID = ("request-id", "id-1")


@pytest.mark.parametrize(
    ("status", "headers", "verdict", "genuine"),
    [
        (200, [("server-seal", "s"), ID], Verdict.RAN, True),
        # It may be a late answer to another request.
        (200, [("server-seal", "s")], Verdict.RAN, False),
        (200, [ID], Verdict.RAN, False),
        (200, [], Verdict.RAN, False),
        (
            200,
            [("server-seal", "s"), ID, ("content-encoding", "gzip")],
            Verdict.RAN,
            False,
        ),
        (503, [("not-executed", "1")], Verdict.NOT_RUN, False),
        (503, [("server-seal", "s"), ID], Verdict.RAN, True),
        (421, [("instance-id", "i-2")], Verdict.NOT_RUN, False),
        (500, [("server-seal", "s"), ID], Verdict.RAN, True),
    ],
)
def test_response_tells_whether_it_ran(status, headers, verdict, genuine):
    report = dialect.read_report(ServerResponse(status, headers, b""))
    assert (report.verdict, report.is_authentic) == (verdict, genuine)


@pytest.mark.parametrize("value", ["3,1,6", "3,1", "a,b,c", ""])
def test_load_is_read_or_left_out(value):
    response = ServerResponse(200, [("server-load", value)], b"")
    load = dialect.read_report(response).load
    assert (load is not None) == (value == "3,1,6")


# A header with a fourth figure was discarded, so that servers that told more
# counted as idle.
@pytest.mark.parametrize(
    ("value", "pace"),
    [
        ("3,1,6", None),
        ("3,1,6,100", 1.0),
        ("3, 1, 6, 412.5", 4.125),
        ("3,1,6,10000", 100.0),
        ("3,1,6,100,17,x", 1.0),
        *((f"3,1,6,{bad}", None) for bad in ("", "x", "nan", "inf", "1e9")),
        *((f"3,1,6,{bad}", None) for bad in ("0", "-5", "10000.1")),
    ],
)
def test_figures_after_the_third_never_invalidate_the_load(value, pace):
    response = ServerResponse(200, [("server-load", value)], b"")
    load = dialect.read_report(response).load
    assert (load.running, load.waiting, load.slots) == (3, 1, 6)
    assert load.pace == pace


@pytest.mark.parametrize("rest", [",7", "; window=5", ", x"])
def test_headers_that_gained_a_part_are_still_read(rest):
    """Guards against limits, rests and departures that are missed."""
    headers = [
        ("server-limit", "4.4" + rest),
        ("retry-after", "3" + rest),
        ("server-leaving", "1" + rest),
    ]
    report = dialect.read_report(ServerResponse(503, headers, b""))
    assert (report.limit_per_s, report.rest_s) == (4.4, 3.0)
    assert report.is_leaving
    request = parts.request("/p", deadline_remaining="1500" + rest)
    assert dialect.read_call(request).remaining_s == 1.5


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [
        ([], math.inf),
        ([("server-limit", "4.4")], 4.4),
        ([("server-limit", "0")], 0.0),
        ([("server-limit", "-1")], None),
        ([("server-limit", "nan")], None),
        ([("server-limit", "inf")], None),
        ([("server-limit", "many")], None),
    ],
)
def test_limit_is_read_if_it_is_a_number(headers, limit_per_s):
    report = dialect.read_report(ServerResponse(200, headers, b""))
    assert report.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("status", "retry_after", "rest_s"),
    [
        (503, "3", 3.0),
        (503, "0.5", 0.5),
        (503, None, 0.0),
        (503, "soon", 0.0),
        (503, "-1", 0.0),
        (503, "inf", 0.0),
        (429, "3", 0.0),
        (200, "3", 0.0),
    ],
)
def test_rest_is_read_if_a_request_was_turned_away(status, retry_after, rest_s):
    headers = [("not-executed", "1")]
    if retry_after is not None:
        headers.append(("retry-after", retry_after))
    report = dialect.read_report(ServerResponse(status, headers, b""))
    assert report.rest_s == rest_s


@pytest.mark.parametrize(
    ("headers", "is_leaving"),
    [([], False), ([("server-leaving", "1")], True)],
)
def test_server_says_in_any_response_that_it_leaves(headers, is_leaving):
    for status in (200, 500, 503):
        report = dialect.read_report(ServerResponse(status, headers, b""))
        assert report.is_leaving == is_leaving
