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
from radishmux.share.customer_share import PATIENCE_S, CustomerShare
from radishmux.share.loan_terms import DECLINED, Ask, GiveBack, Grant
from radishmux.share.share_table import ShareTable
from radishmux.tasks import repeat
from radishmux.verdict import Refusal, Verdict

PLAN_PERIOD_S = 0.25
# Checks for dead borrowers; the customer's rate is short until they are seen.
TICK_S = 0.05
# Longest wait for a token. It covers several rounds of requests to peers in
# other regions; with 0.3 s, customers with a small rate were refused 1.5% of
# their requests within rate in steady state, with 1 s 0.5%.
MAX_WAIT_S = 1.0
# Requests per customer that may wait for a token at the same time.
MAX_WAITING = 256
# A request to a peer that times out closes the connection, so that it must
# not be shorter than a heartbeat's.
PEER_TIMEOUT_S = 1.0
HAND_OVER_POLL_S = 0.05
# Timers may fire this much early against the monotonic clock.
TIMER_MARGIN_S = 0.001


class LeaseHolder(Protocol):
    """What the manager needs of membership.roster.RosterLeaseManager."""

    def in_force(self, now: float) -> bool:
        """Whether this instance may use its weight at `now`."""

    def may_lend(self, now: float) -> bool:
        """Whether the lease covers a loan that starts at `now`."""

    def wake(self) -> None:
        """Reads the roster soon."""

    async def release(self) -> bool:
        """Removes this instance's entry."""


