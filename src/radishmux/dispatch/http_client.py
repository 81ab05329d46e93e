"""HTTP/1.1 requests with an exact account of their fate."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from radishmux.clock import Clock
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_connection import (
    DEFAULT_KEEP_ALIVE_S,
    ServerConnection,
    accept_all,
)
from radishmux.dispatch.server_response import (
    Headers,
    NoResponse,
    ServerResponse,
)
from radishmux.verdict import Verdict

CONNECT_TIMEOUT_S = 1.0


class ServerConnectionPool:
    """Connections to one backend server; closed with `close`.

    Args:
        address: `ip:port` of the server.
        clock: Monotonic time.
        memory: Bounds what the responses of all servers take.
        connect_timeout_s: Longest time for a new connection.
        probes_silence: Whether connections are probed while a response takes
            long.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        memory: ResponseMemory | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        use_tcp_keepalive: bool = False,
    ) -> None:
        self._memory = memory or ResponseMemory()
        self._connect_timeout_s = connect_timeout_s
        self._probes_silence = use_tcp_keepalive
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: list[ServerConnection] = []
        self._open = 0

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()
        self._open -= len(self._idle)
        self._idle.clear()

    def close_expired(self) -> None:
        """Closes idle connections that the server is about to close."""
        kept = [one for one in self._idle if one.is_open]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
        self._open -= len(self._idle) - len(kept)
        self._idle = kept

    async def send(
        self,
        payload: list[bytes],
        deadline: float,
        is_head: bool = False,
        accepts: Callable[[Headers], bool] = accept_all,
        before_send: Callable[[], bool] = lambda: True,
    ) -> ServerResponse | NoResponse:
        """Sends one request once.

        Args:
            payload: Head and body.
            deadline: Monotonic time until which to wait.
            is_head: Whether the response has no body.
            accepts: Tells this request's response from a late earlier one.
            before_send: Called right before the first byte; False stops it.
        """
        connection = self._take()
        if connection is None:
            connection = await self._connect(deadline)
        if isinstance(connection, NoResponse):
            return connection
        if not before_send():
            self._give_back(connection)
            return NoResponse("stopped", Verdict.NOT_RUN)
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                return await connection.exchange(payload, is_head, accepts)
        except TimeoutError:
            return NoResponse("deadline_passed", Verdict.MAY_HAVE_RUN)
        finally:
            self._give_back(connection)

    def _take(self) -> ServerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            connection.close()
            self._open -= 1
        return None

    def _give_back(self, connection: ServerConnection) -> None:
        if connection.is_open:
            self._idle.append(connection)
            return
        connection.close()
        self._open -= 1

    async def _connect(self, deadline: float) -> ServerConnection | NoResponse:
        wait_s = min(self._connect_timeout_s, deadline - self._clock.now())
        loop = asyncio.get_running_loop()
        self._open += 1
        try:
            async with asyncio.timeout(wait_s):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        self._clock, self._memory, self._probes_silence
                    ),
                    self._host,
                    self._port,
                    family=socket.AF_INET,
                )
        except BaseException as error:
            self._open -= 1
            if isinstance(error, OSError):  # TimeoutError is one.
                reason = type(error).__name__
                return NoResponse(f"connect:{reason}", Verdict.NOT_RUN, True)
            raise
        # Kept once after the first request even if the server names no time.
        connection.idle_until = self._clock.now() + DEFAULT_KEEP_ALIVE_S
        return connection
