"""Instances that run the real membership and share code in virtual time.

Messages and store calls are delivered with delay, loss and duplication.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from bench.virtual_node import Node, set_result
from radishmux.config.model import Customer
from radishmux.membership.roster_document import decode_roster
from radishmux.outcome import Conflict
from radishmux.peer import messages
from radishmux.peer.bus import Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.store.interface import Entry
from radishmux.verdict import Refusal

LOCAL_LATENCY_S = 0.001
REGION_LATENCY_S = 0.055


class VirtualFleet:
    """The instances, the channel and the store; a context manager.

    Args:
        seed: Of all random choices.
        customers: Configuration at the start.
    """

    def __init__(self, seed: int, customers: list[Customer]) -> None:
        logger.disable("radishmux")
        self.random = random.Random(seed)
        self.now = 0.0
        self.customers = {customer.name: customer for customer in customers}
        self.nodes: dict[str, Node] = {}
        self.value = b""
        self.revision = 0
        self.loss = 0.0
        self.slowness_s = 0.0
        self.duplication = 0.0
        self.store_up = True
        self.store_loss = 0.0
        self.store_region = ""
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.on_write: Callable[[Any], None] = lambda roster: None
        self.grants_in_flight: dict[str, tuple[str, float]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._graveyard: list[Node] = []

    def __enter__(self) -> VirtualFleet:
        return self

    def __exit__(self, *exc: object) -> None:
        for node in [*self.nodes.values(), *self._graveyard]:
            node.loop.drain()

    # Instances.

    def add(self, name: str, region: str, incarnation: int = 1) -> Node:
        """Starts an instance."""
        self.store_region = self.store_region or region
        node = Node(self, name, region, incarnation)
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """Ends an instance at once."""
        self.nodes[name].alive = False

    def restart(self, name: str) -> Node:
        """Starts a new process of a killed instance on the same port."""
        old = self.nodes[name]
        old.alive = False
        self._graveyard.append(old)
        return self.add(name, old.region, old.incarnation + 1)

    def freeze(self, name: str, seconds: float) -> None:
        """Stops an instance for a time; its clock goes on."""
        node = self.nodes[name]
        node.frozen = True
        self.at(self.now + seconds, lambda: setattr(node, "frozen", False))

    # Time.

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(self._events, (when, next(self._order), event))

    def run(self, until: float) -> None:
        """Runs events and instances until a time."""
        while True:
            node, node_at = self._next_node()
            event_at = self._events[0][0] if self._events else float("inf")
            if min(node_at, event_at) > until:
                break
            self.now = max(self.now, min(node_at, event_at))
            if event_at <= node_at:
                heapq.heappop(self._events)[2]()
            elif node is not None:
                node.loop.step()
        self.now = until

    def _next_node(self) -> tuple[Node | None, float]:
        found, found_at = None, float("inf")
        for node in self.nodes.values():
            if node.alive and not node.frozen:
                at = node.loop.next_at() - node.offset_s
                if at < found_at:
                    found, found_at = node, at
        return found, found_at

    # Channel.

    def send(self, source: Node, target: str, message: Any, reply: Any) -> None:
        """Delivers a request to an instance and its reply back."""
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            self._deliver(
                source.name,
                target,
                lambda: self._arrive(source, target, message, reply),
            )

    def _deliver(
        self, source: str, target: str, arrive: Callable[[], None]
    ) -> None:
        if self.random.random() < self.loss or self.cut(source, target):
            return
        delay_s = self._latency_s(source, target)
        delay_s *= 1.0 + 0.2 * self.random.random()
        delay_s += self.slowness_s * self.random.random()
        self.at(self.now + delay_s, arrive)

    def _latency_s(self, source: str, target: str) -> float:
        a, b = self.nodes.get(source), self.nodes.get(target)
        far = a is not None and b is not None and a.region != b.region
        return REGION_LATENCY_S if far else LOCAL_LATENCY_S

    def _arrive(
        self, source: Node, target: str, message: Any, reply: Any
    ) -> None:
        node = self.nodes.get(target)
        if node is None or not node.alive:
            refused = PeerUnavailable("connection refused", refused=True)
            self._reply(source, target, refused, reply)
            return

        def handle() -> None:
            if self.cut(source.name, target):
                return
            handler = node.bus.handlers[type(message)]
            sender = Sender(source.name, source.incarnation)
            answer = _run(handler(message, sender))
            self._note_grant(message, answer)
            self._reply(source, target, answer, reply)

        node.loop.call_soon(handle)

    def _reply(
        self, source: Node, target: str, answer: Any, reply: Any
    ) -> None:
        def arrive() -> None:
            set_result(reply, answer)
            if isinstance(answer, messages.LoanGrant):
                self.grants_in_flight.pop(answer.loan_id, None)

        self._deliver(target, source.name, lambda: _soon(source, arrive))

    def _note_grant(self, message: Any, answer: Any) -> None:
        if isinstance(answer, messages.LoanGrant) and answer.tokens > 0:
            until = self.now + message.duration_ms / 1000
            grant = (message.customer, answer.tokens, until)
            self.grants_in_flight[answer.loan_id] = grant

    # Store.

    def write_store(self, expected_revision: int, value: bytes) -> Any:
        """Applies a compare-and-swap."""
        if expected_revision != self.revision:
            return Conflict("revision changed")
        self.revision += 1
        self.value = value
        self.on_write(decode_roster(value))
        return Entry(value, self.revision)

    def call_store(
        self, node: Node, operation: Callable[[], Any], answer: Any
    ) -> None:
        """Runs an operation at the store and delivers its response."""
        far = node.region != self.store_region
        delay_s = 0.002 + (REGION_LATENCY_S if far else LOCAL_LATENCY_S)
        # Some writes reach the store long after their sender gave up.
        if self.random.random() < self.store_loss / 2:
            delay_s += 3.0 * self.random.random()

        def arrive() -> None:
            if not self.store_up or self.cut(node.name, "store"):
                return
            result = operation()
            if self.random.random() < self.store_loss:
                return
            self.at(
                self.now + delay_s,
                lambda: _soon(node, lambda: set_result(answer, result)),
            )

        self.at(self.now + delay_s, arrive)

    # Requests.

    def offer(
        self,
        name: str,
        customer: str,
        done: Callable[[Refusal | None], None],
        wait_s: float = 1.0,
    ) -> None:
        """Sends a caller's request to an instance, if it is alive."""
        node = self.nodes[name]

        async def serve() -> None:
            record = self.customers[customer]
            done(await node.manager.admit(record, wait_s))

        if node.alive:
            node.start(serve())

    def set_customers(self, name: str) -> None:
        """Applies the configuration in force at one instance."""
        node = self.nodes[name]
        if node.alive:
            node.loop.call_soon(
                node.manager.set_customers, list(self.customers.values())
            )


def _soon(node: Node, callback: Callable[[], Any]) -> None:
    if node.alive:
        node.loop.call_soon(callback)


def _run(work: Coroutine[Any, Any, Any]) -> Any:
    # Handlers of control messages do not wait for anything.
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("a handler waited")
