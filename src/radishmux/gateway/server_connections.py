"""Connections of this instance to all backend servers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from radishmux.clock import Clock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.servers import Server
from radishmux.telemetry.metrics import Metrics

# Longest time until a reachable server has accepted a connection: a round trip
# between regions, and the delay of a busy link.
PROBE_TIMEOUT_S = 0.3
# Time over which waiting requests are given another way. All at once, they
# would fill the servers' queues.
GIVE_UP_WITHIN_S = 0.3


class ServerConnections:
    """Owns one pool of connections for each server.

    Args:
        contact: Updated with the outcome of each attempt to connect.
        on_opened: Called when a server has accepted a connection.
        clock: Monotonic time.
        metrics: Counts the attempts to connect.
    """

    def __init__(
        self,
        contact: ServerContact,
        on_opened: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._contact = contact
        self._on_opened = on_opened
        self._clock = clock
        self._metrics = metrics
        self._memory = ResponseMemory()
        self._pools: dict[str, ServerConnectionPool] = {}

    def pool(self, server: Server) -> ServerConnectionPool:
        """Returns the connections to a server."""
        pool = self._pools.get(server.name)
        if pool is None:
            pool = self._pools[server.name] = ServerConnectionPool(
                server.entry.address,
                self._clock,
                self._memory,
                on_connect=partial(self._on_connect, server.name),
            )
        return pool

    def can_reach(self, server: Server, now: float) -> bool:
        """Whether a request to a server has a connection, or may get one."""
        if not self._contact.is_lost:
            return True
        pool = self._pools.get(server.name)
        return (
            pool is not None
            and pool.has_idle
            and self._contact.trusts_open_connections(now)
        )

    async def probe(self, server: Server) -> bool:
        """Returns whether a server accepts a connection."""
        return not await self.pool(server).probe(PROBE_TIMEOUT_S)

    async def is_refused(self, server: Server) -> bool:
        """Returns whether a server's host answers that nothing listens."""
        return await self.pool(server).is_refused(PROBE_TIMEOUT_S)

    async def wait_broken(self, server: Server, timeout_s: float) -> bool:
        """Waits until a server may have ended; see `ServerConnectionPool`."""
        return await self.pool(server).wait_broken(timeout_s)

    def give_up_connecting(self) -> None:
        """Ends all attempts to connect soon, which would fail later."""
        for pool in self._pools.values():
            pool.give_up_connecting(GIVE_UP_WITHIN_S)

    def prune(self, names: set[str]) -> None:
        """Closes idle connections that expire, and those to other servers.

        Args:
            names: Names of the known servers.
        """
        for name in self._pools.keys() - names:
            self._pools.pop(name).close()
        for pool in self._pools.values():
            pool.close_expired()

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _on_connect(self, server: str, error: str) -> None:
        self._metrics.count("gateway_connects_total", outcome=error or "open")
        if error:
            self._contact.record_refused(server)
        else:
            self._contact.record_opened(self._clock.now())
            self._on_opened()
