"""Tests the rules of the membership view with a simulated clock."""

from __future__ import annotations

import pytest

from radishmux.instances.interface import Instance
from radishmux.membership.roster_document import RosterEntry
from radishmux.membership.view import MembershipView


def record(name, region="r1"):
    return Instance(
        instance=name,
        region=region,
        failure_domain=region + "a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
    )


def entry(name, region="r1", incarnation=1):
    return RosterEntry(
        instance=name,
        incarnation=incarnation,
        region=region,
        failure_domain=region + "a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
    )


class Fleet:
    """Views that exchange heartbeats without delay."""

    def __init__(self, names):
        self.now = 100.0
        self.views = {
            name: MembershipView(record(name), 1, self.now) for name in names
        }
        self.isolated = set()
        entries = tuple(entry(name) for name in names)
        for view in self.views.values():
            view.set_roster(entries, 1, self.now)

    def run(self, seconds):
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for a in self.views.values():
                for b in self.views.values():
                    self._exchange(a, b)
            for view in self.views.values():
                view.tick(self.now)

    def _exchange(self, a, b):
        names = {a.own.instance, b.own.instance}
        if len(names) == 1 or names & self.isolated:
            return
        b.apply_heartbeat(a.report(self.now), self.now)
        a.apply_acknowledgement(b.report(self.now), self.now, self.now)


@pytest.fixture
def fleet():
    fleet = Fleet(["a", "b", "c"])
    fleet.run(1)
    return fleet


def names(view):
    return [i.instance for i in view.live()]


def test_silent_peer_is_suspect_then_dead_but_not_proven(fleet):
    a = fleet.views["a"]
    assert names(a) == ["a", "b", "c"]
    fleet.isolated = {"c"}
    fleet.run(1.5)
    assert a.state_of("c") == "suspect"
    fleet.run(1)
    assert a.state_of("c") == "dead"
    assert not a.proven_dead("c")
    fleet.isolated = set()
    fleet.run(0.5)
    assert names(a) == ["a", "b", "c"]


def test_permit_of_an_isolated_instance_ends_before_the_takeover(fleet):
    a, c = fleet.views["a"], fleet.views["c"]
    fleet.isolated = {"c"}
    takeover_at = lost_at = None
    for step in range(20):
        fleet.run(0.25)
        if lost_at is None and not c.holds_permit(fleet.now):
            lost_at = step
        if takeover_at is None and a.may_be_taken_over("c", fleet.now):
            takeover_at = step
    assert lost_at is not None
    assert takeover_at is not None
    assert lost_at < takeover_at
    assert not c.may_be_taken_over("a", fleet.now)


def test_store_is_out_for_all_only_while_every_member_is_heard_or_dead(fleet):
    a = fleet.views["a"]
    a.record_store_contact(fleet.now)
    fleet.run(2)
    assert a.is_fresh(fleet.now)
    assert not a.store_out_for_all(fleet.now)
    fleet.run(2)
    for view in fleet.views.values():
        assert view.store_out_for_all(fleet.now)
    fleet.isolated = {"c"}
    fleet.run(1.5)
    for view in fleet.views.values():
        assert not view.store_out_for_all(fleet.now)
    a.record_refused_connection("c", 1)
    fleet.run(0.25)
    assert a.store_out_for_all(fleet.now)
    assert not fleet.views["b"].store_out_for_all(fleet.now)


def test_one_member_with_store_contact_ends_the_outage_for_all(fleet):
    fleet.run(5)
    a, b = fleet.views["a"], fleet.views["b"]
    b.record_store_contact(fleet.now)
    assert a.store_out_for_all(fleet.now)
    fleet.run(0.25)
    assert not a.store_out_for_all(fleet.now)
    assert a.is_fresh(fleet.now)


def test_contact_of_a_peer_counts_only_with_its_configuration(fleet):
    a, b = fleet.views["a"], fleet.views["b"]
    fleet.run(5)
    b.set_config_version(7)
    b.record_store_contact(fleet.now)
    fleet.run(0.5)
    assert not a.is_fresh(fleet.now), "a revocation in version 7 was missed"
    a.set_config_version(7)
    assert a.is_fresh(fleet.now)


def test_newer_incarnation_proves_the_older_one_dead(fleet):
    a = fleet.views["a"]
    assert not a.incarnation_dead("b", 1)
    restarted = MembershipView(record("b"), 2, fleet.now)
    restarted.set_roster(a.roster, 1, fleet.now)
    a.apply_heartbeat(restarted.report(fleet.now), fleet.now)
    assert a.incarnation_dead("b", 1)
    assert not a.proven_dead("b")
    old = fleet.views["b"].report(fleet.now)
    a.apply_acknowledgement(old, fleet.now, fleet.now)
    assert not a.hears("b", fleet.now), "a late message of the old process"


def test_pause_of_this_process_does_not_make_peers_dead(fleet):
    a = fleet.views["a"]
    fleet.now += 30
    a.tick(fleet.now)
    assert names(a) == ["a", "b", "c"]
    assert not a.holds_permit(fleet.now)
    assert not a.hears("b", fleet.now)


def test_unlisted_peer_is_dead_only_after_long_silence(fleet):
    a = fleet.views["a"]
    a.set_instance_list((record("b"), record("c")), fleet.now)
    a.set_instance_list((record("b"),), fleet.now)
    fleet.run(1)
    assert not a.proven_dead("c")
    fleet.isolated = {"c"}
    fleet.run(11)
    assert a.proven_dead("c")
    assert not a.incarnation_dead("c", 1), "the process may be suspended"
