"""An HTTP/1.1 server that processes pipelined requests concurrently.

Responses are sent in the order of the requests. sanic, which serves the other
applications, starts a request only after the response to the previous one, so
that a pipelined lookup would wait for the whole duration of the one before it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import TracebackType

from radishmux.config.routing import CallerLimits
from radishmux.http._connection import Connection
from radishmux.http._remote_end import DEPARTURE_CHECK_S
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.incoming import CANCELLED, IncomingRequest
from radishmux.http.memory_budget import MemoryBudget, budget_bytes
from radishmux.http.response import Response

# Memory for responses to callers that read slowly, which is a part of the
# memory for all connections.
MAX_UNSENT_BYTES = 36 * 1024 * 1024

Handler = Callable[[IncomingRequest], Awaitable[Response]]
HeadCheck = Callable[[IncomingRequest], Response | None]


class PipelinedServer:
    """Serves one address while it is entered as an async context manager.

    Args:
        address: `ip:port`.
        handler: Returns the response to a request. It is cancelled when the
            caller disconnects.
        limits: Limits on sizes and times of requests.
        on_rejected: Called with the reason for each rejected request and for
            each connection that is aborted because its caller is slow.
        max_unsent_bytes: Bytes of unsent responses above which connections
            of slow callers are aborted.
        on_not_started: Called with each request that is not passed to the
            handler because its caller has left.
        budget: Memory for connections, which other listeners may share.
        connection_limit: Limit of connections, which they may share too.
        takes_bodies: Whether requests may have a body.
        check_head: Returns the refusal of a request, which has no body yet, or
            None. Called for requests that have a body.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: CallerLimits | None = None,
        on_rejected: Callable[[str], None] | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        on_not_started: Callable[[IncomingRequest], None] | None = None,
        budget: MemoryBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
        takes_bodies: bool = True,
        check_head: HeadCheck | None = None,
    ) -> None:
        self.budget = budget or MemoryBudget(budget_bytes(None))
        self.connection_limit = connection_limit or ConnectionLimit()
        self.takes_bodies = takes_bodies
        self.check_head = check_head
        max_unsent_bytes = min(max_unsent_bytes, self.budget.limit)
        self._on_not_started = on_not_started
        self._max_unsent_bytes = max_unsent_bytes
        self._slow_connections: set[Connection] = set()
        self._unread_connections: set[Connection] = set()
        self._departure_timer: asyncio.TimerHandle | None = None
        self._address = address
        self.handler = handler
        self.limits = limits or CallerLimits()
        self.draining = False
        self._on_rejected = on_rejected
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """`ip:port` that the server listens on."""
        return self._address

    @property
    def held_bytes(self) -> int:
        """Size of the bodies of unanswered requests."""
        return sum(one.held_body_bytes for one in self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of completed responses not yet passed to the sockets."""
        return sum(connection.unsent_bytes for connection in self._connections)

    @property
    def busy_connections(self) -> int:
        """Connections with a request in flight or a response on its way."""
        return sum(not connection.is_idle for connection in self._connections)

    async def __aenter__(self) -> PipelinedServer:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
            backlog=self.connection_limit.backlog,
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
        if self._departure_timer is not None:
            self._departure_timer.cancel()
        for connection in list(self._connections):
            connection.abort(CANCELLED)

    def drain(self) -> None:
        """Closes idle connections now and others after their responses.

        Connections that are accepted later end with the first requests that
        arrive on them.
        """
        self.draining = True
        for connection in list(self._connections):
            connection.drain()

    def stop_listening(self) -> None:
        """Accepts no new connections; open connections stay open."""
        if self._server is not None:
            self._server.close()

    # Called by Connection.

    def add_connection(self, connection: Connection) -> bool:
        """Registers a new connection; False if it has to be closed."""
        if not self.connection_limit.add(connection):
            self.report_rejection("connections_full")
            return False
        self._connections.add(connection)
        return True

    def remove_connection(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
        self.connection_limit.remove(connection)
        self._slow_connections.discard(connection)
        self._unread_connections.discard(connection)

    def on_reading_paused(self, connection: Connection) -> None:
        """Checks a connection that is not read until it is read again."""
        self._unread_connections.add(connection)
        if self._departure_timer is None:
            self._set_departure_timer()

    def on_reading_resumed(self, connection: Connection) -> None:
        """Ends the checks of a connection."""
        self._unread_connections.discard(connection)

    def _set_departure_timer(self) -> None:
        self._departure_timer = asyncio.get_running_loop().call_later(
            DEPARTURE_CHECK_S, self._check_departures
        )

    def _check_departures(self) -> None:
        self._departure_timer = None
        for connection in list(self._unread_connections):
            connection.has_caller_left()
        if self._unread_connections:
            self._set_departure_timer()

    def on_write_paused(self, connection: Connection) -> None:
        """Registers a connection whose write buffer is full.

        Aborts the connections with the most unsent bytes until the unsent
        bytes of all slow connections are within the limit.
        """
        self._slow_connections.add(connection)
        sizes = {
            connection: connection.unsent_bytes
            for connection in self._slow_connections
        }
        while sum(sizes.values()) > self._max_unsent_bytes:
            largest = max(sizes, key=sizes.__getitem__)
            del sizes[largest]
            self._slow_connections.discard(largest)
            self.report_rejection("caller_too_slow")
            largest.abort()

    def on_write_resumed(self, connection: Connection) -> None:
        """Removes a connection from the slow connections."""
        self._slow_connections.discard(connection)

    def report_not_started(self, request: IncomingRequest) -> None:
        """Passes a request whose caller has left to `on_not_started`."""
        if self._on_not_started is not None:
            self._on_not_started(request)

    def report_rejection(self, reason: str) -> None:
        """Passes the reason of a rejection to `on_rejected`."""
        if self._on_rejected is not None:
            self._on_rejected(reason)
