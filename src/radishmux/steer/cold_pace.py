"""Limits the rate at which all instances together send to a cold server.

A cold server can handle a small rate of requests and crashes above it. For each
server, a few instances are selected by rendezvous hashing and divide that rate
among them. The other instances send the server nothing while it is cold. The
module does no I/O; callers pass the time.
"""

from __future__ import annotations

import math

from radishmux.rendezvous import rank
from radishmux.steer.servers import Server

# Instances that may send to one cold server.
SENDERS_PER_SERVER = 2
# Fraction of the rate that these instances use together. Instances may disagree
# about which of them are live, and then up to twice as many send.
USED_RATE_SHARE = 0.6


class _TokenBucket:
    __slots__ = ("tokens", "updated_at")

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.tokens = 1.0


class ColdRateLimiter:
    """Token buckets for this instance's share of each cold server's rate.

    Args:
        instance: Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._instances: frozenset[str] = frozenset({instance})
        self._is_sender: dict[str, bool] = {}
        self._rates: dict[str, float] = {}
        self._buckets: dict[str, _TokenBucket] = {}

    def set_instances(self, instances: frozenset[str]) -> None:
        """Sets the live instances; this instance is always included."""
        self._instances = instances | {self._instance}
        self._is_sender.clear()

    def set_rates(self, rates: dict[str, float]) -> None:
        """Sets the requests per second to a cold server, by service.

        Cold servers of services without a rate are not limited.
        """
        self._rates = rates

    def rate_per_s(self, server: Server) -> float:
        """Returns this instance's requests per second to a cold server.

        It is inf without a limit, and 0 if other instances send to the server.
        """
        rate = self._rates.get(server.entry.service, 0.0)
        if rate <= 0:
            return math.inf
        if not self._may_send_to(server.name):
            return 0.0
        return USED_RATE_SHARE * rate / SENDERS_PER_SERVER

    def allows(self, server: Server, now: float) -> bool:
        """Returns whether a request may be sent to a cold server now."""
        rate = self._rates.get(server.entry.service, 0.0)
        if rate <= 0:
            return True
        return self._may_send_to(server.name) and (
            self._refilled_bucket(server, rate, now).tokens >= 1.0
        )

    def try_acquire(self, server: Server, now: float) -> bool:
        """Consumes a token for one request; returns False if none is left."""
        if not self.allows(server, now):
            return False
        if self._rates.get(server.entry.service, 0.0) > 0:
            self._buckets[server.name].tokens -= 1.0
        return True

    def _refilled_bucket(
        self, server: Server, rate: float, now: float
    ) -> _TokenBucket:
        bucket = self._buckets.get(server.name)
        if bucket is None:
            bucket = self._buckets[server.name] = _TokenBucket(now)
        rate_per_sender = USED_RATE_SHARE * rate / SENDERS_PER_SERVER
        gained = (now - bucket.updated_at) * rate_per_sender
        bucket.tokens = min(1.0, bucket.tokens + gained)
        bucket.updated_at = now
        return bucket

    def _may_send_to(self, server: str) -> bool:
        found = self._is_sender.get(server)
        if found is None:
            found = self._is_sender[server] = self._is_ranked_first(server)
        return found

    def _is_ranked_first(self, server: str) -> bool:
        ranked = rank(self._instances, server)
        return self._instance in ranked[:SENDERS_PER_SERVER]
