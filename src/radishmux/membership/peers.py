"""Which instances live, from what they say to each other; pure."""

from __future__ import annotations

import math
from collections.abc import Iterable

from radishmux.membership.record import InstanceRecord

# A peer that has not been heard for this long is not named to callers: two
# reports and a round trip between regions. Longer where reports come through
# a hub; see `membership.hubs`.
SILENT_AFTER_S = 1.3
# A peer that was registered lately has this long to be heard.
JOIN_GRACE_S = 2.0


class _Peer:
    __slots__ = (
        "gone_at",
        "heard_at",
        "incarnation",
        "is_leaving",
        "since",
    )

    def __init__(self, now: float) -> None:
        self.since = now
        self.heard_at = -math.inf
        self.gone_at = -math.inf
        self.incarnation = 0
        self.is_leaving = False

    @property
    def is_dead(self) -> bool:
        """Whether it was found dead after it was last heard."""
        return self.gone_at > self.heard_at


class MemberStatus:
    """What a hub says about a member that is leaving or silent.

    Attributes:
        instance: Its name.
        incarnation: Its process.
        is_leaving: Whether callers should go elsewhere.
        is_silent: Whether the hub has not heard it lately.
    """

    __slots__ = ("incarnation", "instance", "is_leaving", "is_silent")

    def __init__(
        self,
        instance: str,
        incarnation: int,
        is_leaving: bool,
        is_silent: bool,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.is_silent = is_silent


class Peers:
    """The other instances as this one knows them.

    Args:
        own: This instance's record.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._records: dict[str, InstanceRecord] = {}
        self._peers: dict[str, _Peer] = {}
        # None: all of them.
        self._followed: frozenset[str] | None = None
        self._silent_after_s = SILENT_AFTER_S

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
            one.instance: one
            for one in records
            if one.instance != own and not self._is_replaced(one, kept)
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

    @staticmethod
    def _is_replaced(
        record: InstanceRecord, known: dict[str, InstanceRecord]
    ) -> bool:
        """Whether a record is of a process before the one that is heard."""
        newer = known.get(record.instance)
        return newer is not None and newer.incarnation > record.incarnation

    def knows(self, name: str) -> bool:
        """Whether the record of an instance is known; its own one is."""
        return name in self._records or name == self._own.instance

    def heard_records(self, now: float) -> list[InstanceRecord]:
        """Returns the records of peers that are heard and not leaving."""
        return [
            record
            for name, record in self._records.items()
            if self.is_heard(name, now) and not self.is_leaving(name)
        ]

    def apply_introduction(self, record: InstanceRecord, now: float) -> None:
        """Takes the record that a peer has told itself.

        The store may turn it away, so that its record there has lapsed. It is
        a peer as long as it is heard: it serves and gives out tokens.
        """
        known = self._records.get(record.instance)
        if record.instance == self._own.instance or (
            known is not None and known.incarnation >= record.incarnation
        ):
            return
        self._records[record.instance] = record
        peer = self._peers.setdefault(record.instance, _Peer(now))
        if record.incarnation > peer.incarnation:
            self._peers[record.instance] = peer = _Peer(now)
            peer.incarnation = record.incarnation

    def set_monitored(
        self, names: frozenset[str], silent_after_s: float, now: float
    ) -> None:
        """Sets the peers that reports come from, directly or through a hub.

        The others count as living while they are registered. One that fell
        silent before it was left out counts as dead until it is heard.

        Args:
            names: The peers.
            silent_after_s: Seconds without a report after which one of them
                is silent.
            now: Monotonic seconds.
        """
        before = self._followed
        self._silent_after_s = silent_after_s
        if names == before:
            return
        for name, peer in self._peers.items():
            was_followed = before is None or name in before
            was_heard = peer.heard_at > -math.inf
            if name in names:
                peer.since = peer.since if was_followed else now
            elif was_followed and was_heard and not self.is_heard(name, now):
                peer.gone_at = now
        self._followed = names

    def record_report(
        self, name: str, incarnation: int, is_leaving: bool, heard_at: float
    ) -> bool:
        """Takes a report of a peer, or what a hub says about it.

        Args:
            name: The peer.
            incarnation: Its process.
            is_leaving: Whether callers should go elsewhere.
            heard_at: Monotonic seconds when it said so.

        Returns:
            False: the peer is unknown or its process is an old one.
        """
        peer = self._peers.get(name)
        if peer is None or incarnation < peer.incarnation:
            return False
        if heard_at > peer.heard_at or incarnation > peer.incarnation:
            peer.heard_at = heard_at
            peer.incarnation = incarnation
            peer.is_leaving = is_leaving
        return True

    def record_refused_connection(self, name: str, now: float) -> None:
        """Takes a refused connection: the peer's process is gone."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.gone_at = max(now, peer.heard_at + 1e-6)

    def unavailable_members(
        self, region: str, now: float
    ) -> list[MemberStatus]:
        """Returns what is out of the ordinary with the peers of a region."""
        news = [
            MemberStatus(
                name,
                peer.incarnation,
                peer.is_leaving,
                not self.is_heard(name, now),
            )
            for name, peer in self._peers.items()
            if self._records[name].region == region
        ]
        return [one for one in news if one.is_leaving or one.is_silent]

    def apply_hub_report(
        self, region: str, news: Iterable[MemberStatus], now: float
    ) -> None:
        """Takes that a hub hears the peers of a region.

        Args:
            region: The region.
            news: Those that are an exception.
            now: Monotonic seconds.
        """
        silent = set()
        for one in news:
            if one.is_silent:
                silent.add(one.instance)
            else:
                self.record_report(
                    one.instance, one.incarnation, one.is_leaving, now
                )
        for name, peer in self._peers.items():
            if name not in silent and self._records[name].region == region:
                peer.heard_at = max(peer.heard_at, now)

    def is_heard(self, name: str, now: float) -> bool:
        """Whether a peer has been heard lately."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and not peer.is_dead
            and now - peer.heard_at < self._silent_after_s
        )

    def is_dead(self, name: str) -> bool:
        """Whether a peer's process was found dead after its latest report."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_dead

    def is_leaving(self, name: str) -> bool:
        """Whether a peer said in its latest report that it is leaving."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_leaving

    def is_reachable(self, name: str, now: float) -> bool:
        """Whether a peer may answer; it may be leaving."""
        peer = self._peers.get(name)
        if peer is None or peer.is_dead:
            return False
        return self.is_joining(name, now) or self.is_heard(name, now)

    def is_joining(self, name: str, now: float) -> bool:
        """Whether a peer was registered lately and has not been heard yet."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and peer.heard_at == -math.inf
            and now - peer.since < JOIN_GRACE_S
        )

    def heard_age_s(self, name: str, now: float) -> float:
        """Returns the seconds since a peer was heard; inf: never."""
        peer = self._peers.get(name)
        return math.inf if peer is None else now - peer.heard_at

    def heard_count(self, now: float) -> int:
        """Returns how many peers have been heard lately."""
        return sum(self.is_heard(name, now) for name in self._records)

    def usable(self, now: float) -> list[InstanceRecord]:
        """Returns the records of the peers that callers may use."""
        return [
            record
            for name, record in self._records.items()
            if self.is_usable(name, now)
        ]

    def is_usable(self, name: str, now: float) -> bool:
        """Whether a registered peer lives and is not leaving."""
        peer = self._peers.get(name)
        if peer is None or peer.is_leaving or peer.is_dead:
            return False
        if self._followed is not None and name not in self._followed:
            return True
        is_joining = self.is_joining(name, now)
        return is_joining or now - peer.heard_at < self._silent_after_s
