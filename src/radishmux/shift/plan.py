"""Plans the steps of a shift from its record and measurements; no I/O.

The share doubles with each step from the canary to the cap. The deadline sets
the longest admissible time per step. The plan uses half of it, so that a
pause, a change of controller or a store outage does not make the shift late.
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

# Fraction of the longest admissible time per step that a step is planned for.
PLANNED_STEP_FRACTION = 0.5
# Requests of the new version that must be judged before the canary ends, if
# the deadline allows that. In 97% of the runs of bench/policy_versions.py, a
# version with 10% errors is detected within 100 requests.
CANARY_REQUESTS = 100
# Fraction of the longest admissible time that a canary with little traffic may
# take. The rest is slack for the steps that follow.
CANARY_WAIT_FRACTION = 0.75
# Fraction of the new version's slots that a step may plan to use.
USABLE_SLOTS_FRACTION = 0.8
# A record keeps this many of its latest events.
MAX_EVENTS = 60


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity and load of a service, as known to the controller.

    Attributes:
        configured_slots: Slots of all backend servers of the new version.
        ready_slots: Slots that these servers offer now; a warming server
            offers some of its slots. None: no current measurement.
        demand_slots: Slots that all traffic of the service needs. None: no
            current measurement.
        judged_requests: Number of requests of the new version that the
            detector has judged.
    """

    configured_slots: int
    ready_slots: float | None = None
    demand_slots: float | None = None
    judged_requests: int = 0


