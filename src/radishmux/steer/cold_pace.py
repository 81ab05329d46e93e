"""Bounds the requests that all instances send to a cold server; pure.

A cold server bears a small rate and crashes above it. A few instances, chosen
by a hash of their names and the server's, divide that rate among them; the
others send it nothing while it is cold.
"""

from __future__ import annotations

import xxhash

from radishmux.steer.servers import Server

# Instances that may use one cold server.
FEEDERS = 2
# Part of the rate that they use together; their views of which instances live
# may differ, so that twice as many may believe to be chosen.
USED_SHARE = 0.6


class _Bucket:
    __slots__ = ("at", "tokens")

    def __init__(self, now: float) -> None:
        self.at = now
        self.tokens = 1.0


class ColdRateLimiter:
    """This instance's part of the rate of every cold server.

    Args:
        instance: Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._instances: frozenset[str] = frozenset({instance})
        self._feeding: dict[str, bool] = {}
        self._rates: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def set_instances(self, instances: frozenset[str]) -> None:
        """Sets the instances that live, this one included."""
        self._instances = instances | {self._instance}
        self._feeding.clear()

    def set_rates(self, rates: dict[str, float]) -> None:
        """Sets the rate of a cold server of each service, per second."""
        self._rates = rates

    def allows(self, server: Server, now: float) -> bool:
        """Whether a request may go to a cold server now."""
        rate = self._rates.get(server.entry.service, 0.0)
        if rate <= 0:
            return True
        return self._feeds(server.name) and (
            self._bucket(server, rate, now).tokens >= 1.0
        )

    def try_acquire(self, server: Server, now: float) -> bool:
        """Takes the right to one request, if there is one."""
        if not self.allows(server, now):
            return False
        if self._rates.get(server.entry.service, 0.0) > 0:
            self._buckets[server.name].tokens -= 1.0
        return True

    def _bucket(self, server: Server, rate: float, now: float) -> _Bucket:
        bucket = self._buckets.get(server.name)
        if bucket is None:
            bucket = self._buckets[server.name] = _Bucket(now)
        part = USED_SHARE * rate / FEEDERS
        gained = (now - bucket.at) * part
        bucket.tokens = min(1.0, bucket.tokens + gained)
        bucket.at = now
        return bucket

    def _feeds(self, server: str) -> bool:
        found = self._feeding.get(server)
        if found is None:
            found = self._feeding[server] = self._is_ranked_first(server)
        return found

    def _is_ranked_first(self, server: str) -> bool:
        ranked = sorted(
            self._instances,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{name}\0{server}".encode()
            ),
            reverse=True,
        )
        return self._instance in ranked[:FEEDERS]
