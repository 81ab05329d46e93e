"""sanic connections that count towards a limit from their acceptance on."""

from __future__ import annotations

import asyncio
from typing import Any

from sanic.http import Http
from sanic.server.protocols.http_protocol import HttpProtocol

from radishmux.http.connection_limit import ConnectionLimit

# Received bytes after which a connection counts as being of use.
_USEFUL_BYTES = 64 * 1024


class _YieldingHttp(Http):
    """Handles the requests of a connection in turn with the others.

    Between requests that were sent ahead, sanic does not yield to the event
    loop: a buffer of 1,800 small ones held up all other connections.
    """

    async def http1_request_header(self) -> None:
        """Receives a header; the connection may be closed until it begins."""
        if self.recv_buffer:
            await asyncio.sleep(0)
        await super().http1_request_header()


class LimitedProtocol(HttpProtocol):
    """A connection of a sanic server that a `ConnectionLimit` may close.

    The limit is checked when a connection is accepted, because a burst opens
    hundreds of connections between two runs of a periodic check. sanic creates
    the instances; the application's `ctx.connection_limit` holds the limit.
    """

    HTTP_CLASS = _YieldingHttp

    __slots__ = ("_bytes_since_useful",)

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._bytes_since_useful = 0

    @property
    def is_serving(self) -> bool:
        """Whether the caller waits for the response to a complete request.

        A caller that does not read its responses does not wait: it would hold
        its connection until RESPONSE_TIMEOUT_S.
        """
        http = self.http
        # An instance of sanic's Http is true while a request is handled.
        return bool(http) and not http.request_body and self._can_write.is_set()

    @property
    def _limit(self) -> ConnectionLimit:
        return self.app.ctx.connection_limit

    def connection_made(self, transport: Any) -> None:
        """Starts the connection, or closes it if no other one can be closed."""
        if not self._limit.add(self):
            self._count_closed()
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection and its request."""
        self._limit.remove(self)
        if self.transport is not None:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receives a part of a request."""
        self._bytes_since_useful += len(data)
        if self._bytes_since_useful >= _USEFUL_BYTES:
            self._record_use()
        super().data_received(data)

    async def send(self, data: bytes) -> None:
        """Sends a part of the response to a request."""
        self._record_use()
        await super().send(data)

    def close_for_another(self) -> None:
        """Closes the connection at once."""
        self._count_closed()
        self.close_at_once()

    def close_at_once(self) -> None:
        """Closes the connection without sending what is not sent yet.

        Unlike `abort`, this keeps the attribute `transport`, which sanic's
        handling of the cancelled request uses.
        """
        if self.transport is not None:
            self.transport.abort()

    def _record_use(self) -> None:
        self._bytes_since_useful = 0
        self._limit.touch(self)

    def _count_closed(self) -> None:
        context = self.app.ctx
        context.connections_closed += 1
        context.metrics.count(
            "invalid_requests_total", reason="connections_full"
        )
