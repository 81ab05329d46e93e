"""The document `radishmux/shifts`: the state of every shift."""

from __future__ import annotations

import enum

import msgspec

SHIFTS_KEY = "radishmux/shifts"


class ShiftState(enum.Enum):
    """States of statecharts/shift.json."""

    PROPOSED = "proposed"
    CANARY = "canary"
    RAMPING = "ramping"
    VERIFYING = "verifying"
    DONE = "done"
    PAUSED = "paused"
    TAKEN_BACK = "taken_back"
    IMPOSSIBLE = "impossible"


# States in which the new version may receive traffic.
SERVING_STATES = frozenset(
    {
        ShiftState.CANARY,
        ShiftState.RAMPING,
        ShiftState.VERIFYING,
        ShiftState.PAUSED,
        ShiftState.DONE,
    }
)
FINAL_STATES = frozenset(
    {ShiftState.DONE, ShiftState.TAKEN_BACK, ShiftState.IMPOSSIBLE}
)


class ShiftEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a shift, for its report.

    Attributes:
        at: Unix time in seconds.
        state: State entered.
        share_ppm: Share in force from then on.
        reason: One sentence for people.
    """

    at: float
    state: ShiftState
    share_ppm: int
    reason: str


class ShiftRecord(msgspec.Struct, frozen=True, kw_only=True):
    """State of one shift.

    Attributes:
        name: Name of the shift in the configuration.
        share_ppm: Share in force, in parts per million.
        started: `ShiftDocument.sequence` at which the shift was accepted; a
            stop that names an earlier one is for another shift.
        step: `ShiftDocument.sequence` of the latest change of the share.
        since: Unix time of the latest change.
        resume: State to return to from `PAUSED`.
        late: Whether the deadline passed before the shift was done.
        events: The latest steps, oldest first.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    cap_ppm: int
    canary_ppm: int
    deadline: float
    state: ShiftState = ShiftState.PROPOSED
    share_ppm: int = 0
    started: int = 0
    step: int = 0
    accepted_at: float = 0.0
    since: float = 0.0
    resume: ShiftState = ShiftState.CANARY
    late: bool = False
    reason: str = ""
    events: tuple[ShiftEvent, ...] = ()


class ShiftDocument(msgspec.Struct, frozen=True, kw_only=True):
    """All shifts, written by the holder of the controller lease.

    Attributes:
        epoch: Fencing epoch: grows with each change of the lease holder.
        sequence: Grows by one with each write.
        writer: Instance and write number, to recognise one's own write after
            a lost response.
    """

    epoch: int = 0
    sequence: int = 0
    writer: str = ""
    shifts: tuple[ShiftRecord, ...] = ()


def decode(value: bytes) -> ShiftDocument:
    """Returns the document.

    Raises:
        msgspec.ValidationError: The value is no such document.
    """
    return msgspec.json.decode(value, type=ShiftDocument)


def encode(document: ShiftDocument) -> bytes:
    """Returns the stored form."""
    return msgspec.json.encode(document)
