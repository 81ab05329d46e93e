"""This instance's lease on a weight in the roster; pure.

Every write of the roster is made from a document that was just read and is
accepted only if nobody wrote in between, so that the sum of the weights is
checked by one writer at a time. Everything that may have taken effect counts
against this instance: a lower weight from before its write is sent, a higher
one only after it was read back.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from radishmux.instances.interface import Instance
from radishmux.membership.roster_document import (
    TOTAL_WEIGHT,
    Roster,
    RosterEntry,
)
from radishmux.share.loans import CLOCK_MARGIN_S, MAX_LOAN_S

LEASE_S = 10.0
RENEW_S = 3.0
# Loans that a process gave end this long after its death at the latest.
LOANS_END_S = MAX_LOAN_S + 2 * CLOCK_MARGIN_S
# A reclaimer waits longer than the lease, so that a holder which continued
# through an outage has stopped: it stops on news of a store response later
# than `EVIDENCE_MARGIN_S` before its deadline.
LAPSE_S = LEASE_S + 5.0
EVIDENCE_MARGIN_S = 2.0
CONTACT_S = 10.0
# Responses further apart than this are no uninterrupted contact.
CONTACT_GAP_S = 1.5
# Members of the majority have been heard this long, so that they have passed
# on the news of the store's return and loans given before it have ended.
HEARD_FOR_S = 5.0
# An entry that was not renewed for this long is read every second, because
# reclaiming it needs uninterrupted contact.
WATCH_AFTER_S = RENEW_S + 1.5
# Instances take turns at reclaiming, so that they do not all write at once.
TURN_S = 0.5


class Members(Protocol):
    """What the lease needs of the membership view."""

    @property
    def store_heard_at(self) -> float:
        """Lower bound of the latest store response to any instance."""

    def live(self) -> tuple[Instance, ...]:
        """Returns the live instances with this one."""

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether one process of an instance is gone for certain."""

    def hears_both_ways(self, instance: str, for_s: float, now: float) -> bool:
        """Whether a peer is heard, has been for a time, and hears us."""


class Proposal(msgspec.Struct, frozen=True):
    """A write of the roster.

    Attributes:
        weight: This instance's weight in the document; 0 if it has none.
        counter: This instance's own count of writes.
    """

    roster: Roster
    expected_revision: int
    weight: int
    counter: int
    sent_at: float


