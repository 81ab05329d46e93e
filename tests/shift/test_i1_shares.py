"""I1: a shift never exceeds its cap, whatever faults its controller meets.

The tests compare the fleet with a naive model: one controller that never
fails, on a store that never fails. The model uses the same pace, so a share
above that of the model means that a step was taken too early or twice.
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


class LowLoads:
    """Reports a low load for each region."""

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
    """An instance with its own configuration, store client and chooser."""

    def __init__(self, name, fleet):
        self.config = FakeConfig(fleet_configuration(shift()))
        self.client = fleet.store.client(name)
        self.chooser = VersionChooser(self.config)
        self.controller = Controller(
            instance=name,
            incarnation=1,
            store=self.client,
            config=self.config,
            chooser=self.chooser,
            loads=LowLoads(),
            clock=fleet.clock,
            metrics=FakeMetrics(),
            planner=Planner(PACE),
            wall=fleet.clock.now,
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


class Fleet:
    """Three instances, their store and the naive model."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.store = LeaseStore(self.clock)
        self.nodes = [Node(name, self) for name in ("a", "b", "c")]
        self.planner = Planner(PACE)
        self.naive = self.planner.propose(shift(), 1, False, self.clock.now())
        self.last_version = (0, 0)
        self.check()

    def document(self):
        found = self.store.keys.get(SHIFTS_KEY)
        return decode(found[0].value) if found else None

    def check(self):
        # The naive controller acts whenever anything happens in the fleet, and
        # so never later than the fleet, which acts once per period.
        measured = Measurements(
            configured_slots=12,
            ready_slots=12,
            demand_slots=1,
        )
        self.naive = self.planner.advance(
            self.naive, shift(), measured, None, self.clock.now()
        )
        document = self.document()
        if document is None:
            return
        version = (document.epoch, document.sequence)
        assert version >= self.last_version, "an older document was restored"
        self.last_version = version
        for record in document.shifts:
            assert record.share_ppm <= record.cap_ppm
            assert record.share_ppm <= self.naive.share_ppm, "step too early"


