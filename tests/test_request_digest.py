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


# Instances of other builds tell each other digests.
def test_digest_is_that_of_earlier_builds():
    assert request_digest(**REQUEST) == "dfbcb469237f651e514da1acc4763ce0"
    other = {"target": "h.example/\udc80", "body": b"", "body_length": None}
    assert (
        request_digest(**(REQUEST | other))
        == "5935a2c9665e5e96f58cbfec7345e24f"
    )


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


def state_of(service, customer="c", method="GET", target="/p/1"):
    call = dialect.read_call(parts.request(target, method=method))
    route = parts.route(name=service, kind=RouteKind.UNSAFE)
    return RequestState(call, route, parts.customer(customer), service, 1.0)


# BUDGET: the service that was drawn for a request on a split route was part of
# its digest, so that it was another request at each service.
def test_request_is_the_same_whichever_service_is_chosen_for_it():
    states = [state_of("s"), state_of("t")]
    assert len({state.digest for state in states}) == 1
    # Older builds know it by the service, too.
    assert len({state.service_digest for state in states}) == 2


@pytest.mark.parametrize(
    "change",
    [{"customer": "d"}, {"method": "POST"}, {"target": "/p/2"}],
)
def test_other_requests_of_a_split_route_stay_apart(change):
    assert state_of("s").digest != state_of("t", **change).digest


def test_older_builds_know_a_request_by_its_service():
    known = request_digest("c", "s", "GET", "h.example/p/1", b"", 0)
    assert state_of("s").service_digest == known
