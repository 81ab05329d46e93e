"""The roster: a store document with all instances and their weights.

The sum of the weights never exceeds `TOTAL_WEIGHT`. An instance's share of
each customer's rate is its weight divided by that total.
"""

from __future__ import annotations

import msgspec

ROSTER_KEY = "radishmux/roster"
TOTAL_WEIGHT = 10_000


class RosterEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of one instance.

    Attributes:
        instance: Name of the instance.
        incarnation: Number of the instance's process, which grows with each
            start.
        region: Region of the instance.
        failure_domain: Failure domain of the instance.
        caller_address: Address for callers.
        peer_address: Address for other instances.
        control_address: Address to which peers send control messages.
        weight: Share of the fleet's rate, in parts of `TOTAL_WEIGHT`.
        counter: Grows with each write of the entry by its holder. Readers
            measure the lapse of the entry from when they first saw the
            current value.
        joined: Value of `Roster.writes` when the entry was created.
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
    """The roster document.

    Attributes:
        writes: Number of writes of the document.
        writer: Instance and incarnation of the latest writer.
        counter: The latest writer's own count of writes, which identifies a
            write whose response was lost.
        entries: Entries sorted by instance.
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
    """Returns the document as JSON, the form in which it is stored."""
    return msgspec.json.encode(roster)


def decode_roster(value: bytes) -> Roster:
    """Returns the document that `encode_roster` stored.

    Raises:
        msgspec.ValidationError: The value is not a valid roster.
    """
    return msgspec.json.decode(value, type=Roster)
