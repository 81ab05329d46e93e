"""HTTP/1.1 client that reports whether a failed request may have run."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import socket
import weakref
from collections.abc import AsyncIterator, Callable

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
    NotSent,
    ServerResponse,
)
from radishmux.verdict import Verdict

CONNECT_TIMEOUT_S = 1.0
# The kernel closes the connections of a process that ends before its listener,
# and resets the connections that the listener has accepted meanwhile.
LISTENER_END_S = 0.05
_MAX_REFUSAL_CHECKS = 3
_REFUSED_ON_CONNECT = f"connect:{ConnectionRefusedError.__name__}"
_RESET_ON_CONNECT = f"connect:{ConnectionResetError.__name__}"


class ServerConnectionPool:
    """Pool of connections to one server.

    The owner must call `close`.

    Args:
        address: `ip:port` of the server.
        clock: Monotonic time.
        memory: Limits the memory of incomplete responses; shared by the pools
            of all servers.
        connect_timeout_s: Time limit for opening a connection.
        use_tcp_keepalive: Whether the kernel probes connections while a
            response takes long, so that a silent one breaks within seconds.
        local_host: IP address to connect from; None: the kernel chooses.
        on_connect: Called with the outcome of each attempt to connect: the
            name of the error, or an empty string.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        memory: ResponseMemory | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        use_tcp_keepalive: bool = False,
        on_connect: Callable[[str], None] = lambda error: None,
        local_host: str | None = None,
    ) -> None:
        self._local_address = (local_host, 0) if local_host else None
        self._on_connect = on_connect
        self._memory = memory or ResponseMemory()
        self._connect_timeout_s = connect_timeout_s
        self._probes_silence = use_tcp_keepalive
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: list[ServerConnection] = []
        self._open_count = 0
        # Connections that may be open.
        self._watched: weakref.WeakSet[ServerConnection] = weakref.WeakSet()
        self._broken = asyncio.Event()
        # Time limits of the attempts to connect in progress.
        self._connecting: set[asyncio.Timeout] = set()

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    @property
    def has_idle(self) -> bool:
        """Whether a request can be sent without opening a connection."""
        return any(connection.is_reusable for connection in self._idle)

    async def probe(self, timeout_s: float) -> str:
        """Opens a connection, to be used by a later request.

        Returns:
            Why there is none, such as `connect:TimeoutError`; empty if the
            server has accepted it.
        """
        connection = await self._connect(self._clock.now() + timeout_s)
        if isinstance(connection, NoResponse):
            return connection.reason
        self._release(connection)
        return ""

    async def is_refused(self, timeout_s: float) -> bool:
        """Returns whether nothing listens at the server's address.

        A connection that is accepted and closed at once may be one of a process
        that is just ending, so that another one is tried.

        Args:
            timeout_s: Time limit for opening a connection, in seconds.
        """
        for _ in range(_MAX_REFUSAL_CHECKS):
            connection = await self._connect(self._clock.now() + timeout_s)
            if isinstance(connection, NoResponse):
                if connection.reason == _RESET_ON_CONNECT:
                    continue
                return connection.reason == _REFUSED_ON_CONNECT
            try:
                await asyncio.sleep(LISTENER_END_S)
                is_open = connection.is_reusable
            finally:
                self._release(connection)
            if is_open:
                return False
        return False

    async def wait_broken(self, timeout_s: float) -> bool:
        """Waits until a connection breaks, which may be the server's end.

        If none is open, opens one, to be used by a later request.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether a connection broke or no connection is open.
        """
        is_needed = not self._has_open and not self._connecting
        if is_needed and await self.probe(timeout_s):
            return True
        broken = self._broken
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await broken.wait()
                return True
        return not self._has_open

    def _on_broken(self) -> None:
        broken, self._broken = self._broken, asyncio.Event()
        broken.set()

    @property
    def _has_open(self) -> bool:
        return any(connection.is_open for connection in self._watched)

    def give_up_connecting(self, within_s: float) -> None:
        """Lets the attempts to connect time out soon.

        Args:
            within_s: Time over which the ends are spread, in seconds.
        """
        now = asyncio.get_running_loop().time()
        for limit in self._connecting:
            until = now + random.uniform(0.0, within_s)
            if not limit.expired() and until < (limit.when() or math.inf):
                limit.reschedule(until)

    @contextlib.asynccontextmanager
    async def _tracked(self, limit: asyncio.Timeout) -> AsyncIterator[None]:
        self._connecting.add(limit)
        try:
            yield
        finally:
            self._connecting.discard(limit)

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()
        self._open_count -= len(self._idle)
        self._idle.clear()

    def close_expired(self) -> None:
        """Closes idle connections that must no longer be reused.

        They are closed, or the server is about to close them.
        """
        kept = [
            connection for connection in self._idle if connection.is_reusable
        ]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
        self._open_count -= len(self._idle) - len(kept)
        self._idle = kept

    async def send(
        self,
        payload: list[bytes],
        deadline: float,
        is_head: bool = False,
        accepts: Callable[[Headers], bool] = accept_all,
        before_send: Callable[[], str] = lambda: "",
    ) -> ServerResponse | NoResponse:
        """Sends a request once, without retries.

        Args:
            payload: Bytes of the request: its head and its body.
            deadline: Monotonic time in seconds until which to wait.
            is_head: Whether the method is HEAD, whose response has no body.
            accepts: Returns whether response headers belong to the response to
                this request, and not to a late one to an earlier request.
            before_send: Called right before the first byte is written. The
                request is not sent if it returns a reason.
        """
        connection = self._acquire_idle()
        if connection is None:
            connection = await self._connect(deadline)
        if isinstance(connection, NoResponse):
            return connection
        reason = before_send()
        if reason:
            self._release(connection)
            return NotSent(reason)
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                return await connection.send(payload, is_head, accepts)
        except TimeoutError:
            return NoResponse("deadline_passed", Verdict.MAY_HAVE_RUN)
        finally:
            self._release(connection)

    def _acquire_idle(self) -> ServerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
            self._open_count -= 1
        return None

    def _release(self, connection: ServerConnection) -> None:
        if connection.is_reusable:
            self._idle.append(connection)
            return
        connection.close()
        self._open_count -= 1

    async def _connect(self, deadline: float) -> ServerConnection | NoResponse:
        wait_s = min(self._connect_timeout_s, deadline - self._clock.now())
        loop = asyncio.get_running_loop()
        self._open_count += 1
        try:
            async with asyncio.timeout(wait_s) as limit, self._tracked(limit):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        self._clock,
                        self._memory,
                        self._probes_silence,
                        self._on_broken,
                    ),
                    self._host,
                    self._port,
                    family=socket.AF_INET,
                    local_addr=self._local_address,
                )
        except BaseException as error:
            self._open_count -= 1
            if isinstance(error, OSError):  # Includes TimeoutError.
                reason = type(error).__name__
                self._on_connect(reason)
                return NotSent(f"connect:{reason}", connection_failed=True)
            raise
        self._on_connect("")
        self._watched.add(connection)
        # Applies until the first response sets the time, so that a connection
        # whose request was not sent is kept.
        connection.idle_until = self._clock.now() + DEFAULT_KEEP_ALIVE_S
        return connection
