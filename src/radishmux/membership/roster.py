"""Keeps this instance's entry in the roster."""

from __future__ import annotations

import asyncio
from typing import Protocol

from loguru import logger

from radishmux.clock import Clock
from radishmux.membership.heartbeats import HEARTBEAT_PERIOD_S, MetricsSink
from radishmux.membership.lease import LEASE_S, Proposal, RosterLease
from radishmux.membership.roster_document import (
    ROSTER_KEY,
    Roster,
    decode_roster,
    encode_roster,
)
from radishmux.membership.view import MembershipView
from radishmux.outcome import Conflict, NotFound
from radishmux.share.loans import CLOCK_MARGIN_S, MAX_LOAN_S
from radishmux.store.interface import Entry, Store
from radishmux.tasks import repeat

STORE_TIMEOUT_S = 1.0
WATCH_PERIOD_S = 1.0
# Shortest time between two rounds of reading and writing, so that a change
# by one instance does not make all others write at once and repeatedly.
ROUND_PERIOD_S = 0.5
MAX_ATTEMPTS = 4
# Times the instance's place among the live ones: attempts after a conflict
# come one after the other instead of colliding again.
CONFLICT_BACKOFF_S = 0.02


class WeightHolder(Protocol):
    """What the keeper needs of share.share_table.ShareTable."""

    def lower_weight(self, weight: int, now: float) -> int:
        """Lowers the weight as far as possible and returns the result."""

    def set_weight(self, weight: int, now: float) -> None:
        """Sets the weight that the roster assigns."""


class RosterLeaseManager:
    """Background task that renews, resizes and reclaims.

    An async context manager. The peer bus must listen before this is
    entered, because a refused connection of an instance that is in the
    roster counts as proof of its death.

    Args:
        store: The platform's store.
        view: Told of roster reads and store responses.
        holder: Applies the weight to the buckets.
        clock: Monotonic clock.
        metrics: Counters.
    """

    def __init__(
        self,
        store: Store,
        view: MembershipView,
        holder: WeightHolder,
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._store = store
        self._view = view
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._lease = RosterLease(view.own, view.incarnation, clock.now())
        self._round_at = -LEASE_S
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._releasing = False
        self._was_in_force = False

    async def __aenter__(self) -> RosterLeaseManager:
        self._task = asyncio.create_task(repeat(self._run, 0.0, "roster"))
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def lease(self) -> RosterLease:
        """The lease, for reports."""
        return self._lease

    def weight(self, now: float) -> int:
        """Returns the weight in force, 0 when the lease has lapsed."""
        return self._lease.weight if self.in_force(now) else 0

    def in_force(self, now: float) -> bool:
        """Whether this instance may use its weight at `now`."""
        return self._lease.in_force(now, self._view)

    def may_lend(self, now: float) -> bool:
        """Whether the lease covers a loan that starts at `now`."""
        loan_s = MAX_LOAN_S + CLOCK_MARGIN_S
        return self._lease.in_force(now, self._view, loan_s)

    def wake(self) -> None:
        """Reads the roster soon, for instance after a peer's release."""
        self._wake.set()

    async def release(self) -> bool:
        """Removes the entry; call when nothing is lent any more.

        Returns:
            Whether the store accepted it. If not, others reclaim the weight
            once the entry has lapsed or the process is gone.
        """
        self._releasing = True
        for _ in range(MAX_ATTEMPTS):
            if not await self._read():
                return False
            proposal = self._lease.propose_release(self._clock.now())
            if proposal is None or await self._write(proposal):
                return True
        return False

    async def _run(self) -> None:
        """Does what is due, then waits for a wake-up or the next period."""
        now = self._clock.now()
        self._lease.observe(self._view, now)
        self._report(now)
        if not self._releasing and self._wants_round(now):
            self._round_at = now
            await self._round()
        self._wake.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_PERIOD_S):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _wants_round(self, now: float) -> bool:
        since_s = now - self._round_at
        if since_s < ROUND_PERIOD_S:
            return False
        if self._lease.is_due(self._view, now):
            return True
        if self._view.roster_revision() > self._lease.revision:
            return True
        watching = self._lease.is_watching(self._view, now)
        return watching and since_s >= WATCH_PERIOD_S

    async def _round(self) -> None:
        for attempt in range(MAX_ATTEMPTS):
            if not await self._read():
                return
            now = self._clock.now()
            if self._releasing or not self._lease.is_due(self._view, now):
                return
            proposal = self._lease.propose(self._view, self._lower, now)
            if proposal is None or await self._write(proposal):
                return
            await asyncio.sleep(self._backoff_s(attempt))

    def _lower(self, weight: int) -> int:
        return self._holder.lower_weight(weight, self._clock.now())

    def _backoff_s(self, attempt: int) -> float:
        names = [instance.instance for instance in self._view.live()]
        place = names.index(self._view.own.instance)
        return CONFLICT_BACKOFF_S * (1 + place) * (1 + attempt)

    async def _read(self) -> bool:
        sent_at = self._clock.now()
        found = await self._store.get(ROSTER_KEY, STORE_TIMEOUT_S)
        if isinstance(found, Entry):
            roster, revision = decode_roster(found.value), found.revision
        elif isinstance(found, NotFound):
            roster, revision = Roster(), 0
        else:
            self._metrics.count("roster_failures", operation="read")
            return False
        self._take(roster, revision, sent_at)
        return True

    async def _write(self, proposal: Proposal) -> bool:
        """Sends a write; False if the document must be read again."""
        self._lease.note_sending(proposal)
        self._holder.set_weight(self._lease.weight, self._clock.now())
        answer = await self._store.compare_and_swap(
            ROSTER_KEY,
            proposal.expected_revision,
            encode_roster(proposal.roster),
            STORE_TIMEOUT_S,
        )
        if isinstance(answer, Entry):
            self._take(proposal.roster, answer.revision, proposal.sent_at)
            return True
        if isinstance(answer, Conflict):
            self._lease.note_conflict(proposal)
            self._view.record_store_response(proposal.sent_at)
            self._metrics.count("roster_conflicts")
            return False
        # The write may have taken effect; the next read shows it.
        self._metrics.count("roster_failures", operation="write")
        return False

    def _take(self, roster: Roster, revision: int, sent_at: float) -> None:
        now = self._clock.now()
        self._lease.note_read(roster, revision, sent_at, now)
        self._view.record_store_response(sent_at)
        self._view.set_roster(
            self._lease.roster.entries, self._lease.revision, now
        )
        self._holder.set_weight(self._lease.weight, now)
        self._metrics.set("roster_weight", self._lease.weight)

    def _report(self, now: float) -> None:
        in_force = self.in_force(now)
        if in_force != self._was_in_force:
            self._was_in_force = in_force
            logger.info(
                "rate lease {}", "in force" if in_force else "not in force"
            )
        self._metrics.set("roster_lease_in_force", float(in_force))
