"""Pure decisions of the controller: when a shift takes which step.

The share doubles from the canary to the cap. The deadline sets the slowest
admissible time per step; the plan uses half of it, so that a pause, a change
of controller or a store outage does not make the shift late.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import msgspec

from radishmux.config.model import Shift, ShiftIntent
from radishmux.shift.chooser import VersionStop
from radishmux.shift.counter import PPM, to_ppm
from radishmux.shift.document import (
    ShiftEvent,
    ShiftRecord,
    ShiftState,
)
from radishmux.statechart import Chart

# Part of the slowest admissible time per step that a step takes.
PACE = 0.5
# Requests of the new version that must be judged before the canary ends, if
# the deadline allows to wait for them: a version with 10% errors is found
# within 100 requests in 97% of the runs of bench/policy_versions.py.
CANARY_REQUESTS = 100
# Part of the slowest admissible time that a canary with little traffic may
# take; the rest is slack for the steps that follow.
CANARY_WAIT = 0.75
# Part of the new version's slots that a step may plan to use.
USABLE_SLOTS = 0.8
MAX_EVENTS = 60


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """What the controller knows about a service.

    Attributes:
        configured_slots: Slots of all backend servers of the new version.
        ready_slots: Slots that they offer now; a warming server offers a
            part. None: no current measurement.
        demand_slots: Slots that the service's whole traffic uses. None: no
            current measurement.
        judged_requests: Requests of the new version that the detector has
            judged.
    """

    configured_slots: int
    ready_slots: float | None = None
    demand_slots: float | None = None
    judged_requests: int = 0


class Pace(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a shift, in seconds.

    Attributes:
        min_step_s: Shortest time between steps: caches warm up and faults
            show in the meantime.
        max_step_s: Longest planned time between steps.
        verify_s: Time at the cap before the shift is done.
    """

    min_step_s: float = 10.0
    max_step_s: float = 600.0
    verify_s: float = 30.0


def steps_to(share_ppm: int, cap_ppm: int) -> int:
    """Returns how many doublings lead from a share to the cap."""
    steps = 0
    while share_ppm < cap_ppm:
        share_ppm *= 2
        steps += 1
    return steps


