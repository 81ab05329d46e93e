"""The peers of an instance and when each was last heard."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from radishmux.instances.interface import Instance
from radishmux.membership._peer_state import PeerState
from radishmux.membership.roster_document import RosterEntry

SUSPECT_AFTER_S = 1.0
DEAD_AFTER_S = 2.0
# The platform's list lags, so that a missing name proves a death only after
# the peer has also been silent for the time of a roster lease.
UNLISTED_SILENCE_S = 10.0
# A tick that comes later than this shows that this process was paused.
PAUSE_S = 1.0


class PeerTable:
    """Peers by name, with the state chart of each.

    Args:
        own: Name of this instance, which is never a peer.
        now: Monotonic seconds.
    """

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        self._peers: dict[str, PeerState] = {}
        self._silence_floor = now
        self._ticked_at = now

    def __iter__(self) -> Iterator[PeerState]:
        return iter(self._peers.values())

    def get(self, name: str) -> PeerState | None:
        """Returns a peer, or None."""
        return self._peers.get(name)

    def state_of(self, name: str) -> str:
        """Returns the state of a peer; an unknown one is joining."""
        peer = self._peers.get(name)
        return peer.chart.state if peer is not None else "joining"

    def dead_processes(self) -> tuple[tuple[str, int], ...]:
        """Returns the highest incarnation of each peer that is gone."""
        return tuple(
            (peer.name, peer.dead_incarnation)
            for peer in self
            if peer.dead_incarnation > 0
        )

    def set_roster(self, entries: Iterable[RosterEntry], now: float) -> None:
        """Takes the entries of a roster read."""
        for peer in self:
            peer.entry = None
        for entry in entries:
            if entry.instance == self._own:
                continue
            peer = self._obtain(entry.instance, now)
            peer.entry = entry
            if entry.incarnation > peer.incarnation:
                peer.restart(entry.incarnation, now)
        self._forget_unknown()

    def set_listed(self, instances: Iterable[Instance], now: float) -> None:
        """Takes a read of the platform's list."""
        listed = {record.instance: record for record in instances}
        listed.pop(self._own, None)
        for name, record in listed.items():
            peer = self._obtain(name, now)
            peer.listed = record
            peer.was_listed = True
        for peer in self:
            if peer.name not in listed:
                peer.listed = None
        self._forget_unknown()

    def take_report(self, report: Any, now: float) -> PeerState | None:
        """Notes a message of a peer.

        Returns:
            The peer, or None when the report comes from an older process
            than known. An acknowledgement may arrive after a heartbeat that
            was sent later; it then changes nothing else about the peer.
        """
        peer = self._obtain(report.instance, now)
        if report.incarnation > peer.incarnation:
            peer.restart(report.incarnation, now)
        if report.incarnation <= peer.dead_incarnation:
            return None
        peer.heard_at = now
        if report.sequence < peer.sequence:
            return peer
        peer.sequence = report.sequence
        peer.leaving = bool(report.leaving)
        peer.config_version = report.config_version
        peer.roster_revision = report.roster_revision or 0
        return peer

    def tick(self, now: float) -> tuple[str, ...]:
        """Moves silent peers on and returns those whose state changed."""
        if now - self._ticked_at > PAUSE_S:
            self._silence_floor = now
        self._ticked_at = now
        changed = []
        for peer in self:
            before = peer.chart.state
            silence = self.silence_s(peer, now)
            if before == "live" and silence > SUSPECT_AFTER_S:
                peer.chart.fire("missed")
            if silence > DEAD_AFTER_S and peer.chart.state != "dead":
                peer.chart.fire("silent")
            if peer.chart.state != before:
                changed.append(peer.name)
        return tuple(changed)

    def silence_s(self, peer: PeerState, now: float) -> float:
        """Seconds since a peer was heard, a pause of our own left out."""
        heard_at = max(peer.heard_at, peer.acknowledged_at)
        return now - max(heard_at, self._silence_floor)

    def is_unlisted(self, peer: PeerState) -> bool:
        """Whether the platform dropped a peer that has long been silent."""
        missing = peer.was_listed and peer.listed is None
        silence = self.silence_s(peer, self._ticked_at)
        return missing and silence > UNLISTED_SILENCE_S

    def _obtain(self, name: str, now: float) -> PeerState:
        peer = self._peers.get(name)
        if peer is None:
            peer = PeerState(name, now)
            self._peers[name] = peer
        return peer

    def _forget_unknown(self) -> None:
        for name, peer in list(self._peers.items()):
            gone = peer.listed is None and peer.entry is None
            if gone and peer.chart.state == "dead":
                del self._peers[name]
