"""Times at which refused callers may return to a service; no I/O.

Covers callers that are refused together in a burst: if all of them returned
after the same time, they would be refused again together.
"""

from __future__ import annotations

import bisect
import math

# Shortest time after which a return is useful, and the largest part of the
# time left; callers honour a Retry-After of up to a third of it.
MIN_PAUSE_S = 0.05
MAX_PAUSE_SHARE = 0.3
# Most returns that are remembered of each class.
MAX_RETURNS = 256


class ReturnTimes:
    """Spreads the returns of refused callers over the capacity of a service."""

    def __init__(self) -> None:
        # Monotonic times of the promised returns by class, sorted.
        self._returns: dict[int, list[float]] = {}

    def pause_s(
        self,
        priority: int,
        rank: float,
        waiting: int,
        rate_per_s: float,
        left_s: float,
        now: float,
        jitter: float,
    ) -> float:
        """Returns the seconds after which a refused caller may return.

        Each return gets a turn after the requests that wait now and after
        earlier returns of the same and of more urgent classes.

        Args:
            priority: Class of the request.
            rank: From 0 for the most urgent class to 1 for the least urgent.
            waiting: Waiting requests of the same and more urgent classes.
            rate_per_s: What the service completes; 0 if that is not known.
            left_s: Time that the caller still waits for an answer.
            now: Monotonic seconds.
            jitter: A random number from 0 to 1.
        """
        longest_s = MAX_PAUSE_SHARE * max(0.0, left_s)
        ahead = waiting + self._expected(priority, now)
        turn_s = math.inf
        if rate_per_s > 0.0:
            turn_s = (ahead + 0.5 + jitter) / rate_per_s
        if turn_s > longest_s:
            # There is no room by then. Half of the time is used for jitter.
            turn_s = longest_s * (0.25 + 0.25 * rank + 0.5 * jitter)
        pause_s = min(longest_s, max(MIN_PAUSE_S * (1.0 + jitter), turn_s))
        returns = self._returns.setdefault(priority, [])
        if len(returns) < MAX_RETURNS:
            bisect.insort(returns, now + pause_s)
        return pause_s

    def _expected(self, priority: int, now: float) -> int:
        """Returns how many callers of these classes are still to return."""
        expected = 0
        for other, returns in self._returns.items():
            del returns[: bisect.bisect_right(returns, now)]
            if other <= priority:
                expected += len(returns)
        return expected
