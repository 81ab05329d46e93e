"""Proof of I11: an accepted configuration never reverts.

Differential: generated sequences of store answers (current, stale, lost,
deleted, invalid), lagging watches, offers of peers and restarts go to the
real intake and to a naive model that keeps everything it was ever shown.
"""

from __future__ import annotations

import math

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from loguru import logger

from radishmux.config.distribution import READ_TIMEOUT_S
from radishmux.config.document import (
    CALL_TIMEOUT_S,
    StoredDocument,
    encode_document,
)
from radishmux.config.intake import ConfigIntake
from radishmux.config.model import Configuration, Customer
from radishmux.config.state import ConfigState
from radishmux.config.sync_plan import (
    READ_PERIOD_S,
    ReadAnswer,
    SyncPlan,
    watching_instance,
)
from radishmux.store.interface import Entry
from tests.fakes import FakeMembership, FakeMetrics, instance

_SEED = 4_311
# Thousands of generated versions are not worth a line each.
logger.disable("radishmux.config.intake")
_INVALID = Customer(name="a", rate_per_s=1, burst=0.5)

_operations = st.one_of(
    st.tuples(st.just("write"), st.just(0)),
    st.tuples(st.just("write_invalid"), st.just(0)),
    st.tuples(st.just("rewrite"), st.integers(0, 30)),
    st.tuples(st.just("read"), st.just(0)),
    st.tuples(st.just("stale_read"), st.integers(0, 30)),
    st.tuples(st.just("read_nothing"), st.just(0)),
    st.tuples(st.just("lost"), st.just(0)),
    st.tuples(st.just("event"), st.integers(0, 30)),
    st.tuples(st.just("offer"), st.integers(0, 30)),
    st.tuples(st.just("peer"), st.integers(0, 30)),
    st.tuples(st.just("round"), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.just(0)),
)


class _World:
    """The store's history, one instance, and what it was ever shown."""

    def __init__(self) -> None:
        self.history: list[Entry] = []
        self.versions: list[tuple[int, bool]] = []
        self.now = 0.0
        self.restart()

    def restart(self) -> None:
        self.member = FakeMembership(instance("a"))
        self.state = ConfigState()
        self.plan = SyncPlan()
        self.intake = ConfigIntake(
            self.state, self.member, self.plan, FakeMetrics()
        )
        self.shown = {0}

    def write(self, version: int, is_valid: bool) -> None:
        configuration = Configuration(
            version=version,
            writer=str(len(self.history)),
            customers=[] if is_valid else [_INVALID],
        )
        body = encode_document(StoredDocument(configuration=configuration))
        self.history.append(Entry(body, len(self.history) + 1))
        self.versions.append((version, is_valid))

    def show(self, position: int) -> Entry:
        version, is_valid = self.versions[position]
        if is_valid:
            self.shown.add(version)
        return self.history[position]

    def highest(self, end: int | None = None) -> int:
        valid = [v for v, is_valid in self.versions[:end] if is_valid]
        return max(valid, default=0)

    def step(self, operation: str, argument: int) -> None:
        """Carries out one operation and checks what it noted."""
        self.now += 0.25
        position = argument % len(self.history) if self.history else -1
        head = len(self.history) - 1
        contact_before = self.member.contact_at
        if operation == "write":
            self.write(self.highest() + 1, True)
        elif operation == "write_invalid":
            self.write(self.highest() + 1, False)
        elif operation == "rewrite" and position >= 0:
            # The store was wiped and written anew with old numbers.
            self.write(self.versions[position][0], True)
        elif operation == "read" and head >= 0:
            self.intake.take_read(self.show(head), self.now)
        elif operation == "stale_read" and position >= 0:
            self.intake.take_read(self.show(position), self.now)
        elif operation == "read_nothing":
            self.intake.take_read(None, self.now)
        elif operation == "lost":
            self.plan.note_read_failed()
        elif operation == "event" and position >= 0:
            if self.history[position].revision > self.intake.revision:
                self.show(position)
            self.intake.take_event(self.history[position])
        elif operation == "offer" and position >= 0:
            self.intake.take_offer(self.show(position).value)
        elif operation == "peer" and position >= 0:
            self.member.versions = {"b": self.highest(position + 1)}
        elif operation == "round":
            own = self.state.current.version
            self.plan.note_round(own, self.member.versions, argument)
        elif operation == "restart":
            self.restart()
        shown = {"stale_read": position, "read_nothing": -1}
        if self.member.contact_at > contact_before:
            self.check_contact(shown.get(operation, head))

    def check_contact(self, position: int) -> None:
        own = self.state.current.version
        assert own >= max(self.member.versions.values(), default=0)
        if position < 0:
            assert own == 0
            return
        version, is_valid = self.versions[position]
        if is_valid:
            # The very document that was read, not one of the same number.
            assert own == version
            assert self.intake.body == self.history[position].value
        else:
            assert own == version - 1


