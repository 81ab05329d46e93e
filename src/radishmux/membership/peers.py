"""Which instances live, from what they say to each other; pure."""

from __future__ import annotations

import math
from collections.abc import Iterable

from radishmux.membership.record import InstanceRecord

# A peer that has not been heard for this long is not named to callers: two
# reports and a round trip between regions.
SILENT_AFTER_S = 1.3
# A peer that was registered lately has this long to be heard.
JOIN_GRACE_S = 2.0


class _Peer:
    __slots__ = ("heard_at", "incarnation", "is_gone", "is_leaving", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self.heard_at = -math.inf
        self.incarnation = 0
        self.is_leaving = False
        self.is_gone = False


class Peers:
    """The other instances as this one knows them.

    Args:
        own: This instance's record.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._records: dict[str, InstanceRecord] = {}
        self._peers: dict[str, _Peer] = {}

    @property
    def records(self) -> dict[str, InstanceRecord]:
        """Records of the registered peers."""
        return self._records

    def set_records(
        self, records: Iterable[InstanceRecord], now: float
    ) -> None:
        """Sets the registered instances; the own record is ignored.

        A peer whose record has lapsed is kept while it is heard: it may be
        cut off from the store alone.
        """
        own = self._own.instance
        kept = {
            name: record
            for name, record in self._records.items()
            if self.is_heard(name, now)
        }
        registered = {
            one.instance: one for one in records if one.instance != own
        }
        self._records = kept | registered
        for name in self._peers.keys() - self._records.keys():
            del self._peers[name]
        for name, record in self._records.items():
            peer = self._peers.setdefault(name, _Peer(now))
            if record.incarnation > peer.incarnation:
                # A new process; what the old one said does not count.
                self._peers[name] = peer = _Peer(now)
                peer.incarnation = record.incarnation

    def heard(
        self, name: str, incarnation: int, is_leaving: bool, now: float
    ) -> bool:
        """Takes a report of a peer.

        Returns:
            False: the peer is unknown or its process is an old one.
        """
        peer = self._peers.get(name)
        if peer is None or incarnation < peer.incarnation:
            return False
        peer.heard_at = now
        peer.incarnation = incarnation
        peer.is_leaving = is_leaving
        peer.is_gone = False
        return True

    def refused(self, name: str) -> None:
        """Takes a refused connection: the peer's process is gone."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_gone = True

    def is_heard(self, name: str, now: float) -> bool:
        """Whether a peer has been heard lately."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and not peer.is_gone
            and now - peer.heard_at < SILENT_AFTER_S
        )

    def heard_count(self, now: float) -> int:
        """Returns how many peers have been heard lately."""
        return sum(self.is_heard(name, now) for name in self._records)

    def is_isolated(self, now: float) -> bool:
        """Whether there are peers and none of them has been heard lately."""
        return bool(self._records) and not any(
            self.is_heard(name, now) for name in self._records
        )

    def usable(self, now: float) -> list[InstanceRecord]:
        """Returns the records of the peers that callers may use."""
        return [
            record
            for name, record in self._records.items()
            if self._is_usable(name, now)
        ]

    def _is_usable(self, name: str, now: float) -> bool:
        peer = self._peers[name]
        if peer.is_leaving or peer.is_gone:
            return False
        joined = peer.heard_at == -math.inf and now - peer.since < JOIN_GRACE_S
        return joined or now - peer.heard_at < SILENT_AFTER_S
