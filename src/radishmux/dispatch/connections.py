"""Connections to one HTTP server, in generations.

A generation is one aiohttp session. When a connection of a generation turns
out to be silent, new requests use the next generation and idle connections
of the old one are closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from yarl import URL

from radishmux.dispatch.exchange import Headers

CONNECT_TIMEOUT_S = 1.0
# Shorter than the idle timeouts in common use by servers, so that a request
# seldom meets a connection that the server is closing.
KEEP_ALIVE_S = 4.0
# Limit of the bytes that one response may hold in memory.
READ_BUFFER_BYTES = 64 * 1024
_PROBE_TIMEOUT_S = 0.5
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotSentError(Exception):
    """The gate closed before the first byte was written."""


class Call:
    """One request on one connection.

    Attributes:
        gate: Called right before the first byte is written; False stops it.
        sent: Whether a byte may have been written.
        reused: Whether the connection had carried a request before.
        last_byte_at: Monotonic time of the latest progress.
        abandoned: Whether the connection was found silent.
        stream: The response's body, when it is read after the headers.
        generation: Generation of the connection.
    """

    __slots__ = (
        "aborted",
        "connections",
        "gate",
        "generation",
        "last_byte_at",
        "reused",
        "sent",
        "stream",
        "transport",
    )

    def __init__(
        self, connections: Connections, gate: Callable[[], bool], now: float
    ) -> None:
        self.connections = connections
        self.gate = gate
        self.generation = connections.generation
        self.last_byte_at = now
        self.sent = False
        self.reused = False
        self.aborted = False
        self.transport: asyncio.Transport | None = None
        self.stream: Any = None

    def abort(self) -> None:
        """Breaks the connection, so that the request fails now."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


_call: contextvars.ContextVar[Call] = contextvars.ContextVar("call")


class _Connector(aiohttp.TCPConnector):
    """Checks each connection right before it carries a request."""

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        connection = await super().connect(req, traces, timeout)
        # A response that came while the connection was idle belongs to an
        # earlier request.
        while connection.protocol.should_close:
            connection.close()
            connection = await super().connect(req, traces, timeout)
        call = _call.get()
        protocol = connection.protocol
        call.reused = getattr(protocol, "carried_request", False)
        protocol.carried_request = True
        if not call.gate():
            connection.release()
            raise NotSentError
        call.transport = protocol.transport
        call.sent = True
        return connection

    def start_generation(self) -> None:
        """Closes idle connections now and the others after their request."""
        self._force_close = True
        idle = list(self._conns.values())
        self._conns.clear()
        for connections in idle:
            for protocol, _ in connections:
                protocol.close()


class Connections:
    """Connections to the server at one address."""

    def __init__(self, address: str, limit: int = 0) -> None:
        self._address = address
        self._limit = limit
        self._generation = 0
        self._retired: list[aiohttp.ClientSession] = []
        self._base = f"http://{address}"
        self._session, self._connector = self._open()

    @property
    def address(self) -> str:
        """`ip:port` of the server."""
        return self._address

    @property
    def generation(self) -> int:
        """Number of the generation that new requests use."""
        return self._generation

    def start_generation(self) -> None:
        """Starts the next generation."""
        self._connector.start_generation()
        self._retired.append(self._session)
        self._generation += 1
        self._session, self._connector = self._open()

    async def close(self) -> None:
        """Closes all connections."""
        for session in (*self._retired, self._session):
            await session.close()
        self._retired.clear()

    async def close_retired_sessions(self) -> None:
        """Closes sessions of old generations that carry no request."""
        done = [s for s in self._retired if not s.connector._acquired]
        for session in done:
            self._retired.remove(session)
            await session.close()

    async def send(
        self,
        call: Call,
        method: str,
        target: str,
        headers: Headers,
        data: bytes | AsyncIterator[bytes] | None,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the response after its headers.

        Raises:
            NotSentError: The gate was closed; nothing was written.
            aiohttp.ClientError: See `call.sent` for whether it may have run.
        """
        _call.set(call)
        return await self._session.request(
            method,
            URL(self._base + target, encoded=True),
            headers=headers,
            data=data,
            allow_redirects=False,
        )

    def _open(self) -> tuple[aiohttp.ClientSession, _Connector]:
        connector = _Connector(
            limit=self._limit, keepalive_timeout=KEEP_ALIVE_S
        )
        session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, connect=CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            skip_auto_headers=_AUTO_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
        )
        # The library sends PUT and DELETE again when a kept connection was
        # closed; a non-idempotent request must not run twice.
        session._retry_connection = False
        return session, connector


async def is_responsive(
    address: str, path: str, timeout_s: float = _PROBE_TIMEOUT_S
) -> bool:
    """Returns whether a server answers on a fresh connection."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(force_close=True)
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            async with session.get(f"http://{address}{path}") as response:
                await response.read()
                return True
    return False
