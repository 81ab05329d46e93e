"""The roster: one store document that names the instances and their weights.

The sum of the weights never exceeds `TOTAL_WEIGHT`; an instance's share of
each customer is its weight divided by that total.
"""

from __future__ import annotations

import msgspec

ROSTER_KEY = "radishmux/roster"
TOTAL_WEIGHT = 10_000


class RosterEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One instance's place in the roster.

    Attributes:
        incarnation: Number of the process's life.
        control_address: Where peers send control messages.
        weight: Share of the fleet's rate, in parts of `TOTAL_WEIGHT`.
        counter: Grows with each write of the entry by its holder; readers
            measure the lapse of the entry from when they first saw it.
        joined: Value of `Roster.writes` at which the entry was made.
        renewed: Value of `Roster.writes` at the holder's latest write.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    control_address: str
    weight: int = 0
    counter: int = 0
    joined: int = 0
    renewed: int = 0


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """The document.

    Attributes:
        writes: Number of writes of the document.
        writer: Instance and incarnation of the latest write.
        counter: The latest writer's own count, to recognise a write whose
            response was lost.
        entries: Sorted by instance.
    """

    writes: int = 0
    writer: str = ""
    counter: int = 0
    entries: tuple[RosterEntry, ...] = ()

    @property
    def assigned(self) -> int:
        """Sum of the weights."""
        return sum(entry.weight for entry in self.entries)

    def entry(self, instance: str) -> RosterEntry | None:
        """Returns the entry of an instance, or None."""
        for entry in self.entries:
            if entry.instance == instance:
                return entry
        return None


def encode_roster(roster: Roster) -> bytes:
    """Returns the stored form."""
    return msgspec.json.encode(roster)


def decode_roster(value: bytes) -> Roster:
    """Returns the document.

    Raises:
        msgspec.ValidationError: The value is no roster.
    """
    return msgspec.json.decode(value, type=Roster)