@seed(_SEED)
@settings(max_examples=600, deadline=None)
@given(st.lists(_operations, max_size=40))
def test_version_in_force_is_the_highest_ever_shown(
    operations: list[tuple[str, int]],
):
    """Guards against reverting, and against contact without confirmation."""
    world = _World()
    callbacks: list[int] = []
    for operation, argument in operations:
        before, was_ready = world.state.current.version, world.plan.ready
        if operation == "restart":
            before, was_ready = 0, False
            callbacks.clear()
        world.step(operation, argument)
        if operation == "restart":
            world.state.watch(lambda c: callbacks.append(c.version))
        after = world.state.current.version
        assert after >= before
        assert after == max(world.shown)
        assert world.member.version == after
        assert callbacks == sorted(set(callbacks))
        assert world.state.index.configuration is world.state.current
        if world.plan.ready and not was_ready:
            assert after >= max(world.member.versions.values(), default=0)


def test_slow_store_is_not_out_for_readers_while_writers_succeed():
    """Guards I3: such a store would accept revocations unseen."""
    assert READ_TIMEOUT_S >= CALL_TIMEOUT_S + 2 * READ_PERIOD_S


def test_starting_instances_do_not_make_each_other_ready():
    plan = SyncPlan()
    plan.note_read_failed()
    plan.note_round(0, {}, ready_peers=0)
    assert not plan.ready
    plan.note_round(0, {"b": 3}, ready_peers=1)
    assert not plan.ready
    plan.note_round(3, {"b": 3}, ready_peers=1)
    assert plan.ready


def test_store_read_alone_does_not_make_ready_before_peers_are_asked():
    """A stale read must not start an instance on an old version."""
    world = _World()
    world.write(1, True)
    world.write(2, True)
    world.intake.take_read(world.show(0), 0.0)
    assert not world.plan.ready
    world.intake.take_offer(world.show(1).value)
    world.plan.note_round(2, {"b": 2}, ready_peers=1)
    assert world.plan.ready
    assert world.state.current.version == 2


@seed(_SEED)
@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.floats(0.0, 6.0), min_size=1, max_size=60),
    st.booleans(),
    st.booleans(),
    st.integers(1, 6_000),
)
def test_reads_are_due_by_age_and_never_above_the_fleets_rate(
    ages: list[float], watches: bool, is_ready: bool, fleet_size: int
):
    """Failure guarded: a fleet that overloads a store that comes back."""
    plan = SyncPlan()
    plan.note_round(0, {}, 0)
    if is_ready:
        plan.confirms(ReadAnswer.IN_FORCE, 0, {})
    period = 0.5 if watches else max(0.5, fleet_size / 200.0)
    last = -math.inf
    for step, age in enumerate(ages):
        now = step * 0.25
        wanted = watches or age >= 2.0 or not is_ready
        expected = wanted and now - last >= period
        due = plan.should_read(now, watches, age, fleet_size)
        assert due == expected
        if due:
            last = now
            plan.note_read_sent(now)


def test_one_instance_of_a_region_watches_and_another_takes_over():
    names = [f"i{n}" for n in range(10)]
    first = watching_instance(names)
    assert first in names
    assert watching_instance(reversed(names)) == first
    names.remove(first)
    assert watching_instance(names) in names
    assert watching_instance([]) is None
