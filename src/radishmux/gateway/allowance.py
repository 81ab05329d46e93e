"""Takes tokens of customers' rates, here or from peers."""

from __future__ import annotations

import asyncio
from typing import Any

from radishmux.clock import Clock
from radishmux.config.routing import CustomerTerms
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.share.fleet_rate import FleetRates

# Peers of this region that are asked at the same time, and tokens asked of
# each: what waits and one more for the next request.
LENDERS = 2
# Time without questions after peers had nothing to give.
DRY_S = 0.5


class Allowance:
    """Admits requests within the rates of the whole fleet.

    The instance's own part of a small customer's burst is a few tokens. When
    they are used up, peers of the region that have less demand give some of
    theirs.

    Args:
        own: This instance's record.
        rates: This instance's parts of the rates.
        bus: Connections to the peers.
        peers: Tells where they are.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        rates: FleetRates,
        bus: PeerBus,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._own = own
        self._rates = rates
        self._bus = bus
        self._peers = peers
        self._clock = clock
        self._waiting: dict[str, int] = {}
        self._dry_until: dict[str, float] = {}
        bus.handle(messages.TokenRequest)(self._on_request)

    async def take(self, customer: CustomerTerms, longest_s: float) -> bool:
        """Takes one token.

        Args:
            customer: The customer that sends the request.
            longest_s: Longest useful wait in seconds.

        Returns:
            Whether the request is within the customer's rate.
        """
        now = self._clock.now()
        if self._rates.take(customer, now):
            return True
        name = customer.name
        end = now + longest_s
        self._waiting[name] = self._waiting.get(name, 0) + 1
        try:
            if now >= self._dry_until.get(name, 0.0):
                await self._borrow(name, longest_s)
            now = self._clock.now()
            if self._rates.take_again(customer, now):
                return True
            wait_s = self._rates.wait_s(customer, self._waiting[name] - 1, now)
            if now + wait_s > end:
                return False
            await asyncio.sleep(wait_s)
            return self._rates.take_again(customer, self._clock.now())
        finally:
            self._waiting[name] -= 1

    async def _borrow(self, customer: str, timeout_s: float) -> None:
        lenders = [
            name
            for name in self._rates.lenders(customer)
            if self._is_near(name)
        ][:LENDERS]
        wanted = 1.0 + self._waiting[customer]
        grants = await asyncio.gather(
            *(self._ask(name, customer, wanted, timeout_s) for name in lenders)
        )
        if not any(grants):
            self._dry_until[customer] = self._clock.now() + DRY_S

    def _is_near(self, name: str) -> bool:
        record = self._peers.records.get(name)
        return record is not None and record.region == self._own.region

    async def _ask(
        self, name: str, customer: str, wanted: float, timeout_s: float
    ) -> float:
        reply = await self._bus.request(
            name,
            messages.TokenRequest(customer=customer, tokens=wanted),
            timeout_s,
        )
        if not isinstance(reply, messages.TokenGrant) or not reply.tokens:
            return 0.0
        self._rates.receive(customer, reply.tokens, self._clock.now())
        return reply.tokens

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        tokens = self._rates.give(
            message.customer, message.tokens, self._clock.now()
        )
        return messages.TokenGrant(customer=message.customer, tokens=tokens)
