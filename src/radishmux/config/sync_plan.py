"""Decides when to read the store, whom to ask and when to be ready.

Pure: the methods take `now`, seconds of the monotonic clock.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping

import xxhash

# The design's bound after which an instance reads the store itself.
DIRECT_READ_AGE_S = 2.0
# Two reads a second keep the age of a watching instance's knowledge at
# half a second plus the store's latency.
READ_PERIOD_S = 0.5
# Reads a second of all instances together while nobody has contact, a tenth
# of the store's two thousand.
FLEET_READS_PER_S = 200.0


def watching_instance(names: Iterable[str]) -> str | None:
    """Returns which of a region's live instances watches the store."""
    return max(names, key=_watch_score, default=None)


def _watch_score(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"config-watch|{name}".encode()), name


class ReadAnswer(enum.Enum):
    """How a read of the store relates to the version in force.

    IN_FORCE: the same document, or one that was refused and directly follows
        it, so that nothing accepted is missing here.
    OTHER: a lower version, another document of the same version, or none.
    """

    IN_FORCE = "in_force"
    OTHER = "other"


class SyncPlan:
    """What one instance knows about versions elsewhere.

    Versions in `peers` are those that live peers report in heartbeats.
    """

    __slots__ = (
        "_asked",
        "_confirmed",
        "_peers_heard",
        "_ready",
        "_rejected",
        "_sent_at",
        "_unusable",
    )

    def __init__(self) -> None:
        self._sent_at = -math.inf
        self._unusable = False
        self._confirmed = False
        self._peers_heard = False
        self._ready = False
        self._rejected = 0
        self._asked = 0

    @property
    def ready(self) -> bool:
        """Whether this instance has once had the highest version."""
        return self._ready

    def should_read(
        self, now: float, watches: bool, contact_age_s: float, fleet_size: int
    ) -> bool:
        """Whether to read the store now.

        Args:
            now: Monotonic seconds.
            watches: Whether this instance watches for its region.
            contact_age_s: Age of the knowledge of this instance.
            fleet_size: Live instances in this instance's view.
        """
        period_s = READ_PERIOD_S
        if not watches:
            if self._ready and contact_age_s < DIRECT_READ_AGE_S:
                return False
            period_s = max(period_s, fleet_size / FLEET_READS_PER_S)
        return now - self._sent_at >= period_s

    def note_read_sent(self, now: float) -> None:
        """Notes that a read was sent."""
        self._sent_at = now

    def note_read_failed(self) -> None:
        """Notes that a read was not answered."""
        self._unusable = True

    def note_rejected(self, version: int) -> None:
        """Notes a version that cannot be put in force."""
        self._rejected = max(self._rejected, version)

    def confirms(
        self, answer: ReadAnswer, own_version: int, peers: Mapping[str, int]
    ) -> bool:
        """Takes a read's answer after the document was applied.

        Args:
            answer: How the store's document relates to the one in force.
            own_version: Version in force here now.
            peers: Versions of the live peers.

        Returns:
            Whether the answer shows that the version in force is the highest
            accepted one. An answer older than what this instance or a peer
            has is stale and shows nothing.
        """
        self._unusable = answer is ReadAnswer.OTHER
        if own_version < max(peers.values(), default=0):
            return False
        self._confirmed = answer is ReadAnswer.IN_FORCE
        self._update_ready()
        return self._confirmed

    def peer_to_ask(
        self, own_version: int, peers: Mapping[str, int]
    ) -> str | None:
        """Returns a peer with the highest version, if that is a higher one.

        Successive calls name different peers, so that one that does not
        answer delays the next attempt only.
        """
        highest = max(peers.values(), default=0)
        if highest <= own_version or highest <= self._rejected:
            return None
        names = sorted(name for name in peers if peers[name] == highest)
        self._asked += 1
        return names[self._asked % len(names)]

    def note_round(
        self, own_version: int, peers: Mapping[str, int], ready_peers: int
    ) -> None:
        """Takes the replies of all peers, asked before being ready.

        A peer that has a higher version than a stale read of the store must
        be heard before the first request, so that a restart does not go back
        to an old version.

        Args:
            own_version: Version in force after the replies were applied.
            peers: Versions of the live peers.
            ready_peers: How many replied that they are ready and have no
                higher version. Instances that all start anew do not make
                each other ready.
        """
        if own_version < max(peers.values(), default=0):
            return
        self._peers_heard = True
        if self._unusable and ready_peers > 0:
            self._ready = True
        self._update_ready()

    def _update_ready(self) -> None:
        if self._confirmed and self._peers_heard:
            self._ready = True
