"""Slots of the backend servers of one cell, and the queue for them.

A slot is the right to have one request in flight at a server. The counts are
exact, because only one instance dispatches to a cell. This module does no I/O
and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from radishmux.config.model import BackendServer
from radishmux.dispatch.backend import Backend
from radishmux.membership.cell_loads import CellLoad

# Capacity of the queue: this many requests per usable slot of the cell, and at
# least MIN_QUEUE.
QUEUE_PER_SLOT = 4
MIN_QUEUE = 16


class Waiter:
    """A request that waits for a slot.

    Attributes:
        version: Version that the request may use.
        avoid: Server that the request must not use, or None.
        exclusive: Whether the request needs a server without other requests.
        granted: Server whose slot the request was given, or None.
    """

    __slots__ = ("_wake", "exclusive", "avoid", "granted", "version")

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

        A request that cannot use every free slot does not block others.
        """
        return (
            self.version == version
            and self.avoid is None
            and not self.exclusive
        )

    def grant(self, backend: Backend) -> None:
        """Assigns a slot of a server to the request and wakes it."""
        self.granted = backend
        self._wake()

    def wake(self) -> None:
        """Wakes the request without a slot."""
        self._wake()


class CellPool:
    """Backend servers of one cell, with their slots and queue.

    Args:
        name: Name of the cell.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._backends: dict[str, Backend] = {}
        self._by_version: dict[str, list[Backend]] = {}
        self._queue: deque[Waiter] = deque()
        self._removed: list[Backend] = []
        self._servers: tuple[BackendServer, ...] = ()

    @property
    def name(self) -> str:
        """Name of the cell."""
        return self._name

    @property
    def backends(self) -> tuple[Backend, ...]:
        """Servers in the current configuration."""
        return tuple(self._backends.values())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def in_use(self) -> int:
        """Number of slots in use, including those of removed servers."""
        return sum(
            backend.in_use for backend in (*self.backends, *self._removed)
        )

    @property
    def slots(self) -> int:
        """Number of slots that may be used now, including those in use."""
        return sum(backend.usable for backend in self._backends.values())

    def load(self) -> CellLoad:
        """Returns the cell's load, as heartbeats report it."""
        return CellLoad(
            cell=self._name,
            slots=self.slots,
            in_use=self.in_use,
            queued=self.queued,
        )

    def set_servers(self, servers: tuple[BackendServer, ...]) -> list[Backend]:
        """Replaces the servers with those of a configuration.

        Returns:
            Servers that were removed or whose record changed. Their requests in
            flight continue.
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
        self._removed = [b for b in (*self._removed, *removed) if b.in_use]
        self._by_version = {}
        for backend in self._backends.values():
            version = backend.server.version
            self._by_version.setdefault(version, []).append(backend)
        return removed

    def server_count(self, version: str) -> int:
        """Returns the number of servers of a version."""
        return len(self._by_version.get(version, ()))

    def update_reference_latency(self) -> None:
        """Sets the latency that warming servers are compared with.

        It is the mean latency of the ready servers, or 0 if none is known.
        """
        ready = [
            b.latency_s
            for b in self._backends.values()
            if b.state == "ready" and b.latency_s
        ]
        reference_s = sum(ready) / len(ready) if ready else 0.0
        for backend in self._backends.values():
            backend.set_reference_latency(reference_s)

    def wake_all(self) -> None:
        """Wakes all waiters without a slot, because the cell is given up."""
        while self._queue:
            self._queue.popleft().wake()

    def has_usable_server(self, version: str) -> bool:
        """Whether any server of a version has usable slots, free or not."""
        return any(b.usable for b in self._by_version.get(version, ()))

    def try_acquire(
        self,
        version: str,
        avoid: Backend | None = None,
        exclusive: bool = False,
    ) -> Backend | None:
        """Acquires a slot if one is free and no waiting request blocks it.

        Args:
            version: Version that the server must have.
            avoid: Server that must not be used, or None.
            exclusive: Whether the server must have no other request.

        Returns:
            The server, or None if no slot is available.
        """
        if self._queue and any(w.blocks(version) for w in self._queue):
            return None
        return self._acquire_least_loaded(version, avoid, exclusive)

    def enqueue(self, waiter: Waiter) -> bool:
        """Adds a waiter to the queue; returns False if the queue is full."""
        limit = max(MIN_QUEUE, QUEUE_PER_SLOT * self.slots)
        if len(self._queue) >= limit:
            return False
        self._queue.append(waiter)
        return True

    def cancel(self, waiter: Waiter) -> None:
        """Removes a waiter and releases the slot if it was given one."""
        if waiter.granted is not None:
            self.release(waiter.granted)
            waiter.granted = None
            return
        if waiter in self._queue:
            self._queue.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Releases a slot of a server and gives it to a waiting request."""
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
                backend = self._acquire_least_loaded(
                    waiter.version, waiter.avoid, waiter.exclusive
                )
            if backend is not None:
                waiter.grant(backend)
                continue
            kept.append(waiter)
            if waiter.blocks(waiter.version):
                blocked.add(waiter.version)
        self._queue = kept

    def _acquire_least_loaded(
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
            # The server moves to the end of its group, so that servers with
            # equal load are used in turn.
            group = self._by_version[version]
            group.remove(best)
            group.append(best)
        return best
