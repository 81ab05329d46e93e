"""Tests the failure detector and to which instances callers are sent."""

from __future__ import annotations

import random

from radishmux.membership.peers import SILENT_AFTER_S, Peers
from radishmux.membership.record import InstanceRecord
from radishmux.steer.directory import nearest

RNG = random.Random(1)


def record(name, incarnation=1, domain="a-1", capacity=1.0):
    return InstanceRecord(
        instance=name,
        incarnation=incarnation,
        region=domain[0],
        failure_domain=domain,
        caller_address=f"{name}:1",
        peer_address=f"{name}:2",
        capacity=capacity,
    )


def usable(peers, now):
    return {peer.instance for peer in peers.usable(now)}


def make(now=0.0):
    peers = Peers(record("own"))
    peers.set_records([record("own"), record("x"), record("y")], now)
    return peers


def test_heard_peer_is_usable_until_it_is_silent():
    peers = make()
    peers.record_report("x", 1, False, 10.0)
    assert usable(peers, 10.0 + SILENT_AFTER_S - 0.1) == {"x"}
    assert usable(peers, 10.0 + SILENT_AFTER_S + 0.1) == set()


def test_leaving_peer_is_not_usable():
    peers = make()
    peers.record_report("x", 1, True, 10.0)
    assert usable(peers, 10.0) == set()


def test_peer_is_dead_after_refused_connection_until_it_is_heard():
    peers = make()
    peers.record_report("x", 1, False, 10.0)
    peers.record_refused_connection("x", 10.05)
    assert usable(peers, 10.1) == set()
    peers.record_report("x", 2, False, 10.2)
    assert usable(peers, 10.3) == {"x"}


def test_report_of_an_old_process_is_ignored():
    peers = make()
    peers.set_records([record("x", incarnation=5)], 1.0)
    assert not peers.record_report("x", 4, False, 2.0)
    assert peers.record_report("x", 5, False, 2.0)


def test_unregistered_peer_is_not_usable():
    peers = make()
    peers.set_records([record("y")], 10.1)
    assert not peers.record_report("x", 1, False, 10.2)
    assert "x" not in usable(peers, 10.3)


def test_heard_peer_whose_record_lapsed_is_kept_while_it_is_heard():
    """An instance that is cut off only from the store keeps serving.

    Its use of customers' rates still counts, so that it must exchange
    reports with its peers.
    """
    peers = make()
    peers.record_report("x", 1, False, 10.0)
    peers.set_records([record("y")], 10.1)
    assert usable(peers, 10.2) == {"x"}
    assert "x" in peers.records
    peers.set_records([record("y")], 10.0 + SILENT_AFTER_S + 0.1)
    assert "x" not in peers.records


def test_leaving_peer_is_reachable_and_silent_peer_is_not():
    """Holdings of a leaving instance can be requested; see holder_changes."""
    peers = make()
    assert peers.is_joining("x", 0.1)
    assert peers.is_reachable("x", 0.1)
    peers.record_report("x", 1, True, 10.0)
    assert not peers.is_joining("x", 10.1)
    assert not peers.is_usable("x", 10.1)
    assert peers.is_reachable("x", 10.1)
    assert not peers.is_reachable("x", 10.0 + SILENT_AFTER_S + 0.1)
    peers.record_refused_connection("x", 10.2)
    assert peers.is_dead("x")
    assert not peers.is_reachable("x", 10.3)
    assert not peers.is_reachable("unknown", 10.0)


def test_callers_are_sent_to_the_nearest_instances():
    known = [
        record("1", domain="a-1"),
        record("2", domain="a-2"),
        record("3", domain="b-1"),
    ]
    assert [peer.instance for peer in nearest(known, "a", "a-2", RNG)] == ["2"]
    assert [peer.instance for peer in nearest(known, "a", "a-3", RNG)] == [
        "1",
        "2",
    ]
    assert len(nearest(known, "z", "z-1", RNG)) == 3
    assert nearest([], "a", "a-1", RNG) == []


def test_callers_are_spread_in_proportion_to_capacity():
    """Two large instances among eight small ones, as in fleets that grew."""
    known = [record(f"large{n}", capacity=700.0) for n in range(2)]
    known += [record(f"small{n}", capacity=70.0) for n in range(8)]
    picked = dict.fromkeys((peer.instance for peer in known), 0)
    lookups = 20_000
    for _ in range(lookups):
        candidates = nearest(known, "a", "a-1", RNG)
        assert len(candidates) > 1
        picked[RNG.choice(candidates).instance] += 1
    total = sum(peer.capacity for peer in known)
    for peer in known:
        share = peer.capacity / total
        assert 0.6 * share <= picked[peer.instance] / lookups <= 1.8 * share


def test_all_instances_of_similar_capacity_are_returned():
    known = [record(f"x{n}", capacity=70.0 + n) for n in range(10)]
    assert len(nearest(known, "a", "a-1", RNG)) == 10


def test_introduced_peer_is_known_as_long_as_it_is_heard():
    peers = make()
    assert not peers.knows("z")
    peers.apply_introduction(record("z", incarnation=3), 1.0)
    assert peers.record_report("z", 3, False, 1.0)
    peers.set_records([record("x"), record("y")], 2.0)
    assert peers.knows("z")
    peers.set_records([record("x"), record("y")], 1.1 + SILENT_AFTER_S)
    assert not peers.knows("z")


def test_introduction_does_not_replace_a_newer_process():
    peers = make()
    peers.set_records([record("x", incarnation=5)], 0.0)
    peers.apply_introduction(record("x", incarnation=4), 1.0)
    assert peers.records["x"].incarnation == 5
    peers.apply_introduction(record("x", incarnation=6), 1.0)
    peers.record_report("x", 6, False, 1.0)
    peers.set_records([record("x", incarnation=5)], 1.1)
    assert peers.records["x"].incarnation == 6


def test_own_introduction_is_ignored():
    peers = make()
    peers.apply_introduction(record("own", incarnation=9), 1.0)
    assert "own" not in peers.records


# RECOVER: the directory named instances that reached no server.
def test_callers_are_sent_to_instances_that_reach_servers():
    known = [
        record("1", domain="a-1"),
        record("2", domain="a-2"),
        record("3", domain="b-1"),
    ]

    def found(*cut_off):
        chosen = nearest(known, "a", "a-1", RNG, cut_off.__contains__)
        return [one.instance for one in chosen]

    assert found() == ["1"]
    assert found("1") == ["2"]
    # An instance of another region is no nearer than the helpers of these.
    assert found("1", "2") == ["1"]


def test_hub_tells_which_members_reach_no_server():
    hub, member = Peers(record("h")), Peers(record("m"))
    for peers in (hub, member):
        peers.set_records([record("x")], 1.0)
    hub.record_report("x", 1, False, 1.0, is_cut_off=True)
    member.apply_hub_report("a", hub.unavailable_members("a", 1.1), 1.1)
    assert member.is_cut_off("x")
    assert member.is_heard("x", 1.2)
    hub.record_report("x", 1, False, 1.5)
    member.apply_hub_report("a", hub.unavailable_members("a", 1.6), 1.6)
    assert not member.is_cut_off("x")
