"""Guards the decisions of the duty: who holds it, and what is reported."""

from __future__ import annotations

import json

import pytest

from radishmux.duties.clocks import Reading
from radishmux.duties.expected_sources import ExpectedSources
from radishmux.duties.fleet_time import SAMPLE_AGE_S, FleetTime
from radishmux.duties.holder import DutyHolder, State, Step
from radishmux.duties.hub_batch import HubBatch, WindowUsage
from radishmux.duties.record import DutyRecord
from radishmux.duties.report_queue import Outcome, ReportQueue
from radishmux.duties.stored_bodies import StoredBodies
from radishmux.duties.usage_collector import UsageCollector, source_id
from radishmux.duties.usage_counter import UsageCounter
from radishmux.duties.windows import WindowTerms
from radishmux.platform.duties_api import encode_report
from radishmux.store.revision import in_era

TTL_S, SLACK_S = 3.0, 0.3
AT = Reading(100.0, 100.0)
TERMS = WindowTerms(5.0, 10.0)
WINDOW = 353_445_120
END = TERMS.end_of(WINDOW)
MEMBERS = {"a": round((END - 60) * 1000), "b": round((END - 60) * 1000)}
A, B = (source_id(name, at) for name, at in MEMBERS.items())


def holder_at_work():
    """Returns a holder that has acquired the duty at AT, and its token."""
    holder = DutyHolder("a", 1, TTL_S, SLACK_S, TTL_S, AT.plus(-TTL_S))
    holder.on_era(1, AT.plus(-TTL_S))
    holder.on_record(None, 0, AT.plus(-1))
    assert holder.next_step(AT, 1) is Step.GRANT
    holder.on_granted(7, AT)
    assert holder.next_step(AT, 1) is Step.CREATE
    token = in_era(1, 50)
    holder.on_created(token, AT)
    return holder, token


@pytest.mark.parametrize(
    ("steady_s", "boot_s", "may_act"),
    [(2.6, 2.6, True), (2.8, 2.8, False), (0.1, 2.8, False), (2.8, 0.1, False)],
)
def test_holder_acts_while_both_clocks_say_so(steady_s, boot_s, may_act):
    """Guards against a clock that stood still while the lease ran out."""
    holder, _ = holder_at_work()
    now = Reading(AT.steady + steady_s, AT.boot + boot_s)
    assert holder.may_act(now, 1) is may_act


def test_holder_stops_at_once_in_a_later_era():
    """Guards against a token that a restored store gives again."""
    holder, _ = holder_at_work()
    assert not holder.may_act(AT, 2)
    assert holder.next_step(AT, 2) is Step.NONE
    assert holder.token == 0


@pytest.mark.parametrize(
    "lose",
    [
        lambda holder, token: holder.on_lapsed(AT),
        lambda holder, token: holder.on_record(None, token + 1, AT),
        lambda holder, token: holder.next_step(AT.plus(TTL_S), 1),
    ],
)
def test_duty_is_not_acquired_within_a_lease_after_its_loss(lose):
    """Guards against holders that act in the order A, B, A."""
    holder, token = holder_at_work()
    lose(holder, token)
    assert holder.take_changes()[-1][0].value == "lost"
    holder.on_record(None, token + 2, AT)
    assert holder.next_step(AT.plus(TTL_S - 0.1), 1) is Step.NONE
    assert holder.next_step(AT.plus(2 * TTL_S), 1) is Step.GRANT


def test_renewed_lease_is_as_long_as_the_store_says():
    """Guards against a store that grants less than it was asked for."""
    holder, _ = holder_at_work()
    holder.on_renewed(AT.plus(1), 1.5)
    assert holder.may_act(AT.plus(2.1), 1)
    assert not holder.may_act(AT.plus(2.3), 1)


def test_candidate_waits_after_a_restoration():
    """Guards against a next holder while the last one has not noticed."""
    holder = DutyHolder("a", 1, TTL_S, SLACK_S, TTL_S, AT)
    holder.on_record(None, 0, AT)
    holder.next_step(AT, 1)
    at = AT.plus(2 * TTL_S)
    assert holder.next_step(at, 1) is Step.GRANT
    holder.on_granted(7, at)
    # The response to the call tells that the store was restored.
    assert holder.next_step(at, 2) is Step.NONE
    holder.on_created(in_era(2, 9), at)
    assert holder.token == 0
    assert holder.next_step(at.plus(TTL_S - 0.1), 2) is Step.NONE
    assert holder.next_step(at.plus(TTL_S), 2) is Step.GRANT


def test_fenced_holder_releases_its_record():
    """Guards against a second call with a refused token."""
    holder, token = holder_at_work()
    holder.on_fenced(token, AT)
    assert not holder.may_act(AT, 1)
    assert holder.next_step(AT, 1) is Step.RELEASE
    assert holder.release_revision == token
    holder.on_released()
    assert holder.next_step(AT.plus(1), 1) is Step.NONE


@pytest.mark.parametrize(
    ("lease_id", "state"), [(7, State.HOLDING), (6, State.WAITING)]
)
def test_only_the_record_of_the_same_attempt_is_taken_over(lease_id, state):
    """Guards against a record whose lease is not the one being renewed."""
    holder = DutyHolder("a", 1, TTL_S, SLACK_S, 0.0, AT)
    holder.on_era(1, AT)
    holder.on_record(None, 0, AT)
    holder.on_granted(7, AT)
    holder.on_create_lost(AT)
    assert holder.next_step(AT, 1) is Step.READ
    holder.on_read(DutyRecord("a", 1, lease_id), in_era(1, 9), AT)
    assert holder.state is state


