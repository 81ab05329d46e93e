"""State of this instance's lease on a weight in the roster.

Every write of the roster is derived from a document that was just read. The
store accepts it only if no other instance wrote in between (compare-and-swap),
so that only one writer at a time changes the sum of the weights. A write that
may have taken effect is assumed to have the result with the lower weight: a
reduction applies before the write is sent, an increase only after the new
weight was read back.

The class performs no I/O; times are seconds of a monotonic clock.
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
# All loans that a process granted have ended this long after its death.
LOANS_END_S = MAX_LOAN_S + 2 * CLOCK_MARGIN_S
# An entry has lapsed when it was not renewed for this long. This is longer
# than the lease, so that a holder which kept using its weight during a
# store outage has stopped: a holder past its deadline stops when it learns of
# a store response later than `RESPONSE_MARGIN_S` before that deadline.
LAPSE_S = LEASE_S + 5.0
RESPONSE_MARGIN_S = 2.0
# Uninterrupted contact with the store that reclaiming requires.
MIN_CONTACT_S = 10.0
# Contact is interrupted when two responses are further apart than this.
MAX_CONTACT_GAP_S = 1.5
# The members of the majority must have been heard for this long. By then they
# have reported the return of the store to the holder, and loans granted
# before its return have ended.
MIN_HEARD_S = 5.0
# When an entry was not renewed for this long, the roster is read every second,
# because reclaiming the entry requires uninterrupted contact.
FREQUENT_READ_AFTER_S = RENEW_S + 1.5
# Instances reclaim at staggered times, so that they do not all write at once.
RECLAIM_TURN_S = 0.5


class Members(Protocol):
    """The part of `MembershipView` that the lease uses."""

    @property
    def store_response_at(self) -> float:
        """Lower bound of the latest store response to any instance."""

    def live(self) -> tuple[Instance, ...]:
        """Returns the live instances, including this one."""

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether the given process of an instance is proven dead."""

    def hears_both_ways(self, instance: str, for_s: float, now: float) -> bool:
        """Whether a peer has been heard for `for_s` and hears this instance."""


class Proposal(msgspec.Struct, frozen=True):
    """A write of the roster.

    Attributes:
        roster: The new document.
        expected_revision: Store revision that the new document replaces.
        weight: This instance's weight in the document; 0 if it has no entry.
        counter: Number of writes that this process has proposed so far.
        sent_at: Start of the lease that the write renews, monotonic seconds.
    """

    roster: Roster
    expected_revision: int
    weight: int
    counter: int
    sent_at: float


