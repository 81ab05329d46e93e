"""Keeps this instance's entry in the roster up to date."""

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
FREQUENT_READ_PERIOD_S = 1.0
# Minimum time between two rounds of reading and writing, so that a change by
# one instance does not make all other instances write at once and repeatedly.
ROUND_PERIOD_S = 0.5
MAX_ATTEMPTS = 4
# Multiplied by the position of the instance among the live instances, so that
# retries after a conflict are staggered and do not collide again.
CONFLICT_BACKOFF_S = 0.02


class WeightHolder(Protocol):
    """Methods of `share.share_table.ShareTable` that the lease manager uses."""

    def lower_weight(self, weight: int, now: float) -> int:
        """Lowers the weight towards `weight` and returns the weight reached."""

    def set_weight(self, weight: int, now: float) -> None:
        """Sets the weight that the roster assigns."""


class RosterLeaseManager:
    """Background task that renews, resizes and reclaims roster entries.

    An async context manager. The peer bus must listen before the manager is
    entered, because a connection refused by an instance that is in the roster
    counts as proof of that instance's death.

    Args:
        store: The platform's store.
        view: Receives roster reads and the times of store responses.
        holder: Applies the weight to the token buckets.
        clock: Monotonic clock.
        metrics: Receives counters and gauges.
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
        self._round_started_at = -LEASE_S
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
        """The lease, for status reports."""
        return self._lease

    def weight(self, now: float) -> int:
        """Returns the weight in force, or 0 when the lease has lapsed."""
        return self._lease.weight if self.in_force(now) else 0

    def in_force(self, now: float) -> bool:
        """Whether this instance may use its weight at `now`."""
        return self._lease.in_force(now, self._view)

    def may_lend(self, now: float) -> bool:
        """Whether the lease covers the longest loan that starts at `now`."""
        loan_s = MAX_LOAN_S + CLOCK_MARGIN_S
        return self._lease.in_force(now, self._view, loan_s)

    def wake(self) -> None:
        """Checks at once whether a round is due, as after a peer's release."""
        self._wake.set()

    async def release(self) -> bool:
        """Removes this instance's entry; call when no loans are outstanding.

        Returns:
            Whether the entry is known to be removed. If not, other instances
            reclaim the weight once the entry has lapsed or this process is
            proven dead.
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
        """Runs a round if one is due, then waits for `wake` or the period."""
        now = self._clock.now()
        self._lease.record_dead_incarnations(self._view, now)
        self._report_lease_state(now)
        if not self._releasing and self._is_round_due(now):
            self._round_started_at = now
            await self._run_round()
        self._wake.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_PERIOD_S):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _is_round_due(self, now: float) -> bool:
        since_s = now - self._round_started_at
        if since_s < ROUND_PERIOD_S:
            return False
        if self._lease.is_due(self._view, now):
            return True
        if self._view.roster_revision() > self._lease.revision:
            return True
        needs_reads = self._lease.needs_frequent_reads(self._view, now)
        return needs_reads and since_s >= FREQUENT_READ_PERIOD_S

    async def _run_round(self) -> None:
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
        position = names.index(self._view.own.instance)
        return CONFLICT_BACKOFF_S * (1 + position) * (1 + attempt)

    async def _read(self) -> bool:
        sent_at = self._clock.now()
        response = await self._store.get(ROSTER_KEY, STORE_TIMEOUT_S)
        if isinstance(response, Entry):
            roster, revision = decode_roster(response.value), response.revision
        elif isinstance(response, NotFound):
            roster, revision = Roster(), 0
        else:
            self._metrics.count("roster_failures", operation="read")
            return False
        self._apply_read(roster, revision, sent_at)
        return True

    async def _write(self, proposal: Proposal) -> bool:
        """Sends a write; returns False if the roster must be read again."""
        self._lease.record_send(proposal)
        self._holder.set_weight(self._lease.weight, self._clock.now())
        response = await self._store.compare_and_swap(
            ROSTER_KEY,
            proposal.expected_revision,
            encode_roster(proposal.roster),
            STORE_TIMEOUT_S,
        )
        if isinstance(response, Entry):
            self._apply_read(
                proposal.roster, response.revision, proposal.sent_at
            )
            return True
        if isinstance(response, Conflict):
            self._lease.record_conflict(proposal)
            self._view.record_store_response(proposal.sent_at)
            self._metrics.count("roster_conflicts")
            return False
        # The write may have taken effect; the next read shows whether it has.
        self._metrics.count("roster_failures", operation="write")
        return False

    def _apply_read(
        self, roster: Roster, revision: int, sent_at: float
    ) -> None:
        now = self._clock.now()
        self._lease.apply_read(roster, revision, sent_at, now)
        self._view.record_store_response(sent_at)
        self._view.set_roster(
            self._lease.roster.entries, self._lease.revision, now
        )
        self._holder.set_weight(self._lease.weight, now)
        self._metrics.set("roster_weight", self._lease.weight)

    def _report_lease_state(self, now: float) -> None:
        in_force = self.in_force(now)
        if in_force != self._was_in_force:
            self._was_in_force = in_force
            logger.info(
                "rate lease {}", "in force" if in_force else "not in force"
            )
        self._metrics.set("roster_lease_in_force", float(in_force))
