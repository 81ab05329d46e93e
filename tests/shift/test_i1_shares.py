"""I1: a shift never exceeds its cap, whatever happens to its controller.

The naive model is one controller that never dies, on a store that never
fails: the real fleet must never be ahead of it. It uses the same pace, so a
share above its own means that a step was taken too early or twice.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given, settings

from radishmux.clock import ManualClock
from radishmux.config.model import BackendServer, Shift, ShiftIntent
from radishmux.shift.chooser import VersionChooser
from radishmux.shift.controller import Controller
from radishmux.shift.counter import to_ppm
from radishmux.shift.document import SHIFTS_KEY, ShiftState, decode
from radishmux.shift.lease import TTL_S
from radishmux.shift.plan import Measurements, Pace, Planner
from radishmux.steer.region import RegionLoad
from tests.fakes import FakeMetrics
from tests.shift.lease_store import LeaseStore
from tests.steer.fakes import FakeConfig, configuration

PACE = Pace(min_step_s=2.0, max_step_s=3.0, verify_s=3.0)
CAP = 0.37


class Loads:
    """Every region has room."""

    def region_load(self, service, region):
        return RegionLoad(slots=12, in_use=1)


def shift(cap=CAP, intent=ShiftIntent.RUN, deadline=118.0):
    return Shift(
        name="s1",
        service="poles",
        from_version="v1",
        to_version="v2",
        cap=cap,
        canary=0.05,
        deadline=deadline,
        intent=intent,
    )


def fleet_configuration(*shifts):
    base = configuration(shifts=shifts)
    new = [
        BackendServer(
            name=f"new-{region.name}",
            service="poles",
            region=region.name,
            failure_domain=f"{region.name}-0",
            address="127.0.0.9:9100",
            version="v2",
            slots=4,
        )
        for region in base.regions
    ]
    servers = [*base.backend_servers, *new]
    return type(base)(
        regions=base.regions,
        customers=base.customers,
        services=base.services,
        backend_servers=servers,
        shifts=list(shifts),
    )


class Node:
    """One instance: its own configuration, store client and chooser."""

    def __init__(self, name, world):
        self.config = FakeConfig(fleet_configuration(shift()))
        self.client = world.store.client(name)
        self.chooser = VersionChooser(self.config)
        self.controller = Controller(
            instance=name,
            incarnation=1,
            store=self.client,
            config=self.config,
            chooser=self.chooser,
            loads=Loads(),
            clock=world.clock,
            metrics=FakeMetrics(),
            planner=Planner(PACE),
            wall=world.clock.now,
        )
        self.cap_ppm = to_ppm(CAP)
        self.moved = 0
        self.budget_ppm = 0

    def set_cap(self, cap):
        self.cap_ppm = to_ppm(cap)
        self.config.set(fleet_configuration(shift(cap)))

    def request(self):
        chosen = self.chooser.choose("poles", "status", 0.0)
        self.budget_ppm += self.cap_ppm
        self.moved += chosen == "v2"
        assert self.moved * 1_000_000 <= self.budget_ppm, "above the cap"


class World:
    """Three instances, a store and the naive model."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.store = LeaseStore(self.clock)
        self.nodes = [Node(name, self) for name in ("a", "b", "c")]
        self.planner = Planner(PACE)
        self.naive = self.planner.propose(shift(), 1, False, self.clock.now())
        self.last = (0, 0)
        self.check()

    def document(self):
        found = self.store.keys.get(SHIFTS_KEY)
        return decode(found[0].value) if found else None

    def check(self):
        # The naive controller acts at every moment at which anything happens.
        measured = Measurements(
            configured_slots=12,
            ready_slots=12,
            demand_slots=1,
        )
        # Steps of the fleet are rounded up to its period, so never earlier.
        self.naive = self.planner.advance(
            self.naive, shift(), measured, None, self.clock.now()
        )
        document = self.document()
        if document is None:
            return
        version = (document.epoch, document.sequence)
        assert version >= self.last, "an older document came back"
        self.last = version
        for record in document.shifts:
            assert record.share_ppm <= record.cap_ppm
            assert record.share_ppm <= self.naive.share_ppm, "too early"


