"""Which peers send requests for an instance that reaches no server."""

from __future__ import annotations

from radishmux.membership.helpers import candidate_helpers, least_loaded
from radishmux.membership.record import InstanceRecord


def record(name, domain, relay="127.0.0.1:2", capacity=1.0):
    return InstanceRecord(
        instance=name,
        incarnation=1,
        region=domain[0],
        failure_domain=domain,
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:3",
        relay_address=relay,
        capacity=capacity,
    )


OWN = record("own", "a-1")


def helpers(peers, cut_off=(), regions=frozenset()):
    found = candidate_helpers(OWN, peers, lambda name: name in cut_off, regions)
    return [one.instance for one in found]


def test_peers_of_the_domain_help_first():
    peers = [record("x", "a-1"), record("y", "a-2"), record("z", "b-1")]
    assert helpers(peers) == ["x"]


def test_peers_of_the_region_help_if_too_few_of_the_domain_reach_servers():
    peers = [record("x", "a-1"), record("y", "a-2"), record("z", "b-1")]
    peers.append(record("w", "a-1"))
    assert helpers(peers, {"w"}) == ["x", "y"]
    assert helpers(peers, {"w", "x"}) == ["y"]


def test_other_regions_help_too_if_most_of_the_own_one_reaches_no_server():
    peers = [record(f"x{n}", "a-1") for n in range(3)]
    peers += [record("y", "a-2"), record("z", "b-1")]
    assert helpers(peers, {"x0", "x1"}) == ["x2", "y"]
    assert helpers(peers, {"x0", "x1", "x2"}) == ["y", "z"]


def test_other_regions_help_if_the_own_one_reaches_no_server():
    peers = [record("x", "a-1"), record("y", "a-2"), record("z", "b-1")]
    assert helpers(peers, {"x", "y"}) == ["z"]


# HOME: a body must not leave its home regions.
def test_only_peers_of_home_regions_help():
    peers = [record("x", "a-1"), record("z", "b-1")]
    assert helpers(peers, regions=frozenset({"b"})) == ["z"]
    assert helpers(peers, {"x"}, frozenset({"a"})) == []


def test_peer_without_an_address_for_it_does_not_help():
    assert helpers([record("x", "a-1", relay="")]) == []


def test_helper_with_the_fewest_requests_for_its_capacity_is_chosen():
    small, large = record("s", "a-1"), record("l", "a-1", capacity=4.0)
    assert least_loaded([small, large], {}) is large
    assert least_loaded([small, large], {"l": 4}) is small
    assert least_loaded([], {}) is None
