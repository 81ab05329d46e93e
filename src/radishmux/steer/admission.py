"""Decides which requests of a service are sent to servers now; no I/O.

Covers two load patterns. In a burst above the capacity of a service, requests
of less urgent classes would fill the queues of its servers before urgent ones
arrive. And requests that find the home of their object full would run cold
elsewhere, which takes several times as long and keeps all servers late.

Without signs of shortage everything is admitted.
"""

from __future__ import annotations

import math

from radishmux.steer._sliding_count import SlidingCount
from radishmux.steer.placement import Choice
from radishmux.steer.waiting_room import DEFAULT_FLOOR, ClassFloor

# Window over which completions are counted: some requests of each class at the
# few requests a second that one instance of a large fleet gets.
WINDOW_S = 5.0
# Window over which signs of shortage count. Bursts last a few seconds.
SHORTAGE_WINDOW_S = 1.0
# A service is short of capacity from this many signs on, and if they are this
# share of the arrivals. A single rejection is no shortage.
MIN_SIGNS = 2
MIN_SIGN_SHARE = 0.1
# Shortest time over which a rate is measured.
_MIN_RATE_S = 0.5
# Load relative to the slots up to which a server takes requests that would run
# cold there under shortage. On a server that is half empty, cold work takes no
# time from others; see `placement.CROWDING_FACTOR`.
MAX_COLD_LOAD = 0.5
# The same for requests of the least urgent class: one waits for each slot.
LEAST_URGENT_LOAD = 2.0
# What the second most urgent of many classes may use beyond that, as a multiple
# of the slots. The rest of the queue is left to the most urgent class.
SHARED_QUEUE = 1.0

# Share of the target latency that the queues of servers are kept shorter for
# the least urgent class, so that the most urgent one still meets its target.
RESERVED_TARGET_SHARE = 0.25


class ServiceAdmission:
    """What one service completes for this instance, and whom it admits.

    Args:
        floor: Share of what the service takes that each class keeps.
    """

    def __init__(self, floor: float = DEFAULT_FLOOR) -> None:
        self._completed = SlidingCount(WINDOW_S)
        self._demand = SlidingCount(WINDOW_S)
        # Arrivals, and signs of shortage by class.
        self._arrivals = SlidingCount(SHORTAGE_WINDOW_S)
        self._signs = SlidingCount(SHORTAGE_WINDOW_S)
        self._min_share = floor
        self._floor = ClassFloor(floor)

    def record_arrival(self, priority: int, now: float) -> None:
        """Records a request that is to be served."""
        self._demand.add(priority, now)
        self._arrivals.add(priority, now)

    def record_sign(self, priority: int, now: float) -> None:
        """Records a sign of shortage.

        Signs are a rejection by a server, a request that no server can take,
        and one whose expected time is above the target latency.

        Args:
            priority: Class of the request that shows it.
            now: Monotonic seconds.
        """
        self._signs.add(priority, now)

    def record_completion(self, priority: int, now: float) -> None:
        """Records a response of a server that ran a request."""
        self._completed.add(priority, now)

    def record_admission(self, priority: int, now: float) -> None:
        """Records that a request is sent to a server."""
        if self.is_short(now):
            self._floor.record(priority, set(self._demand.counts(now)))

    def is_short(self, now: float) -> bool:
        """Returns whether the service lacks capacity."""
        counts = self._signs.counts(now)
        if not counts:
            return False
        signs = sum(counts.values())
        if signs < MIN_SIGNS:
            return False
        arrivals = sum(self._arrivals.counts(now).values())
        return signs >= MIN_SIGN_SHARE * arrivals

    def rate_per_s(self, priority: int, now: float) -> float:
        """Returns the completions per second that a class can count on.

        They are all completions but those that more urgent classes will use,
        and at least its guaranteed minimum; 0 if none is known.
        """
        covered_s = max(_MIN_RATE_S, self._completed.covered_s(now))
        total = sum(self._completed.counts(now).values()) / covered_s
        demand = self._demand.counts(now)
        urgent = sum(demand[one] for one in demand if one < priority)
        urgent_per_s = urgent / max(_MIN_RATE_S, self._demand.covered_s(now))
        return max(self._min_share * total, total - urgent_per_s)

    def rank(self, priority: int, now: float) -> float:
        """Returns the place of a class among those with demand.

        Returns:
            0 for the most urgent class, up to 1 for the least urgent one.
        """
        classes = sorted({*self._demand.counts(now), priority})
        return classes.index(priority) / max(1, len(classes) - 1)

    def admits(
        self,
        priority: int,
        choice: Choice,
        target_s: float,
        waited: float,
        now: float,
    ) -> bool:
        """Returns whether a request may be sent to a server now.

        Args:
            priority: Class of the request.
            choice: The server that it would be sent to.
            target_s: Time left until its target latency is missed.
            waited: Share of the longest wait that it has waited already, from
                0 to 1. The bounds grow with it, so that nobody waits only to
                be refused while servers have room in their queues.
            now: Monotonic seconds.
        """
        if not self.is_short(now):
            return True
        reserve = 0.0
        if self._yields(priority, now):
            reserve = RESERVED_TARGET_SHARE * self.rank(priority, now)
            reserve *= 1.0 - waited
        if choice.expected_s <= target_s * (1.0 - reserve):
            return True
        max_load = self._max_load(priority, now)
        if not choice.known_warm and not choice.is_home:
            # Must not wait in a queue to run cold.
            max_load = min(max_load, MAX_COLD_LOAD)
        slots = choice.server.entry.slots
        return (choice.load + 1) * (1.0 - waited) <= max_load * slots

    def _yields(self, priority: int, now: float) -> bool:
        """Returns whether a more urgent class lacks capacity."""
        return any(one < priority for one in self._signs.counts(now))

    def _max_load(self, priority: int, now: float) -> float:
        """Returns the load relative to the slots up to which a class is sent.

        Servers reject what their queues cannot hold; the urgent ones and the
        guaranteed minimum of the others are not bounded here.
        """
        if not self._yields(priority, now) or self._floor.is_owed(priority):
            return math.inf
        rank = self.rank(priority, now)
        return LEAST_URGENT_LOAD + SHARED_QUEUE * (1.0 - rank)
