"""Decides when to read the store, which peer to poll and when to be ready.

This module does no I/O. `now` is in seconds of the monotonic clock.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping

import xxhash

# Age of its confirmed version after which an instance reads the store itself.
DIRECT_READ_AGE_S = 2.0
# Two reads per second keep the age of the watcher's confirmed version at half a
# second plus the store's latency.
READ_PERIOD_S = 0.5
# Reads per second of all instances together while none has contact with the
# store; a tenth of the store's capacity of 2,000 reads per second.
FLEET_READS_PER_S = 200.0


def elect_watcher(names: Iterable[str]) -> str | None:
    """Returns the name of the instance that watches the store for a region.

    Args:
        names: Live instances of the region.
    """
    return max(names, key=_watch_score, default=None)


def _watch_score(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"config-watch|{name}".encode()), name


class ReadAnswer(enum.Enum):
    """How the document read from the store relates to the version in force.

    IN_FORCE: The same document, or a refused one that directly follows it, so
        that this instance misses no accepted version.
    OTHER: A lower version, another document of the same version, or none.
    """

    IN_FORCE = "in_force"
    OTHER = "other"


class SyncPlan:
    """One instance's knowledge of the versions in the store and at its peers.

    `peers` maps live peers to the versions that they report in heartbeats.
    """

    __slots__ = (
        "_poll_count",
        "_confirmed",
        "_peers_polled",
        "_ready",
        "_rejected_version",
        "_last_read_at",
        "_store_unusable",
    )

    def __init__(self) -> None:
        self._last_read_at = -math.inf
        self._store_unusable = False
        self._confirmed = False
        self._peers_polled = False
        self._ready = False
        self._rejected_version = 0
        self._poll_count = 0

    @property
    def ready(self) -> bool:
        """Whether this instance has once had the highest version."""
        return self._ready

    def should_read(
        self,
        now: float,
        is_watcher: bool,
        contact_age_s: float,
        fleet_size: int,
    ) -> bool:
        """Whether to read the store now.

        Args:
            now: Monotonic seconds.
            is_watcher: Whether this instance watches the store for its region.
            contact_age_s: Age of the read that last confirmed the version in
                force here.
            fleet_size: Number of instances that this one considers live.
        """
        period_s = READ_PERIOD_S
        if not is_watcher:
            if self._ready and contact_age_s < DIRECT_READ_AGE_S:
                return False
            period_s = max(period_s, fleet_size / FLEET_READS_PER_S)
        return now - self._last_read_at >= period_s

    def record_read_sent(self, now: float) -> None:
        """Records the time at which a read was sent."""
        self._last_read_at = now

    def record_read_failure(self) -> None:
        """Records that a read failed or timed out."""
        self._store_unusable = True

    def record_rejected_version(self, version: int) -> None:
        """Records an invalid version, which is not requested again."""
        self._rejected_version = max(self._rejected_version, version)

    def record_read_answer(
        self, answer: ReadAnswer, own_version: int, peers: Mapping[str, int]
    ) -> bool:
        """Records the result of a read after its document was applied.

        Args:
            answer: How the store's document relates to the one in force.
            own_version: Version in force here now.
            peers: Versions of the live peers.

        Returns:
            Whether the read shows that the version in force is the highest
            accepted one. A document that is older than that of this instance
            or of a peer is stale and shows nothing.
        """
        self._store_unusable = answer is ReadAnswer.OTHER
        if own_version < max(peers.values(), default=0):
            return False
        self._confirmed = answer is ReadAnswer.IN_FORCE
        self._update_ready()
        return self._confirmed

    def next_peer_to_poll(
        self, own_version: int, peers: Mapping[str, int]
    ) -> str | None:
        """Returns a peer that has the highest version, if higher than our own.

        Successive calls rotate through these peers, so that a peer that does
        not respond delays only one attempt.
        """
        highest = max(peers.values(), default=0)
        if highest <= own_version or highest <= self._rejected_version:
            return None
        names = sorted(name for name in peers if peers[name] == highest)
        self._poll_count += 1
        return names[self._poll_count % len(names)]

    def record_poll_round(
        self, own_version: int, peers: Mapping[str, int], ready_peers: int
    ) -> None:
        """Records that an instance that is not ready has polled its peers.

        A read of the store may be stale. Peers that have a higher version must
        be polled before the first request is served, so that a restarted
        instance does not go back to an old version.

        Args:
            own_version: Version in force after the replies were applied.
            peers: Versions of the live peers.
            ready_peers: Number of peers that replied that they are ready and
                have no higher version. Instances that all start at the same
                time do not make each other ready.
        """
        if own_version < max(peers.values(), default=0):
            return
        self._peers_polled = True
        if self._store_unusable and ready_peers > 0:
            self._ready = True
        self._update_ready()

    def _update_ready(self) -> None:
        if self._confirmed and self._peers_polled:
            self._ready = True
