"""The peers of an instance, with the time each was last heard."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from radishmux.instances.interface import Instance
from radishmux.membership._peer_state import PeerState
from radishmux.membership.roster_document import RosterEntry

SUSPECT_AFTER_S = 1.0
DEAD_AFTER_S = 2.0
# The platform's list lags behind, so a peer missing from it counts as dead
# only after it has also been silent for the length of a roster lease.
UNLISTED_SILENCE_S = 10.0
# A longer time between two ticks means that this process was paused.
PAUSE_S = 1.0


class PeerTable:
    """Peers by name; the failure detector that drives their state charts.

    Args:
        own: Name of this instance, which is excluded from the peers.
        now: Monotonic seconds.
    """

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        self._peers: dict[str, PeerState] = {}
        self._silence_start = now
        self._ticked_at = now

    def __iter__(self) -> Iterator[PeerState]:
        return iter(self._peers.values())

    def get(self, name: str) -> PeerState | None:
        """Returns the named peer, or None if it is unknown."""
        return self._peers.get(name)

    def state_of(self, name: str) -> str:
        """Returns the state of a peer; an unknown peer counts as joining."""
        peer = self._peers.get(name)
        return peer.chart.state if peer is not None else "joining"

    def dead_processes(self) -> tuple[tuple[str, int], ...]:
        """Returns each peer that has a dead process.

        Returns:
            Pairs of the peer's name and its highest dead incarnation.
        """
        return tuple(
            (peer.name, peer.dead_incarnation)
            for peer in self
            if peer.dead_incarnation > 0
        )

    def set_roster(self, entries: Iterable[RosterEntry], now: float) -> None:
        """Replaces the roster entries of all peers."""
        for peer in self:
            peer.entry = None
        for entry in entries:
            if entry.instance == self._own:
                continue
            peer = self._get_or_create(entry.instance, now)
            peer.entry = entry
            if entry.incarnation > peer.incarnation:
                peer.restart(entry.incarnation, now)
        self._remove_unknown()

    def set_listed(self, instances: Iterable[Instance], now: float) -> None:
        """Replaces the records of all peers from the platform's list."""
        listed = {record.instance: record for record in instances}
        listed.pop(self._own, None)
        for name, record in listed.items():
            peer = self._get_or_create(name, now)
            peer.listed = record
            peer.was_listed = True
        for peer in self:
            if peer.name not in listed:
                peer.listed = None
        self._remove_unknown()

    def apply_report(self, report: Any, now: float) -> PeerState | None:
        """Applies a report (a `Heartbeat` message) from a peer.

        An acknowledgement may arrive after a heartbeat that was sent later.
        Such a reordered report updates only the time the peer was heard.

        Returns:
            The peer, or None if the sending process is known to be dead.
        """
        peer = self._get_or_create(report.instance, now)
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
        """Marks silent peers as suspect or dead.

        Returns:
            Names of the peers whose state changed.
        """
        if now - self._ticked_at > PAUSE_S:
            self._silence_start = now
        self._ticked_at = now
        changed = []
        for peer in self:
            before = peer.chart.state
            silence_s = self.silence_s(peer, now)
            if before == "live" and silence_s > SUSPECT_AFTER_S:
                peer.chart.fire("missed")
            if silence_s > DEAD_AFTER_S and peer.chart.state != "dead":
                peer.chart.fire("silent")
            if peer.chart.state != before:
                changed.append(peer.name)
        return tuple(changed)

    def silence_s(self, peer: PeerState, now: float) -> float:
        """Returns the seconds since a peer was heard.

        After a pause of this process, the silence of all peers starts anew.
        """
        heard_at = max(peer.heard_at, peer.acknowledged_at)
        return now - max(heard_at, self._silence_start)

    def is_removed_and_silent(self, peer: PeerState) -> bool:
        """Whether a peer has left the platform's list and is silent.

        It must have been silent for `UNLISTED_SILENCE_S`.
        """
        is_removed = peer.was_listed and peer.listed is None
        silence_s = self.silence_s(peer, self._ticked_at)
        return is_removed and silence_s > UNLISTED_SILENCE_S

    def _get_or_create(self, name: str, now: float) -> PeerState:
        peer = self._peers.get(name)
        if peer is None:
            peer = PeerState(name, now)
            self._peers[name] = peer
        return peer

    def _remove_unknown(self) -> None:
        for name, peer in list(self._peers.items()):
            is_unknown = peer.listed is None and peer.entry is None
            if is_unknown and peer.chart.state == "dead":
                del self._peers[name]
