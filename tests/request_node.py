"""Runs the request path of an instance, with fakes for other components."""

from __future__ import annotations

import contextlib

from radishmux.dispatch.cell_runtime import CellRuntime
from radishmux.dispatch.crashes import CrashMarks
from radishmux.dispatch.dispatcher import Dispatcher
from radishmux.dispatch.gate import DispatchGate
from radishmux.dispatch.observer import Observer
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.dispatch.versions import AttemptVersions
from radishmux.http.admin_app import AdminApp
from radishmux.http.caller_app import CallerApp
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.forwarder import PeerForwarder
from radishmux.http.peer_app import PeerApp
from radishmux.http.request_flow import RequestFlow
from radishmux.http.server import SanicServer
from radishmux.peer.messages import CrashReport, Release
from tests.request_parts import (
    KEY,
    FakeBlocks,
    FakeLookup,
    FakeRegions,
    FakeSelectors,
    NodeParts,
    instance,
)


class FakeChooser:
    """Always chooses the same version and records the observations."""

    def __init__(self, version: str = "v1") -> None:
        self.version = version
        self.observations = []

    def choose(self, service, route, now):
        return self.version

    def observe(self, observation, now):
        self.observations.append(observation)


class Fleet:
    """Delivers control messages between nodes without sockets.

    Attributes:
        nodes: Running nodes by name.
        cut: Names of nodes that messages do not reach.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.cut: set[str] = set()

    async def send_message(self, name, message) -> bool:
        node = self.nodes.get(name)
        if node is None or name in self.cut:
            return False
        if isinstance(message, Release):
            return node.runtime.on_release(message.instance, message)
        assert isinstance(message, CrashReport)
        node.runtime.on_crash_report(message)
        return True


class Node:
    """An instance that runs in the test process."""

    def __init__(self, parts: NodeParts, fleet: Fleet | None = None) -> None:
        self.parts = parts
        self.fleet = fleet or Fleet()
        self.chooser = FakeChooser()
        self.marks = CrashMarks()
        watch = ConnectionWatchdog()
        clock, metrics = parts.clock, parts.metrics
        self.gate = DispatchGate(clock, parts.members)
        self.runtime = CellRuntime(
            instance=parts.name,
            incarnation=parts.incarnation,
            region="r1",
            clock=clock,
            cells=parts.cells,
            members=parts.members,
            gate=self.gate,
            marks=self.marks,
            watch=watch,
            send_message=self.fleet.send_message,
            broadcast=self._broadcast,
            metrics=metrics,
        )
        self.dispatcher = Dispatcher(
            clock=clock,
            runtime=self.runtime,
            gate=self.gate,
            keys=parts.keys,
            versions=AttemptVersions(self.chooser, parts.config),
            observer=Observer(clock, self.chooser, metrics),
            marks=self.marks,
            watch=watch,
            metrics=metrics,
            tracer=parts.tracer,
        )
        self.forwarder = PeerForwarder(clock, metrics)
        self.flow = RequestFlow(
            instance=parts.name,
            incarnation=parts.incarnation,
            region="r1",
            clock=clock,
            config=parts.config,
            keys=parts.keys,
            shares=parts.shares,
            tickets=parts.tickets,
            ledger=parts.ledger,
            selectors=FakeSelectors(),
            regions=FakeRegions(),
            cells=parts.cells,
            dispatcher=self.dispatcher,
            forwarder=self.forwarder,
            members=parts.members,
            metrics=metrics,
        )
        self.caller_app = CallerApp(
            self.flow,
            FakeLookup(parts.tickets),
            FakeBlocks(),
            parts.keys,
            clock,
            metrics,
            parts.tracer,
        )
        self.peer_app = PeerApp(self.flow, clock, metrics, parts.tracer)
        self.admin_app = AdminApp(
            metrics, parts.tracer, lambda: True, lambda trace_id: None
        )
        limit = ConnectionLimit()
        self.caller = SanicServer(self.caller_app.app, "127.0.0.1:0", limit)
        self.peer = SanicServer(self.peer_app.app, "127.0.0.1:0", limit)

    async def _broadcast(self, message) -> None:
        for name in list(self.fleet.nodes):
            if name != self.parts.name:
                await self.fleet.send_message(name, message)

    @property
    def url(self) -> str:
        return f"http://{self.caller.address}"

    def ticket(self) -> str:
        return self.parts.tickets.issue(self.parts.clock.now())


@contextlib.asynccontextmanager
async def run_node(node: Node):
    """Runs the servers and background tasks of a node."""
    async with contextlib.AsyncExitStack() as stack:
        for part in (node.forwarder, node.caller, node.peer):
            await stack.enter_async_context(part)
        name = node.parts.name
        record = instance(
            name,
            caller_address=node.caller.address,
            peer_address=node.peer.address,
        )
        members = node.parts.members
        members.instances = [
            record if member.instance == name else member
            for member in members.instances
        ]
        node.fleet.nodes[name] = node
        await stack.enter_async_context(node.runtime)
        yield node


def headers(**extra: str) -> dict[str, str]:
    """Returns the headers of a caller's request, including a valid key.

    Args:
        extra: Header values by name; `id` and `deadline_ms` stand for the
            request id and deadline headers.
    """
    names = {
        "id": "X-Radishmux-Request-Id",
        "deadline_ms": "X-Radishmux-Deadline-Ms",
    }
    return {"X-Radishmux-Key": KEY} | {
        names.get(name, name): value for name, value in extra.items()
    }
