"""Limits retries and hedges to a fraction of the first attempts."""

from __future__ import annotations

WINDOW_S = 1.0
FRACTION = 0.1
_BUCKETS = 10


class RetryBudget:
    """Counts attempts of one service in buckets of a tenth of the window.

    A retry is allowed if the retries within the window, this one included,
    are at most a fraction of the first attempts within the window, plus a
    fixed number. The oldest bucket is only partly within the window: it counts
    in full for retries and not at all for first attempts, so that the bound
    holds in the window that ends at any retry.

    Args:
        window_s: Length of the sliding window.
        fraction: Retries allowed per first attempt.
        slack: Retries per window allowed in addition.
    """

    __slots__ = (
        "_bucket",
        "_bucket_s",
        "_first_attempts",
        "_fraction",
        "_retries",
        "_slack",
    )

    def __init__(
        self,
        window_s: float = WINDOW_S,
        fraction: float = FRACTION,
        slack: float = 0.0,
    ) -> None:
        self._bucket_s = window_s / _BUCKETS
        self._fraction = fraction
        self._slack = slack
        self._bucket = 0
        self._first_attempts = [0] * (_BUCKETS + 1)
        self._retries = [0] * (_BUCKETS + 1)

    def set_slack(self, slack: float) -> None:
        """Sets the retries per window allowed beyond the fraction."""
        self._slack = slack

    def record_first_attempt(self, now: float) -> None:
        """Counts a first attempt."""
        self._advance_buckets(now)
        self._first_attempts[self._bucket % (_BUCKETS + 1)] += 1

    def try_retry(self, now: float, share: float = 1.0) -> bool:
        """Counts a retry if the budget allows it.

        Args:
            now: Monotonic seconds.
            share: Share of the budget that may be used up after it.

        Returns:
            Whether the retry is allowed.
        """
        self._advance_buckets(now)
        oldest = (self._bucket + 1) % (_BUCKETS + 1)
        first_attempts = (
            sum(self._first_attempts) - self._first_attempts[oldest]
        )
        allowed = self._fraction * first_attempts + self._slack
        if sum(self._retries) + 1 > share * allowed:
            return False
        self._retries[self._bucket % (_BUCKETS + 1)] += 1
        return True

    def _advance_buckets(self, now: float) -> None:
        bucket = int(now / self._bucket_s)
        if bucket == self._bucket:
            return
        skipped = min(bucket - self._bucket, _BUCKETS + 1)
        for step in range(skipped):
            index = (bucket - step) % (_BUCKETS + 1)
            self._first_attempts[index] = 0
            self._retries[index] = 0
        self._bucket = bucket