def queue_with(bodies=None, restored_at=-1.0, began_s=0.0):
    """Returns a queue that began before the end of WINDOW."""
    expected = ExpectedSources(TERMS)
    expected.update(MEMBERS, END - 4.0)
    expected.update(MEMBERS, END)
    queue = ReportQueue(
        TERMS, expected, bodies or StoredBodies(), encode_report
    )
    queue.begin(END + began_s, restored_at)
    return queue


def test_window_is_stored_when_all_have_reported():
    """Guards against a report that lacks a slow instance."""
    queue = queue_with(began_s=-4.0)
    queue.collector.add(WINDOW, frozenset({A}), {"t": 2})
    assert queue.next_store(END + 2.0) is None
    queue.collector.add(WINDOW, frozenset({B}), {"t": 3, "u": 0})
    work = queue.next_store(END + 2.0)
    assert json.loads(work.body) == {"WindowId": WINDOW, "Counts": {"t": 5}}


@pytest.mark.parametrize(("began_s", "at_s"), [(-4.0, 6.0), (5.0, 7.0)])
def test_window_is_stored_without_a_silent_instance_in_time(began_s, at_s):
    """Guards against one instance that holds up the report."""
    queue = queue_with(began_s=began_s)
    queue.collector.add(WINDOW, frozenset({A}), {"t": 2})
    assert queue.next_store(END + at_s - 0.1) is None
    work = queue.next_store(END + at_s)
    (result,) = queue.take_results()
    assert result.outcome is Outcome.INCOMPLETE
    assert (result.reported, result.missing) == (1, 1)
    # The store may execute the first write after a response was lost.
    late = queue.collector.add(WINDOW, frozenset({B}), {"t": 3})
    assert late == {B}
    assert queue.next_store(END + at_s + 1.0) == work


def test_window_before_a_restoration_needs_its_stored_body():
    """Guards against new counts of a window that may have been sent."""
    queue = queue_with(restored_at=END + 1.0)
    queue.collector.add(WINDOW, frozenset({A, B}), {"t": 2})
    assert queue.next_store(END + 2.0) is None
    assert queue.take_results()[-1].outcome is Outcome.MISSED
    bodies = StoredBodies()
    bodies.put(WINDOW, b"kept")
    queue = queue_with(bodies, restored_at=END + 1.0)
    queue.collector.add(WINDOW, frozenset({A, B}), {"t": 2})
    assert queue.next_store(END + 2.0).body == b"kept"
    queue.on_stored(WINDOW, b"other", END + 2.0)
    assert queue.take_results()[-1].outcome is Outcome.REFUSED
    assert queue.next_send(END + 3.0) is None


def test_nothing_is_sent_that_is_not_stored_and_nothing_stored_too_late():
    """Guards against a report that the next holder cannot repeat."""
    queue = queue_with(began_s=-4.0)
    queue.collector.add(WINDOW, frozenset({A, B}), {"t": 2})
    work = queue.next_store(END + 2.0)
    assert queue.next_send(END + 2.0) is None
    assert queue.next_store(END + 10.1) is None
    assert queue.take_results()[-1].outcome is Outcome.MISSED
    queue = queue_with(began_s=-4.0)
    queue.collector.add(WINDOW, frozenset({A, B}), {"t": 2})
    queue.next_store(END + 2.0)
    queue.on_stored(WINDOW, work.body, END + 2.0)
    assert queue.next_send(END + 2.0).body == work.body
    queue.on_not_sent(WINDOW, END + 2.0)
    assert queue.next_send(END + 2.4) is None
    again = queue.next_send(END + 2.5)
    assert (again.body, again.timeout_s) == (work.body, 4.0)


def test_hedged_request_counts_once_at_its_first_attempt_that_ran():
    """Guards against doubled counts, and counts of refused requests."""
    present = [1]
    counter = UsageCounter(lambda: present[0])
    usage, first = counter.record_sent(None, "t")
    present[0] = 2
    usage, second = counter.record_sent(usage, "t")
    counter.record_not_run(usage, first)
    counter.record_not_run(usage, first)
    assert counter.close(1) == {}
    assert counter.close(2) == {"t": 1}
    counter.record_not_run(usage, second)
    assert counter.close(2) == {"t": 1}
    assert counter.missed == 1
    assert counter.record_sent(None, "")[0] is None


def test_sum_with_a_known_source_is_taken_by_its_rest():
    """Guards against a source that arrives directly and by a hub."""
    collector, batch = UsageCollector(), HubBatch()
    assert not collector.add(WINDOW, frozenset({A}), {"t": 2})
    batch.add(A, [WindowUsage(WINDOW, {"t": 2}, frozenset({A}))])
    batch.add(B, [WindowUsage(WINDOW, {"t": 5}, frozenset({B}))])
    for _ in range(2):
        (total,) = batch.sums()
        known = collector.add(WINDOW, total.sources, total.counts)
        batch.on_receipt({WINDOW: known} if known else {})
    assert batch.is_empty
    assert collector.close(WINDOW) == {"t": 7}


def test_true_time_is_the_median_of_all_clocks():
    """Guards against one machine whose clock is wrong, and old samples."""
    clocks = FleetTime("a")
    clocks.record_clock("x", "a", 10.2, 0.0)
    clocks.record_clock("y", "a", 99.0, 0.0)
    assert clocks.offset(10.0, 1.0) == 10.2
    assert clocks.region_offset(10.0, 1.0) == (10.2, 3)
    # Four clocks of another region, summed up by its hub.
    clocks.record_region("b", 10.1, 4, 0.0)
    assert clocks.offset(10.0, 1.0) == 10.1
    clocks.record_estimate("hub", 10.3, 0.0)
    assert clocks.offset(10.0, 1.0) == 10.3
    assert clocks.offset(10.0, SAMPLE_AGE_S + 1.0) == 10.0
