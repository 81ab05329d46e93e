"""Moves holdings between token holders when a region's holders change.

The designated holder of a customer asks the peers of its region to release
their holdings of that customer, and continues with their tokens and demand. An
instance that holds tokens for which a peer is designated hands them over
without being asked. It may be unknown to that peer, for example because it is
leaving and its record has been removed. No token is granted twice, and the
region's part of the rate stays available.
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

# Timeout of a peer of the region that is asked to release its holdings. With
# the timeout of a forwarded token request it is less than that of the request
# that was sent first; see `rate_limiter`.
RELEASE_TIMEOUT_S = 0.1
# Token requests go to the instance to which a holding was released for this
# long: two report periods, after which all instances know the new holder.
SUCCESSOR_S = 1.0


class HolderChanges(BackgroundTask):
    """Takes over and releases holdings; an async context manager.

    Args:
        own: Record of this instance.
        rates: Holdings of this instance.
        gossip_state: Updated with the holdings that peers have released.
        holders: Ranks the instances of the region as holders of a customer.
        peers: Liveness of the other instances.
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
        # Customers for which this instance is the designated holder.
        self._designated: frozenset[str] = frozenset()
        # Those of them whose holdings it has requested from its peers.
        self._requested: frozenset[str] = frozenset()
        # By customer: instance to which the holding was released, and monotonic
        # time until which token requests go there.
        self._successors: dict[str, tuple[str, float]] = {}
        self._wake = asyncio.Event()
        bus.handle(messages.HoldingRequest)(self._on_request)
        bus.handle(messages.Holdings)(self._on_holdings)

    def set_designated(self, customers: frozenset[str]) -> None:
        """Sets the customers for which this instance is designated."""
        self._designated = customers
        self._requested &= customers
        self._rates.set_assigned_customers(self._requested)
        if self._to_request or self._to_hand_over:
            self._wake.set()

    def successor(self, customer: str) -> str | None:
        """Returns the instance to which a holding was released recently."""
        name, until = self._successors.get(customer, (None, 0.0))
        return name if self._clock.now() < until else None

    async def take_over(self, customers: frozenset[str]) -> None:
        """Requests the holdings of customers from the peers of the region."""
        names = self._reachable_peers()
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
                moved += _decode_holdings(name, reply)
            elif isinstance(reply, PeerUnavailable) and reply.refused:
                self._peers.record_refused_connection(name, now)
        for name in self._unreachable_peers(now):
            moved += self._gossip_state.last_known_holdings(
                name, customers, now
            )
        for customer in customers:
            self._successors.pop(customer, None)
        self._gossip_state.apply_holdings(moved, now)
        self._requested |= customers & self._designated
        self._rates.set_assigned_customers(self._requested)

    async def _run(self) -> None:
        await repeat(self._step, 0.0, "holder changes")

    async def _step(self) -> None:
        await self._wake.wait()
        self._wake.clear()
        if self._to_request:
            await self.take_over(self._to_request)
        for name, customers in self._to_hand_over.items():
            await self._hand_over(name, customers)

    @property
    def _to_request(self) -> frozenset[str]:
        """Designated customers whose holdings have not been requested yet."""
        return self._designated - self._requested

    @property
    def _to_hand_over(self) -> dict[str, list[str]]:
        """Customers held here whose designated holder is heard, by holder."""
        now = self._clock.now()
        found: dict[str, list[str]] = {}
        for customer in self._rates.held_customers - self._designated:
            name = self._holders.order(customer)[0]
            if self._peers.heard_age_s(name, now) < ISOLATION_DETECTION_S:
                found.setdefault(name, []).append(customer)
        return found

    async def _hand_over(self, name: str, customers: list[str]) -> None:
        """Releases holdings to the peer that is designated for them.

        The tokens are lost if the peer does not answer. They are not restored
        here, since the peer may have received them.
        """
        message = self._release_to(frozenset(customers), name)
        await self._bus.request(name, message, RELEASE_TIMEOUT_S)

    def _unreachable_peers(self, now: float) -> list[str]:
        """Returns the peers of the region that no longer answer."""
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region
            and not self._peers.is_reachable(name, now)
        ]

    def _reachable_peers(self) -> list[str]:
        """Returns the peers of the region that may answer."""
        now = self._clock.now()
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region
            and self._peers.is_reachable(name, now)
        ]

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        """Releases holdings of this instance to the next holder."""
        return self._release_to(
            frozenset(message.customers or ()), sender.instance
        )

    async def _on_holdings(self, message: Any, sender: Sender) -> Any:
        """Applies holdings that a peer has released to this instance."""
        moved = _decode_holdings(sender.instance, message)
        self._gossip_state.apply_holdings(moved, self._clock.now())
        return messages.Done(accepted=True, reason="")

    def _release_to(self, customers: frozenset[str], name: str) -> Any:
        """Ends holdings here and returns the message that moves them."""
        now = self._clock.now()
        moved = [
            self._rates.release_holding(customer, now) for customer in customers
        ]
        until = now + SUCCESSOR_S
        for customer in customers:
            self._successors[customer] = (name, until)
        self._requested -= customers
        self._rates.set_assigned_customers(self._requested)
        return messages.Holdings(
            holdings=[
                messages.MovedHolding(
                    customer=holding.customer,
                    tokens=holding.tokens,
                    demand_per_s=holding.demand_per_s,
                    counted_per_s=holding.counted_per_s,
                )
                for holding in moved
                if holding is not None
            ]
        )


def _decode_holdings(name: str, message: Any) -> list[MovedHolding]:
    """Decodes the holdings that a peer released; skips invalid ones."""
    return [
        MovedHolding(
            holding.customer,
            name,
            holding.tokens,
            holding.demand_per_s,
            holding.counted_per_s,
        )
        for holding in message.holdings or ()
        if all(
            amount is not None and 0.0 <= amount < math.inf
            for amount in (
                holding.tokens,
                holding.demand_per_s,
                holding.counted_per_s,
            )
        )
    ]
