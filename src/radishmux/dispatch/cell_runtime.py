"""Runs the cells that this instance dispatches to: pools, probes, takeovers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

from radishmux.clock import Clock
from radishmux.dispatch.attempt import Failure
from radishmux.dispatch.backend import Backend
from radishmux.dispatch.cells import Cell, CellMap
from radishmux.dispatch.connections import Connections, is_responsive
from radishmux.dispatch.crashes import CrashMarks
from radishmux.dispatch.exchange import Exchange
from radishmux.dispatch.gate import DispatchGate
from radishmux.dispatch.holdings import Holdings
from radishmux.dispatch.pool import CellPool
from radishmux.dispatch.probes import Prober
from radishmux.dispatch.protocols import Broadcast, Members, SendMessage
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.membership.cell_loads import CellLoad
from radishmux.peer.messages import CrashReport, Release
from radishmux.tasks import repeat
from radishmux.telemetry.metrics import Metrics

# Period of `CellRuntime.update` and of the check for silent connections.
UPDATE_PERIOD_S = 0.05
# Number of connection attempts that check whether a process is gone. A process
# that exits closes its listening socket at about the same time as its
# connections, so that the first attempt may still succeed.
_CONNECT_CHECKS = 3
_CONNECT_CHECK_PAUSE_S = 0.05
_CONNECT_TIMEOUT_S = 0.3


class CellRuntime:
    """Acquires and releases cells, probes their servers, checks connections.

    An async context manager, whose background tasks run until it exits.

    Args:
        instance: Name of this instance.
        incarnation: Incarnation of this process.
        region: Region of this instance.
        clock: Source of monotonic time.
        cells: Cells of the configuration.
        members: Members of the fleet as this instance sees them.
        gate: Check of the permit, which this class ticks.
        marks: Crash marks of requests.
        watch: Watchdog for silent connections.
        send_message: Sends a control message to one instance.
        broadcast: Sends a control message to all peers.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        region: str,
        clock: Clock,
        cells: CellMap,
        members: Members,
        gate: DispatchGate,
        marks: CrashMarks,
        watch: ConnectionWatchdog,
        send_message: SendMessage,
        broadcast: Broadcast,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._cells = cells
        self._members = members
        self._gate = gate
        self._marks = marks
        self._watch = watch
        self._send_message = send_message
        self._broadcast = broadcast
        self._metrics = metrics
        self._holdings = Holdings(instance, region, cells, members)
        self._pools: dict[str, CellPool] = {}
        self._probers: dict[str, asyncio.Task[None]] = {}
        self._connections: dict[str, Connections] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> CellRuntime:
        self.update()
        self._run_in_background(
            repeat(self._run_step, UPDATE_PERIOD_S, "cell runtime")
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in (*self._tasks, *self._probers.values()):
            task.cancel()
        for connections in self._connections.values():
            await connections.close()

    @property
    def loads(self) -> tuple[CellLoad, ...]:
        """Load of each held cell, for heartbeats."""
        return tuple(pool.load() for pool in self._pools.values())

    @property
    def in_use(self) -> int:
        """Slots in use in the held cells, those of removed servers included."""
        return sum(pool.in_use for pool in self._pools.values())

    def pool(self, cell: str) -> CellPool | None:
        """Returns the pool of a cell, or None if the cell is not held."""
        return self._pools.get(cell)

    def connections(self, backend: Backend) -> Connections:
        """Returns the connections to a backend server, created on first use."""
        address = backend.server.address
        connections = self._connections.get(address)
        if connections is None:
            connections = self._connections[address] = Connections(address)
        return connections

    def on_release(self, sender: str, message: Any) -> bool:
        """Handles a Release message of a peer.

        Returns:
            Whether the release was accepted; see `Holdings.record_release`.
        """
        return self._holdings.record_release(
            sender, list(message.cells or ()), self._clock.now()
        )

    def on_crash_report(self, report: Any) -> None:
        """Handles a CrashReport message of a peer.

        A report without a backend server clears the mark of the request.
        """
        if not report.backend_server:
            self._marks.clear(report.digest)
            return
        cell = self._cells.cell_name_of(report.backend_server)
        self._marks.mark(
            report.digest, report.backend_server, cell, self._clock.now()
        )
        self._metrics.count("crash_marks_total", source="peer")

    async def on_connection_failure(
        self, backend: Backend, exchange: Exchange, failure: Failure
    ) -> bool:
        """Handles a refused or broken connection to a backend server.

        The server is marked down if its process is gone. The request gets a
        crash mark if the process exited while the request was in flight.

        Returns:
            Whether the request has a crash mark for the server. A new mark has
            been sent to the peers by then.
        """
        if failure.refused:
            self._mark_down(backend)
            return False
        if not await is_process_gone(backend.server.address):
            return False
        self._mark_down(backend)
        digest = exchange.digest
        name = backend.server.name
        now = self._clock.now()
        if self._marks.mark(digest, name, exchange.cell, now):
            self._metrics.count("crash_marks_total", source="own")
            await self._broadcast(
                CrashReport(
                    digest=digest,
                    request_id=exchange.request_id,
                    backend_server=name,
                )
            )
        return True

    def end_exclusive_run(self, digest: str, is_harmless: bool) -> None:
        """Records that a marked request's exclusive run has ended.

        If this clears the mark, the peers are notified in the background.

        Args:
            digest: From `request_digest`.
            is_harmless: Whether the attempt ended without a crash.
        """
        if self._marks.end_exclusive_run(digest, is_harmless):
            report = CrashReport(
                digest=digest, request_id="", backend_server=""
            )
            self._run_in_background(self._broadcast_report(report))

    async def _broadcast_report(self, report: CrashReport) -> None:
        await self._broadcast(report)

    def update(self) -> None:
        """Updates the held cells to the current members and configuration."""
        now = self._clock.now()
        has_permit = self._gate.tick()
        changes = self._holdings.update(has_permit, now)
        for takeover in changes.gained:
            self._start_cell(takeover.cell)
            self._metrics.count("cell_takeovers_total", cause=takeover.cause)
        for name in changes.lost:
            self._stop_cell(name)
        for instance, names in self._holdings.due_releases(now).items():
            message = Release(
                instance=self._instance,
                incarnation=self._incarnation,
                cells=names,
            )
            self._run_in_background(self._send_message(instance, message))
        for pool in self._pools.values():
            self._update_pool(pool)
        self._metrics.set("permit_held", 1.0 if has_permit else 0.0)
        self._metrics.set("cells_held", float(len(self._pools)))

    def _start_cell(self, cell: Cell) -> None:
        pool = CellPool(cell.name)
        pool.set_servers(cell.servers)
        self._pools[cell.name] = pool
        prober = Prober(pool, self._clock, self._metrics, cell.service)
        self._probers[cell.name] = asyncio.create_task(prober.run())

    def _stop_cell(self, name: str) -> None:
        pool = self._pools.pop(name)
        pool.wake_all()
        self._probers.pop(name).cancel()

    def _update_pool(self, pool: CellPool) -> None:
        cell = self._cells.find(pool.name)
        if cell is None:
            return
        pool.set_servers(cell.servers)
        pool.update_reference_latency()
        for backend in pool.backends:
            server = backend.server
            if backend.state != "draining" and (
                self._members.is_leaving(server.name)
                or self._members.is_leaving(server.address)
            ):
                backend.mark_leaving()
        pool.serve_queue()
        labels = {"cell": pool.name}
        self._metrics.set("slots", pool.slots, **labels)
        self._metrics.set("slots_in_use", pool.in_use, **labels)
        self._metrics.set("queued", pool.queued, **labels)

    async def _run_step(self) -> None:
        self.update()
        for connections in self._watch.connections_to_probe(self._clock.now()):
            self._run_in_background(self._abort_silent_calls(connections))
        for connections in list(self._connections.values()):
            await connections.close_retired_sessions()

    async def _abort_silent_calls(self, connections: Connections) -> None:
        if not await is_responsive(connections.address, "/health"):
            return
        for call in self._watch.on_probe_succeeded(
            connections, self._clock.now()
        ):
            self._metrics.count("silent_connections_total")
            call.abort()

    def _mark_down(self, backend: Backend) -> None:
        if backend.mark_down():
            self._metrics.count(
                "backend_server_changes_total",
                service=backend.server.service,
                state=backend.state,
            )

    def _run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def is_process_gone(address: str) -> bool:
    """Returns whether connections to an address are refused."""
    host, _, port = address.rpartition(":")
    for check in range(_CONNECT_CHECKS):
        if check:
            await asyncio.sleep(_CONNECT_CHECK_PAUSE_S)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    host.strip("[]"), int(port)
                )
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            # The listener was closed after it had accepted the connection.
            continue
        except (OSError, TimeoutError):
            return False
        with contextlib.suppress(OSError):
            writer.close()
    return False