class RosterLease:
    """State of the lease.

    Args:
        own: This instance.
        incarnation: Number of this process's life.
        now: Monotonic seconds.
    """

    def __init__(self, own: Instance, incarnation: int, now: float) -> None:
        self._own = own
        self._incarnation = incarnation
        self._started_at = now
        self._roster = Roster()
        self._revision = 0
        self._weight = 0
        self._deadline = -math.inf
        self._confirmed_sent_at = -math.inf
        self._counter = 0
        self._sent: dict[int, float] = {}
        self._unresolved: list[Proposal] = []
        self._first_seen: dict[tuple[str, int, int], float] = {}
        self._dead_since: dict[tuple[str, int], float] = {}
        self._contact_since = math.inf
        self._contact_at = -math.inf
        self._superseded = False

    @property
    def roster(self) -> Roster:
        """The latest document read."""
        return self._roster

    @property
    def revision(self) -> int:
        """The store revision of `roster`."""
        return self._revision

    @property
    def weight(self) -> int:
        """Weight that this instance may use while the lease is in force."""
        return self._weight

    @property
    def deadline(self) -> float:
        """End of the lease, monotonic seconds."""
        return self._deadline

    @property
    def superseded(self) -> bool:
        """Whether a newer process of this instance is in the roster."""
        return self._superseded

    def in_force(
        self, now: float, members: Members, for_s: float = 0.0
    ) -> bool:
        """Whether the weight may be used at `now`.

        Past its deadline a holder continues only while the store is out for
        everyone. It stops for good, until it has renewed, once it knows of a
        store response after which its entry may have been reclaimed.

        Args:
            now: Monotonic seconds.
            members: The membership view.
            for_s: The lease must not reach its deadline for this long.
        """
        if self._weight <= 0:
            return False
        if now + for_s < self._deadline:
            return True
        if members.store_heard_at >= self._deadline - EVIDENCE_MARGIN_S:
            return False
        return members.store_out_for_all(now)

    # Events.

    def note_contact(self, sent_at: float) -> None:
        """Notes any response of the store."""
        if sent_at - self._contact_at > CONTACT_GAP_S:
            self._contact_since = sent_at
        self._contact_at = max(self._contact_at, sent_at)

    def note_read(
        self, roster: Roster, revision: int, sent_at: float, now: float
    ) -> None:
        """Takes a read of the document; an absent one has revision 0."""
        self.note_contact(sent_at)
        if revision < self._revision:
            return
        self._roster = roster
        self._revision = revision
        self._unresolved = [
            p for p in self._unresolved if p.expected_revision >= revision
        ]
        self._note_entries(now)
        self._confirm(roster.entry(self._own.instance))

    def note_sending(self, proposal: Proposal) -> None:
        """Notes a write before it is sent."""
        self._sent[proposal.counter] = proposal.sent_at
        self._unresolved.append(proposal)
        self._weight = min(self._weight, proposal.weight)

    def note_written(
        self, proposal: Proposal, revision: int, now: float
    ) -> None:
        """Takes the acceptance of a write."""
        self.note_read(proposal.roster, revision, proposal.sent_at, now)

    def note_conflict(self, proposal: Proposal) -> None:
        """Takes the rejection of a write, which so has no effect."""
        self._unresolved.remove(proposal)
        self.note_contact(proposal.sent_at)

    def observe(self, members: Members, now: float) -> None:
        """Notes proofs of death; call every heartbeat period."""
        for entry in self._roster.entries:
            key = (entry.instance, entry.incarnation)
            if members.incarnation_dead(*key):
                self._dead_since.setdefault(key, now)

    # Decisions.

    def is_watching(self, members: Members, now: float) -> bool:
        """Whether the document should be read every second."""
        return any(
            now - self._seen_at(entry, now) > WATCH_AFTER_S
            or members.incarnation_dead(entry.instance, entry.incarnation)
            for entry in self._others()
        )

    def is_due(self, members: Members, now: float) -> bool:
        """Whether `propose` would renew, resize or reclaim."""
        if self._superseded:
            return False
        if now - self._confirmed_sent_at >= RENEW_S:
            return True
        if any(self._reclaimable(e, members, now) for e in self._others()):
            return True
        return self._target_weight(self._others()) != self._entry_weight()

    def propose(
        self, members: Members, lower: Callable[[int], int], now: float
    ) -> Proposal | None:
        """Returns the write that renews, resizes and reclaims.

        Args:
            members: The membership view.
            lower: Lowers the weight in use and returns what was reached.
            now: Monotonic seconds; the lease counts from here.
        """
        if self._superseded:
            return None
        kept = [
            entry
            for entry in self._others()
            if not self._reclaimable(entry, members, now)
        ]
        former = self._roster.entry(self._own.instance)
        if former is not None and not self._may_replace(former, members, now):
            return None
        held = self._entry_weight()
        weight = self._target_weight(kept)
        if weight < held:
            weight = min(held, max(weight, lower(weight)))
        return self._proposal(kept, weight, now)

    def propose_release(self, now: float) -> Proposal | None:
        """Returns the write that removes this instance's entry."""
        entry = self._roster.entry(self._own.instance)
        if entry is None or entry.incarnation != self._incarnation:
            return None
        return self._proposal(list(self._others()), None, now)

    # Helpers.

    def _others(self) -> list[RosterEntry]:
        name = self._own.instance
        return [e for e in self._roster.entries if e.instance != name]

    def _entry_weight(self) -> int:
        entry = self._roster.entry(self._own.instance)
        if entry is None or entry.incarnation != self._incarnation:
            return 0
        return entry.weight

    def _target_weight(self, others: list[RosterEntry]) -> int:
        target = TOTAL_WEIGHT // (len(others) + 1)
        free = TOTAL_WEIGHT - sum(entry.weight for entry in others)
        return min(target, free)

    def _proposal(
        self, kept: list[RosterEntry], weight: int | None, now: float
    ) -> Proposal:
        self._counter += 1
        writes = self._roster.writes + 1
        entries = list(kept)
        if weight is not None:
            entries.append(self._entry(weight, writes))
        roster = Roster(
            writes=writes,
            writer=f"{self._own.instance}/{self._incarnation}",
            counter=self._counter,
            entries=tuple(sorted(entries, key=lambda e: e.instance)),
        )
        return Proposal(roster, self._revision, weight or 0, self._counter, now)

    def _entry(self, weight: int, writes: int) -> RosterEntry:
        own = self._own
        former = self._roster.entry(own.instance)
        rejoins = former is None or former.incarnation != self._incarnation
        return RosterEntry(
            instance=own.instance,
            incarnation=self._incarnation,
            region=own.region,
            failure_domain=own.failure_domain,
            caller_address=own.caller_address,
            peer_address=own.peer_address,
            control_address=own.control_address,
            weight=weight,
            counter=self._counter,
            joined=writes if rejoins else former.joined,
            renewed=writes,
        )

    def _confirm(self, entry: RosterEntry | None) -> None:
        if entry is None or entry.incarnation != self._incarnation:
            self._weight = 0
            self._deadline = -math.inf
            self._confirmed_sent_at = -math.inf
            if entry is not None and entry.incarnation > self._incarnation:
                self._superseded = True
            return
        # A write whose response was lost may still arrive at the store as
        # long as the document has the revision that it expects.
        pending = (p.weight for p in self._unresolved)
        self._weight = min([entry.weight, *pending])
        sent_at = self._sent.get(entry.counter, -math.inf)
        self._confirmed_sent_at = sent_at
        self._deadline = self._confirmed_sent_at + LEASE_S
        self._sent = {
            c: at for c, at in self._sent.items() if c >= entry.counter
        }

    def _note_entries(self, now: float) -> None:
        keys = [(e.instance, e.incarnation) for e in self._roster.entries]
        counts = [
            (e.instance, e.incarnation, e.counter) for e in self._roster.entries
        ]
        self._first_seen = {k: self._first_seen.get(k, now) for k in counts}
        self._dead_since = {
            k: at for k, at in self._dead_since.items() if k in keys
        }

    def _seen_at(self, entry: RosterEntry, now: float) -> float:
        key = (entry.instance, entry.incarnation, entry.counter)
        return self._first_seen.get(key, now)

    def _turn_s(self, members: Members) -> float:
        names = [instance.instance for instance in members.live()]
        return TURN_S * names.index(self._own.instance)

    def _reclaimable(
        self, entry: RosterEntry, members: Members, now: float
    ) -> bool:
        key = (entry.instance, entry.incarnation)
        wait_s = LOANS_END_S + self._turn_s(members)
        dead_since = self._dead_since.get(key, math.inf)
        return now - dead_since >= wait_s or self._lapsed(entry, members, now)

    def _may_replace(
        self, former: RosterEntry, members: Members, now: float
    ) -> bool:
        if former.incarnation == self._incarnation:
            return True
        # The former process is gone for certain only if this one now has its
        # port; otherwise it may be frozen elsewhere.
        if former.control_address == self._own.control_address:
            return now - self._started_at >= LOANS_END_S
        return self._lapsed(former, members, now)

    def _lapsed(self, entry: RosterEntry, members: Members, now: float) -> bool:
        if now - self._seen_at(entry, now) < LAPSE_S + self._turn_s(members):
            return False
        if now - self._contact_at > CONTACT_GAP_S:
            return False
        if now - self._contact_since < CONTACT_S:
            return False
        return self._hears_majority(entry, members, now)

    def _hears_majority(
        self, lapsed: RosterEntry, members: Members, now: float
    ) -> bool:
        # Only members that the lapsed holder knows count: they are the ones
        # that it must hear to go on, and that told it of the store's return.
        known = [
            entry
            for entry in self._roster.entries
            if entry.joined <= lapsed.renewed
            and not members.incarnation_dead(entry.instance, entry.incarnation)
        ]
        votes = sum(
            entry.instance == self._own.instance
            or members.hears_both_ways(entry.instance, HEARD_FOR_S, now)
            for entry in known
        )
        return 2 * votes > len(known)
