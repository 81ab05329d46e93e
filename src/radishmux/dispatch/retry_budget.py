"""Bounds retries and hedges to a fraction of the first attempts."""

from __future__ import annotations

WINDOW_S = 1.0
FRACTION = 0.1
_BUCKETS = 10
_BUCKET_S = WINDOW_S / _BUCKETS


class RetryBudget:
    """Counts attempts of one service in buckets of a tenth of a second.

    A retry is allowed while the retries of the window, this one included,
    are at most a tenth of its first attempts. Partial buckets count in full
    for retries and not at all for first attempts, so that the bound holds in
    the second before every retry.
    """

    __slots__ = ("_bucket", "_firsts", "_retries")

    def __init__(self) -> None:
        self._bucket = 0
        self._firsts = [0] * (_BUCKETS + 1)
        self._retries = [0] * (_BUCKETS + 1)

    def first(self, now: float) -> None:
        """Counts a first attempt."""
        self._advance(now)
        self._firsts[self._bucket % (_BUCKETS + 1)] += 1

    def try_retry(self, now: float) -> bool:
        """Counts a retry if the budget allows it."""
        self._advance(now)
        oldest = (self._bucket + 1) % (_BUCKETS + 1)
        firsts = sum(self._firsts) - self._firsts[oldest]
        if sum(self._retries) + 1 > FRACTION * firsts:
            return False
        self._retries[self._bucket % (_BUCKETS + 1)] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / _BUCKET_S)
        if bucket == self._bucket:
            return
        skipped = min(bucket - self._bucket, _BUCKETS + 1)
        for step in range(skipped):
            index = (bucket - step) % (_BUCKETS + 1)
            self._firsts[index] = 0
            self._retries[index] = 0
        self._bucket = bucket
