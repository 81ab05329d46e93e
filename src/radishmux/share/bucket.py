"""Token bucket over a variable fraction of a customer's rate and burst."""

from __future__ import annotations


class FractionBucket:
    """A token bucket whose rate and capacity scale with a fraction.

    Over all instances the fractions add up to at most 1 and tokens move only
    with a fraction, so that the tokens of all buckets together never exceed
    the burst and accrue at most at the rate. Raising the fraction, the rate
    or the burst therefore adds no tokens; lowering cuts what exceeds the new
    capacity.

    Args:
        rate_per_s: The customer's rate over the whole fleet.
        burst: The customer's burst over the whole fleet, in tokens.
        now: Monotonic seconds.
        least_capacity: Tokens that a bucket with any fraction holds; above 0,
            the tokens of all buckets may exceed the burst by as many for each
            bucket.
    """

    __slots__ = (
        "_at",
        "_burst",
        "_fraction",
        "_least_capacity",
        "_rate_per_s",
        "_tokens",
    )

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now: float,
        least_capacity: float = 0.0,
    ) -> None:
        self._least_capacity = least_capacity
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._fraction = 0.0
        self._tokens = 0.0
        self._at = now

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
        """Most tokens that the bucket holds."""
        if self._fraction <= 0.0:
            return 0.0
        return max(self._least_capacity, self._fraction * self._burst)

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
        elapsed_s = now - self._at
        if elapsed_s <= 0.0:
            return
        accrued = elapsed_s * self._fraction * self._rate_per_s
        self._tokens = min(self._tokens + accrued, self.capacity)
        self._at = now

    def take(self, now: float) -> bool:
        """Takes one token, if there is one."""
        self.advance(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Seconds until a token has accrued here; inf if never.

        Args:
            now: Monotonic seconds.
            ahead: How many others take a token first.
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
        """Sets the fraction; tokens beyond the new capacity are lost."""
        self.advance(now)
        self._fraction = max(0.0, fraction)
        self._tokens = min(self._tokens, self.capacity)

    def set_least_capacity(self, tokens: float, now: float) -> None:
        """Sets the tokens that the bucket holds with any fraction."""
        self.advance(now)
        self._least_capacity = tokens
        self._tokens = min(self._tokens, self.capacity)

    def put(self, tokens: float, now: float) -> None:
        """Adds tokens that came with a fraction, up to the capacity."""
        self.advance(now)
        self._tokens = min(self._tokens + tokens, self.capacity)

    def withdraw(self, tokens: float, now: float) -> float:
        """Removes up to `tokens` and returns how many were removed."""
        self.advance(now)
        removed = min(tokens, self._tokens)
        self._tokens -= removed
        return removed
