"""Slots of the backend servers of one cell, and the queue for them.

Pure: the caller passes the time. Counts are exact, since one instance alone
dispatches to a cell.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from radishmux.config.model import BackendServer
from radishmux.dispatch.backend import Backend
from radishmux.membership.cell_loads import CellLoad

# Requests that may wait, as a multiple of the cell's slots.
QUEUE_PER_SLOT = 4
MIN_QUEUE = 16


class Waiter:
    """A request that waits for a slot.

    Attributes:
        version: Version that the request may use.
        avoid: Server that the request must not use.
        exclusive: Whether the request needs a server without other requests.
        granted: Server whose slot the request got.
    """

    __slots__ = ("_wake", "avoid", "exclusive", "granted", "version")

    def __init__(
        self,
        version: str,
        wake: Callable[[], None],
        avoid: Backend | None = None,
        exclusive: bool = False,
    ) -> None:
        self.version = version
        self.avoid = avoid
        self.exclusive = exclusive
        self.granted: Backend | None = None
        self._wake = wake

    def blocks(self, version: str) -> bool:
        """Whether later requests for a version must wait for this one.

        A request that cannot use every free slot does not hold up others.
        """
        return (
            self.version == version
            and self.avoid is None
            and not self.exclusive
        )

    def grant(self, backend: Backend) -> None:
        """Gives the slot and wakes the request."""
        self.granted = backend
        self._wake()

    def wake(self) -> None:
        """Wakes the request without a slot."""
        self._wake()


class CellPool:
    """Backend servers of one cell."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._backends: dict[str, Backend] = {}
        self._by_version: dict[str, list[Backend]] = {}
        self._queue: deque[Waiter] = deque()
        self._leaving: list[Backend] = []
        self._servers: tuple[BackendServer, ...] = ()

    @property
    def name(self) -> str:
        """Name of the cell."""
        return self._name

    @property
    def backends(self) -> tuple[Backend, ...]:
        """Servers that the configuration names now."""
        return tuple(self._backends.values())

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def in_use(self) -> int:
        """Slots in use, of removed servers too."""
        return sum(
            backend.in_use for backend in (*self.backends, *self._leaving)
        )

    @property
    def slots(self) -> int:
        """Slots that may be used now."""
        return sum(backend.usable for backend in self._backends.values())

    def load(self) -> CellLoad:
        """Returns the report for heartbeats."""
        return CellLoad(
            cell=self._name,
            slots=self.slots,
            in_use=self.in_use,
            queued=self.queued,
        )

    def set_servers(self, servers: tuple[BackendServer, ...]) -> list[Backend]:
        """Takes the servers of a configuration.

        Returns:
            Servers that are no longer named; requests on them go on.
        """
        if servers is self._servers:
            return []
        self._servers = servers
        named = {server.name: server for server in servers}
        removed = []
        for name, backend in list(self._backends.items()):
            if named.get(name) != backend.server:
                removed.append(self._backends.pop(name))
        for name, server in named.items():
            if name not in self._backends:
                self._backends[name] = Backend(server)
        self._leaving = [b for b in (*self._leaving, *removed) if b.in_use]
        self._by_version = {}
        for backend in self._backends.values():
            version = backend.server.version
            self._by_version.setdefault(version, []).append(backend)
        return removed

    def server_count(self, version: str) -> int:
        """Returns the number of servers of a version."""
        return len(self._by_version.get(version, ()))

    def update_reference_latency(self) -> None:
        """Tells warming servers the latency of the ready ones."""
        ready = [
            b.latency_s
            for b in self._backends.values()
            if b.state == "ready" and b.latency_s
        ]
        reference_s = sum(ready) / len(ready) if ready else 0.0
        for backend in self._backends.values():
            backend.set_reference_latency(reference_s)

    def wake_all(self) -> None:
        """Wakes all waiters without a slot: the cell is given up."""
        while self._queue:
            self._queue.popleft().wake()

    def has_usable_server(self, version: str) -> bool:
        """Whether any server of a version takes requests at all."""
        return any(b.usable for b in self._by_version.get(version, ()))

    def try_acquire(
        self,
        version: str,
        avoid: Backend | None = None,
        exclusive: bool = False,
    ) -> Backend | None:
        """Takes a slot if one is free and nobody waits for it."""
        if self._queue and any(w.blocks(version) for w in self._queue):
            return None
        return self._take(version, avoid, exclusive)

    def enqueue(self, waiter: Waiter) -> bool:
        """Adds a waiter; False when the queue is full."""
        limit = max(MIN_QUEUE, QUEUE_PER_SLOT * self.slots)
        if len(self._queue) >= limit:
            return False
        self._queue.append(waiter)
        return True

    def cancel(self, waiter: Waiter) -> None:
        """Removes a waiter; a slot that it got meanwhile is freed."""
        if waiter.granted is not None:
            self.release(waiter.granted)
            waiter.granted = None
            return
        if waiter in self._queue:
            self._queue.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Frees a slot and passes it on."""
        backend.release()
        self.serve_queue()

    def serve_queue(self) -> None:
        """Gives free slots to waiting requests, first come first served."""
        blocked: set[str] = set()
        kept: deque[Waiter] = deque()
        while self._queue:
            waiter = self._queue.popleft()
            backend = None
            if waiter.version not in blocked:
                backend = self._take(
                    waiter.version, waiter.avoid, waiter.exclusive
                )
            if backend is not None:
                waiter.grant(backend)
                continue
            kept.append(waiter)
            if waiter.blocks(waiter.version):
                blocked.add(waiter.version)
        self._queue = kept

    def _take(
        self, version: str, avoid: Backend | None, exclusive: bool
    ) -> Backend | None:
        best: Backend | None = None
        best_load = 1.0
        for backend in self._by_version.get(version, ()):
            usable = backend.usable
            if backend is avoid or backend.in_use >= usable:
                continue
            if exclusive and backend.in_use:
                continue
            load = backend.in_use / usable
            if best is None or load < best_load:
                best, best_load = backend, load
        if best is not None:
            best.acquire(exclusive)
            # Ties go round, so that equal servers are used evenly.
            group = self._by_version[version]
            group.remove(best)
            group.append(best)
        return best
