"""The document `radishmux/shifts` in the store: the state of each shift."""

from __future__ import annotations

import enum

import msgspec

SHIFTS_KEY = "radishmux/shifts"


class ShiftState(enum.Enum):
    """States of a shift, as in statecharts/shift.json."""

    PROPOSED = "proposed"
    CANARY = "canary"
    RAMPING = "ramping"
    VERIFYING = "verifying"
    DONE = "done"
    PAUSED = "paused"
    TAKEN_BACK = "taken_back"
    IMPOSSIBLE = "impossible"


# States in which the new version may receive requests.
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
    """A change of a shift's state or share, for its report.

    Attributes:
        at: Unix time in seconds.
        state: State after the change.
        share_ppm: Share after the change, in parts per million.
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
        cap_ppm: Largest admissible share, in parts per million.
        canary_ppm: Share of the canary, in parts per million.
        deadline: Unix time by which the shift must be done.
        share_ppm: Share of requests that the new version gets, in parts per
            million.
        started: `ShiftDocument.sequence` at which the record was created. A
            `VersionStop` with a lower `step` belongs to an earlier shift.
        step: `ShiftDocument.sequence` of the latest change of the share.
        accepted_at: Unix time at which the record was created.
        since: Unix time of the latest change.
        resume: State that follows `PAUSED` when the shift is resumed.
        late: Whether the deadline passed before the shift was done.
        reason: Why the shift is in its state; one sentence for people.
        events: The latest changes, oldest first.
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
        epoch: Fencing epoch, which grows with each change of the lease holder.
        sequence: Number of the write; each write adds one.
        writer: Instance, incarnation and write number. A writer that lost the
            store's response recognises its own write by it.
        shifts: One record for each shift in the configuration.
    """

    epoch: int = 0
    sequence: int = 0
    writer: str = ""
    shifts: tuple[ShiftRecord, ...] = ()


def decode(value: bytes) -> ShiftDocument:
    """Decodes the stored form of the document.

    Raises:
        msgspec.DecodeError: The value is not a shifts document.
    """
    return msgspec.json.decode(value, type=ShiftDocument)


def encode(document: ShiftDocument) -> bytes:
    """Encodes the document for the store."""
    return msgspec.json.encode(document)
