"""Order and bounds of the requests that wait for room at a service; no I/O.

Covers bursts above the capacity of a service's warm servers: for a few seconds
more requests arrive than the servers take, and they come back when refused. A
request that can still be served in time waits instead, since a place for it at
a server with its object is free a little later.
"""

from __future__ import annotations

import math

# Share of the time left at the arrival after which a request has waited long
# enough. Callers honour a Retry-After of a third of it, and need the rest to
# be served at another instance.
MAX_WAIT_SHARE = 0.5
# Longest wait of requests with much time left. Bursts and cold starts take some
# seconds; a longer shortage is not bridged by waiting.
MAX_WAIT_S = 3.0
# Share of the released requests that each less urgent class keeps.
DEFAULT_FLOOR = 0.1


class Waiter:
    """A request that waits.

    Attributes:
        entered_at: Monotonic time since which it waits.
        priority: Priority class; 0 is the most urgent.
        customer: Name of its customer; empty without one.
        deadline: Monotonic time until which an answer is useful.
        needed_s: Expected time of the request at a server with its object.
        size: Bytes of memory that it holds.
        leave_at: Monotonic time at which it is refused.
        probe_at: Monotonic time from which on it is worth asking again whether
            there is room.
    """

    __slots__ = (
        "customer",
        "deadline",
        "entered_at",
        "leave_at",
        "needed_s",
        "priority",
        "probe_at",
        "size",
    )

    def __init__(
        self,
        entered_at: float,
        priority: int,
        customer: str,
        deadline: float,
        needed_s: float,
        size: int = 0,
        leave_at: float = math.inf,
    ) -> None:
        self.entered_at = entered_at
        self.priority = priority
        self.customer = customer
        self.deadline = deadline
        self.needed_s = needed_s
        self.size = size
        self.leave_at = min(leave_at, deadline - needed_s)
        self.probe_at = -math.inf

    def waited(self, now: float) -> float:
        """Returns the share of its longest wait that is over, from 0 to 1."""
        longest_s = self.leave_at - self.entered_at
        if longest_s <= 0.0:
            return 1.0
        return min(1.0, max(0.0, (now - self.entered_at) / longest_s))


class ClassFloor:
    """Guarantees each class with demand a share of what is taken.

    A class earns a part of a place with each place that another class takes.

    Args:
        floor: Share of the places that each class keeps, from 0 to 1.
    """

    def __init__(self, floor: float = DEFAULT_FLOOR) -> None:
        self._floor = floor
        self._earned: dict[int, float] = {}

    def record(self, taken: int, demanding: set[int]) -> None:
        """Records that a class took a place.

        Args:
            taken: The class.
            demanding: Classes that could have used the place.
        """
        for priority in demanding - {taken}:
            earned = self._earned.get(priority, 0.0) + self._floor
            # One place at most, so that a class that comes late takes no run
            # of places.
            self._earned[priority] = min(1.0, earned)
        self._earned[taken] = max(0.0, self._earned.get(taken, 0.0) - 1.0)

    def is_owed(self, priority: int) -> bool:
        """Returns whether a class has earned a place."""
        # Ten parts of a tenth add up to slightly less than 1.
        return self._earned.get(priority, 0.0) > 1.0 - 1e-9


class WaitingRoom:
    """The waiting requests of one service, in the order of their turn.

    More urgent classes come first, except for a floor of each other class.
    Within a class customers take turns, and of a customer's requests the one
    with the least time left is first. A request that came back after a refusal
    has less time left than a new one, and so goes before it.

    Args:
        max_waiters: Most requests that wait.
        floor: Share of the places that each less urgent class keeps.
    """

    def __init__(self, max_waiters: int, floor: float = DEFAULT_FLOOR) -> None:
        self._max_waiters = max_waiters
        self._floor = ClassFloor(floor)
        self._waiters: set[Waiter] = set()
        # Number of the latest release of each customer in each class, in the
        # order of the releases.
        self._turns: dict[tuple[int, str], int] = {}
        self._released = 0
        self._order: list[Waiter] | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, waiter: Waiter) -> bool:
        return waiter in self._waiters

    def order(self) -> list[Waiter]:
        """Returns the waiters, the one whose turn is next first."""
        if self._order is None:
            self._order = self._sorted()
        return self._order

    def enter(self, waiter: Waiter) -> Waiter | None:
        """Adds a waiter.

        Returns:
            The one that has to be refused since there are too many, which may
            be the new one; None if all can stay.
        """
        self._waiters.add(waiter)
        self._order = None
        if len(self._waiters) <= self._max_waiters:
            return None
        last = self.order()[-1]
        self.leave(last)
        return last

    def leave(self, waiter: Waiter) -> None:
        """Removes a waiter that is refused or whose caller has left."""
        self._waiters.discard(waiter)
        self._order = None

    def release(self, waiter: Waiter) -> None:
        """Removes a waiter that is sent to a server."""
        self._floor.record(
            waiter.priority, {one.priority for one in self._waiters}
        )
        self._released += 1
        self._turns[(waiter.priority, waiter.customer)] = self._released
        self.leave(waiter)
        if not self._waiters:
            # Who has had a turn matters only while others wait.
            self._turns.clear()

    def expired(self, now: float) -> list[Waiter]:
        """Returns the waiters that have to leave now."""
        return [one for one in self._waiters if one.leave_at <= now]

    def ahead(self, priority: int, deadline: float) -> int:
        """Returns how many waiters a new one would stand behind.

        Args:
            priority: Class of the new one.
            deadline: Its deadline.
        """
        return sum(
            (one.priority, one.deadline) <= (priority, deadline)
            for one in self._waiters
        )

    def _sorted(self) -> list[Waiter]:
        positions: dict[tuple[int, str], int] = {}
        keys: dict[Waiter, tuple[int, int, int, float]] = {}
        for waiter in sorted(self._waiters, key=lambda one: one.deadline):
            group = (waiter.priority, waiter.customer)
            position = positions.get(group, 0)
            positions[group] = position + 1
            keys[waiter] = (
                waiter.priority,
                position,
                self._turns.get(group, 0),
                waiter.deadline,
            )
        # The first of each class that is owed a place is before all others.
        owed: list[Waiter] = []
        others: list[Waiter] = []
        seen: set[int] = set()
        for waiter in sorted(keys, key=keys.__getitem__):
            is_first = waiter.priority not in seen
            seen.add(waiter.priority)
            is_owed = is_first and self._floor.is_owed(waiter.priority)
            (owed if is_owed else others).append(waiter)
        return owed + others
