"""With whom instances exchange reports in fleets of any size."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.membership.hubs import FULL_MESH_MAX, exchange_plan
from radishmux.membership.record import InstanceRecord


def fleet(size, regions=3, large=6):
    """Returns records; some of each region are larger than the others."""
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
            [one for one in records if one is not own],
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


# No deadline: the time of an example says more of the machine than of a plan,
# whose work is counted by the next test.
@settings(deadline=None)
@given(st.integers(FULL_MESH_MAX + 1, 300), st.integers(1, 7))
def test_exchanges_grow_with_the_fleet_and_not_with_its_square(size, regions):
    made = plans(fleet(size, regions))
    exchanges = sum(
        len(plan.poll_targets) / plan.period_factor for plan in made.values()
    )
    hubs = 2 * regions
    assert exchanges <= 2 * size + hubs * hubs
    # What one hub hears in a period stays the same from some size on.
    heard = {}
    for plan in made.values():
        for name in plan.poll_targets:
            heard[name] = heard.get(name, 0) + 1 / plan.period_factor
    assert max(heard.values()) <= 40 + hubs


@settings(deadline=None)
@given(st.integers(1, 300), st.integers(1, 7))
def test_plan_asks_about_each_peer_once_at_most(size, regions):
    own, *others = fleet(size, regions)
    asked = []

    def is_usable(name):
        asked.append(name)
        return True

    exchange_plan(own, others, is_usable)
    assert len(asked) == len(set(asked)) <= size - 1


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
            reached |= {two for one in reached for two in linked[one]}
        assert reached == set(made)


def test_hubs_are_the_largest_instances():
    records = fleet(60)
    hubs = {name for name, plan in plans(records).items() if plan.is_hub}
    large = {one.instance for one in records if one.capacity > 1}
    assert hubs == large


def test_next_instance_stands_in_for_a_dead_hub():
    records = fleet(60)
    before = {name for name, plan in plans(records).items() if plan.is_hub}
    gone = sorted(before)[0]
    after = {
        name for name, plan in plans(records, {gone}).items() if plan.is_hub
    }
    assert len(after) == len(before)
    assert len(after - before) == 1


def test_instance_that_is_cut_off_asks_someone():
    """It believes that all others are dead, and goes on to try."""
    records = fleet(60)
    everyone = {one.instance for one in records}
    own = records[0]
    plan = exchange_plan(own, records[1:], lambda name: name not in everyone)
    assert plan.is_hub
    assert plan.poll_targets or plan.expected_pollers
