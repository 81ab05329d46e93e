"""Token bucket over a variable fraction of a customer's rate and burst."""

from __future__ import annotations


class FractionBucket:
    """A token bucket whose rate and capacity scale with a fraction.

    Over all instances the fractions add up to at most 1, and tokens move
    between instances only together with a fraction. The tokens of all buckets
    together therefore never exceed the burst and accrue at most at the rate.
    For the same reason raising the fraction, the rate or the burst adds no
    tokens, while lowering them discards what exceeds the new capacity.

    Args:
        rate_per_s: The customer's rate over the whole fleet.
        burst: The customer's burst over the whole fleet, in tokens.
        now: Monotonic seconds.
        min_capacity: Lower bound of the capacity of a bucket whose fraction
            is above 0. With a bound above 0 the tokens of all buckets
            together may exceed the burst by up to this many per bucket.
    """

    __slots__ = (
        "_burst",
        "_fraction",
        "_min_capacity",
        "_rate_per_s",
        "_tokens",
        "_updated_at",
    )

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now: float,
        min_capacity: float = 0.0,
    ) -> None:
        self._min_capacity = min_capacity
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._fraction = 0.0
        self._tokens = 0.0
        self._updated_at = now

    @property
    def fraction(self) -> float:
        """Fraction of the customer's rate and burst."""
        return self._fraction

    @property
    def tokens(self) -> float:
        """Tokens at the time of the latest change."""
        return self._tokens

    @property
    def capacity(self) -> float:
        """Maximum number of tokens that the bucket holds."""
        if self._fraction <= 0.0:
            return 0.0
        return max(self._min_capacity, self._fraction * self._burst)

    @property
    def rate_per_s(self) -> float:
        """The customer's rate over the whole fleet."""
        return self._rate_per_s

    @property
    def burst(self) -> float:
        """The customer's burst over the whole fleet."""
        return self._burst

    def advance(self, now: float) -> None:
        """Adds the tokens accrued until `now`."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        accrued = elapsed_s * self._fraction * self._rate_per_s
        self._tokens = min(self._tokens + accrued, self.capacity)
        self._updated_at = now

    def try_acquire(self, now: float) -> bool:
        """Takes one token if the bucket holds one."""
        self.advance(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Returns the seconds until a token has accrued here; inf if never.

        Args:
            now: Monotonic seconds.
            ahead: Number of other requests that take a token first.
        """
        self.advance(now)
        missing = 1.0 + ahead - self._tokens
        if missing <= 0.0:
            return 0.0
        accrual = self._fraction * self._rate_per_s
        if self.capacity < 1.0 or accrual <= 0.0:
            return float("inf")
        return missing / accrual

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Sets the customer's rate and burst."""
        self.advance(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, self.capacity)

    def set_fraction(self, fraction: float, now: float) -> None:
        """Sets the fraction and discards tokens beyond the new capacity."""
        self.advance(now)
        self._fraction = max(0.0, fraction)
        self._tokens = min(self._tokens, self.capacity)

    def set_min_capacity(self, tokens: float, now: float) -> None:
        """Sets the capacity that the bucket has with any fraction above 0."""
        self.advance(now)
        self._min_capacity = tokens
        self._tokens = min(self._tokens, self.capacity)

    def add_tokens(self, tokens: float, now: float) -> None:
        """Adds tokens that came with a fraction, up to the capacity."""
        self.advance(now)
        self._tokens = min(self._tokens + tokens, self.capacity)

    def remove_tokens(self, tokens: float, now: float) -> float:
        """Removes up to `tokens` and returns how many were removed."""
        self.advance(now)
        removed = min(tokens, self._tokens)
        self._tokens -= removed
        return removed
