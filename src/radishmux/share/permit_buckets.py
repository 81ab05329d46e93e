"""Distributes the limits that backend servers name; pure.

The holder of a limited server grants permits to send one request. It has a
token bucket for each server.
"""

from __future__ import annotations

# Fraction of a limit that one holder grants. While instances disagree about
# which of them is the holder, two of them may grant permits.
USED_FRACTION = 0.75
# Permits per second that are granted even if a server accepts none. Without
# any response of the server, the end of its limit would not be noticed.
MIN_RATE_PER_S = 0.25
# Longest time after which an instance is told to ask again. By then the limit
# may have ended.
MAX_WAIT_S = 1.0


class _Bucket:
    """Token bucket of one server.

    Attributes:
        tokens: Permits that can be granted at `updated_at`.
        updated_at: Monotonic seconds.
        next_ask_at: Latest time at which an instance was told to ask again.
    """

    __slots__ = ("next_ask_at", "tokens", "updated_at")

    def __init__(self, now: float) -> None:
        # Another holder may have granted the permits of the last seconds.
        self.tokens = 0.0
        self.updated_at = now
        self.next_ask_at = now


class PermitBuckets:
    """Token buckets of the servers whose limit one instance distributes."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, server: str, limit_per_s: float, now: float) -> float:
        """Takes a permit for one request.

        Instances that get none are told different times to ask again, so that
        the number of questions follows the limit and not the demand.

        Args:
            server: Name of the server.
            limit_per_s: Its finite limit.
            now: Monotonic seconds.

        Returns:
            0 if the permit is granted, else the seconds after which to ask
            again.
        """
        rate_per_s = max(MIN_RATE_PER_S, USED_FRACTION * limit_per_s)
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = self._buckets[server] = _Bucket(now)
        gained = (now - bucket.updated_at) * rate_per_s
        capacity = 1.0 + min(1.0, rate_per_s)
        bucket.tokens = min(capacity, bucket.tokens + gained)
        bucket.updated_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        interval_s = 1.0 / rate_per_s
        accrues_at = now + (1.0 - bucket.tokens) * interval_s
        bucket.next_ask_at = min(
            now + MAX_WAIT_S, max(accrues_at, bucket.next_ask_at + interval_s)
        )
        return bucket.next_ask_at - now

    def retain_only(self, servers: set[str]) -> None:
        """Drops the buckets of all other servers."""
        for name in self._buckets.keys() - servers:
            del self._buckets[name]
