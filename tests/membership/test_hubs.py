"""Tests which instances exchange reports in fleets of any size."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.membership.hubs import FULL_MESH_MAX, exchange_plan
from radishmux.membership.record import InstanceRecord


def fleet(size, regions=3, large=6):
    """Returns the records of a fleet; the last `large` ones are larger."""
    return [
        InstanceRecord(
            instance=f"i{n:03}",
            incarnation=1,
            region="abcdefg"[n % regions],
            failure_domain=f"{'abcdefg'[n % regions]}-{n % 2}",
            caller_address=f"i{n}:1",
            peer_address=f"i{n}:2",
            capacity=2.15 if n >= size - large else 0.43,
        )
        for n in range(size)
    ]


def plans(records, dead=(), full_mesh_max=FULL_MESH_MAX):
    """Returns the plan of each living instance by name."""
    return {
        own.instance: exchange_plan(
            own,
            [record for record in records if record is not own],
            lambda name: name not in dead,
            full_mesh_max,
        )
        for own in records
        if own.instance not in dead
    }


@pytest.mark.parametrize("size", [1, 2, 10, FULL_MESH_MAX])
def test_each_pair_of_a_small_fleet_exchanges_once(size):
    made = plans(fleet(size))
    pairs = [
        frozenset((name, other))
        for name, plan in made.items()
        for other in plan.poll_targets
    ]
    assert len(pairs) == len(set(pairs)) == size * (size - 1) // 2
    assert all(plan.is_hub for plan in made.values())


# No deadline: the duration of an example depends on the machine. The work of
# making a plan is counted by the next test.
@settings(deadline=None)
@given(st.integers(FULL_MESH_MAX + 1, 300), st.integers(1, 7))
def test_exchanges_grow_with_the_fleet_and_not_with_its_square(size, regions):
    made = plans(fleet(size, regions))
    exchanges = sum(
        len(plan.poll_targets) / plan.period_factor for plan in made.values()
    )
    hubs = 2 * regions
    assert exchanges <= 2 * size + hubs * hubs
    # The number of reports that a hub receives in a period is bounded.
    received = {}
    for plan in made.values():
        for name in plan.poll_targets:
            received[name] = received.get(name, 0) + 1 / plan.period_factor
    assert max(received.values()) <= 40 + hubs


@settings(deadline=None)
@given(st.integers(1, 300), st.integers(1, 7))
def test_plan_checks_each_peer_at_most_once(size, regions):
    own, *peers = fleet(size, regions)
    checked = []

    def is_usable(name):
        checked.append(name)
        return True

    exchange_plan(own, peers, is_usable)
    assert len(checked) == len(set(checked)) <= size - 1


@given(st.integers(FULL_MESH_MAX + 1, 120), st.integers(1, 5))
def test_reports_reach_every_instance_over_at_most_three_hops(size, regions):
    made = plans(fleet(size, regions))
    linked = {name: set() for name in made}
    for name, plan in made.items():
        for other in plan.poll_targets:
            linked[name].add(other)
            linked[other].add(name)
    for start in list(made)[:5]:
        reached = {start}
        for _ in range(3):
            reached |= {peer for name in reached for peer in linked[name]}
        assert reached == set(made)


def test_hubs_are_the_largest_instances():
    records = fleet(60)
    hubs = {name for name, plan in plans(records).items() if plan.is_hub}
    large = {record.instance for record in records if record.capacity > 1}
    assert hubs == large


def test_next_largest_instance_replaces_a_dead_hub():
    records = fleet(60)
    before = {name for name, plan in plans(records).items() if plan.is_hub}
    dead = sorted(before)[0]
    after = {
        name for name, plan in plans(records, {dead}).items() if plan.is_hub
    }
    assert len(after) == len(before)
    assert len(after - before) == 1


def test_isolated_instance_still_polls_peers():
    """An instance that finds all peers dead keeps trying to reach some."""
    records = fleet(60)
    names = {record.instance for record in records}
    own = records[0]
    plan = exchange_plan(own, records[1:], lambda name: name not in names)
    assert plan.is_hub
    assert plan.poll_targets or plan.expected_pollers