actions = st.one_of(
    st.tuples(st.just("step"), st.integers(0, 2)),
    st.tuples(st.just("suspend_after_read"), st.integers(0, 2)),
    st.tuples(st.just("delay_write"), st.integers(0, 2)),
    st.tuples(st.just("lose_response"), st.integers(0, 2)),
    st.tuples(st.just("read"), st.integers(0, 2)),
    st.tuples(st.just("requests"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.integers(1, 6)),
    st.tuples(st.just("down"), st.integers(0, 1)),
)


async def perform(fleet, action, argument):
    if action == "wait":
        for _ in range(argument * 2):
            fleet.clock.advance(0.5)
            fleet.check()
        return
    if action == "down":
        fleet.store.is_down = bool(argument)
        return
    node = fleet.nodes[argument]
    other = fleet.nodes[(argument + 1) % 3]

    async def outlast_lease():
        fleet.clock.advance(TTL_S + 1)
        fleet.check()
        await other.controller.step()
        fleet.check()

    if action == "step":
        await node.controller.step()
    elif action == "suspend_after_read":
        node.client.on_read = outlast_lease
    elif action == "delay_write":
        node.client.on_write = outlast_lease
    elif action == "lose_response":
        node.client.lose_next = 1
    elif action == "read" and fleet.document() is not None:
        node.chooser.on_document(fleet.document())
    elif action == "requests":
        for _ in range(40):
            node.request()
    fleet.check()


@settings(max_examples=300, deadline=None)
@given(st.lists(actions, max_size=60))
async def test_no_sequence_of_faults_exceeds_the_cap(sequence):
    fleet = Fleet()
    for action, argument in sequence:
        await perform(fleet, action, argument)
    moved = sum(node.moved for node in fleet.nodes)
    budget = sum(node.budget_ppm for node in fleet.nodes)
    assert moved * 1_000_000 <= budget


async def advance_to_next_step(fleet, node):
    """Advances the clock to the end of the canary and keeps the lease."""
    fleet.clock.advance(2.0)
    assert await node.controller.step()
    fleet.check()
    fleet.clock.advance(2.0)
    fleet.check()


async def test_a_holder_suspended_past_its_lease_does_not_write():
    """Fails without the check of the lease immediately before the write."""
    fleet = Fleet()
    first, second, _ = fleet.nodes
    assert await first.controller.step()
    await advance_to_next_step(fleet, first)

    async def outlast_lease():
        fleet.clock.advance(TTL_S + 1)
        fleet.check()
        assert await second.controller.step()
        fleet.store.attempts.clear()

    # The lease is renewed without a read, so the next read is that of the
    # shifts document.
    first.client.on_read = outlast_lease
    await first.controller.step()
    assert [a for a in fleet.store.attempts if a[1] == "a"] == []


async def test_a_late_write_of_a_former_holder_is_rejected():
    """Fails when writes do not check the document's revision."""
    fleet = Fleet()
    first, second, _ = fleet.nodes
    await first.controller.step()
    epoch = fleet.document().epoch

    async def outlast_lease():
        fleet.clock.advance(TTL_S + 1)
        fleet.check()
        await second.controller.step()

    await advance_to_next_step(fleet, first)
    first.client.on_write = outlast_lease
    await first.controller.step()
    assert fleet.document().epoch == epoch + 1
    assert fleet.document().writer.startswith("b:")


async def test_a_lost_response_is_resolved_by_reading_back():
    """Fails when a write whose response is lost counts as failed."""
    fleet = Fleet()
    node = fleet.nodes[0]
    await node.controller.step()
    epoch = fleet.document().epoch
    for _ in range(20):
        fleet.clock.advance(1.0)
        node.client.lose_next = 1
        await node.controller.step()
        fleet.check()
    document = fleet.document()
    assert document.epoch == epoch, "the controller raised its own epoch"
    assert document.shifts[0].share_ppm == to_ppm(CAP)


async def test_each_instance_keeps_to_the_cap_of_its_own_configuration():
    """Fails when a chooser ignores a lower cap in its configuration.

    Two operators set different caps at the same time, and the instances have
    different configurations until one of them wins.
    """
    fleet = Fleet()
    low, high, _ = fleet.nodes
    low.set_cap(0.08)
    for _ in range(30):
        fleet.clock.advance(1.0)
        await high.controller.step()
        for node in (low, high):
            node.chooser.on_document(fleet.document())
            for _ in range(50):
                node.request()
    assert low.moved > 0
    assert high.moved > low.moved
    # The operator with the lower cap has won the compare-and-swap.
    high.set_cap(0.08)
    await high.controller.step()
    assert fleet.document().shifts[0].share_ppm == to_ppm(0.08)


async def test_pausing_and_taking_back_are_applied_and_recorded():
    fleet = Fleet()
    node = fleet.nodes[0]
    await node.controller.step()
    paused = shift(intent=ShiftIntent.PAUSE)
    node.config.set(fleet_configuration(paused))
    for _ in range(10):
        fleet.clock.advance(1.0)
        await node.controller.step()
    record = fleet.document().shifts[0]
    assert record.state is ShiftState.PAUSED
    assert record.share_ppm == to_ppm(0.05)
    taken_back = shift(intent=ShiftIntent.TAKE_BACK)
    node.config.set(fleet_configuration(taken_back))
    await node.controller.step()
    record = fleet.document().shifts[0]
    assert record.state is ShiftState.TAKEN_BACK
    assert record.share_ppm == 0


async def test_a_shift_with_an_impossible_deadline_is_refused():
    fleet = Fleet()
    node = fleet.nodes[0]
    too_short = shift(deadline=fleet.clock.now() + 5)
    node.config.set(fleet_configuration(too_short))
    await node.controller.step()
    record = fleet.document().shifts[0]
    assert record.state is ShiftState.IMPOSSIBLE
    assert "takes at least" in record.reason
