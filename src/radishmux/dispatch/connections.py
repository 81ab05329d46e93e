"""Connection pools for one HTTP server, in generations.

A generation is one aiohttp session with its connection pool. A connection is
silent (half-open) when the peer no longer answers on it although the server
accepts new connections. When a silent connection is found, a new generation
starts: new requests use it, and idle connections of the old one are closed,
because they may be silent too.
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
# Shorter than common idle timeouts of servers, so that a request is rarely sent
# on a connection that the server is closing.
KEEP_ALIVE_S = 4.0
# Bytes of one response that may be buffered before reading pauses.
READ_BUFFER_BYTES = 64 * 1024
_PROBE_TIMEOUT_S = 0.5
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotSentError(Exception):
    """The gate was closed, so that no byte of the request was written."""


class Call:
    """One request on one connection.

    Attributes:
        connections: Connections to the server that the request is sent to.
        gate: Called right before the first byte is written; if it returns
            False, the request is not sent.
        generation: Generation of the connection.
        last_byte_at: Monotonic time in seconds at which bytes were last
            received; before that, the time at which the call was created.
        sent: Whether a byte may have been written.
        reused: Whether the connection has carried an earlier request.
        aborted: Whether `abort` broke the connection because it was silent.
        transport: Transport of the connection, or None before it is assigned.
        stream: Body of the response if it is streamed after the headers,
            or None.
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
        """Closes the connection, so that the request fails immediately."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


_call: contextvars.ContextVar[Call] = contextvars.ContextVar("call")


class _Connector(aiohttp.TCPConnector):
    """Checks each connection right before it carries a request."""

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        connection = await super().connect(req, traces, timeout)
        # A response that arrived while the connection was idle belongs to an
        # earlier request, so the connection must not carry a new one.
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

    def close_idle(self) -> None:
        """Closes idle connections now and the others after their request."""
        self._force_close = True
        idle = list(self._conns.values())
        self._conns.clear()
        for connections in idle:
            for protocol, _ in connections:
                protocol.close()


class Connections:
    """Connections to the server at one address.

    Args:
        address: `ip:port` of the server.
        limit: Maximum number of connections per generation; 0 for no limit.
    """

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
        """Number of the generation that new requests use, from 0."""
        return self._generation

    def start_generation(self) -> None:
        """Retires the current generation and opens the next one."""
        self._connector.close_idle()
        self._retired.append(self._session)
        self._generation += 1
        self._session, self._connector = self._open()

    async def close(self) -> None:
        """Closes the connections of all generations."""
        for session in (*self._retired, self._session):
            await session.close()
        self._retired.clear()

    async def close_retired_sessions(self) -> None:
        """Closes sessions of old generations without requests in flight."""
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
        """Sends a request and returns once the response headers are there.

        Args:
            call: State of the request, which is updated.
            method: HTTP method.
            target: Path and query, already percent-encoded.
            headers: Headers of the request.
            data: Body of the request, or None.

        Returns:
            The response, whose body has not been read.

        Raises:
            NotSentError: The gate was closed; nothing was written.
            aiohttp.ClientError: The request failed. It may have run on the
                server if `call.sent` is set.
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
        # aiohttp would repeat a PUT or DELETE whose reused connection was
        # closed, but a non-idempotent request must not run twice.
        session._retry_connection = False
        return session, connector


async def is_responsive(
    address: str, path: str, timeout_s: float = _PROBE_TIMEOUT_S
) -> bool:
    """Returns whether a server answers a GET request on a new connection.

    Args:
        address: `ip:port` of the server.
        path: Path to request; any status counts as an answer.
        timeout_s: Time limit for the connection and the whole response.
    """
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
