"""Admits requests within each customer's rate over the whole fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

from radishmux.clock import Clock
from radishmux.config.model import Customer
from radishmux.membership.heartbeats import MetricsSink
from radishmux.membership.view import MembershipView
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.share.customer_share import URGENT_ROUND_S, CustomerShare
from radishmux.share.loan_messages import (
    DECLINED,
    LoanDecision,
    OutgoingRequest,
    OutgoingReturn,
)
from radishmux.share.share_table import ShareTable
from radishmux.tasks import repeat
from radishmux.verdict import Refusal, Verdict

PLAN_PERIOD_S = 0.25
# Period of the checks for dead borrowers. The fraction lent to one cannot be
# used until its death is noticed.
TICK_S = 0.05
# Longest wait for a token. It covers several rounds of requests to peers in
# other regions. With 0.3 s, customers with a small rate were refused 1.5% of
# their requests within rate in steady state; with 1 s, 0.5%.
MAX_WAIT_S = 1.0
# Requests per customer that may wait for a token at the same time.
MAX_WAITERS = 256
# Must not be shorter than the timeout of a heartbeat, since a request that
# times out closes the connection to the peer.
PEER_TIMEOUT_S = 1.0
RELEASE_POLL_S = 0.05
# Timers may fire this much early relative to the monotonic clock.
TIMER_MARGIN_S = 0.001


class LeaseHolder(Protocol):
    """Methods of membership.roster.RosterLeaseManager that are used here."""

    def in_force(self, now: float) -> bool:
        """Whether this instance may use its weight at `now`."""

    def may_lend(self, now: float) -> bool:
        """Whether the lease covers a loan that starts at `now`."""

    def wake(self) -> None:
        """Makes the next read of the roster happen soon."""

    async def release(self) -> bool:
        """Removes this instance's entry; returns whether the store accepts."""


