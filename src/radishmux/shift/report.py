"""Reports on shifts, as sentences for people and as fields for programs."""

from __future__ import annotations

import datetime

import msgspec

from radishmux.shift.counter import PPM
from radishmux.shift.document import ShiftEvent, ShiftRecord, ShiftState


class ShiftReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report on one shift.

    Attributes:
        finished: Whether the shift changes no more unless an operator acts.
        in_time: Whether the deadline was met; None while that is open and for
            shifts that were taken back or impossible.
        moved_percent: Percentage of the service's traffic that goes to the
            new version now.
        largest_percent: Largest percentage that went to it at any time.
        accepted_at: Unix time at which the shift was accepted or refused.
        changed_at: Unix time of the latest change.
        deadline: Unix time by which the shift must be done.
        reason: Why the shift is in its state.
        sentences: The report for people.
        events: The recorded changes, oldest first.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    state: ShiftState
    finished: bool
    in_time: bool | None
    moved_percent: float
    largest_percent: float
    accepted_at: float
    changed_at: float
    deadline: float
    reason: str
    sentences: str
    events: tuple[ShiftEvent, ...]


_FINISHED = (ShiftState.DONE, ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE)

_SUMMARIES = {
    ShiftState.PROPOSED: "is proposed and not yet accepted",
    ShiftState.CANARY: "is running as a canary",
    ShiftState.RAMPING: "is being raised in steps",
    ShiftState.VERIFYING: "carries its full share and is being verified",
    ShiftState.DONE: "is done",
    ShiftState.PAUSED: "is paused",
    ShiftState.TAKEN_BACK: "was taken back",
    ShiftState.IMPOSSIBLE: "was not started because it is impossible",
}


def build_report(record: ShiftRecord, now: float) -> ShiftReport:
    """Returns the report on a shift.

    Args:
        record: State of the shift.
        now: Unix time.
    """
    shares = [event.share_ppm for event in record.events]
    largest_ppm = max([record.share_ppm, *shares])
    return ShiftReport(
        name=record.name,
        service=record.service,
        from_version=record.from_version,
        to_version=record.to_version,
        state=record.state,
        finished=record.state in _FINISHED,
        in_time=_in_time(record, now),
        moved_percent=100 * record.share_ppm / PPM,
        largest_percent=100 * largest_ppm / PPM,
        accepted_at=record.accepted_at,
        changed_at=record.since,
        deadline=record.deadline,
        reason=record.reason,
        sentences=_sentences(record, largest_ppm, now),
        events=record.events,
    )


def _in_time(record: ShiftRecord, now: float) -> bool | None:
    if record.state is ShiftState.DONE:
        return not record.late
    if record.state in (ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE):
        return None
    return False if record.late or now > record.deadline else None


def _sentences(record: ShiftRecord, largest_ppm: int, now: float) -> str:
    share = f"{100 * record.share_ppm / PPM:.4g}%"
    sentences = [
        f"The shift {record.name!r} of service {record.service!r} from version"
        f" {record.from_version} to {record.to_version}"
        f" {_SUMMARIES[record.state]} since {_format_time(record.since)}."
    ]
    if record.state in (ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE):
        sentences.append(f"Reason: {record.reason}")
        sentences.append(
            f"At most {100 * largest_ppm / PPM:.4g}% of the traffic had moved;"
            f" all of it is served by version {record.from_version} now."
        )
        return " ".join(sentences)
    sentences.append(
        f"{share} of the traffic is on version {record.to_version}; the cap is"
        f" {100 * record.cap_ppm / PPM:.4g}%."
    )
    sentences.append(_deadline_sentence(record, now))
    return " ".join(sentences)


def _deadline_sentence(record: ShiftRecord, now: float) -> str:
    deadline = _format_time(record.deadline)
    in_time = _in_time(record, now)
    if in_time is None:
        return f"The deadline is {deadline}."
    result = "was kept" if in_time else "was missed"
    return f"The deadline of {deadline} {result}."


def _format_time(unix_s: float) -> str:
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S UTC")