actions = st.one_of(
    st.tuples(st.just("step"), st.integers(0, 2)),
    st.tuples(st.just("freeze_after_read"), st.integers(0, 2)),
    st.tuples(st.just("hold_write"), st.integers(0, 2)),
    st.tuples(st.just("lose_answer"), st.integers(0, 2)),
    st.tuples(st.just("read"), st.integers(0, 2)),
    st.tuples(st.just("requests"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.integers(1, 6)),
    st.tuples(st.just("down"), st.integers(0, 1)),
)


async def perform(world, action, argument):
    if action == "wait":
        for _ in range(argument * 2):
            world.clock.advance(0.5)
            world.check()
        return
    if action == "down":
        world.store.is_down = bool(argument)
        return
    node = world.nodes[argument]
    other = world.nodes[(argument + 1) % 3]

    async def frozen():
        world.clock.advance(TTL_S + 1)
        world.check()
        await other.controller.step()
        world.check()

    if action == "step":
        await node.controller.step()
    elif action == "freeze_after_read":
        node.client.on_read = frozen
    elif action == "hold_write":
        node.client.on_write = frozen
    elif action == "lose_answer":
        node.client.lose_next = 1
    elif action == "read" and world.document() is not None:
        node.chooser.on_document(world.document())
    elif action == "requests":
        for _ in range(40):
            node.request()
    world.check()


@settings(max_examples=300, deadline=None)
@given(st.lists(actions, max_size=60))
async def test_no_sequence_of_faults_passes_the_cap(sequence):
    world = World()
    for action, argument in sequence:
        await perform(world, action, argument)
    moved = sum(node.moved for node in world.nodes)
    budget = sum(node.budget_ppm for node in world.nodes)
    assert moved * 1_000_000 <= budget


async def until_step_is_due(world, node):
    """Keeps the lease until the canary may end, just before its step."""
    world.clock.advance(2.0)
    assert await node.controller.step()
    world.check()
    world.clock.advance(2.0)
    world.check()


async def test_a_thawed_holder_does_not_write():
    """Fails without the check of the lease immediately before the write."""
    world = World()
    first, second, _ = world.nodes
    assert await first.controller.step()
    await until_step_is_due(world, first)

    async def frozen():
        world.clock.advance(TTL_S + 1)
        world.check()
        assert await second.controller.step()
        world.store.attempts.clear()

    # The lease is renewed without a read, so the document's read is next.
    first.client.on_read = frozen
    await first.controller.step()
    assert [a for a in world.store.attempts if a[1] == "a"] == []


async def test_a_late_write_of_a_former_holder_is_rejected():
    """Fails when writes do not compare the revision."""
    world = World()
    first, second, _ = world.nodes
    await first.controller.step()
    epoch = world.document().epoch

    async def held_up():
        world.clock.advance(TTL_S + 1)
        world.check()
        await second.controller.step()

    await until_step_is_due(world, first)
    first.client.on_write = held_up
    await first.controller.step()
    assert world.document().epoch == epoch + 1
    assert world.document().writer.startswith("b:")


async def test_a_lost_answer_is_resolved_by_reading_back():
    """Fails when a lost answer counts as a failed write."""
    world = World()
    node = world.nodes[0]
    await node.controller.step()
    epoch = world.document().epoch
    for _ in range(20):
        world.clock.advance(1.0)
        node.client.lose_next = 1
        await node.controller.step()
        world.check()
    document = world.document()
    assert document.epoch == epoch, "the controller fenced itself off"
    assert document.shifts[0].share_ppm == to_ppm(CAP)


async def test_of_two_racing_operators_each_instance_obeys_the_one_it_has():
    """Fails when a chooser trusts the document above its configuration."""
    world = World()
    low, high, _ = world.nodes
    low.set_cap(0.08)
    for _ in range(30):
        world.clock.advance(1.0)
        await high.controller.step()
        for node in (low, high):
            node.chooser.on_document(world.document())
            for _ in range(50):
                node.request()
    assert low.moved > 0
    assert high.moved > low.moved
    # The operator with the lower cap won the compare-and-swap.
    high.set_cap(0.08)
    await high.controller.step()
    assert world.document().shifts[0].share_ppm == to_ppm(0.08)


async def test_taking_back_and_pausing_are_obeyed_and_recorded():
    world = World()
    node = world.nodes[0]
    await node.controller.step()
    paused = shift(intent=ShiftIntent.PAUSE)
    node.config.set(fleet_configuration(paused))
    for _ in range(10):
        world.clock.advance(1.0)
        await node.controller.step()
    record = world.document().shifts[0]
    assert record.state is ShiftState.PAUSED
    assert record.share_ppm == to_ppm(0.05)
    back = shift(intent=ShiftIntent.TAKE_BACK)
    node.config.set(fleet_configuration(back))
    await node.controller.step()
    record = world.document().shifts[0]
    assert record.state is ShiftState.TAKEN_BACK
    assert record.share_ppm == 0


async def test_an_impossible_deadline_is_reported_on_acceptance():
    world = World()
    node = world.nodes[0]
    hopeless = shift(deadline=world.clock.now() + 5)
    node.config.set(fleet_configuration(hopeless))
    await node.controller.step()
    record = world.document().shifts[0]
    assert record.state is ShiftState.IMPOSSIBLE
    assert "takes at least" in record.reason