class ShareManager:
    """Admission, background loans and the handlers of loan messages.

    An async context manager.

    Args:
        book: The shares; the roster keeper sets their weight.
        lease: This instance's lease on its weight.
        view: Names the peers that may lend.
        bus: Connections to the peers.
        clock: Monotonic clock.
        metrics: Counters.
    """

    def __init__(
        self,
        book: ShareTable,
        lease: LeaseHolder,
        view: MembershipView,
        bus: PeerBus,
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._book = book
        self._lease = lease
        self._view = view
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._planned_at = -PLAN_PERIOD_S
        self._waiters: dict[str, dict[asyncio.Future[None], None]] = {}
        self._ended: dict[str, int] = {}
        self._sends: set[asyncio.Task[None]] = set()
        self._plan_task: asyncio.Task[None] | None = None
        self._release_watchers: list[Callable[[Any, Sender], None]] = []
        bus.handle(messages.LoanRequest)(self._on_loan_request)
        bus.handle(messages.LoanReturn)(self._on_loan_return)
        bus.handle(messages.Release)(self._on_release)

    async def __aenter__(self) -> ShareManager:
        self._plan_task = asyncio.create_task(
            repeat(self._plan, TICK_S, "rate shares")
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        tasks = list(self._sends)
        if self._plan_task is not None:
            tasks.append(self._plan_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Applies the customers of a new configuration."""
        self._book.set_customers(customers, self._clock.now())

    def add_release_listener(
        self, callback: Callable[[Any, Sender], None]
    ) -> None:
        """Registers a callback for the Release messages of peers."""
        self._release_watchers.append(callback)

    async def admit(self, customer: str, wait_s: float) -> Refusal | None:
        """Takes one token of a customer.

        Args:
            customer: Name of the customer that sends the request.
            wait_s: Longest useful wait, the request's remaining deadline; at
                most `MAX_WAIT_S` is used.

        Returns:
            None when the request is admitted.
        """
        share = self._book.get(customer)
        if share is None:
            return self._refuse_unknown(customer)
        now = self._clock.now()
        share.note_demand(now)
        if self._take(share):
            return None
        wait_until = now + min(wait_s, MAX_WAIT_S)
        while self._may_wait(share, wait_until):
            await self._wait_for_token(share, wait_until)
            if self._take(share):
                self._metrics.count("share_waited", customer=share.name)
                return None
        return self._refuse(share)

    async def release_all(self) -> bool:
        """Returns and releases everything; call when callers are gone.

        Returns:
            Whether the store accepted the release.
        """
        self._book.stop_lending()
        returns = self._book.return_all(self._clock.now())
        await asyncio.gather(*(self._send_return(back) for back in returns))
        while not self._book.nothing_lent(self._clock.now()):
            await asyncio.sleep(HAND_OVER_POLL_S)
        released = await self._lease.release()
        notice = messages.Release(
            instance=self._bus.instance,
            incarnation=self._bus.incarnation,
            cells=[],
        )
        await self._bus.broadcast(notice, PEER_TIMEOUT_S)
        return released

    # Admission.

    def _take(self, share: CustomerShare) -> bool:
        # The clock is read here, right before the token is taken, so that a
        # process that was frozen sees that its lease has ended. Without a
        # weight all tokens are borrowed, and loans end by themselves.
        now = self._clock.now()
        if self._book.weight > 0 and not self._lease.in_force(now):
            return False
        return share.take(now)

    def _may_wait(self, share: CustomerShare, wait_until: float) -> bool:
        now = self._clock.now()
        if wait_until - now <= TIMER_MARGIN_S or not self._may_use(now):
            return False
        return len(self._waiters.get(share.name, ())) < MAX_WAITING

    def _may_use(self, now: float) -> bool:
        return self._book.weight == 0 or self._lease.in_force(now)

    async def _wait_for_token(
        self, share: CustomerShare, wait_until: float
    ) -> None:
        now = self._clock.now()
        waiters = self._waiters.setdefault(share.name, {})
        if not share.is_asking(now) and not share.is_dry(now):
            self._ask(share, len(waiters) + 1, now)
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # Tokens accrue here too while peers are asked, for one waiter after
        # the other.
        accrual_s = share.wait_s(now, len(waiters)) + TIMER_MARGIN_S
        timeout_s = min(wait_until - now, accrual_s, PATIENCE_S)
        waiters[wake] = None
        try:
            await asyncio.wait((wake,), timeout=timeout_s)
        finally:
            waiters.pop(wake, None)

    def _ask(self, share: CustomerShare, waiting: int, now: float) -> None:
        asks = self._book.ask_urgently(
            share.name, self._lenders(), waiting, now
        )
        for ask in asks:
            self._start(self._send_ask(ask))

    def _wake_waiters(self, customer: str, now: float) -> None:
        # Only as many as have a token, unless there is nothing to wait for.
        waiters = self._waiters.get(customer)
        share = self._book.get(customer)
        if not waiters or share is None:
            return
        count = len(waiters)
        if not share.is_dry(now):
            # After a round without tokens, one waiter starts the next.
            least = 0 if share.is_asking(now) else 1
            count = min(count, max(least, int(share.bucket.tokens)))
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

    async def _plan(self) -> None:
        now = self._clock.now()
        self._end_loans_to_the_dead(now)
        if now - self._planned_at >= PLAN_PERIOD_S:
            self._planned_at = now
            self._send_plan(now)

    def _send_plan(self, now: float) -> None:
        asks, returns = self._book.plan(self._lenders(), now)
        for ask in asks:
            self._start(self._send_ask(ask))
        for back in returns:
            self._start(self._send_return(back))

    def _end_loans_to_the_dead(self, now: float) -> None:
        for instance, incarnation in self._view.dead_processes():
            if self._ended.get(instance, 0) < incarnation:
                self._ended[instance] = incarnation
                self._book.end_loans_to(instance, incarnation, now)

    def _start(self, send: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(send)
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def _send_ask(self, ask: Ask) -> None:
        message = messages.LoanRequest(
            customer=ask.customer,
            loan_id=ask.loan_id,
            fraction=ask.fraction,
            duration_ms=round(ask.duration_s * 1000),
        )
        reply = await self._bus.request(ask.lender, message, PEER_TIMEOUT_S)
        now = self._clock.now()
        if not isinstance(reply, messages.LoanGrant):
            self._book.fail(ask, now)
            self._metrics.count("loan_failures")
        else:
            grant = Grant(reply.fraction, reply.tokens)
            self._book.take_grant(ask, ask.lender, grant, now)
            granted = "granted" if reply.fraction > 0 else "declined"
            self._metrics.count("loans_asked", outcome=granted)
        self._wake_waiters(ask.customer, now)

    async def _send_return(self, back: GiveBack) -> None:
        message = messages.LoanReturn(loan_id=back.loan_id, tokens=back.tokens)
        await self._bus.request(back.lender, message, PEER_TIMEOUT_S)

    async def _on_loan_request(self, request: Any, sender: Sender) -> Any:
        now = self._clock.now()
        grant = DECLINED
        if self._lease.may_lend(now):
            grant = self._book.lend(
                sender.instance,
                request.customer,
                request.loan_id,
                request.fraction,
                request.duration_ms / 1000,
                now,
            )
        return messages.LoanGrant(
            loan_id=request.loan_id,
            fraction=grant.fraction,
            tokens=grant.tokens,
            config_version=0,
        )

    async def _on_loan_return(self, message: Any, sender: Sender) -> Any:
        taken = self._book.take_back(
            sender.instance,
            message.loan_id,
            message.tokens,
            self._clock.now(),
        )
        return messages.Done(accepted=taken, reason="")

    async def _on_release(self, message: Any, sender: Sender) -> Any:
        self._lease.wake()
        for callback in self._release_watchers:
            callback(message, sender)
        return messages.Done(accepted=True, reason="")
