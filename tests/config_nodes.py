"""Instances with a store, peers and configuration distribution, for tests.

They run in one process with a real store process, control connections and
clock. Each connects to the store at an address of its own, which can fail
separately.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import msgspec

from radishmux.clock import SystemClock
from radishmux.config.distribution import Distribution
from radishmux.config.model import Customer, Route
from radishmux.config.state import ConfigState
from radishmux.instances.interface import Instance
from radishmux.keys.check import KeyCheck
from radishmux.membership.heartbeats import Heartbeats
from radishmux.membership.roster_document import RosterEntry
from radishmux.membership.view import MembershipView
from radishmux.peer.bus import PeerBus
from radishmux.peer.link import PeerUnavailable
from radishmux.store.budget import BudgetedStore
from radishmux.store.etcd import EtcdStore
from radishmux.store.relay import RelayedStore
from tests.fakes import FakeMetrics, instance
from tests.standin_processes import StandIn, standin

REGIONS = ("accra", "kumasi", "accra")
KEYED = Route(name="all")
PUBLIC = Route(name="status", open_to_all=True)


class PartitionableBus(PeerBus):
    """Control connections that can hang without being closed."""

    is_partitioned = False

    def handle(self, message_type: type) -> Any:
        register = super().handle(message_type)

        def decorate(handler: Any) -> Any:
            async def handle_unless_partitioned(
                message: Any, sender: Any
            ) -> Any:
                while self.is_partitioned:
                    await asyncio.sleep(0.05)
                return await handler(message, sender)

            register(handle_unless_partitioned)
            return handler

        return decorate

    async def request(self, name: str, message: Any, timeout_s: float) -> Any:
        if not self.is_partitioned:
            return await super().request(name, message, timeout_s)
        await asyncio.sleep(timeout_s)
        return PeerUnavailable("timeout")


class StaticInstanceList:
    """An instance list that does not change."""

    def __init__(self) -> None:
        self.instances: tuple[Instance, ...] = ()

    async def read(self, timeout_s: float) -> tuple[Instance, ...]:
        return self.instances


class Node:
    """One instance with its store client, peers and configuration."""

    def __init__(
        self,
        own: Instance,
        store_address: str,
        instance_list: StaticInstanceList,
    ) -> None:
        self.own = own
        self.instance_list = instance_list
        self.clock = SystemClock()
        self.metrics = FakeMetrics()
        self.direct = EtcdStore([store_address], self.metrics)
        self.bus = PartitionableBus(own.instance, 1, "127.0.0.1:0")
        self.view = MembershipView(own, 1, self.clock.now())
        self.state = ConfigState()
        self.keys = KeyCheck(self.state, self.view, self.metrics)
        self.stack = contextlib.AsyncExitStack()

    async def listen(self) -> None:
        """Connects to the store and listens on the control address."""
        await self.stack.enter_async_context(self.direct)
        await self.stack.enter_async_context(self.bus)
        port = self.bus._server.sockets[0].getsockname()[1]
        self.own = msgspec.structs.replace(
            self.own, control_address=f"127.0.0.1:{port}"
        )

    async def start(self) -> None:
        """Starts heartbeats and configuration distribution."""
        budgeted = BudgetedStore(
            self.direct,
            lambda: len(self.view.live()),
            self.clock,
            self.metrics,
        )
        store = RelayedStore(
            budgeted, self.bus, self.view, self.clock, self.metrics
        )
        heartbeats = Heartbeats(
            self.view, self.bus, self.instance_list, self.clock, self.metrics
        )
        await self.stack.enter_async_context(heartbeats)
        self.distribution = Distribution(
            store,
            self.state,
            self.bus,
            self.view,
            self.own,
            self.clock,
            self.metrics,
        )
        await self.stack.enter_async_context(self.distribution)

    @property
    def version(self) -> int:
        return self.state.current.version

    def check_key(self, key: str, route: Route = KEYED) -> str:
        """Returns the customer's name, "public", or the refusal's reason."""
        result = self.keys.check(key, route, self.clock.now())
        if result is None:
            return "public"
        return result.name if isinstance(result, Customer) else result.reason


class Fleet:
    """Three instances in two regions and their store."""

    def __init__(self, server: StandIn, nodes: Sequence[Node]) -> None:
        self.server = server
        self.nodes = nodes

    async def set_store_fault(self, node: Node, down: str = "hang") -> None:
        """Sets how one instance's store address fails; "no" repairs it."""
        address = self.server.addresses[1 + self.nodes.index(node)]
        await self.server.control(listener=address, down=down)

    def set_roster(self) -> None:
        """Makes every instance a member of the roster."""
        entries = tuple(
            RosterEntry(
                instance=node.own.instance,
                incarnation=1,
                region=node.own.region,
                failure_domain=node.own.failure_domain,
                caller_address=node.own.caller_address,
                peer_address=node.own.peer_address,
                control_address=node.own.control_address,
            )
            for node in self.nodes
        )
        for node in self.nodes:
            node.view.set_roster(entries, 1, node.clock.now())


@contextlib.asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Runs a store and three instances until the block ends."""
    # Operators use the first address.
    addresses = ["127.0.0.1:0"] * (1 + len(REGIONS))
    async with standin("store", addresses) as server:
        instance_list = StaticInstanceList()
        nodes = [
            Node(
                instance(f"n{n}", region),
                server.addresses[1 + n],
                instance_list,
            )
            for n, region in enumerate(REGIONS)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for node in nodes:
                await stack.enter_async_context(node.stack)
                await node.listen()
            instance_list.instances = tuple(node.own for node in nodes)
            for node in nodes:
                await node.start()
            yield Fleet(server, nodes)
