"""Which instances are live, and whether anyone can reach the store.

Pure: all methods that depend on time take `now`, seconds of the instance's
monotonic clock. The rules are in docs/design.md, sections 4.1 and 4.5.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from radishmux.instances.interface import Instance, InstanceState
from radishmux.membership._peer_state import PeerState
from radishmux.membership._peer_table import DEAD_AFTER_S, PeerTable
from radishmux.membership._store_contact import StoreContact, age_ms
from radishmux.membership.cell_loads import (
    CellLoad,
    CellLoads,
    from_message,
    to_message,
)
from radishmux.membership.outage import hears_everyone
from radishmux.membership.roster_document import RosterEntry
from radishmux.peer import messages

HEARD_WITHIN_S = 1.0
FRESH_WITHIN_S = 4.0
# The store counts as out when nobody has had a response for this long. It is
# shorter than FRESH_WITHIN_S, so that the start of an outage leaves no time
# in which an instance is neither fresh nor knows of the outage.
STORE_OUT_AFTER_S = 3.0
PERMIT_S = 1.5


class MembershipView:
    """One instance's view of the others.

    Args:
        own: This instance.
        incarnation: Number of this process's life.
        now: Monotonic seconds.
    """

    def __init__(self, own: Instance, incarnation: int, now: float) -> None:
        self._own = own
        self._incarnation = incarnation
        self._peers = PeerTable(own.instance, now)
        self._roster: tuple[RosterEntry, ...] = ()
        self._roster_revision = 0
        self._loads = CellLoads()
        self._own_loads: tuple[CellLoad, ...] = ()
        self._store = StoreContact()
        self._sequence = 0
        self._leaving = False

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own

    @property
    def incarnation(self) -> int:
        """Number of this process's life."""
        return self._incarnation

    @property
    def roster(self) -> tuple[RosterEntry, ...]:
        """Entries of the latest roster read."""
        return self._roster

    @property
    def store_heard_at(self) -> float:
        """Lower bound of the latest store response to any instance."""
        return self._store.heard_at

    # Queries.

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances with this one, sorted by name.

        Leaving instances are included until they stop; see `is_leaving`.
        """
        found = [self._own]
        for peer in self._peers:
            if peer.chart.state == "live" and peer.record is not None:
                found.append(peer.record)
        return tuple(
            sorted(
                (i for i in found if region is None or i.region == region),
                key=lambda i: i.instance,
            )
        )

    def peers(self) -> tuple[Instance, ...]:
        """Returns all other instances with a known address."""
        records = (peer.record for peer in self._peers)
        return tuple(record for record in records if record is not None)

    def state_of(self, instance: str) -> str:
        """Returns the state of a peer in statecharts/instance.json."""
        return self._peers.state_of(instance)

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation, or 0."""
        if instance == self._own.instance:
            return self._incarnation
        peer = self._peers.get(instance)
        return peer.incarnation if peer is not None else 0

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance is about to stop."""
        if instance == self._own.instance:
            return self._leaving
        peer = self._peers.get(instance)
        if peer is None:
            return False
        listed = peer.listed
        return peer.leaving or (
            listed is not None and listed.state is InstanceState.LEAVING
        )

    def contact_age_s(self, now: float) -> float:
        """Seconds since the store read behind the configuration in force."""
        return now - self._store.contact_at

    def is_fresh(self, now: float) -> bool:
        """Whether a revoked key would be known here by now."""
        return self.contact_age_s(now) < FRESH_WITHIN_S

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store.

        False as soon as one peer is silent without its process being known to
        be gone. The platform's list is no proof here, since it may be cut off
        together with this instance.
        """
        if now - self._store.heard_at < STORE_OUT_AFTER_S or not self._roster:
            return False
        return hears_everyone(self, now)

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat of the last second."""
        peer = self._peers.get(instance)
        if peer is None or peer.proven_dead:
            return False
        return now - peer.acknowledged_at <= HEARD_WITHIN_S

    def hears_both_ways(self, instance: str, for_s: float, now: float) -> bool:
        """Whether a peer is heard, has been for a time, and hears us."""
        peer = self._peers.get(instance)
        if peer is None or not self.hears(instance, now):
            return False
        heard_long = now - peer.heard_since >= for_s
        return heard_long and self._own.instance in peer.heard_by_peer

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether one process of an instance is gone for certain.

        True after a refused connection or a message of a newer process.
        """
        if instance == self._own.instance:
            return incarnation < self._incarnation
        peer = self._peers.get(instance)
        return peer is not None and incarnation <= peer.dead_incarnation

    def dead_processes(self) -> tuple[tuple[str, int], ...]:
        """Returns the highest incarnation of each peer that is gone."""
        return self._peers.dead_processes()

    def proven_dead(self, instance: str) -> bool:
        """Whether the latest known process of an instance is gone.

        Also true when the platform no longer names the instance and it has
        been silent for `UNLISTED_SILENCE_S`.
        """
        peer = self._peers.get(instance)
        if peer is None:
            return False
        return peer.proven_dead or self._peers.is_unlisted(peer)

    def holds_permit(self, now: float) -> bool:
        """Whether a majority of the region acknowledged a recent heartbeat."""
        members = self._region_members(self._own.region)
        votes = sum(
            name == self._own.instance or self._acknowledged(name, now)
            for name in members
        )
        return self._own.instance in members and 2 * votes > len(members)

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether others may take over the cells of `instance`.

        True when its process is known to be gone, or when a majority of its
        region, each heard within the last second, has not heard from it for
        the takeover delay.
        """
        peer = self._peers.get(instance)
        if peer is None:
            return False
        if self.proven_dead(instance):
            return True
        record = peer.record
        region = record.region if record is not None else self._own.region
        members = self._region_members(region)
        votes = sum(
            self._finds_silent(member, peer, now)
            for member in members
            if member != instance
        )
        return 2 * votes > len(members)

    def cell_load(self, cell: str) -> CellLoad | None:
        """Returns the latest report about a cell."""
        return self._loads.get(cell)

    def config_versions(self) -> dict[str, int]:
        """Returns the configuration version of each live peer."""
        return {
            peer.name: peer.config_version
            for peer in self._peers
            if peer.chart.state == "live"
        }

    def roster_revision(self) -> int:
        """Returns the highest roster revision that any live peer has read."""
        live = (p for p in self._peers if p.chart.state == "live")
        known = (peer.roster_revision for peer in live)
        return max(self._roster_revision, 0, *known)

    def report(self, now: float) -> Any:
        """Returns this instance's own state as a Heartbeat."""
        self._sequence += 1
        return messages.Heartbeat(
            instance=self._own.instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            suspects=[
                peer.name
                for peer in self._peers
                if peer.proven_dead or self._is_silent(peer, now)
            ],
            config_version=self._store.config_version,
            store_contact_age_ms=age_ms(now - self._store.contact_at),
            loads=[to_message(load) for load in self._own_loads],
            leaving=self._leaving,
            direct_store_contact=now - self._store.direct_at < FRESH_WITHIN_S,
            roster_revision=self._roster_revision,
            heard=[
                peer.name for peer in self._peers if self.hears(peer.name, now)
            ],
            store_heard_age_ms=age_ms(now - self._store.heard_at),
        )

    # Events.

    def set_leaving(self) -> None:
        """Marks this instance as about to stop."""
        self._leaving = True

    def set_config_version(self, version: int) -> None:
        """Sets the version of the configuration in force here."""
        self._store.config_version = version
        self._store.learn(self._peers)

    def set_own_loads(self, loads: Iterable[CellLoad], now: float) -> None:
        """Sets the loads of the cells that this instance dispatches to."""
        name = self._own.instance
        self._own_loads = tuple(
            msgspec.structs.replace(load, instance=name, measured_at=now)
            for load in loads
        )
        self._loads.take(name, self._own_loads)

    def set_roster(
        self, entries: tuple[RosterEntry, ...], revision: int, now: float
    ) -> None:
        """Takes a roster read; an older one than known is ignored."""
        if revision < self._roster_revision:
            return
        self._roster = entries
        self._roster_revision = revision
        self._peers.set_roster(entries, now)

    def set_instance_list(
        self, instances: Iterable[Instance], now: float
    ) -> None:
        """Takes a read of the platform's list."""
        self._peers.set_listed(instances, now)

    def record_store_contact(self, sent_at: float) -> None:
        """Notes a response of the store that confirms the configuration.

        Args:
            sent_at: When the read that was answered was sent.
        """
        self._store.note_confirmed(sent_at)

    def record_store_response(self, sent_at: float) -> None:
        """Notes any response of the store to this instance."""
        self._store.note_response(sent_at)

    def apply_heartbeat(self, report: Any, now: float) -> None:
        """Takes a heartbeat that a peer sent."""
        self._take_report(report, now, now)

    def apply_acknowledgement(
        self, report: Any, sent_at: float, now: float
    ) -> None:
        """Takes a peer's state from its acknowledgement.

        Args:
            report: The peer's own Heartbeat.
            sent_at: When the acknowledged heartbeat was sent.
            now: Monotonic seconds.
        """
        peer = self._take_report(report, sent_at, now)
        if peer is None:
            return
        if now - peer.acknowledged_at > HEARD_WITHIN_S:
            peer.heard_since = now
        peer.acknowledged_at = max(peer.acknowledged_at, sent_at)
        peer.heard_by_peer = frozenset(report.heard or ())
        peer.silent_for_peer = frozenset(report.suspects or ())
        if peer.chart.state != "live":
            peer.chart.fire("acknowledged")
        if report.store_contact_age_ms >= 0:
            contact_at = sent_at - report.store_contact_age_ms / 1000
            peer.contact_at = max(peer.contact_at, contact_at)
            self._store.learn(self._peers)
        if report.store_heard_age_ms >= 0:
            heard_at = sent_at - report.store_heard_age_ms / 1000
            self._store.note_heard(heard_at)

    def record_refused_connection(
        self, instance: str, incarnation: int
    ) -> None:
        """Notes that the port of one process refused a connection.

        Args:
            instance: The peer.
            incarnation: What `incarnation_of` returned before the attempt;
                a process that started since is not meant.
        """
        peer = self._peers.get(instance)
        if peer is None or incarnation <= 0:
            return
        peer.dead_incarnation = max(peer.dead_incarnation, incarnation)
        if peer.proven_dead and peer.chart.state != "dead":
            peer.chart.fire("proven")

    def tick(self, now: float) -> tuple[str, ...]:
        """Moves silent peers on; call every heartbeat period.

        Returns:
            Names of the peers whose state changed.
        """
        return self._peers.tick(now)

    # Helpers.

    def _region_members(self, region: str) -> set[str]:
        return {
            entry.instance
            for entry in self._roster
            if entry.region == region
            and not self.incarnation_dead(entry.instance, entry.incarnation)
        }

    def _acknowledged(self, name: str, now: float) -> bool:
        peer = self._peers.get(name)
        return peer is not None and now - peer.acknowledged_at <= PERMIT_S

    def _is_silent(self, peer: PeerState, now: float) -> bool:
        return self._peers.silence_s(peer, now) >= DEAD_AFTER_S

    def _finds_silent(self, member: str, silent: PeerState, now: float) -> bool:
        if member == self._own.instance:
            return self._is_silent(silent, now)
        peer = self._peers.get(member)
        if peer is None or not self.hears(member, now):
            return False
        return silent.name in peer.silent_for_peer

    def _take_report(
        self, report: Any, measured_at: float, now: float
    ) -> PeerState | None:
        peer = self._peers.take_report(report, now)
        if peer is not None and peer.sequence == report.sequence:
            self._loads.take(
                peer.name,
                [
                    from_message(load, peer.name, measured_at)
                    for load in report.loads or ()
                ],
            )
        return peer
