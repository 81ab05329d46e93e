"""A sequential test for faults that may begin at any request."""

from __future__ import annotations

import math

# Weight of the test that starts with the first request, because most faults
# are present from the start.
FIRST_WEIGHT = 0.8
# Another test starts after each block of requests, for faults that begin
# later. The weights of these tests sum to 1 - FIRST_WEIGHT.
BLOCK_REQUESTS = 25


def _log_add(a: float, b: float) -> float:
    """Returns log(exp(a) + exp(b))."""
    high, low = max(a, b), min(a, b)
    return high + math.log1p(math.exp(low - high))


class SequentialTest:
    """Weighted sum of likelihood ratios over all starting points.

    Without a fault, the expected sum never exceeds 1, however many requests
    are tested. The probability that the sum ever reaches 1 / alpha is
    therefore at most alpha (Ville's inequality). Each request takes constant
    time: sum' = (sum + weight of a new start) x likelihood ratio.

    Args:
        alpha: Probability of a false alarm over the whole life of the test.
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
        """Number of requests tested so far."""
        return self._requests

    def add(self, log_ratio: float, requests: int = 1) -> bool:
        """Adds evidence and returns whether the test detects a fault.

        Args:
            log_ratio: Logarithm of the likelihood of the outcomes with a
                fault, divided by their likelihood without one.
            requests: Number of requests behind `log_ratio`.
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