class RosterLease:
    """State machine that renews, resizes and reclaims weights in the roster.

    Args:
        own: This instance.
        incarnation: Incarnation of this process.
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
        self._renewed_at = -math.inf
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
        """Weight that this instance may use while its lease is in force."""
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

        Past its deadline a holder keeps its weight only while no instance can
        reach the store. Once it knows of a store response after which its
        entry may have been reclaimed, it may not use the weight again before
        it has renewed the lease.

        Args:
            now: Monotonic seconds.
            members: The membership view.
            for_s: Time that must remain until the deadline, in seconds.
        """
        if self._weight <= 0:
            return False
        if now + for_s < self._deadline:
            return True
        if members.store_response_at >= self._deadline - RESPONSE_MARGIN_S:
            return False
        return members.store_out_for_all(now)

    # Events.

    def record_contact(self, sent_at: float) -> None:
        """Records any response of the store.

        Args:
            sent_at: Time at which the request was sent, monotonic seconds.
        """
        if sent_at - self._contact_at > MAX_CONTACT_GAP_S:
            self._contact_since = sent_at
        self._contact_at = max(self._contact_at, sent_at)

    def apply_read(
        self, roster: Roster, revision: int, sent_at: float, now: float
    ) -> None:
        """Applies a read of the document; revision 0 means it is absent.

        A read older than the known document counts as contact only.
        """
        self.record_contact(sent_at)
        if revision < self._revision:
            return
        self._roster = roster
        self._revision = revision
        self._unresolved = [
            proposal
            for proposal in self._unresolved
            if proposal.expected_revision >= revision
        ]
        self._track_entries(now)
        self._apply_own_entry(roster.entry(self._own.instance))

    def record_send(self, proposal: Proposal) -> None:
        """Records a write before it is sent.

        From here on the weight is at most that of the write.
        """
        self._sent[proposal.counter] = proposal.sent_at
        self._unresolved.append(proposal)
        self._weight = min(self._weight, proposal.weight)

    def apply_accepted_write(
        self, proposal: Proposal, revision: int, now: float
    ) -> None:
        """Applies a write that the store accepted."""
        self.apply_read(proposal.roster, revision, proposal.sent_at, now)

    def record_conflict(self, proposal: Proposal) -> None:
        """Discards a write that the store rejected and that had no effect."""
        self._unresolved.remove(proposal)
        self.record_contact(proposal.sent_at)

    def record_dead_incarnations(self, members: Members, now: float) -> None:
        """Records when holders were proven dead.

        Call this in every heartbeat period.
        """
        for entry in self._roster.entries:
            key = (entry.instance, entry.incarnation)
            if members.incarnation_dead(*key):
                self._dead_since.setdefault(key, now)

    # Decisions.

    def needs_frequent_reads(self, members: Members, now: float) -> bool:
        """Whether an entry may soon be reclaimable.

        The document should then be read every second.
        """
        return any(
            now - self._seen_at(entry, now) > FREQUENT_READ_AFTER_S
            or members.incarnation_dead(entry.instance, entry.incarnation)
            for entry in self._others()
        )

    def is_due(self, members: Members, now: float) -> bool:
        """Whether a renewal, a new weight or a reclaim is due."""
        if self._superseded:
            return False
        if now - self._renewed_at >= RENEW_S:
            return True
        if any(self._is_reclaimable(e, members, now) for e in self._others()):
            return True
        return self._target_weight(self._others()) != self._entry_weight()

    def propose(
        self, members: Members, lower: Callable[[int], int], now: float
    ) -> Proposal | None:
        """Returns the write that renews, resizes and reclaims.

        Args:
            members: The membership view.
            lower: Lowers the weight in use towards its argument and returns
                the weight that was reached.
            now: Monotonic seconds; the renewed lease starts at this time.

        Returns:
            None if a newer process of this instance holds the entry, or if
            the entry of its previous process may not be replaced yet.
        """
        if self._superseded:
            return None
        remaining = [
            entry
            for entry in self._others()
            if not self._is_reclaimable(entry, members, now)
        ]
        previous = self._roster.entry(self._own.instance)
        if previous is not None and not self._may_replace(
            previous, members, now
        ):
            return None
        current = self._entry_weight()
        weight = self._target_weight(remaining)
        if weight < current:
            weight = min(current, max(weight, lower(weight)))
        return self._make_proposal(remaining, weight, now)

    def propose_release(self, now: float) -> Proposal | None:
        """Returns the write that removes this instance's entry.

        Returns:
            None if this process has no entry.
        """
        entry = self._roster.entry(self._own.instance)
        if entry is None or entry.incarnation != self._incarnation:
            return None
        return self._make_proposal(list(self._others()), None, now)

    # Helpers.

    def _others(self) -> list[RosterEntry]:
        name = self._own.instance
        return [e for e in self._roster.entries if e.instance != name]

    def _entry_weight(self) -> int:
        """Returns the weight of this process in the document, or 0."""
        entry = self._roster.entry(self._own.instance)
        if entry is None or entry.incarnation != self._incarnation:
            return 0
        return entry.weight

    def _target_weight(self, others: list[RosterEntry]) -> int:
        target = TOTAL_WEIGHT // (len(others) + 1)
        free = TOTAL_WEIGHT - sum(entry.weight for entry in others)
        return min(target, free)

    def _make_proposal(
        self, remaining: list[RosterEntry], weight: int | None, now: float
    ) -> Proposal:
        self._counter += 1
        writes = self._roster.writes + 1
        entries = list(remaining)
        if weight is not None:
            entries.append(self._make_entry(weight, writes))
        roster = Roster(
            writes=writes,
            writer=f"{self._own.instance}/{self._incarnation}",
            counter=self._counter,
            entries=tuple(sorted(entries, key=lambda e: e.instance)),
        )
        return Proposal(roster, self._revision, weight or 0, self._counter, now)

    def _make_entry(self, weight: int, writes: int) -> RosterEntry:
        own = self._own
        previous = self._roster.entry(own.instance)
        rejoins = previous is None or previous.incarnation != self._incarnation
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
            joined=writes if rejoins else previous.joined,
            renewed=writes,
        )

    def _apply_own_entry(self, entry: RosterEntry | None) -> None:
        """Updates weight and deadline from this instance's entry."""
        if entry is None or entry.incarnation != self._incarnation:
            self._weight = 0
            self._deadline = -math.inf
            self._renewed_at = -math.inf
            if entry is not None and entry.incarnation > self._incarnation:
                self._superseded = True
            return
        # A write whose response was lost can still take effect as long as the
        # document has the revision that the write expects.
        pending = (proposal.weight for proposal in self._unresolved)
        self._weight = min([entry.weight, *pending])
        sent_at = self._sent.get(entry.counter, -math.inf)
        self._renewed_at = sent_at
        self._deadline = self._renewed_at + LEASE_S
        self._sent = {
            counter: at
            for counter, at in self._sent.items()
            if counter >= entry.counter
        }

    def _track_entries(self, now: float) -> None:
        keys = [(e.instance, e.incarnation) for e in self._roster.entries]
        versions = [
            (e.instance, e.incarnation, e.counter) for e in self._roster.entries
        ]
        self._first_seen = {k: self._first_seen.get(k, now) for k in versions}
        self._dead_since = {
            k: at for k, at in self._dead_since.items() if k in keys
        }

    def _seen_at(self, entry: RosterEntry, now: float) -> float:
        """Returns when the current version of an entry was first read."""
        key = (entry.instance, entry.incarnation, entry.counter)
        return self._first_seen.get(key, now)

    def _turn_s(self, members: Members) -> float:
        """Returns the delay that staggers this instance's reclaims."""
        names = [instance.instance for instance in members.live()]
        return RECLAIM_TURN_S * names.index(self._own.instance)

    def _is_reclaimable(
        self, entry: RosterEntry, members: Members, now: float
    ) -> bool:
        key = (entry.instance, entry.incarnation)
        wait_s = LOANS_END_S + self._turn_s(members)
        died_at = self._dead_since.get(key, math.inf)
        return now - died_at >= wait_s or self._has_lapsed(entry, members, now)

    def _may_replace(
        self, previous: RosterEntry, members: Members, now: float
    ) -> bool:
        if previous.incarnation == self._incarnation:
            return True
        # The previous process is known to be dead only if this process now
        # listens on its port. Otherwise it may be suspended on another machine.
        if previous.control_address == self._own.control_address:
            return now - self._started_at >= LOANS_END_S
        return self._has_lapsed(previous, members, now)

    def _has_lapsed(
        self, entry: RosterEntry, members: Members, now: float
    ) -> bool:
        if now - self._seen_at(entry, now) < LAPSE_S + self._turn_s(members):
            return False
        if now - self._contact_at > MAX_CONTACT_GAP_S:
            return False
        if now - self._contact_since < MIN_CONTACT_S:
            return False
        return self._hears_majority(entry, members, now)

    def _hears_majority(
        self, lapsed: RosterEntry, members: Members, now: float
    ) -> bool:
        # Only members that the lapsed holder knows count. It must hear them
        # to keep using its weight past its deadline, and they reported the
        # return of the store to it.
        known = [
            entry
            for entry in self._roster.entries
            if entry.joined <= lapsed.renewed
            and not members.incarnation_dead(entry.instance, entry.incarnation)
        ]
        heard = sum(
            entry.instance == self._own.instance
            or members.hears_both_ways(entry.instance, MIN_HEARD_S, now)
            for entry in known
        )
        return 2 * heard > len(known)