class Planner:
    """Decides the next state of a shift from its record and measurements."""

    def __init__(self, pace: Pace = Pace()) -> None:  # noqa: B008
        self._pace = pace
        self._by_state: Mapping[
            ShiftState,
            Callable[[ShiftRecord, Measurements, float], ShiftRecord],
        ] = {
            ShiftState.PROPOSED: self._accept,
            ShiftState.CANARY: self._canary,
            ShiftState.RAMPING: self._ramp,
            ShiftState.VERIFYING: self._verify,
        }

    def propose(
        self, shift: Shift, sequence: int, busy: bool, now: float
    ) -> ShiftRecord:
        """Returns the first record of a shift.

        Args:
            shift: What the operator asks for.
            sequence: Sequence of the document that will contain the record.
            busy: Whether another shift of the service is in progress.
            now: Unix time.
        """
        record = ShiftRecord(
            name=shift.name,
            service=shift.service,
            from_version=shift.from_version,
            to_version=shift.to_version,
            cap_ppm=to_ppm(shift.cap),
            canary_ppm=min(to_ppm(shift.canary), to_ppm(shift.cap)),
            deadline=shift.deadline,
            started=sequence,
            step=sequence,
            accepted_at=now,
            since=now,
        )
        if busy:
            reason = "Another shift of this service is still in progress."
            return _fire(record, "refuse", 0, reason, now)
        return record

    def advance(
        self,
        record: ShiftRecord,
        shift: Shift,
        measured: Measurements,
        stop: VersionStop | None,
        now: float,
    ) -> ShiftRecord:
        """Returns the record after now's decision; the same if none is due.

        Args:
            record: The shift so far.
            shift: What the operator wants now.
            measured: What is known about the service.
            stop: A fault found in the new version.
            now: Unix time.
        """
        if record.state in (ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE):
            return record
        reason = _reason_to_take_back(record, shift, stop)
        if reason is not None:
            return _fire(record, "take_back", 0, reason, now)
        record = _follow_operator(record, shift, now)
        decide = self._by_state.get(record.state)
        if decide is None:
            return record
        return _note_lateness(decide(record, measured, now), now)

    def shortest_s(self, record: ShiftRecord) -> float:
        """Returns the shortest time that the whole shift can take."""
        steps = steps_to(record.canary_ppm, record.cap_ppm)
        return max(1, steps) * self._pace.min_step_s + self._pace.verify_s

    def step_due_at(self, record: ShiftRecord) -> float:
        """Returns the Unix time at which the next step is planned."""
        planned = PACE * self._slowest_step_s(record)
        planned = min(planned, self._pace.max_step_s)
        return record.since + max(planned, self._pace.min_step_s)

    def _slowest_step_s(self, record: ShiftRecord) -> float:
        steps = max(1, steps_to(record.share_ppm, record.cap_ppm))
        left_s = record.deadline - self._pace.verify_s - record.since
        return max(0.0, left_s / steps)

    def _accept(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        reason = self._why_impossible(record, measured, now)
        if reason is not None:
            return _fire(record, "refuse", 0, reason, now)
        reason = f"Accepted; {_percent(record.canary_ppm)} moves as a canary."
        return _fire(record, "accept", record.canary_ppm, reason, now)

    def _why_impossible(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> str | None:
        if record.canary_ppm <= 0:
            return "The canary or the cap is zero, so nothing could move."
        if measured.configured_slots <= 0:
            return (
                f"No backend server of version {record.to_version} is"
                " configured."
            )
        shortest_s = self.shortest_s(record)
        left_s = record.deadline - now
        if left_s < shortest_s:
            return (
                f"The deadline is in {max(0, math.floor(left_s))} s, but the"
                f" shift takes at least {math.ceil(shortest_s)} s."
            )
        needed = (measured.demand_slots or 0.0) * record.cap_ppm / PPM
        if needed > measured.configured_slots:
            return (
                f"{_percent(record.cap_ppm)} of the traffic needs"
                f" {math.ceil(needed)} slots, but version"
                f" {record.to_version} has {measured.configured_slots}."
            )
        return None

    def _canary(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        longest_s = CANARY_WAIT * self._slowest_step_s(record)
        must_go_on_at = record.since + longest_s
        judged_requests = measured.judged_requests >= CANARY_REQUESTS
        if not judged_requests and now < must_go_on_at:
            return record
        return self._ramp(record, measured, now)

    def _ramp(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        if now < self.step_due_at(record):
            return record
        if record.share_ppm >= record.cap_ppm:
            reason = f"{_percent(record.share_ppm)} has moved; verifying."
            return _fire(record, "reach_cap", record.share_ppm, reason, now)
        share_ppm = min(
            2 * record.share_ppm, record.cap_ppm, _affordable_ppm(measured)
        )
        if share_ppm <= record.share_ppm:
            return record
        reason = f"Raised to {_percent(share_ppm)}."
        event = "reach_cap" if share_ppm >= record.cap_ppm else "ramp"
        return _fire(record, event, share_ppm, reason, now)

    def _verify(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        if now < record.since + self._pace.verify_s:
            return record
        reason = (
            f"Done: {_percent(record.share_ppm)} is served by version"
            f" {record.to_version}."
        )
        return _fire(record, "finish", record.share_ppm, reason, now)


def _affordable_ppm(measured: Measurements) -> int:
    """Returns the share that the new version can carry now.

    Without a current measurement no step is affordable: a shift waits rather
    than grow blindly.
    """
    if measured.ready_slots is None or measured.demand_slots is None:
        return 0
    if measured.demand_slots <= 0:
        return PPM
    share = USABLE_SLOTS * measured.ready_slots / measured.demand_slots
    return to_ppm(min(1.0, share))


def _reason_to_take_back(
    record: ShiftRecord, shift: Shift, stop: VersionStop | None
) -> str | None:
    if shift.intent is ShiftIntent.TAKE_BACK:
        return "An operator took it back."
    if stop is not None and stop.step >= record.started:
        return stop.reason
    wanted = (shift.service, shift.from_version, shift.to_version)
    if wanted != (record.service, record.from_version, record.to_version):
        return "Its service or versions were changed; use a new name."
    return None


def _follow_operator(
    record: ShiftRecord, shift: Shift, now: float
) -> ShiftRecord:
    cap_ppm = to_ppm(shift.cap)
    if (cap_ppm, shift.deadline) != (record.cap_ppm, record.deadline):
        record = _change(record, cap_ppm, shift.deadline, now)
    if record.state in (ShiftState.DONE, ShiftState.PROPOSED):
        return record
    if shift.intent is ShiftIntent.PAUSE:
        if record.state is ShiftState.PAUSED:
            return record
        reason = f"Paused by an operator at {_percent(record.share_ppm)}."
        resume = record.state
        paused = _fire(record, "pause", record.share_ppm, reason, now)
        return msgspec.structs.replace(paused, resume=resume)
    if record.state is ShiftState.PAUSED:
        event = f"resume_{record.resume.value}"
        return _fire(record, event, record.share_ppm, "Resumed.", now)
    return record


def _change(
    record: ShiftRecord, cap_ppm: int, deadline: float, now: float
) -> ShiftRecord:
    raised = cap_ppm > record.cap_ppm
    record = msgspec.structs.replace(
        record, cap_ppm=cap_ppm, deadline=deadline, late=False
    )
    share_ppm = min(record.share_ppm, cap_ppm)
    if raised and record.state in (ShiftState.VERIFYING, ShiftState.DONE):
        reason = f"The cap was raised to {_percent(cap_ppm)}."
        return _fire(record, "extend", share_ppm, reason, now)
    if share_ppm < record.share_ppm:
        reason = f"The cap was lowered to {_percent(cap_ppm)}."
        return _note(record, share_ppm, reason, now)
    return record


def _note_lateness(record: ShiftRecord, now: float) -> ShiftRecord:
    late = now > record.deadline and record.state is not ShiftState.DONE
    if record.late or not late or record.state is ShiftState.IMPOSSIBLE:
        return record
    reason = f"The deadline has passed with {_percent(record.share_ppm)} moved."
    since = record.since
    record = _note(record, record.share_ppm, reason, now)
    return msgspec.structs.replace(record, late=True, since=since)


def _fire(
    record: ShiftRecord, event: str, share_ppm: int, reason: str, now: float
) -> ShiftRecord:
    """Takes a transition of statecharts/shift.json."""
    chart = Chart("shift", initial=record.state.value)
    if not chart.fire(event):
        return record
    state = ShiftState(chart.state)
    record = msgspec.structs.replace(record, state=state)
    return _note(record, share_ppm, reason, now)


def _note(
    record: ShiftRecord, share_ppm: int, reason: str, now: float
) -> ShiftRecord:
    event = ShiftEvent(
        at=now, state=record.state, share_ppm=share_ppm, reason=reason
    )
    events = (*record.events, event)[-MAX_EVENTS:]
    return msgspec.structs.replace(
        record, share_ppm=share_ppm, reason=reason, since=now, events=events
    )


def _percent(ppm: int) -> str:
    return f"{ppm / 10_000:.4g}%"
