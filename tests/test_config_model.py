"""Proof of I11: an accepted configuration never reverts.

A differential test: generated sequences of store responses (current, stale,
lost, deleted, invalid), lagging watches, offers of peers and restarts go to
ConfigIntake and to a simple model that keeps every version it has received.
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
    elect_watcher,
)
from radishmux.store.interface import Entry
from tests.fakes import FakeMembership, FakeMetrics, instance

_SEED = 4_311
# The intake would log a line for each of thousands of generated versions.
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


class _Model:
    """The store's history, an instance, and the versions it has received."""

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
        self.received = {0}

    def write(self, version: int, is_valid: bool) -> None:
        configuration = Configuration(
            version=version,
            writer=str(len(self.history)),
            customers=[] if is_valid else [_INVALID],
        )
        body = encode_document(StoredDocument(configuration=configuration))
        self.history.append(Entry(body, len(self.history) + 1))
        self.versions.append((version, is_valid))

    def deliver(self, position: int) -> Entry:
        version, is_valid = self.versions[position]
        if is_valid:
            self.received.add(version)
        return self.history[position]

    def highest(self, end: int | None = None) -> int:
        valid = [v for v, is_valid in self.versions[:end] if is_valid]
        return max(valid, default=0)

    def step(self, operation: str, argument: int) -> None:
        """Performs one operation and checks the contact that it recorded."""
        self.now += 0.25
        position = argument % len(self.history) if self.history else -1
        head = len(self.history) - 1
        contact_before = self.member.contact_at
        if operation == "write":
            self.write(self.highest() + 1, True)
        elif operation == "write_invalid":
            self.write(self.highest() + 1, False)
        elif operation == "rewrite" and position >= 0:
            # The store lost its data and old version numbers are reused.
            self.write(self.versions[position][0], True)
        elif operation == "read" and head >= 0:
            self.intake.apply_read(self.deliver(head), self.now)
        elif operation == "stale_read" and position >= 0:
            self.intake.apply_read(self.deliver(position), self.now)
        elif operation == "read_nothing":
            self.intake.apply_read(None, self.now)
        elif operation == "lost":
            self.plan.record_read_failure()
        elif operation == "event" and position >= 0:
            if self.history[position].revision > self.intake.revision:
                self.deliver(position)
            self.intake.apply_event(self.history[position])
        elif operation == "offer" and position >= 0:
            self.intake.apply_offer(self.deliver(position).value)
        elif operation == "peer" and position >= 0:
            self.member.versions = {"b": self.highest(position + 1)}
        elif operation == "round":
            own = self.state.current.version
            self.plan.record_poll_round(own, self.member.versions, argument)
        elif operation == "restart":
            self.restart()
        delivered = {"stale_read": position, "read_nothing": -1}
        if self.member.contact_at > contact_before:
            self.check_contact(delivered.get(operation, head))

    def check_contact(self, position: int) -> None:
        own = self.state.current.version
        assert own >= max(self.member.versions.values(), default=0)
        if position < 0:
            assert own == 0
            return
        version, is_valid = self.versions[position]
        if is_valid:
            # The document that was read, not another of the same version.
            assert own == version
            assert self.intake.body == self.history[position].value
        else:
            assert own == version - 1


@seed(_SEED)
@settings(max_examples=600, deadline=None)
@given(st.lists(_operations, max_size=40))
def test_version_in_force_is_the_highest_received(
    operations: list[tuple[str, int]],
):
    """Guards against reverting and against contact without confirmation."""
    model = _Model()
    callbacks: list[int] = []
    for operation, argument in operations:
        before, was_ready = model.state.current.version, model.plan.ready
        if operation == "restart":
            before, was_ready = 0, False
            callbacks.clear()
        model.step(operation, argument)
        if operation == "restart":
            model.state.watch(lambda c: callbacks.append(c.version))
        after = model.state.current.version
        assert after >= before
        assert after == max(model.received)
        assert model.member.version == after
        assert callbacks == sorted(set(callbacks))
        assert model.state.index.configuration is model.state.current
        if model.plan.ready and not was_ready:
            assert after >= max(model.member.versions.values(), default=0)


def test_slow_store_is_not_out_for_readers_while_writers_succeed():
    """Guards I3: such a store would accept revocations that no read sees."""
    assert READ_TIMEOUT_S >= CALL_TIMEOUT_S + 2 * READ_PERIOD_S


def test_starting_instances_do_not_make_each_other_ready():
    plan = SyncPlan()
    plan.record_read_failure()
    plan.record_poll_round(0, {}, ready_peers=0)
    assert not plan.ready
    plan.record_poll_round(0, {"b": 3}, ready_peers=1)
    assert not plan.ready
    plan.record_poll_round(3, {"b": 3}, ready_peers=1)
    assert plan.ready


def test_store_read_alone_does_not_make_ready_before_peers_are_asked():
    """A stale read must not start an instance on an old version."""
    model = _Model()
    model.write(1, True)
    model.write(2, True)
    model.intake.apply_read(model.deliver(0), 0.0)
    assert not model.plan.ready
    model.intake.apply_offer(model.deliver(1).value)
    model.plan.record_poll_round(2, {"b": 2}, ready_peers=1)
    assert model.plan.ready
    assert model.state.current.version == 2


@seed(_SEED)
@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.floats(0.0, 6.0), min_size=1, max_size=60),
    st.booleans(),
    st.booleans(),
    st.integers(1, 6_000),
)
def test_reads_depend_on_age_and_never_exceed_the_fleet_rate(
    ages: list[float], is_watcher: bool, is_ready: bool, fleet_size: int
):
    """Guards against a fleet that overloads a store after an outage."""
    plan = SyncPlan()
    plan.record_poll_round(0, {}, 0)
    if is_ready:
        plan.record_read_answer(ReadAnswer.IN_FORCE, 0, {})
    period = 0.5 if is_watcher else max(0.5, fleet_size / 200.0)
    last = -math.inf
    for step, age in enumerate(ages):
        now = step * 0.25
        wanted = is_watcher or age >= 2.0 or not is_ready
        expected = wanted and now - last >= period
        due = plan.should_read(now, is_watcher, age, fleet_size)
        assert due == expected
        if due:
            last = now
            plan.record_read_sent(now)


def test_one_instance_of_a_region_watches_and_another_takes_over():
    names = [f"i{n}" for n in range(10)]
    first = elect_watcher(names)
    assert first in names
    assert elect_watcher(reversed(names)) == first
    names.remove(first)
    assert elect_watcher(names) in names
    assert elect_watcher([]) is None
