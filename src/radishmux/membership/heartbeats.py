"""Exchanges heartbeats with the peers and updates the membership view."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from loguru import logger

from radishmux.clock import Clock
from radishmux.instances.interface import InstanceList
from radishmux.membership.cell_loads import CellLoad
from radishmux.membership.view import MembershipView
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.tasks import repeat

HEARTBEAT_PERIOD_S = 0.25
# A connection without an acknowledgement for this long is closed. This limits
# the delay that an unresponsive connection causes.
ACK_TIMEOUT_S = 1.0
LIST_TIMEOUT_S = 1.0


class MetricsSink(Protocol):
    """The part of `telemetry.metrics.Metrics` that records values."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""


class Heartbeats:
    """Background tasks that send heartbeats and read the instance list.

    There is one task per peer, one that reads the platform's instance list
    and one that advances the membership view. An async context manager.

    Components that read the store update the view themselves; see
    `MembershipView.record_store_contact` and `MembershipView.set_roster`.

    Args:
        view: Receives every heartbeat and acknowledgement.
        bus: Connections to the peers; its addresses are set from the view.
        instance_list: The platform's instance list.
        clock: Monotonic clock.
        metrics: Receives counters and round-trip times.
        list_period_s: Seconds between reads of the instance list.
    """

    def __init__(
        self,
        view: MembershipView,
        bus: PeerBus,
        instance_list: InstanceList,
        clock: Clock,
        metrics: MetricsSink,
        list_period_s: float = 1.0,
    ) -> None:
        self._view = view
        self._bus = bus
        self._instance_list = instance_list
        self._clock = clock
        self._metrics = metrics
        self._list_period_s = list_period_s
        self._loads_source: Callable[[], Iterable[CellLoad]] = tuple
        self._tasks: list[asyncio.Task[None]] = []
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        bus.handle(messages.Heartbeat)(self._on_heartbeat)

    async def __aenter__(self) -> Heartbeats:
        self._tasks = [
            asyncio.create_task(
                repeat(self._read_list, self._list_period_s, "instance list")
            ),
            asyncio.create_task(
                repeat(self._tick, HEARTBEAT_PERIOD_S, "membership")
            ),
        ]
        return self

    async def __aexit__(self, *exc: object) -> None:
        tasks = self._tasks + list(self._peer_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks = []
        self._peer_tasks = {}

    def set_loads_source(
        self, source: Callable[[], Iterable[CellLoad]]
    ) -> None:
        """Sets the source of the loads of this instance's cells.

        Args:
            source: Called once per heartbeat period; must not block.
        """
        self._loads_source = source

    def record_store_contact(self, sent_at: float) -> None:
        """Records a store read that confirmed the configuration in force.

        Args:
            sent_at: Time at which the read was sent, monotonic seconds.
        """
        self._view.record_store_contact(sent_at)

    async def announce(self) -> None:
        """Sends a heartbeat to all peers now, for example before leaving."""
        names = list(self._peer_tasks)
        await asyncio.gather(*(self._send_heartbeat(name) for name in names))

    async def _on_heartbeat(self, report: Any, sender: Sender) -> Any:
        now = self._clock.now()
        self._view.apply_heartbeat(report, now)
        return messages.HeartbeatAck(own=self._view.report(now))

    async def _read_list(self) -> None:
        instances = await self._instance_list.read(LIST_TIMEOUT_S)
        if isinstance(instances, tuple):
            self._view.set_instance_list(instances, self._clock.now())
        else:
            self._metrics.count("instance_list_failures")

    async def _tick(self) -> None:
        now = self._clock.now()
        self._view.set_own_loads(self._loads_source(), now)
        for name in self._view.tick(now):
            state = self._view.state_of(name)
            self._metrics.count("peer_state_changes", state=state)
            logger.info("peer {} is {}", name, state)
        await self._sync_peers()

    async def _sync_peers(self) -> None:
        """Adapts addresses and heartbeat tasks to the peers of the view."""
        addresses = {
            peer.instance: peer.control_address for peer in self._view.peers()
        }
        for name in set(self._peer_tasks) - set(addresses):
            self._peer_tasks.pop(name).cancel()
            await self._bus.set_address(name, None)
        for name, address in addresses.items():
            await self._bus.set_address(name, address)
            task = self._peer_tasks.get(name)
            if task is None or task.done():
                self._peer_tasks[name] = asyncio.create_task(
                    self._run_heartbeats(name)
                )

    async def _run_heartbeats(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await self._send_heartbeat(name)
            elapsed_s = loop.time() - started_at
            await asyncio.sleep(max(0.0, HEARTBEAT_PERIOD_S - elapsed_s))

    async def _send_heartbeat(self, name: str) -> None:
        incarnation = self._view.incarnation_of(name)
        sent_at = self._clock.now()
        report = self._view.report(sent_at)
        reply = await self._bus.request(name, report, ACK_TIMEOUT_S)
        if isinstance(reply, messages.HeartbeatAck):
            now = self._clock.now()
            self._view.apply_acknowledgement(reply.own, sent_at, now)
            self._metrics.observe("heartbeat_rtt_s", now - sent_at)
            return
        self._metrics.count("heartbeat_failures")
        if isinstance(reply, PeerUnavailable) and reply.refused:
            self._view.record_refused_connection(name, incarnation)