class ShareManager:
    """Admits requests, borrows from peers and answers loan messages.

    An async context manager.

    Args:
        table: The shares. Their weight is set by the keeper of the roster
            entry.
        lease: This instance's lease on its weight.
        view: Membership view; its live peers may lend.
        bus: Connections to the peers.
        clock: Monotonic clock.
        metrics: Counters.
    """

    def __init__(
        self,
        table: ShareTable,
        lease: LeaseHolder,
        view: MembershipView,
        bus: PeerBus,
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._table = table
        self._lease = lease
        self._view = view
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._planned_at = -PLAN_PERIOD_S
        self._waiters: dict[str, dict[asyncio.Future[None], None]] = {}
        self._ended_incarnations: dict[str, int] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._tick_task: asyncio.Task[None] | None = None
        self._release_listeners: list[Callable[[Any, Sender], None]] = []
        bus.handle(messages.LoanRequest)(self._on_loan_request)
        bus.handle(messages.LoanReturn)(self._on_loan_return)
        bus.handle(messages.Release)(self._on_release)

    async def __aenter__(self) -> ShareManager:
        self._tick_task = asyncio.create_task(
            repeat(self._tick, TICK_S, "rate shares")
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        tasks = list(self._send_tasks)
        if self._tick_task is not None:
            tasks.append(self._tick_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Applies the customers of a new configuration."""
        self._table.set_customers(customers, self._clock.now())

    def add_release_listener(
        self, callback: Callable[[Any, Sender], None]
    ) -> None:
        """Registers a callback for the Release messages of peers."""
        self._release_listeners.append(callback)

    async def admit(self, customer: str, wait_s: float) -> Refusal | None:
        """Takes one token of a customer.

        Args:
            customer: Name of the customer that sends the request.
            wait_s: Longest useful wait in seconds, that is the time until the
                request's deadline. The wait is at most `MAX_WAIT_S`.

        Returns:
            None if the request is admitted, otherwise the refusal.
        """
        share = self._table.get(customer)
        if share is None:
            return self._refuse_unknown(customer)
        now = self._clock.now()
        share.record_request(now)
        if self._try_acquire(share):
            return None
        wait_until = now + min(wait_s, MAX_WAIT_S)
        while self._may_wait(share, wait_until):
            await self._wait_for_token(share, wait_until)
            if self._try_acquire(share):
                self._metrics.count("share_waited", customer=share.name)
                return None
        return self._refuse(share)

    async def release_all(self) -> bool:
        """Returns all loans and releases this instance's weight.

        Call it once callers no longer send requests here. It waits until the
        loans given to peers have ended.

        Returns:
            Whether the store accepted the release.
        """
        self._table.stop_lending()
        returns = self._table.return_all_loans(self._clock.now())
        await asyncio.gather(
            *(self._send_return(loan_return) for loan_return in returns)
        )
        while not self._table.nothing_lent(self._clock.now()):
            await asyncio.sleep(RELEASE_POLL_S)
        released = await self._lease.release()
        notice = messages.Release(
            instance=self._bus.instance,
            incarnation=self._bus.incarnation,
            cells=[],
        )
        await self._bus.broadcast(notice, PEER_TIMEOUT_S)
        return released

    # Admission.

    def _try_acquire(self, share: CustomerShare) -> bool:
        # The clock is read here, right before the token is taken, so that a
        # process that was suspended sees that its lease has ended. Without a
        # weight all tokens are borrowed, and loans end by themselves.
        now = self._clock.now()
        if self._table.weight > 0 and not self._lease.in_force(now):
            return False
        return share.try_acquire(now)

    def _may_wait(self, share: CustomerShare, wait_until: float) -> bool:
        now = self._clock.now()
        if wait_until - now <= TIMER_MARGIN_S or not self._may_use(now):
            return False
        return len(self._waiters.get(share.name, ())) < MAX_WAITERS

    def _may_use(self, now: float) -> bool:
        return self._table.weight == 0 or self._lease.in_force(now)

    async def _wait_for_token(
        self, share: CustomerShare, wait_until: float
    ) -> None:
        now = self._clock.now()
        waiters = self._waiters.setdefault(share.name, {})
        if not share.awaits_urgent_answer(now) and not share.is_backing_off(
            now
        ):
            self._request_loans(share, len(waiters) + 1, now)
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # While peers are asked, tokens accrue here too, for one waiter after
        # the other.
        accrual_s = share.wait_s(now, len(waiters)) + TIMER_MARGIN_S
        timeout_s = min(wait_until - now, accrual_s, URGENT_ROUND_S)
        waiters[wake] = None
        try:
            await asyncio.wait((wake,), timeout=timeout_s)
        finally:
            waiters.pop(wake, None)

    def _request_loans(
        self, share: CustomerShare, waiting: int, now: float
    ) -> None:
        requests = self._table.request_urgent_loans(
            share.name, self._lenders(), waiting, now
        )
        for request in requests:
            self._start_send(self._send_request(request))

    def _wake_waiters(self, customer: str, now: float) -> None:
        # Wakes only as many as there are tokens. While urgent requests pause,
        # it wakes all of them, since there is nothing to wait for.
        waiters = self._waiters.get(customer)
        share = self._table.get(customer)
        if not waiters or share is None:
            return
        count = len(waiters)
        if not share.is_backing_off(now):
            # After a round without tokens, one waiter starts the next.
            min_count = 0 if share.awaits_urgent_answer(now) else 1
            count = min(count, max(min_count, int(share.bucket.tokens)))
        for wake in list(waiters)[:count]:
            if not wake.done():
                wake.set_result(None)

    def _refuse(self, share: CustomerShare) -> Refusal:
        now = self._clock.now()
        if not self._may_use(now):
            self._metrics.count(
                "share_refusals", reason="no_rate_lease", customer=share.name
            )
            return Refusal(
                verdict=Verdict.NOT_RUN,
                reason="no_rate_lease",
                message="This instance has no current share of the rate.",
                retry_after_s=1.0,
                next_instances=self._other_addresses(),
            )
        self._metrics.count(
            "share_refusals", reason="rate_exceeded", customer=share.name
        )
        return Refusal(
            verdict=Verdict.NOT_RUN,
            reason="rate_exceeded",
            message=f"Customer {share.name} exceeds its rate and burst.",
            status=429,
            retry_after_s=min(share.wait_s(now), 1.0),
        )

    def _refuse_unknown(self, name: str) -> Refusal:
        self._metrics.count(
            "share_refusals", reason="unknown_customer", customer=""
        )
        return Refusal(
            verdict=Verdict.NOT_RUN,
            reason="unknown_customer",
            message=f"Customer {name} is not in the configuration.",
            status=403,
        )

    def _other_addresses(self) -> tuple[str, ...]:
        own = self._view.own.instance
        return tuple(
            instance.caller_address
            for instance in self._view.live()
            if instance.instance != own
            and not self._view.is_leaving(instance.instance)
        )[:2]

    # Loans.

    def _lenders(self) -> tuple[str, ...]:
        own = self._view.own.instance
        return tuple(
            instance.instance
            for instance in self._view.live()
            if instance.instance != own
        )

    async def _tick(self) -> None:
        now = self._clock.now()
        self._end_loans_to_dead_processes(now)
        if now - self._planned_at >= PLAN_PERIOD_S:
            self._planned_at = now
            self._send_plan(now)

    def _send_plan(self, now: float) -> None:
        requests, returns = self._table.plan_loans(self._lenders(), now)
        for request in requests:
            self._start_send(self._send_request(request))
        for loan_return in returns:
            self._start_send(self._send_return(loan_return))

    def _end_loans_to_dead_processes(self, now: float) -> None:
        for instance, incarnation in self._view.dead_processes():
            if self._ended_incarnations.get(instance, 0) < incarnation:
                self._ended_incarnations[instance] = incarnation
                self._table.end_loans_to(instance, incarnation, now)

    def _start_send(self, send: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(send)
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _send_request(self, request: OutgoingRequest) -> None:
        message = messages.LoanRequest(
            customer=request.customer,
            loan_id=request.loan_id,
            fraction=request.fraction,
            duration_ms=round(request.duration_s * 1000),
        )
        reply = await self._bus.request(request.lender, message, PEER_TIMEOUT_S)
        now = self._clock.now()
        if not isinstance(reply, messages.LoanGrant):
            self._table.record_no_answer(request, now)
            self._metrics.count("loan_failures")
        else:
            decision = LoanDecision(reply.fraction, reply.tokens)
            self._table.apply_decision(request, request.lender, decision, now)
            outcome = "granted" if reply.fraction > 0 else "declined"
            self._metrics.count("loans_asked", outcome=outcome)
        self._wake_waiters(request.customer, now)

    async def _send_return(self, loan_return: OutgoingReturn) -> None:
        message = messages.LoanReturn(
            loan_id=loan_return.loan_id, tokens=loan_return.tokens
        )
        await self._bus.request(loan_return.lender, message, PEER_TIMEOUT_S)

    async def _on_loan_request(self, request: Any, sender: Sender) -> Any:
        now = self._clock.now()
        decision = DECLINED
        if self._lease.may_lend(now):
            decision = self._table.handle_loan_request(
                sender.instance,
                request.customer,
                request.loan_id,
                request.fraction,
                request.duration_ms / 1000,
                now,
            )
        return messages.LoanGrant(
            loan_id=request.loan_id,
            fraction=decision.fraction,
            tokens=decision.tokens,
            config_version=0,
        )

    async def _on_loan_return(self, message: Any, sender: Sender) -> Any:
        accepted = self._table.handle_loan_return(
            sender.instance,
            message.loan_id,
            message.tokens,
            self._clock.now(),
        )
        return messages.Done(accepted=accepted, reason="")

    async def _on_release(self, message: Any, sender: Sender) -> Any:
        self._lease.wake()
        for callback in self._release_listeners:
            callback(message, sender)
        return messages.Done(accepted=True, reason="")
