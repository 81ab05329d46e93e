"""Memory that all listeners of a process share."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Protocol

MIB = 1024 * 1024
# Memory of the smallest machine.
DEFAULT_MEMORY_MB = 200
# What the process needs beside its listeners: 41 MB after the start, 48 MB for
# responses of servers on their way in, and the store's mirror.
_PROCESS_MB = 110
# Fraction of the limit that is freed at a time. The holders are compared once
# for each of them.
_FREED_FRACTION = 1 / 16
# Holders of less are given up last: ordinary requests without a body.
_SMALL_BYTES = 32 * 1024
# Time for which no more room is looked for after none was found.
_FULL_S = 0.02
# Kept for listeners that must answer while the memory is in use.
_ESSENTIAL_BYTES = 4 * MIB


class Holder(Protocol):
    """A connection that holds memory."""

    @property
    def size(self) -> int:
        """Bytes that it holds now; 0 if it holds none any more."""

    @property
    def can_give_up(self) -> bool:
        """Whether memory is freed by giving up what is not complete."""

    def progress(self, now: float) -> float:
        """Returns how fast it has lately received or sent, in bytes/s."""

    def give_up(self) -> None:
        """Frees the memory of what is not complete."""


class MemoryBudget:
    """Counts the memory of connections, requests and unsent responses.

    If it is full, the requests that arrive slowest and the responses that are
    read slowest are given up until a part of it is free.

    Args:
        limit: Bytes that all holders together may occupy.
        clock: Monotonic time in s.
    """

    def __init__(
        self, limit: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._used_bytes = 0
        self._sizes: dict[Holder, int] = {}
        self._makes_room = False
        self._full_until = -math.inf

    @property
    def limit(self) -> int:
        """Bytes that all holders together may occupy."""
        return self._limit

    @property
    def used_bytes(self) -> int:
        """Bytes that all holders occupy."""
        return self._used_bytes

    def set_size(self, holder: Holder, size: int) -> None:
        """Records a size that cannot be refused; 0 removes the holder.

        Other holders are given up if it exceeds the limit.
        """
        added = self._record(holder, size)
        if added > 0 and self._used_bytes > self._limit:
            self._make_room(holder, 0)

    def allows(
        self, holder: Holder, size: int, is_essential: bool = False
    ) -> bool:
        """Records a new size of a holder unless there is no memory for it.

        Args:
            holder: The connection.
            size: All bytes that it needs.
            is_essential: Whether it may use the part that is reserved.

        Returns:
            False if the holder has to be given up itself; its size is then
            unchanged.
        """
        added = size - self._sizes.get(holder, 0)
        if not added:
            return True
        if added > 0 and self._used_bytes + added > self._limit:
            allowed = self._make_room(holder, added, may_give_up_it=True)
            added = size - self._sizes.get(holder, 0)
            reserve = _ESSENTIAL_BYTES if is_essential else 0
            if not allowed or (
                self._used_bytes + added > self._limit + reserve
            ):
                return False
        self._apply(holder, size, added)
        return True

    def _record(self, holder: Holder, size: int) -> int:
        """Records a size and returns by how much it has grown."""
        added = size - self._sizes.get(holder, 0)
        if added:
            self._apply(holder, size, added)
        return added

    def _apply(self, holder: Holder, size: int, added: int) -> None:
        self._used_bytes += added
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)

    def _make_room(
        self, holder: Holder, added: int, may_give_up_it: bool = False
    ) -> bool:
        """Gives up holders.

        Args:
            holder: The holder that needs room.
            added: Bytes that it needs.
            may_give_up_it: Whether it may be given up itself.

        Returns:
            False if `holder` is one of those to be given up.
        """
        now = self._clock()
        if self._makes_room or now < self._full_until:
            return True
        self._makes_room = True
        try:
            return self._give_up_slowest(holder, added, may_give_up_it, now)
        finally:
            self._makes_room = False
            if self._used_bytes + added > self._limit:
                self._full_until = now + _FULL_S

    def _give_up_slowest(
        self, holder: Holder, added: int, may_give_up_it: bool, now: float
    ) -> bool:
        # Sockets do not tell when they have taken a part of a response.
        for one in list(self._sizes):
            if one is not holder:
                self._record(one, one.size)
        if self._used_bytes + added <= self._limit:
            return True
        target = self._limit * (1 - _FREED_FRACTION) - added
        candidates = [
            one for one in self._sizes if one.can_give_up and one is not holder
        ]
        if may_give_up_it and holder.can_give_up:
            candidates.append(holder)
        candidates.sort(
            key=lambda one: (
                one.size < _SMALL_BYTES,
                one.progress(now),
                -one.size,
            )
        )
        for one in candidates:
            if self._used_bytes <= max(0.0, target):
                break
            if one is holder:
                return self._used_bytes + added <= self._limit
            one.give_up()
            self._record(one, one.size)
        return True


def budget_bytes(memory_mb: float | None) -> int:
    """Returns the memory for connections on a machine.

    Args:
        memory_mb: Memory of the machine, or None for the smallest one.
    """
    total = memory_mb or DEFAULT_MEMORY_MB
    share = min(max(total - _PROCESS_MB, total / 4), total / 2)
    return int(share * MIB)
