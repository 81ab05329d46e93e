"""Takes tokens of customers' rates from the instances that hold them."""

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

# Longest wait for a holder's answer: several times what a busy instance of
# the same region takes.
ASK_TIMEOUT_S = 0.25
# The same for a question that was forwarded, and whose asker waits too.
FORWARD_TIMEOUT_S = 0.1
# A holder that did not answer is not asked again for this long: until peers
# have noticed too.
SUSPECT_S = 2.0
# Tokens are fetched ahead for this much of a customer's demand here, and
# dropped after twice that time.
AHEAD_S = 0.2
MAX_AHEAD = 8
# Instances asked for one request, when holders do not answer.
MAX_HOLDERS_ASKED = 3


class Grant:
    """What a holder answered.

    Attributes:
        tokens: Tokens that were granted.
        wait_s: Seconds until the next one accrues.
        fraction: Part of the customer's rate that the holder divides out.
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


class _Pocket:
    """Tokens of one customer that were fetched, and who waits for more."""

    __slots__ = (
        "arrived",
        "asking",
        "demand",
        "expires_at",
        "tokens",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.tokens = 0
        self.expires_at = now
        self.waiting = 0
        self.arrived = 0
        self.demand = DemandMeter(now)
        self.asking: asyncio.Task[Grant] | None = None

    def try_acquire(self, now: float) -> bool:
        """Takes a token, if there is one that has not expired."""
        self._drop_expired(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def put(self, tokens: int, now: float) -> None:
        """Adds fetched tokens."""
        self._drop_expired(now)
        self.tokens += tokens
        self.expires_at = now + 2 * AHEAD_S

    def wanted(self, now: float) -> int:
        """Returns how many tokens to ask for."""
        ahead = int(self.demand.rate_per_s(now) * AHEAD_S)
        return self.waiting + min(MAX_AHEAD, ahead)

    def _drop_expired(self, now: float) -> None:
        if now >= self.expires_at:
            self.tokens = 0


class FleetRateLimiter:
    """Admits requests within the rates of the whole fleet.

    Each customer has a token holder in the region. Questions of requests that
    wait at the same time are put as one.

    Args:
        rates: Buckets that are held here.
        holders: Tells who holds the others.
        changes: Takes over what falls to this instance.
        bus: Connections to the peers.
        on_refused: Takes the name of a peer whose process is gone.
        clock: Monotonic time.
    """

    def __init__(
        self,
        rates: FleetRates,
        holders: TokenHolders,
        changes: HolderChanges,
        bus: PeerBus,
        on_connection_refused: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._rates = rates
        self._holders = holders
        self._changes = changes
        self._bus = bus
        self._on_connection_refused = on_connection_refused
        self._clock = clock
        self._pockets: dict[str, _Pocket] = {}
        self._suspects: dict[str, float] = {}
        bus.handle(messages.TokenRequest)(self._on_request)

    async def acquire(
        self, customer: CustomerPolicy, longest_s: float
    ) -> Grant | None:
        """Takes one token.

        Args:
            customer: The customer that sends the request.
            longest_s: Longest useful wait in seconds.

        Returns:
            None: the request is within the customer's rate; else the answer
            that it is not.
        """
        if customer.rate_per_s <= 0:
            return None
        now = self._clock.now()
        pocket = self._pockets.get(customer.name)
        if pocket is None:
            pocket = self._pockets[customer.name] = _Pocket(now)
        pocket.demand.record(now)
        pocket.arrived += 1
        if pocket.try_acquire(now):
            return None
        end = now + longest_s
        pocket.waiting += 1
        try:
            while True:
                grant = await self._fetch(customer.name, pocket)
                now = self._clock.now()
                if pocket.try_acquire(now):
                    return None
                if now + grant.wait_s > end:
                    return grant
                await asyncio.sleep(grant.wait_s)
        finally:
            pocket.waiting -= 1

    async def _fetch(self, customer: str, pocket: _Pocket) -> Grant:
        """Asks for tokens, or joins a question that is under way."""
        if pocket.asking is None:
            pocket.asking = asyncio.create_task(self._ask(customer, pocket))
            pocket.asking.add_done_callback(
                lambda task: self._on_asked(pocket, task)
            )
        # Shielded: others wait for the same answer.
        return await asyncio.shield(pocket.asking)

    @staticmethod
    def _on_asked(pocket: _Pocket, task: asyncio.Task[Grant]) -> None:
        pocket.asking = None
        if not task.cancelled():
            task.exception()

    async def _ask(self, customer: str, pocket: _Pocket) -> Grant:
        """Asks for tokens for the requests that wait."""
        now = self._clock.now()
        wanted, arrived = pocket.wanted(now), pocket.arrived
        pocket.arrived = 0
        grant = await self._find(customer, arrived, wanted, ASK_TIMEOUT_S)
        if grant is None:
            grant = self._take_here(customer, arrived, wanted)
        if grant.tokens:
            pocket.put(grant.tokens, self._clock.now())
        return grant

    async def _find(
        self, customer: str, arrived: int, wanted: int, timeout_s: float
    ) -> Grant | None:
        """Takes tokens from the holder, wherever it is.

        An instance whose turn it is after those that do not answer becomes a
        holder too.

        Returns:
            The holder's answer; None: there is no holder.
        """
        if self._rates.is_held(customer):
            return self._take_here(customer, arrived, wanted)
        message = messages.TokenRequest(
            customer=customer,
            tokens=wanted,
            arrived=arrived,
            is_forwarded=timeout_s == FORWARD_TIMEOUT_S,
        )
        asked = 0
        for holder in self._order(customer):
            if holder == self._bus.instance:
                if self._is_first(customer):
                    await self._changes.take_over(frozenset({customer}))
                return self._take_here(customer, arrived, wanted)
            if self._suspects.get(holder, 0.0) > self._clock.now():
                continue
            if asked == MAX_HOLDERS_ASKED:
                break
            asked += 1
            grant = await self._ask_peer(holder, message, timeout_s)
            if grant is not None:
                return grant
        return None

    def _order(self, customer: str) -> list[str]:
        """Returns the instances to ask, the likeliest holder first."""
        order = list(self._holders.order(customer))
        successor = self._changes.successor(customer)
        if successor is not None:
            order.insert(0, successor)
        return order

    async def _ask_peer(
        self, holder: str, message: Any, timeout_s: float
    ) -> Grant | None:
        """Asks a peer; None: it did not answer, or holds nothing."""
        reply = await self._bus.request(holder, message, timeout_s)
        if isinstance(reply, PeerUnavailable):
            self._suspects[holder] = self._clock.now() + SUSPECT_S
            if reply.refused:
                self._on_connection_refused(holder)
            return None
        if not isinstance(reply, messages.TokenGrant):
            # It has not read the configuration with this customer yet, or
            # takes another instance for the holder.
            return None
        if None in (reply.tokens, reply.wait_ms) or reply.wait_ms < 0:
            logger.warning("grant of {} not used: {}", holder, reply)
            return None
        tokens = max(0, reply.tokens)
        return Grant(holder, tokens, reply.wait_ms / 1000, reply.fraction or 0)

    def _take_here(self, customer: str, arrived: int, wanted: int) -> Grant:
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
            grant = await self._find(
                customer, message.arrived, message.tokens, FORWARD_TIMEOUT_S
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
        """Whether this instance is the holder, or takes itself for it."""
        return self._rates.is_held(customer) or self._is_first(customer)

    def _is_first(self, customer: str) -> bool:
        return self._holders.order(customer)[:1] == (self._bus.instance,)
