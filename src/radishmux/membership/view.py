"""The live instances, and whether any instance can reach the store.

The view performs no I/O and reads no clock: all methods that depend on time
take `now`, seconds of the instance's monotonic clock. The rules are in
docs/design.md, sections 4.1 and 4.5.

A peer is heard while it acknowledges heartbeats in time. A process is proven
dead when its port refused a connection or a newer process of the same instance
has sent a message; silence alone proves nothing.
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

# Age up to which an acknowledged heartbeat counts for `hears`.
HEARD_WITHIN_S = 1.0
# Age up to which the configuration counts as fresh.
FRESH_WITHIN_S = 4.0
# The store counts as down when no instance has had a response for this long.
# This is shorter than FRESH_WITHIN_S, so that at the start of an outage an
# instance that stops being fresh already knows of the outage.
STORE_OUT_AFTER_S = 3.0
# Age up to which an acknowledged heartbeat counts for the permit.
PERMIT_ACK_WITHIN_S = 1.5


class MembershipView:
    """One instance's view of the fleet.

    Args:
        own: This instance.
        incarnation: Incarnation of this process.
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
        """Incarnation of this process."""
        return self._incarnation

    @property
    def roster(self) -> tuple[RosterEntry, ...]:
        """Entries of the latest roster read."""
        return self._roster

    @property
    def store_response_at(self) -> float:
        """Lower bound of the latest store response to any instance."""
        return self._store.any_response_at

    # Queries.

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances and this instance, sorted by name.

        Leaving instances are included until they stop; see `is_leaving`.

        Args:
            region: If given, only instances of this region are returned.
        """
        instances = [self._own]
        for peer in self._peers:
            if peer.chart.state == "live" and peer.record is not None:
                instances.append(peer.record)
        return tuple(
            sorted(
                (i for i in instances if region is None or i.region == region),
                key=lambda i: i.instance,
            )
        )

    def peers(self) -> tuple[Instance, ...]:
        """Returns all other instances with a known address."""
        records = (peer.record for peer in self._peers)
        return tuple(record for record in records if record is not None)

    def state_of(self, instance: str) -> str:
        """Returns a peer's state, as defined in statecharts/instance.json."""
        return self._peers.state_of(instance)

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation of an instance, or 0."""
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
        """Returns the age of the configuration in force, in seconds.

        The age counts from the latest store read that confirmed it.
        """
        return now - self._store.contact_at

    def is_fresh(self, now: float) -> bool:
        """Whether the configuration is recent enough to rely on.

        A key revoked longer than `FRESH_WITHIN_S` ago is then known here.
        """
        return self.contact_age_s(now) < FRESH_WITHIN_S

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store, as far as is known.

        False if any peer is silent without being proven dead. Absence from
        the platform's list is not accepted as proof here, since the list may
        be cut off together with this instance.
        """
        if (
            now - self._store.any_response_at < STORE_OUT_AFTER_S
            or not self._roster
        ):
            return False
        return hears_everyone(self, now)

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat sent in the last second."""
        peer = self._peers.get(instance)
        if peer is None or peer.proven_dead:
            return False
        return now - peer.acknowledged_at <= HEARD_WITHIN_S

    def hears_both_ways(self, instance: str, for_s: float, now: float) -> bool:
        """Whether a peer has been heard for `for_s` and hears this instance."""
        peer = self._peers.get(instance)
        if peer is None or not self.hears(instance, now):
            return False
        is_heard_long = now - peer.heard_since >= for_s
        return is_heard_long and self._own.instance in peer.heard_by_peer

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether the given process of an instance is proven dead.

        The proof is a refused connection or a message of a newer process.
        """
        if instance == self._own.instance:
            return incarnation < self._incarnation
        peer = self._peers.get(instance)
        return peer is not None and incarnation <= peer.dead_incarnation

    def dead_processes(self) -> tuple[tuple[str, int], ...]:
        """Returns each peer that has a dead process.

        Returns:
            Pairs of the peer's name and its highest dead incarnation.
        """
        return self._peers.dead_processes()

    def proven_dead(self, instance: str) -> bool:
        """Whether the latest known process of an instance counts as dead.

        In addition to a proof, this accepts that the platform's list no
        longer contains the instance and that it has been silent for
        `UNLISTED_SILENCE_S`.
        """
        peer = self._peers.get(instance)
        if peer is None:
            return False
        return peer.proven_dead or self._peers.is_removed_and_silent(peer)

    def holds_permit(self, now: float) -> bool:
        """Whether this instance holds the permit.

        It does while a majority of the roster members of its region,
        including itself, has acknowledged a recent heartbeat.
        """
        members = self._region_members(self._own.region)
        votes = sum(
            name == self._own.instance or self._acknowledged(name, now)
            for name in members
        )
        return self._own.instance in members and 2 * votes > len(members)

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether other instances may take over the cells of `instance`.

        True if its process counts as dead, or if a majority of the members of
        its region has not heard it for the takeover delay. Members that this
        instance has not heard within the last second do not count towards the
        majority.
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
        """Returns the latest load report of a cell, or None."""
        return self._loads.get(cell)

    def config_versions(self) -> dict[str, int]:
        """Returns the configuration version of each live peer."""
        return {
            peer.name: peer.config_version
            for peer in self._peers
            if peer.chart.state == "live"
        }

    def roster_revision(self) -> int:
        """Returns the highest roster revision read here or by a live peer."""
        live = (p for p in self._peers if p.chart.state == "live")
        known = (peer.roster_revision for peer in live)
        return max(self._roster_revision, 0, *known)

    def report(self, now: float) -> Any:
        """Returns a new `Heartbeat` message with this instance's state."""
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
            store_heard_age_ms=age_ms(now - self._store.any_response_at),
        )

    # Events.

    def set_leaving(self) -> None:
        """Marks this instance as about to stop."""
        self._leaving = True

    def set_config_version(self, version: int) -> None:
        """Sets the version of the configuration in force here."""
        self._store.config_version = version
        self._store.adopt_peer_contact(self._peers)

    def set_own_loads(self, loads: Iterable[CellLoad], now: float) -> None:
        """Sets the loads of the cells that this instance dispatches to."""
        name = self._own.instance
        self._own_loads = tuple(
            msgspec.structs.replace(load, instance=name, measured_at=now)
            for load in loads
        )
        self._loads.replace_reports(name, self._own_loads)

    def set_roster(
        self, entries: tuple[RosterEntry, ...], revision: int, now: float
    ) -> None:
        """Applies a read of the roster; an outdated read is ignored."""
        if revision < self._roster_revision:
            return
        self._roster = entries
        self._roster_revision = revision
        self._peers.set_roster(entries, now)

    def set_instance_list(
        self, instances: Iterable[Instance], now: float
    ) -> None:
        """Applies a read of the platform's instance list."""
        self._peers.set_listed(instances, now)

    def record_store_contact(self, sent_at: float) -> None:
        """Records a store response that confirms the configuration in force.

        Args:
            sent_at: Time at which the read was sent, monotonic seconds.
        """
        self._store.record_confirmation(sent_at)

    def record_store_response(self, sent_at: float) -> None:
        """Records any response of the store to this instance.

        Args:
            sent_at: Time at which the request was sent, monotonic seconds.
        """
        self._store.record_response(sent_at)

    def apply_heartbeat(self, report: Any, now: float) -> None:
        """Applies a heartbeat that a peer sent."""
        self._apply_report(report, now, now)

    def apply_acknowledgement(
        self, report: Any, sent_at: float, now: float
    ) -> None:
        """Applies the peer's state from its acknowledgement of a heartbeat.

        Args:
            report: The peer's own `Heartbeat` message.
            sent_at: Time at which the acknowledged heartbeat was sent.
            now: Monotonic seconds.
        """
        peer = self._apply_report(report, sent_at, now)
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
            self._store.adopt_peer_contact(self._peers)
        if report.store_heard_age_ms >= 0:
            response_at = sent_at - report.store_heard_age_ms / 1000
            self._store.record_response_to_any(response_at)

    def record_refused_connection(
        self, instance: str, incarnation: int
    ) -> None:
        """Records that a peer's port refused a connection.

        Args:
            instance: Name of the peer.
            incarnation: Value of `incarnation_of` before the connection
                attempt, so that a process that has started since does not
                count as dead.
        """
        peer = self._peers.get(instance)
        if peer is None or incarnation <= 0:
            return
        peer.dead_incarnation = max(peer.dead_incarnation, incarnation)
        if peer.proven_dead and peer.chart.state != "dead":
            peer.chart.fire("proven")

    def tick(self, now: float) -> tuple[str, ...]:
        """Marks silent peers as suspect or dead.

        Call this in every heartbeat period.

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
        return (
            peer is not None
            and now - peer.acknowledged_at <= PERMIT_ACK_WITHIN_S
        )

    def _is_silent(self, peer: PeerState, now: float) -> bool:
        return self._peers.silence_s(peer, now) >= DEAD_AFTER_S

    def _finds_silent(self, member: str, silent: PeerState, now: float) -> bool:
        if member == self._own.instance:
            return self._is_silent(silent, now)
        peer = self._peers.get(member)
        if peer is None or not self.hears(member, now):
            return False
        return silent.name in peer.silent_for_peer

    def _apply_report(
        self, report: Any, measured_at: float, now: float
    ) -> PeerState | None:
        peer = self._peers.apply_report(report, now)
        if peer is not None and peer.sequence == report.sequence:
            self._loads.replace_reports(
                peer.name,
                [
                    from_message(load, peer.name, measured_at)
                    for load in report.loads or ()
                ],
            )
        return peer
