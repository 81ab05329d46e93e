"""One instance in virtual time: event loop, clock, bus and store access.

Each instance has its own loop, so that it can be frozen or killed while the
others go on. It runs the real membership and share code.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from radishmux.instances.interface import Instance
from radishmux.membership.heartbeats import Heartbeats
from radishmux.membership.roster import RosterLeaseManager
from radishmux.membership.view import MembershipView
from radishmux.outcome import NotFound, Unavailable, Unknown
from radishmux.peer.link import PeerUnavailable
from radishmux.share.manager import ShareManager
from radishmux.share.share_table import ShareTable
from radishmux.store.interface import Entry

if TYPE_CHECKING:
    from bench.virtual_fleet import VirtualFleet


class _NoSelector:
    """Stands for the selector of a loop without sockets."""

    def select(self, timeout_s: float | None) -> list[Any]:
        """Returns at once; virtual time moves between steps."""
        return []


class NodeLoop(asyncio.BaseEventLoop):
    """An event loop in virtual time that the fleet runs step by step."""

    def __init__(self, time: Callable[[], float]) -> None:
        super().__init__()
        self._virtual_time = time
        self._selector = _NoSelector()
        self.errors: list[BaseException] = []
        self.set_exception_handler(self._note_error)

    def time(self) -> float:
        """Returns the virtual time."""
        return self._virtual_time()

    def _note_error(self, loop: Any, context: dict[str, Any]) -> None:
        if "exception" in context:
            self.errors.append(context["exception"])

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def next_at(self) -> float:
        """Returns when the loop wants to run; inf if never."""
        if self._ready:
            return self.time()
        return self._scheduled[0].when() if self._scheduled else float("inf")

    def drain(self) -> None:
        """Cancels all tasks and lets them clean up."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.step()

    def step(self) -> None:
        """Runs everything that is due now."""
        asyncio.events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            asyncio.events._set_running_loop(None)
        if self.errors:
            raise self.errors.pop()


class NullMetrics:
    """Metrics that are not kept."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Does nothing."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Does nothing."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Does nothing."""


class VirtualBus:
    """One instance's end of the simulated channel, as peer.bus.PeerBus."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.instance = node.name
        self.incarnation = node.incarnation
        self.handlers: dict[type, Any] = {}
        self._addresses: dict[str, str] = {}

    def handle(self, message_type: type) -> Callable[[Any], Any]:
        """Registers a handler."""

        def decorate(handler: Any) -> Any:
            self.handlers[message_type] = handler
            return handler

        return decorate

    async def set_address(self, instance: str, address: str | None) -> None:
        """Sets or forgets an address."""
        if address is None:
            self._addresses.pop(instance, None)
        else:
            self._addresses[instance] = address

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message through the fleet's channel."""
        node = self._node
        reply = node.loop.create_future()
        node.fleet.send(node, instance, message, reply)
        return await node.within(reply, timeout_s, PeerUnavailable("timeout"))

    async def broadcast(self, message: Any, timeout_s: float) -> dict:
        """Sends to all peers; replies are not collected."""
        for name in list(self._addresses):
            await self.request(name, message, timeout_s)
        return {}


class VirtualStore:
    """One instance's access to the fleet's store."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def get(self, key: str, timeout_s: float) -> Any:
        """Reads the key."""
        return await self._call(self._read, timeout_s, Unavailable("timeout"))

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Any:
        """Writes the key."""

        def write() -> Any:
            return self._node.fleet.write_store(expected_revision, value)

        return await self._call(write, timeout_s, Unknown("timeout"))

    def _read(self) -> Any:
        fleet = self._node.fleet
        if fleet.revision == 0:
            return NotFound("no roster")
        return Entry(fleet.value, fleet.revision)

    async def _call(
        self, operation: Callable[[], Any], timeout_s: float, missing: Any
    ) -> Any:
        node = self._node
        answer = node.loop.create_future()
        node.fleet.call_store(node, operation, answer)
        return await node.within(answer, timeout_s, missing)


class VirtualInstanceList:
    """The platform's list, always current."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self._fleet = fleet

    async def read(self, timeout_s: float) -> tuple[Instance, ...]:
        """Returns the instances that have not been killed."""
        return tuple(n.record for n in self._fleet.nodes.values() if n.alive)


class Node:
    """One instance."""

    def __init__(
        self, fleet: VirtualFleet, name: str, region: str, incarnation: int
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.region = region
        self.incarnation = incarnation
        self.alive = True
        self.frozen = False
        self.offset_s = 1000.0 * fleet.random.random()
        self.loop = NodeLoop(self.now)
        self.record = Instance(
            instance=name,
            region=region,
            failure_domain=f"{region}-a",
            caller_address=f"{name}:1",
            peer_address=f"{name}:2",
            control_address=f"{name}:3",
        )
        self.view = MembershipView(self.record, incarnation, self.now())
        self.book = ShareTable(name, incarnation)
        self.bus: Any = VirtualBus(self)
        self.keeper = RosterLeaseManager(
            VirtualStore(self), self.view, self.book, self, NullMetrics()
        )
        self.heartbeats = Heartbeats(
            self.view, self.bus, VirtualInstanceList(fleet), self, NullMetrics()
        )
        self.manager = ShareManager(
            self.book, self.keeper, self.view, self.bus, self, NullMetrics()
        )
        self.stopped = self.loop.create_future()
        self.start(self._main())

    def now(self) -> float:
        """The instance's own clock."""
        return self.fleet.now + self.offset_s

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task of this instance."""
        return self.loop.create_task(work)

    async def within(
        self, answer: asyncio.Future[Any], timeout_s: float, missing: Any
    ) -> Any:
        """Returns the answer, or `missing` after the timeout."""
        timer = self.loop.call_later(timeout_s, set_result, answer, missing)
        try:
            return await answer
        finally:
            timer.cancel()

    async def _main(self) -> None:
        self.manager.set_customers(self.fleet.customers.values())
        async with self.heartbeats, self.keeper, self.manager:
            await self.stopped


def set_result(answer: asyncio.Future[Any], value: Any) -> None:
    """Completes a future, unless it is done."""
    if not answer.done():
        answer.set_result(value)
