"""Servers that ask for rest, as one instance treats them."""

from __future__ import annotations

from radishmux.steer.placement import Placement, PlacementRequest
from radishmux.steer.server_state import ServerState
from tests.gateway.parts import server

NOW = 100.0


def test_rest_is_not_ended_by_a_failed_connection_or_an_earlier_request():
    state = ServerState()
    assert state.record_rest(3.0, NOW)
    assert not state.record_rest(1.0, NOW + 0.1)
    state.record_connection_failure(NOW + 0.2)
    state.record_acceptance(NOW + 0.3)
    assert not state.is_available(NOW + 2.9)
    assert state.is_on_trial


# Guards against a burst of requests that are turned away as a rest ends.
def test_server_gets_one_request_at_a_time_after_its_rest():
    state = ServerState()
    # A request that the server accepted before its rest.
    state.record_sent(NOW - 1.0)
    state.record_rest(3.0, NOW)
    assert state.is_available(NOW + 3.0)
    state.record_sent(NOW + 3.0)
    assert not state.is_available(NOW + 3.1)
    state.record_end()
    state.record_acceptance(NOW + 3.2)
    assert state.is_available(NOW + 3.2)


def choose(is_retry):
    placement = Placement("a", "a-1")
    servers = [server("s0"), server("s1", "b-1")]
    placement.state("s0").record_rest(3.0, NOW)
    request = PlacementRequest("s", "r", None, frozenset(), is_retry=is_retry)
    choice = placement.choose(request, servers, lambda _: True, NOW + 3.0)
    return choice.server.name


# Guards against a server that has started again and is left alone because of
# what it did before.
def test_server_that_has_started_again_is_not_resting():
    placement = Placement("a", "a-1")
    before = server("s0", started_ms=1)
    placement.state_of(before).record_rest(60.0, NOW)
    request = PlacementRequest("s", "r", None, frozenset())
    assert placement.choose(request, [before], lambda _: True, NOW) is None
    after = server("s0", started_ms=2)
    choice = placement.choose(request, [after], lambda _: True, NOW)
    assert choice.server is after
    # The response to a request that the earlier start had received.
    placement.state_of(before).record_rest(60.0, NOW)
    assert placement.state_of(after).is_available(NOW)


# Guards against a request that is turned away by one resting server after the
# other until it has no attempts left.
def test_retry_prefers_servers_that_have_not_rested():
    assert choose(is_retry=False) == "s0"
    assert choose(is_retry=True) == "s1"


def test_object_of_a_resting_server_is_handled_elsewhere():
    placement = Placement("a", "a-1")
    servers = [server("s0"), server("s1")]
    for key in range(8):
        request = PlacementRequest("s", "r", key, frozenset())
        placement.state("s0").rest_until = NOW
        placement.state("s0").record_rest(3.0, NOW)
        choice = placement.choose(request, servers, lambda _: True, NOW + 1.0)
        assert choice.server.name == "s1"
