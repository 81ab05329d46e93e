"""Keys, leases and revisions of the store's stand-in."""

from __future__ import annotations

import asyncio
import collections
import time

import msgspec

# A copy is made twenty times a second: ten seconds.
MAX_COPIES = 200


class Pair(msgspec.Struct, frozen=True):
    """A key's value at one revision, as etcd describes it."""

    key: str
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self) -> dict[str, str]:
        """Returns the gateway's form, with integers as strings."""
        return {
            "key": self.key,
            "value": self.value,
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "lease": str(self.lease),
        }


class Event(msgspec.Struct, frozen=True):
    """One change of a key."""

    kind: str
    pair: Pair


class Lease:
    """A lease with its keys."""

    __slots__ = ("deadline", "keys", "ttl_s")

    def __init__(self, ttl_s: int) -> None:
        self.ttl_s = ttl_s
        self.deadline = time.monotonic() + ttl_s
        self.keys: set[str] = set()


class Copy(msgspec.Struct, frozen=True):
    """A store's state at one time; leases with their remaining seconds."""

    at: float
    revision: int
    next_lease: int
    pairs: dict[str, Pair]
    events: list[Event]
    leases: dict[int, tuple[int, float, frozenset[str]]]


class StoreState:
    """What a store remembers; keys and values stay in base64."""

    def __init__(self) -> None:
        self.revision = 1
        self.pairs: dict[str, Pair] = {}
        self.leases: dict[int, Lease] = {}
        self.events: list[Event] = []
        self.changed = asyncio.Condition()
        self._next_lease = 7_000
        self._marked: Copy | None = None
        self._copies: collections.deque[Copy] = collections.deque(
            maxlen=MAX_COPIES
        )

    def copy(self, mark: bool = False) -> None:
        """Keeps a copy of the state, to which `restore` can go back.

        Args:
            mark: Whether `restore(0)` goes back to it.
        """
        now = time.monotonic()
        leases = {
            number: (lease.ttl_s, lease.deadline - now, frozenset(lease.keys))
            for number, lease in self.leases.items()
        }
        copy = Copy(
            now,
            self.revision,
            self._next_lease,
            dict(self.pairs),
            list(self.events),
            leases,
        )
        self._copies.append(copy)
        if mark:
            self._marked = copy

    def restore(self, age_s: float) -> float:
        """Goes back to the latest copy that is at least so old.

        With an age of 0 it goes back to the marked copy.

        Revisions and lease ids since then will be given out again. Leases go
        on with the time that they had left.

        Returns:
            Monotonic time of the copy.
        """
        now = time.monotonic()
        copies = [one for one in self._copies if one.at <= now - age_s]
        copy = copies[-1] if copies else self._copies[0]
        if age_s == 0 and self._marked is not None:
            copy = self._marked
        self.revision, self._next_lease = copy.revision, copy.next_lease
        self.pairs, self.events = dict(copy.pairs), list(copy.events)
        self.leases = {}
        for number, (ttl_s, left_s, keys) in copy.leases.items():
            lease = self.leases[number] = Lease(ttl_s)
            lease.deadline = now + left_s
            lease.keys = set(keys)
        return copy.at

    def put(self, key: str, value: str, lease_id: int) -> None:
        """Writes a key in a revision of its own."""
        self.revision += 1
        old = self.pairs.get(key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        pair = Pair(
            key,
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease_id,
        )
        self.pairs[key] = pair
        self.events.append(Event("PUT", pair))

    def delete(self, key: str) -> None:
        """Deletes a key if it exists."""
        old = self.pairs.pop(key, None)
        if old is None:
            return
        # Otherwise the end of this lease would delete a later key of this name.
        if old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        self.revision += 1
        gone = Pair(key, "", 0, self.revision, 0, 0)
        self.events.append(Event("DELETE", gone))

    def mod_revision(self, key: str) -> int:
        """Returns the revision of a key; 0: absent."""
        pair = self.pairs.get(key)
        return pair.mod_revision if pair else 0

    def grant(self, ttl_s: int) -> int:
        """Creates a lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s)
        return self._next_lease

    def keep(self, lease_id: int) -> int:
        """Renews a lease and returns its TTL; 0: lapsed."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.deadline = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def end_lease(self, lease_id: int) -> bool:
        """Ends a lease and deletes its keys; False: unknown."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.delete(key)
        return True

    def expire(self) -> bool:
        """Ends the leases whose time is over; returns whether any was."""
        now = time.monotonic()
        over = [i for i, one in self.leases.items() if one.deadline <= now]
        for lease_id in over:
            self.end_lease(lease_id)
        return bool(over)
