"""Digests by which requests are recognized when they come again."""

from __future__ import annotations

import pytest

from radishmux.config.routing import RouteKind
from radishmux.dispatch.request_digest import request_digest
from radishmux.gateway.request_state import RequestState
from radishmux.platform import dialect
from tests.gateway import parts

REQUEST = {
    "customer": "c",
    "service": "s",
    "method": "POST",
    "target": "h.example/p/1?x=1",
    "body": b"body",
    "body_length": 4,
}


@pytest.mark.parametrize(
    "change",
    [
        {"customer": "d"},
        # A configuration that moves the route ends what was known of it.
        {"service": "t"},
        {"method": "PUT"},
        {"target": "h.example/p/1?x=2"},
        {"body": b"Body"},
        {"body_length": 5},
        {"body_length": None},
        {"customer": "cs", "service": ""},
    ],
)
def test_requests_that_differ_have_other_digests(change):
    assert request_digest(**REQUEST) != request_digest(**(REQUEST | change))


def test_id_and_headers_do_not_count():
    digests = set()
    for n in range(3):
        request = parts.request(
            request_id=f"id-{n}", affinity_key=f"{n}", traceparent=f"{n}"
        )
        route = parts.route(kind=RouteKind.UNSAFE)
        call = dialect.read_call(request)
        state = RequestState(call, route, parts.customer(), "s", 1.0)
        digests.add(state.digest)
    assert len(digests) == 1
