"""An HTTP/1.1 server that works on pipelined requests at the same time.

Responses leave in the order of the requests. sanic, which serves the other
applications, starts a request only when the one before it was answered, so
that lookups behind another one would wait for its whole time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import TracebackType

from radishmux.config.routing import CallerLimits
from radishmux.http._connection import Connection
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response

# Bytes of bodies held for all callers; a quarter of a small machine's memory.
MAX_HELD_BYTES = 72 * 1024 * 1024
# Bytes of responses held for callers that take them slowly; half of that.
MAX_UNSENT_BYTES = 36 * 1024 * 1024
_BACKLOG = 1024

Handler = Callable[[IncomingRequest], Awaitable[Response]]


class PipelinedServer:
    """Serves one address while it is entered; an async context manager.

    Args:
        address: `ip:port`.
        handler: Answers a request; cancelled when the caller leaves.
        limits: What callers may send.
        on_rejected: Takes the reason of each unreadable request.
        max_unsent_bytes: Bytes of responses that are held for slow callers.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: CallerLimits | None = None,
        on_rejected: Callable[[str], None] | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._max_unsent_bytes = max_unsent_bytes
        self._stalled: set[Connection] = set()
        self._address = address
        self.handler = handler
        self.limits = limits or CallerLimits()
        self.draining = False
        self._on_rejected = on_rejected
        self._held_bytes = 0
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """`ip:port` that it listens on."""
        return self._address

    @property
    def held_bytes(self) -> int:
        """Memory that bodies of unanswered requests take."""
        return self._held_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that callers have not taken yet."""
        return sum(one.unsent_bytes for one in self._connections)

    @property
    def busy_connections(self) -> int:
        """Connections with a request under way."""
        return sum(not one.is_idle for one in self._connections)

    async def __aenter__(self) -> PipelinedServer:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
            backlog=_BACKLOG,
            family=socket.AF_INET,
        )
        sockets = self._server.sockets
        self._address = "{}:{}".format(*sockets[0].getsockname()[:2])
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    def drain(self) -> None:
        """Closes idle connections, and the others after their response."""
        self.draining = True
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def stop_listening(self) -> None:
        """Refuses new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    # Called by connections.

    def opened(self, connection: Connection) -> None:
        """Takes a new connection."""
        self._connections.add(connection)

    def closed(self, connection: Connection) -> None:
        """Forgets a connection."""
        self._connections.discard(connection)
        self._stalled.discard(connection)

    def stalled(self, connection: Connection) -> None:
        """Takes that a caller is slow; breaks the slowest off if it must."""
        self._stalled.add(connection)
        sizes = {one: one.unsent_bytes for one in self._stalled}
        while sum(sizes.values()) > self._max_unsent_bytes:
            largest = max(sizes, key=sizes.__getitem__)
            del sizes[largest]
            self._stalled.discard(largest)
            self.rejected("caller_too_slow")
            largest.abort()

    def resumed(self, connection: Connection) -> None:
        """Takes that a slow caller has taken its responses."""
        self._stalled.discard(connection)

    def hold(self, size: int) -> bool:
        """Reserves memory for a body; False: there is none."""
        if self._held_bytes + size > MAX_HELD_BYTES:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Frees memory of a body."""
        self._held_bytes -= size

    def rejected(self, reason: str) -> None:
        """Takes the reason of an unreadable request."""
        if self._on_rejected is not None:
            self._on_rejected(reason)
