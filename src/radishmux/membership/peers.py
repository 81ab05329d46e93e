"""Failure detector based on the reports that instances exchange.

A peer is heard while its latest report is recent enough. Reports arrive from
the peer itself or from a hub of its region (see `membership.hubs`). The class
performs no I/O; times are seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from radishmux.membership.record import InstanceRecord

# Callers are not sent to a peer without a report for this long: two report
# periods and a round trip between regions. The limit is longer where reports
# arrive through a hub; see `membership.hubs`.
SILENT_AFTER_S = 1.3
# Time within which the first report is due, counted from when the peer became
# known or monitored.
JOIN_GRACE_S = 2.0


class _Peer:
    __slots__ = (
        "dead_at",
        "grace_started_at",
        "heard_at",
        "incarnation",
        "is_cut_off",
        "is_leaving",
    )

    def __init__(self, now: float) -> None:
        self.grace_started_at = now
        self.heard_at = -math.inf
        self.dead_at = -math.inf
        self.incarnation = 0
        self.is_cut_off = False
        self.is_leaving = False

    @property
    def is_dead(self) -> bool:
        """Whether the peer was found dead after its latest report."""
        return self.dead_at > self.heard_at


class MemberStatus:
    """State of a leaving, silent or cut-off member, as reported by a hub.

    Attributes:
        instance: Name of the member.
        incarnation: Incarnation of the member's process.
        is_leaving: Whether the member is shutting down, so that callers
            should use another instance.
        is_silent: Whether the hub has received no recent report from the
            member.
        is_cut_off: Whether the member reaches no backend server.
    """

    __slots__ = (
        "incarnation",
        "instance",
        "is_cut_off",
        "is_leaving",
        "is_silent",
    )

    def __init__(
        self,
        instance: str,
        incarnation: int,
        is_leaving: bool,
        is_silent: bool,
        is_cut_off: bool = False,
    ) -> None:
        self.is_cut_off = is_cut_off
        self.instance = instance
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.is_silent = is_silent


class Peers:
    """Registered peers and the time of the latest report from each.

    Args:
        own: Record of this instance.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._records: dict[str, InstanceRecord] = {}
        self._peers: dict[str, _Peer] = {}
        # None until the first call of `set_monitored`: all peers.
        self._monitored: frozenset[str] | None = None
        self._silent_after_s = SILENT_AFTER_S

    @property
    def records(self) -> dict[str, InstanceRecord]:
        """Records of the known peers by name."""
        return self._records

    def set_records(
        self, records: Iterable[InstanceRecord], now: float
    ) -> None:
        """Sets the registered instances; this instance's record is ignored.

        A peer whose record has lapsed is kept while it is heard, since it may
        be cut off from the store only.
        """
        own = self._own.instance
        kept = {
            name: record
            for name, record in self._records.items()
            if self.is_heard(name, now)
        }
        registered = {
            record.instance: record
            for record in records
            if record.instance != own and not self._is_outdated(record, kept)
        }
        self._records = kept | registered
        for name in self._peers.keys() - self._records.keys():
            del self._peers[name]
        for name, record in self._records.items():
            peer = self._peers.setdefault(name, _Peer(now))
            if record.incarnation > peer.incarnation:
                # Reports of the previous process do not count for a new one.
                self._peers[name] = peer = _Peer(now)
                peer.incarnation = record.incarnation

    @staticmethod
    def _is_outdated(
        record: InstanceRecord, known: dict[str, InstanceRecord]
    ) -> bool:
        """Whether `known` has a newer incarnation of the instance."""
        newer = known.get(record.instance)
        return newer is not None and newer.incarnation > record.incarnation

    def knows(self, name: str) -> bool:
        """Whether `name` is this instance or a peer with a known record."""
        return name in self._records or name == self._own.instance

    def heard_records(self, now: float) -> list[InstanceRecord]:
        """Returns the records of peers that are heard and not leaving."""
        return [
            record
            for name, record in self._records.items()
            if self.is_heard(name, now) and not self.is_leaving(name)
        ]

    def apply_introduction(self, record: InstanceRecord, now: float) -> None:
        """Adds or updates a peer from a record received in a report.

        The store may be unreachable for the peer, so that its record there
        has lapsed. It stays a peer as long as it is heard, because it still
        serves requests and grants tokens.
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
        """Sets the peers whose reports arrive here, directly or through a hub.

        Unmonitored peers count as alive while they are registered. A peer
        that was already silent when it stopped being monitored counts as dead
        until it is heard again.

        Args:
            names: Names of the monitored peers.
            silent_after_s: Seconds without a report after which a monitored
                peer counts as silent.
            now: Monotonic seconds.
        """
        before = self._monitored
        self._silent_after_s = silent_after_s
        if names == before:
            return
        for name, peer in self._peers.items():
            was_monitored = before is None or name in before
            was_heard = peer.heard_at > -math.inf
            if name in names:
                peer.grace_started_at = (
                    peer.grace_started_at if was_monitored else now
                )
            elif was_monitored and was_heard and not self.is_heard(name, now):
                peer.dead_at = now
        self._monitored = names

    def record_report(
        self,
        name: str,
        incarnation: int,
        is_leaving: bool,
        heard_at: float,
        is_cut_off: bool = False,
    ) -> bool:
        """Records a report from a peer, or a hub's report about the peer.

        Args:
            name: Name of the peer.
            incarnation: Incarnation of the process that sent the report.
            is_leaving: Whether the peer is shutting down, so that callers
                should use another instance.
            heard_at: Time of the report, monotonic seconds.
            is_cut_off: Whether the peer reaches no backend server.

        Returns:
            False if the peer is unknown or a newer incarnation is known.
        """
        peer = self._peers.get(name)
        if peer is None or incarnation < peer.incarnation:
            return False
        if heard_at > peer.heard_at or incarnation > peer.incarnation:
            peer.heard_at = heard_at
            peer.incarnation = incarnation
            peer.is_cut_off = is_cut_off
            peer.is_leaving = is_leaving
        return True

    def record_refused_connection(self, name: str, now: float) -> None:
        """Marks a peer as dead: a refused connection means no process.

        The mark lasts until a report with a later time arrives.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.dead_at = max(now, peer.heard_at + 1e-6)

    def unavailable_members(
        self, region: str, now: float
    ) -> list[MemberStatus]:
        """Returns the leaving, silent and cut-off peers of a region."""
        members = [
            MemberStatus(
                name,
                peer.incarnation,
                peer.is_leaving,
                not self.is_heard(name, now),
                peer.is_cut_off,
            )
            for name, peer in self._peers.items()
            if self._records[name].region == region
        ]
        return [
            member
            for member in members
            if member.is_leaving or member.is_silent or member.is_cut_off
        ]

    def apply_hub_report(
        self, region: str, exceptions: Iterable[MemberStatus], now: float
    ) -> None:
        """Records a hub's report that it hears the peers of its region.

        Args:
            region: Region of the hub.
            exceptions: Members that are leaving, silent or cut off. All other
                peers of the region count as heard.
            now: Monotonic seconds.
        """
        silent, cut_off = set(), set()
        for member in exceptions:
            if member.is_cut_off:
                cut_off.add(member.instance)
            if member.is_silent:
                silent.add(member.instance)
            else:
                self.record_report(
                    member.instance,
                    member.incarnation,
                    member.is_leaving,
                    now,
                    member.is_cut_off,
                )
        for name, peer in self._peers.items():
            if name not in silent and self._records[name].region == region:
                peer.heard_at = max(peer.heard_at, now)
                peer.is_cut_off = name in cut_off

    def is_heard(self, name: str, now: float) -> bool:
        """Whether the latest report of a peer is recent and it is not dead."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and not peer.is_dead
            and now - peer.heard_at < self._silent_after_s
        )

    def is_dead(self, name: str) -> bool:
        """Whether a peer was found dead after its latest report."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_dead

    def is_leaving(self, name: str) -> bool:
        """Whether the latest report of a peer says that it is leaving."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_leaving

    def is_cut_off(self, name: str) -> bool:
        """Whether the latest report of a peer says it reaches no server."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_cut_off

    def is_reachable(self, name: str, now: float) -> bool:
        """Whether a peer is heard or joining; it may also be leaving."""
        peer = self._peers.get(name)
        if peer is None or peer.is_dead:
            return False
        return self.is_joining(name, now) or self.is_heard(name, now)

    def is_joining(self, name: str, now: float) -> bool:
        """Whether a peer is within its join grace and has not reported yet."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and peer.heard_at == -math.inf
            and now - peer.grace_started_at < JOIN_GRACE_S
        )

    def heard_age_s(self, name: str, now: float) -> float:
        """Returns the age of a peer's latest report; inf if there is none."""
        peer = self._peers.get(name)
        return math.inf if peer is None else now - peer.heard_at

    def heard_count(self, now: float) -> int:
        """Returns the number of peers that are heard."""
        return sum(self.is_heard(name, now) for name in self._records)

    def usable(self, now: float) -> list[InstanceRecord]:
        """Returns the records of the peers that callers may use."""
        return [
            record
            for name, record in self._records.items()
            if self.is_usable(name, now)
        ]

    def is_usable(self, name: str, now: float) -> bool:
        """Whether callers may use a peer: alive and not leaving.

        A peer that is not monitored counts as alive.
        """
        peer = self._peers.get(name)
        if peer is None or peer.is_leaving or peer.is_dead:
            return False
        if self._monitored is not None and name not in self._monitored:
            return True
        is_joining = self.is_joining(name, now)
        return is_joining or now - peer.heard_at < self._silent_after_s
