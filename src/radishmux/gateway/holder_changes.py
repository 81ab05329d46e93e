"""Moves what token holders have when a region's holders change.

The instance that a customer's tokens fall to asks the peers of its region to
release what they hold of it, and goes on with their tokens and their demand.
Tokens are never given out twice, and the region's part of the rate goes on.
"""

from __future__ import annotations

import asyncio
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.digest import Digest
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holding import MovedHolding
from radishmux.tasks import Background, repeat

# Longest wait for a peer of the region that releases its holdings. With the
# time for a forwarded question it is less than the asker's timeout.
RELEASE_TIMEOUT_S = 0.1
# Questions go to the instance that a holding was released to for this long: two
# report periods, until all know it as the holder.
SUCCESSOR_S = 1.0


class HolderChanges(Background):
    """Takes over and releases holdings; an async context manager.

    Args:
        own: This instance's record.
        rates: What is held here.
        digest: Takes what peers have released.
        peers: Who lives.
        bus: Connections to the peers.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        rates: FleetRates,
        digest: Digest,
        peers: Peers,
        bus: PeerBus,
        clock: Clock,
    ) -> None:
        self._own = own
        self._rates = rates
        self._digest = digest
        self._peers = peers
        self._bus = bus
        self._clock = clock
        # Customers whose tokens fall to this instance, those whose holdings it
        # has asked for, and those of which a peer holds something.
        self._designated: frozenset[str] = frozenset()
        self._taken: frozenset[str] = frozenset()
        self._contested: frozenset[str] = frozenset()
        # Instance that each customer's holding was released to, and until when
        # questions go there.
        self._released: dict[str, tuple[str, float]] = {}
        self._wake = asyncio.Event()
        bus.handle(messages.HoldingRequest)(self._on_request)

    def set_designated(self, customers: frozenset[str]) -> None:
        """Sets the customers whose tokens fall to this instance."""
        self._designated = customers
        self._taken &= customers
        self._contested = customers & self._rates.contested
        self._rates.set_held(self._taken)
        if self._missing:
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
            if isinstance(reply, messages.HoldingReply):
                moved += _decode(name, reply)
            elif isinstance(reply, PeerUnavailable) and reply.refused:
                self._peers.refused(name, now)
        for name in self._dead():
            moved += self._digest.holdings_of_dead(name, customers, now)
        for customer in customers:
            self._released.pop(customer, None)
        self._digest.take_over(moved, now)

    async def _run(self) -> None:
        await repeat(self._step, 0.0, "holder changes")

    async def _step(self) -> None:
        await self._wake.wait()
        self._wake.clear()
        missing = self._missing
        if missing:
            await self.take_over(missing)
            self._taken |= missing & self._designated
            self._rates.set_held(self._taken)

    @property
    def _missing(self) -> frozenset[str]:
        """Customers whose holdings are to be asked for."""
        return (self._designated - self._taken) | self._contested

    def _dead(self) -> list[str]:
        """Returns the peers of the region whose process is gone."""
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region and self._peers.is_gone(name)
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
        """Releases what is held here to the next holder."""
        now = self._clock.now()
        wanted = frozenset(message.customers or ())
        moved = [self._rates.release(customer, now) for customer in wanted]
        until = now + SUCCESSOR_S
        for customer in wanted:
            self._released[customer] = (sender.instance, until)
        self._taken -= wanted
        self._rates.set_held(self._taken)
        return messages.HoldingReply(
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


def _decode(name: str, reply: Any) -> list[MovedHolding]:
    return [
        MovedHolding(
            one.customer,
            name,
            one.tokens,
            one.demand_per_s,
            one.counted_per_s,
        )
        for one in reply.holdings or ()
    ]
