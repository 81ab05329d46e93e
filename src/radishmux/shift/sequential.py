"""A sequential test that may run forever and start anew at any time."""

from __future__ import annotations

import math

# Weight of the test that starts with the first request; faults at once are
# the most common ones.
FIRST_WEIGHT = 0.8
# A further test starts after each block of requests, for faults that begin
# later. Their weights sum to the rest.
BLOCK_REQUESTS = 25


def _log_add(a: float, b: float) -> float:
    high, low = max(a, b), min(a, b)
    return high + math.log1p(math.exp(low - high))


class SequentialTest:
    """Weighted sum of likelihood ratios over all starting points.

    Without a fault, the expected sum never exceeds 1 whatever the number of
    requests, so the chance that it ever reaches 1 / alpha is at most alpha
    (Ville's inequality). The sum needs constant time per request:
    sum' = (sum + weight of a new start) x likelihood ratio.
    """

    __slots__ = ("_limit", "_log_sum", "_starts", "_requests", "_next_start")

    def __init__(self, alpha: float) -> None:
        self._limit = -math.log(alpha)
        self._log_sum = math.log(FIRST_WEIGHT)
        self._starts = 0
        self._requests = 0
        self._next_start = BLOCK_REQUESTS

    @property
    def requests(self) -> int:
        """Requests judged so far."""
        return self._requests

    def add(self, log_ratio: float, requests: int = 1) -> bool:
        """Takes evidence and returns whether a fault is shown.

        Args:
            log_ratio: Logarithm of the likelihood under a fault divided by
                that without one.
            requests: Requests that the evidence stands for.
        """
        while self._requests >= self._next_start:
            self._starts += 1
            self._next_start += BLOCK_REQUESTS
            share = 1 / (self._starts * (self._starts + 1))
            weight = (1 - FIRST_WEIGHT) * share
            self._log_sum = _log_add(self._log_sum, math.log(weight))
        self._log_sum += log_ratio
        self._requests += requests
        return self._log_sum >= self._limit
