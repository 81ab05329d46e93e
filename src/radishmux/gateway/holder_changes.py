"""Moves what token holders have when a region's holders change.

The instance that a customer's tokens fall to asks the peers of its region to
release what they hold of it, and goes on with their tokens and their demand. An
instance that holds tokens which fall to a peer hands them over: the peer may
not know of it, for example since it is leaving and has no record any more.
Tokens are never given out twice, and the region's part of the rate goes on.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.gossip_state import GossipState
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.fleet_rate import ISOLATION_DETECTION_S, FleetRates
from radishmux.share.holders import TokenHolders
from radishmux.share.holding import MovedHolding
from radishmux.tasks import BackgroundTask, repeat

# Longest wait for a peer of the region that releases its holdings. With the
# time for a forwarded question it is less than the asker's timeout.
RELEASE_TIMEOUT_S = 0.1
# Questions go to the instance that a holding was released to for this long: two
# report periods, until all know it as the holder.
SUCCESSOR_S = 1.0


class HolderChanges(BackgroundTask):
    """Takes over and releases holdings; an async context manager.

    Args:
        own: This instance's record.
        rates: What is held here.
        digest: Takes what peers have released.
        holders: Tells whom tokens fall to.
        peers: Who lives.
        bus: Connections to the peers.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        rates: FleetRates,
        gossip_state: GossipState,
        holders: TokenHolders,
        peers: Peers,
        bus: PeerBus,
        clock: Clock,
    ) -> None:
        self._own = own
        self._rates = rates
        self._gossip_state = gossip_state
        self._holders = holders
        self._peers = peers
        self._bus = bus
        self._clock = clock
        # Customers whose tokens fall to this instance, and those of them whose
        # holdings it has asked for.
        self._designated: frozenset[str] = frozenset()
        self._taken: frozenset[str] = frozenset()
        # Instance that each customer's holding was released to, and until when
        # questions go there.
        self._released: dict[str, tuple[str, float]] = {}
        self._wake = asyncio.Event()
        bus.handle(messages.HoldingRequest)(self._on_request)
        bus.handle(messages.Holdings)(self._on_holdings)

    def set_designated(self, customers: frozenset[str]) -> None:
        """Sets the customers whose tokens fall to this instance."""
        self._designated = customers
        self._taken &= customers
        self._rates.set_assigned_customers(self._taken)
        if self._missing or self._surplus:
            self._wake.set()

    def successor(self, customer: str) -> str | None:
        """Returns the instance that a holding was released to lately."""
        name, until = self._released.get(customer, (None, 0.0))
        return name if self._clock.now() < until else None

    async def take_over(self, customers: frozenset[str]) -> None:
        """Asks the peers of the region for their holdings of customers."""
        names = self._near()
        request = messages.HoldingRequest(customers=sorted(customers))
        replies = await asyncio.gather(
            *(
                self._bus.request(name, request, RELEASE_TIMEOUT_S)
                for name in names
            )
        )
        now = self._clock.now()
        moved = []
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, messages.Holdings):
                moved += _decode(name, reply)
            elif isinstance(reply, PeerUnavailable) and reply.refused:
                self._peers.record_refused_connection(name, now)
        for name in self._silent(now):
            moved += self._gossip_state.holdings_of_silent(name, customers, now)
        for customer in customers:
            self._released.pop(customer, None)
        self._gossip_state.take_over(moved, now)
        self._taken |= customers & self._designated
        self._rates.set_assigned_customers(self._taken)

    async def _run(self) -> None:
        await repeat(self._step, 0.0, "holder changes")

    async def _step(self) -> None:
        await self._wake.wait()
        self._wake.clear()
        if self._missing:
            await self.take_over(self._missing)
        for name, customers in self._surplus.items():
            await self._hand_over(name, customers)

    @property
    def _missing(self) -> frozenset[str]:
        """Customers whose holdings are to be asked for."""
        return self._designated - self._taken

    @property
    def _surplus(self) -> dict[str, list[str]]:
        """Customers that are held here and fall to a peer that is heard."""
        now = self._clock.now()
        found: dict[str, list[str]] = {}
        for customer in self._rates.held_customers - self._designated:
            name = self._holders.order(customer)[0]
            if self._peers.heard_age_s(name, now) < ISOLATION_DETECTION_S:
                found.setdefault(name, []).append(customer)
        return found

    async def _hand_over(self, name: str, customers: list[str]) -> None:
        """Releases holdings to a peer that they fall to.

        They are lost if it does not answer: it may have them.
        """
        message = self._release(frozenset(customers), name)
        await self._bus.request(name, message, RELEASE_TIMEOUT_S)

    def _silent(self, now: float) -> list[str]:
        """Returns the peers of the region that do not answer any more."""
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region
            and not self._peers.is_reachable(name, now)
        ]

    def _near(self) -> list[str]:
        """Returns the peers of the region that may hold something."""
        now = self._clock.now()
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region
            and self._peers.is_reachable(name, now)
        ]

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        """Releases what is held here to its next holder."""
        return self._release(
            frozenset(message.customers or ()), sender.instance
        )

    async def _on_holdings(self, message: Any, sender: Sender) -> Any:
        """Takes what a peer has released to this instance."""
        moved = _decode(sender.instance, message)
        self._gossip_state.take_over(moved, self._clock.now())
        return messages.Done(accepted=True, reason="")

    def _release(self, customers: frozenset[str], name: str) -> Any:
        """Ends holdings here and returns what moves to a peer."""
        now = self._clock.now()
        moved = [
            self._rates.release_holding(customer, now) for customer in customers
        ]
        until = now + SUCCESSOR_S
        for customer in customers:
            self._released[customer] = (name, until)
        self._taken -= customers
        self._rates.set_assigned_customers(self._taken)
        return messages.Holdings(
            holdings=[
                messages.MovedHolding(
                    customer=one.customer,
                    tokens=one.tokens,
                    demand_per_s=one.demand_per_s,
                    counted_per_s=one.counted_per_s,
                )
                for one in moved
                if one is not None
            ]
        )


def _decode(name: str, message: Any) -> list[MovedHolding]:
    return [
        MovedHolding(
            one.customer,
            name,
            one.tokens,
            one.demand_per_s,
            one.counted_per_s,
        )
        for one in message.holdings or ()
        if all(
            amount is not None and 0.0 <= amount < math.inf
            for amount in (one.tokens, one.demand_per_s, one.counted_per_s)
        )
    ]