class Pace(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of the steps of a shift.

    Attributes:
        min_step_s: Shortest time between steps, in seconds. Meanwhile caches
            warm up and faults are detected.
        max_step_s: Longest planned time between steps, in seconds.
        verify_s: Seconds at the cap before the shift is done.
    """

    min_step_s: float = 10.0
    max_step_s: float = 600.0
    verify_s: float = 30.0


def count_steps(share_ppm: int, cap_ppm: int) -> int:
    """Returns the number of doublings from a share to the cap."""
    steps = 0
    while share_ppm < cap_ppm:
        share_ppm *= 2
        steps += 1
    return steps


class Planner:
    """Decides the next state of a shift from its record and measurements."""

    def __init__(self, pace: Pace = Pace()) -> None:  # noqa: B008
        self._pace = pace
        self._advance_by_state: Mapping[
            ShiftState,
            Callable[[ShiftRecord, Measurements, float], ShiftRecord],
        ] = {
            ShiftState.PROPOSED: self._accept_or_refuse,
            ShiftState.CANARY: self._advance_canary,
            ShiftState.RAMPING: self._ramp,
            ShiftState.VERIFYING: self._verify,
        }

    def propose(
        self, shift: Shift, sequence: int, busy: bool, now: float
    ) -> ShiftRecord:
        """Returns the first record of a shift.

        Args:
            shift: The shift as configured by the operator.
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
        """Returns the record after the step that is due now.

        Args:
            record: State of the shift.
            shift: The shift as configured by the operator now.
            measured: Capacity and load of the service.
            stop: The stop of the new version, if a fault was found in it.
            now: Unix time.

        Returns:
            The changed record, or `record` itself if no step is due.
        """
        if record.state in (ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE):
            return record
        reason = _reason_to_take_back(record, shift, stop)
        if reason is not None:
            return _fire(record, "take_back", 0, reason, now)
        record = _apply_configuration(record, shift, now)
        advance = self._advance_by_state.get(record.state)
        if advance is None:
            return record
        return _record_lateness(advance(record, measured, now), now)

    def min_duration_s(self, record: ShiftRecord) -> float:
        """Returns the shortest time in seconds that the whole shift takes."""
        steps = count_steps(record.canary_ppm, record.cap_ppm)
        return max(1, steps) * self._pace.min_step_s + self._pace.verify_s

    def step_due_at(self, record: ShiftRecord) -> float:
        """Returns the Unix time at which the next step is planned."""
        planned_s = PLANNED_STEP_FRACTION * self._longest_step_s(record)
        planned_s = min(planned_s, self._pace.max_step_s)
        return record.since + max(planned_s, self._pace.min_step_s)

    def _longest_step_s(self, record: ShiftRecord) -> float:
        """Returns the longest time per step that meets the deadline."""
        steps = max(1, count_steps(record.share_ppm, record.cap_ppm))
        remaining_s = record.deadline - self._pace.verify_s - record.since
        return max(0.0, remaining_s / steps)

    def _accept_or_refuse(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        reason = self._reason_to_refuse(record, measured, now)
        if reason is not None:
            return _fire(record, "refuse", 0, reason, now)
        reason = f"Accepted; {_percent(record.canary_ppm)} moves as a canary."
        return _fire(record, "accept", record.canary_ppm, reason, now)

    def _reason_to_refuse(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> str | None:
        """Returns why the shift cannot succeed, or None if it can."""
        if record.canary_ppm <= 0:
            return "The canary or the cap is zero, so nothing could move."
        if measured.configured_slots <= 0:
            return (
                f"No backend server of version {record.to_version} is"
                " configured."
            )
        min_duration_s = self.min_duration_s(record)
        remaining_s = record.deadline - now
        if remaining_s < min_duration_s:
            return (
                f"The deadline is in {max(0, math.floor(remaining_s))} s, but"
                f" the shift takes at least {math.ceil(min_duration_s)} s."
            )
        needed_slots = (measured.demand_slots or 0.0) * record.cap_ppm / PPM
        if needed_slots > measured.configured_slots:
            return (
                f"{_percent(record.cap_ppm)} of the traffic needs"
                f" {math.ceil(needed_slots)} slots, but version"
                f" {record.to_version} has {measured.configured_slots}."
            )
        return None

    def _advance_canary(
        self, record: ShiftRecord, measured: Measurements, now: float
    ) -> ShiftRecord:
        longest_s = CANARY_WAIT_FRACTION * self._longest_step_s(record)
        ends_at = record.since + longest_s
        is_judged = measured.judged_requests >= CANARY_REQUESTS
        if not is_judged and now < ends_at:
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
    """Returns the share that the new version's servers can carry now.

    Without a current measurement the result is 0, so that the shift waits
    rather than grow without knowledge of the load.
    """
    if measured.ready_slots is None or measured.demand_slots is None:
        return 0
    if measured.demand_slots <= 0:
        return PPM
    share = USABLE_SLOTS_FRACTION * measured.ready_slots / measured.demand_slots
    return to_ppm(min(1.0, share))


def _reason_to_take_back(
    record: ShiftRecord, shift: Shift, stop: VersionStop | None
) -> str | None:
    if shift.intent is ShiftIntent.TAKE_BACK:
        return "An operator took it back."
    if stop is not None and stop.step >= record.started:
        return stop.reason
    configured = (shift.service, shift.from_version, shift.to_version)
    if configured != (record.service, record.from_version, record.to_version):
        return "Its service or versions were changed; use a new name."
    return None


def _apply_configuration(
    record: ShiftRecord, shift: Shift, now: float
) -> ShiftRecord:
    """Applies the configured cap, deadline and intent to the record."""
    cap_ppm = to_ppm(shift.cap)
    if (cap_ppm, shift.deadline) != (record.cap_ppm, record.deadline):
        record = _apply_limits(record, cap_ppm, shift.deadline, now)
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


def _apply_limits(
    record: ShiftRecord, cap_ppm: int, deadline: float, now: float
) -> ShiftRecord:
    is_raised = cap_ppm > record.cap_ppm
    record = msgspec.structs.replace(
        record, cap_ppm=cap_ppm, deadline=deadline, late=False
    )
    share_ppm = min(record.share_ppm, cap_ppm)
    if is_raised and record.state in (ShiftState.VERIFYING, ShiftState.DONE):
        reason = f"The cap was raised to {_percent(cap_ppm)}."
        return _fire(record, "extend", share_ppm, reason, now)
    if share_ppm < record.share_ppm:
        reason = f"The cap was lowered to {_percent(cap_ppm)}."
        return _add_event(record, share_ppm, reason, now)
    return record


def _record_lateness(record: ShiftRecord, now: float) -> ShiftRecord:
    """Returns the record marked as late if its deadline has passed.

    The time of the latest step is kept, so that the next step is due as before.
    """
    late = now > record.deadline and record.state is not ShiftState.DONE
    if record.late or not late or record.state is ShiftState.IMPOSSIBLE:
        return record
    reason = f"The deadline has passed with {_percent(record.share_ppm)} moved."
    since = record.since
    record = _add_event(record, record.share_ppm, reason, now)
    return msgspec.structs.replace(record, late=True, since=since)


def _fire(
    record: ShiftRecord, event: str, share_ppm: int, reason: str, now: float
) -> ShiftRecord:
    """Returns the record after a transition of statecharts/shift.json.

    Args:
        record: State of the shift.
        event: Trigger of the transition.
        share_ppm: Share after the transition, in parts per million.
        reason: One sentence for people.
        now: Unix time.

    Returns:
        The changed record, or `record` itself if its state does not allow the
        event.
    """
    chart = Chart("shift", initial=record.state.value)
    if not chart.fire(event):
        return record
    state = ShiftState(chart.state)
    record = msgspec.structs.replace(record, state=state)
    return _add_event(record, share_ppm, reason, now)


def _add_event(
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
