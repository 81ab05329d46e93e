"""Admits requests by tokens from the instances that hold customers' rates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from radishmux.clock import Clock
from radishmux.config.routing import CustomerPolicy
from radishmux.gateway.holder_changes import HolderChanges
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.demand import DemandMeter
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holders import TokenHolders

# Timeout of a token request to a holder: several times what a busy instance
# of the same region needs to answer.
HOLDER_TIMEOUT_S = 0.25
# Timeout of a forwarded token request. It is shorter because the instance
# that sent the request first waits with HOLDER_TIMEOUT_S.
FORWARDED_TIMEOUT_S = 0.1
# A holder that did not answer is skipped for this long. By then the reports
# show that it is dead or silent.
UNRESPONSIVE_S = 2.0
# Tokens are prefetched for this much of a customer's demand at this instance,
# and dropped after twice that time.
PREFETCH_S = 0.2
MAX_PREFETCHED_TOKENS = 8
# While the instances of a region do not know each other yet, requests ask again
# this often: the holder may change at any time.
SETTLING_POLL_S = 0.1
# Maximum number of instances tried for one request when holders do not
# answer.
MAX_HOLDERS_TRIED = 3


class Grant:
    """Result of a token request.

    Attributes:
        tokens: Number of tokens granted.
        wait_s: Seconds until the next token accrues.
        fraction: Fraction of the customer's rate that the holder has.
        holder: Name of the holder.
    """

    __slots__ = ("fraction", "holder", "tokens", "wait_s")

    def __init__(
        self, holder: str, tokens: int, wait_s: float, fraction: float
    ) -> None:
        self.holder = holder
        self.tokens = tokens
        self.wait_s = wait_s
        self.fraction = fraction


class _CustomerState:
    """Fetched tokens of one customer and the requests that wait for more.

    Attributes:
        tokens: Fetched tokens that have not been used.
        expires_at: Monotonic time when these tokens are dropped.
        waiting: Number of requests that wait for a token.
        arrived: Number of requests since the last token request.
        demand: Meter of the customer's requests at this instance.
        fetch_task: Token request in flight, if any.
    """

    __slots__ = (
        "arrived",
        "demand",
        "expires_at",
        "fetch_task",
        "tokens",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.tokens = 0
        self.expires_at = now
        self.waiting = 0
        self.arrived = 0
        self.demand = DemandMeter(now)
        self.fetch_task: asyncio.Task[Grant] | None = None

    def try_acquire(self, now: float) -> bool:
        """Takes one fetched token if there is one that has not expired."""
        self._drop_expired(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def add_tokens(self, tokens: int, now: float) -> None:
        """Adds fetched tokens and renews the expiry of all tokens."""
        self._drop_expired(now)
        self.tokens += tokens
        self.expires_at = now + 2 * PREFETCH_S

    def tokens_to_request(self, now: float) -> int:
        """Returns the tokens for waiting requests plus those to prefetch."""
        prefetched = int(self.demand.rate_per_s(now) * PREFETCH_S)
        return self.waiting + min(MAX_PREFETCHED_TOKENS, prefetched)

    def _drop_expired(self, now: float) -> None:
        if now >= self.expires_at:
            self.tokens = 0


class FleetRateLimiter:
    """Limits each customer to its rate across the whole fleet.

    Each customer has one token holder per region. Token requests for requests
    of a customer that wait at the same time are combined into one.

    Args:
        rates: Token buckets held by this instance.
        holders: Ranks the instances of the region as holders of a customer.
        changes: Takes over holdings for which this instance is designated.
        bus: Connections to the peers.
        on_connection_refused: Called with the name of a peer that refuses
            connections, which means that its process has ended.
        clock: Monotonic time.
        is_settled: Whether this instance knows the others. It does not yet
            after a restart of all instances.
    """

    def __init__(
        self,
        rates: FleetRates,
        holders: TokenHolders,
        changes: HolderChanges,
        bus: PeerBus,
        on_connection_refused: Callable[[str], None],
        clock: Clock,
        is_settled: Callable[[], bool],
    ) -> None:
        self._rates = rates
        self._holders = holders
        self._changes = changes
        self._bus = bus
        self._on_connection_refused = on_connection_refused
        self._clock = clock
        self._is_settled = is_settled
        self._states: dict[str, _CustomerState] = {}
        # Monotonic time until which each peer is not sent token requests.
        self._unresponsive_until: dict[str, float] = {}
        bus.handle(messages.TokenRequest)(self._on_request)

    async def acquire(
        self,
        customer: CustomerPolicy,
        longest_s: float,
        settling_s: float = 0.0,
    ) -> Grant | None:
        """Acquires one token, waiting for it if it accrues soon enough.

        Args:
            customer: The customer that sends the request.
            longest_s: Maximum time in seconds to wait for a token to accrue.
            settling_s: The same while the holders are being determined after
                a restart of all instances. Those that stand in for them have
                a small part of the rate, so that a refusal would not mean
                that the customer exceeds its rate.

        Returns:
            None if the request is admitted. Otherwise the holder's answer,
            with the time until the next token.
        """
        if customer.rate_per_s <= 0:
            return None
        now = self._clock.now()
        state = self._states.get(customer.name)
        if state is None:
            state = self._states[customer.name] = _CustomerState(now)
        state.demand.record(now)
        state.arrived += 1
        if state.try_acquire(now):
            return None
        started_at = now
        state.waiting += 1
        try:
            while True:
                grant = await self._join_fetch(customer.name, state)
                now = self._clock.now()
                if state.try_acquire(now):
                    return None
                wait_s, end = grant.wait_s, started_at + longest_s
                if not self._is_settled() and settling_s > longest_s:
                    wait_s, end = SETTLING_POLL_S, started_at + settling_s
                if now + wait_s > end:
                    return grant
                await asyncio.sleep(wait_s)
        finally:
            state.waiting -= 1

    async def _join_fetch(self, customer: str, state: _CustomerState) -> Grant:
        """Waits for the token request in flight, or sends one."""
        if state.fetch_task is None:
            state.fetch_task = asyncio.create_task(self._fetch(customer, state))
            state.fetch_task.add_done_callback(
                lambda task: self._on_fetched(state, task)
            )
        # Shielded, since other requests wait for the same answer.
        return await asyncio.shield(state.fetch_task)

    @staticmethod
    def _on_fetched(state: _CustomerState, task: asyncio.Task[Grant]) -> None:
        state.fetch_task = None
        if not task.cancelled():
            # Marks the exception as retrieved when no request waits any more.
            task.exception()

    async def _fetch(self, customer: str, state: _CustomerState) -> Grant:
        """Requests tokens for all waiting requests and stores them."""
        now = self._clock.now()
        wanted, arrived = state.tokens_to_request(now), state.arrived
        state.arrived = 0
        grant = await self._request_grant(
            customer, arrived, wanted, HOLDER_TIMEOUT_S
        )
        if grant is None:
            grant = self._grant_locally(customer, arrived, wanted)
        if grant.tokens:
            state.add_tokens(grant.tokens, self._clock.now())
        return grant

    async def _request_grant(
        self, customer: str, arrived: int, wanted: int, timeout_s: float
    ) -> Grant | None:
        """Takes tokens from the holder, at this instance or at a peer.

        If the candidates ranked before this instance do not answer, this
        instance becomes a holder too. It asks them again before it uses its
        own part, which is small: without that, it extended its holding with
        each request and refused what the designated holder had tokens for.

        Returns:
            The holder's answer, or None if no candidate answered.
        """
        is_forwarded = timeout_s == FORWARDED_TIMEOUT_S
        if self._rates.is_held(customer) and (
            is_forwarded or self._is_designated(customer)
        ):
            return self._grant_locally(customer, arrived, wanted)
        message = messages.TokenRequest(
            customer=customer,
            tokens=wanted,
            arrived=arrived,
            is_forwarded=is_forwarded,
        )
        tried = 0
        for holder in self._candidates(customer):
            if holder == self._bus.instance:
                if self._is_designated(customer):
                    await self._changes.take_over(frozenset({customer}))
                return self._grant_locally(customer, arrived, wanted)
            if self._unresponsive_until.get(holder, 0.0) > self._clock.now():
                continue
            if tried == MAX_HOLDERS_TRIED:
                break
            tried += 1
            grant = await self._request_from_peer(holder, message, timeout_s)
            if grant is not None:
                return grant
        return None

    def _candidates(self, customer: str) -> list[str]:
        """Returns the instances to try, the likeliest holder first."""
        candidates = list(self._holders.order(customer))
        successor = self._changes.successor(customer)
        if successor is not None:
            candidates.insert(0, successor)
        return candidates

    async def _request_from_peer(
        self, holder: str, message: Any, timeout_s: float
    ) -> Grant | None:
        """Requests tokens from a peer.

        Returns:
            None if the peer does not answer or does not hold the tokens.
        """
        reply = await self._bus.request(holder, message, timeout_s)
        if isinstance(reply, PeerUnavailable):
            self._unresponsive_until[holder] = (
                self._clock.now() + UNRESPONSIVE_S
            )
            if reply.refused:
                self._on_connection_refused(holder)
            return None
        if not isinstance(reply, messages.TokenGrant):
            # The peer has not read the configuration with this customer yet,
            # or regards another instance as the holder.
            return None
        if None in (reply.tokens, reply.wait_ms) or reply.wait_ms < 0:
            logger.warning("grant of {} not used: {}", holder, reply)
            return None
        tokens = max(0, reply.tokens)
        return Grant(holder, tokens, reply.wait_ms / 1000, reply.fraction or 0)

    def _grant_locally(self, customer: str, arrived: int, wanted: int) -> Grant:
        now = self._clock.now()
        tokens = self._rates.take_tokens(customer, arrived, wanted, now)
        return Grant(
            self._bus.instance,
            tokens,
            self._rates.wait_s(customer, now),
            self._rates.fraction(customer),
        )

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        customer = message.customer
        if not self._rates.has_customer(customer):
            return messages.Done(accepted=False, reason="unknown customer")
        grant = None
        if not message.is_forwarded or self._may_hold(customer):
            grant = await self._request_grant(
                customer, message.arrived, message.tokens, FORWARDED_TIMEOUT_S
            )
        if grant is None:
            return messages.Done(accepted=False, reason="not the holder")
        return messages.TokenGrant(
            customer=customer,
            tokens=grant.tokens,
            wait_ms=round(1000 * grant.wait_s),
            fraction=grant.fraction,
        )

    def _may_hold(self, customer: str) -> bool:
        """Whether this instance holds the tokens or is designated for them."""
        return self._rates.is_held(customer) or self._is_designated(customer)

    def _is_designated(self, customer: str) -> bool:
        return self._holders.order(customer)[:1] == (self._bus.instance,)
