"""Translates the HTTP headers of the platform's callers and servers."""

from __future__ import annotations

import math

from radishmux.dispatch.server_response import ServerResponse
from radishmux.gateway.call import Call, ExecutionReport
from radishmux.http.headers import request_headers, response_headers
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.outcome import Unavailable
from radishmux.platform._records import first_part
from radishmux.steer.server_state import LoadReport
from radishmux.verdict import Refusal, Verdict

REQUEST_ID = "request-id"
DEADLINE = "deadline-remaining"
KEY = "api-key"
AFFINITY = "affinity-key"
TARGET = "target-instance"
CUSTOMER = "tenant"
SEAL = "server-seal"
NOT_EXECUTED = "not-executed"
LOAD = "server-load"
LIMIT = "server-limit"
LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
# Headers that are not copied from a caller to a backend server, because only
# this system may set them there.
_RESERVED_HEADERS = frozenset({KEY, DEADLINE, TARGET, CUSTOMER})
_MISDIRECTED_STATUS = 421
# A larger pace is taken for an error of the server.
_MAX_PACE_PERCENT = 10_000
_TURNED_AWAY_STATUS = 503


def read_call(request: IncomingRequest) -> Call | Unavailable:
    """Parses a caller's request; Unavailable says why it is malformed."""
    host = request_id = key = affinity = None
    deadline_ms: float | None = None
    for name, value in request.headers:
        if name == "host":
            if host is not None:
                return Unavailable("two hosts")
            host = value
        elif name == REQUEST_ID:
            request_id = value
        elif name == KEY:
            key = value
        elif name == AFFINITY:
            affinity = value
        elif name == DEADLINE:
            deadline_ms = _parse_number(first_part(value))
            if deadline_ms is None:
                return Unavailable("deadline is no duration")
    if not host:
        return Unavailable("no host")
    if not request.target.startswith("/"):
        return Unavailable("target is no path")
    return Call(
        host=host.rpartition(":")[0].lower() if ":" in host else host.lower(),
        path=request.target.partition("?")[0],
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        request_id=request_id or "",
        key=key,
        affinity=affinity,
        remaining_s=None if deadline_ms is None else deadline_ms / 1000,
        received_at=request.received_at,
        has_caller_left=request.has_caller_left,
        holds_up_others=request.holds_up_others,
    )


def _parse_number(value: str) -> float | None:
    """Returns a finite number of 0 or more, or None if the text is not one."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def encode_request(
    call: Call, server: str, customer: str, remaining_s: float
) -> list[bytes]:
    """Returns the head and, unless it is empty, the body of a request.

    Args:
        call: The caller's request.
        server: Name of the backend server.
        customer: Name of the customer; empty if there is none.
        remaining_s: Time that remains until the deadline.
    """
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    # `request_headers` drops traceparent, since radishmux starts a new trace at
    # each hop by default; on this platform the caller's trace passes through.
    lines.extend(
        f"{name}: {value}"
        for name, value in call.headers
        if name in ("host", "traceparent")
    )
    lines.extend(
        f"{name}: {value}"
        for name, value in request_headers(call.headers)
        if name not in _RESERVED_HEADERS
    )
    lines.append(f"Deadline-Remaining: {max(1, int(remaining_s * 1000))}")
    lines.append(f"Target-Instance: {server}")
    if customer:
        lines.append(f"Tenant: {customer}")
    if call.body or call.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(call.body)}")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return [head, call.body] if call.body else [head]


def is_response_to(call: Call, headers: list[tuple[str, str]]) -> bool:
    """Returns False if the headers carry the id of another request."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value == call.request_id
    return True


def read_report(response: ServerResponse) -> ExecutionReport:
    """Returns what a response says about the execution of its request."""
    # The first value of each header, in one pass over them.
    headers = dict(reversed(response.headers))
    not_executed = NOT_EXECUTED in headers
    misdirected = response.status == _MISDIRECTED_STATUS
    return ExecutionReport(
        verdict=Verdict.NOT_RUN if not_executed or misdirected else Verdict.RAN,
        misdirected=misdirected,
        is_authentic=SEAL in headers
        and REQUEST_ID in headers
        and "content-encoding" not in headers,
        load=_parse_load(headers.get(LOAD)),
        limit_per_s=_parse_limit(headers.get(LIMIT)),
        rest_s=_parse_rest(response.status, headers.get(RETRY_AFTER)),
        is_leaving=LEAVING in headers and first_part(headers[LEAVING]) == "1",
    )


def _parse_load(value: str | None) -> LoadReport | None:
    if value is None:
        return None
    figures = value.split(",")
    try:
        running, waiting, slots = map(int, figures[:3])
    except ValueError:
        return None
    pace = _parse_pace(figures[3]) if len(figures) > 3 else None
    return LoadReport(running, waiting, slots, pace)


def _parse_pace(percent: str) -> float | None:
    """Returns the pace relative to the usual one, or None if invalid."""
    number = _parse_number(percent)
    if number is None or not 0 < number <= _MAX_PACE_PERCENT:
        return None
    return number / 100


def _parse_limit(value: str | None) -> float | None:
    return math.inf if value is None else _parse_number(first_part(value))


def _parse_rest(status: int, value: str | None) -> float:
    if value is None or status != _TURNED_AWAY_STATUS:
        return 0.0
    return _parse_number(first_part(value)) or 0.0


def encode_answer(response: ServerResponse) -> Response:
    """Converts a backend server's response to the one for the caller."""
    headers = [
        item
        for item in response_headers(response.headers)
        if item[0] not in (NOT_EXECUTED, LOAD)
    ]
    return Response(response.status, headers, response.body)


def encode_refusal(call: Call | None, refusal: Refusal) -> Response:
    """Returns the response to a request that this system refuses."""
    headers = [("Content-Type", "text/plain")]
    if call is not None and call.request_id:
        headers.append(("Request-Id", call.request_id))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
    body = f"{refusal.reason}: {refusal.message}\n".encode()
    return Response(refusal.status, headers, body)
