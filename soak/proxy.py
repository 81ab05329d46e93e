"""A loopback TCP proxy that delays, resets, cuts or silences connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from types import TracebackType

_CHUNK_BYTES = 64 * 1024


class Link(enum.Enum):
    """What the proxy does with bytes."""

    SOUND = "passes them on"
    SLOW = "delays them"
    SILENT = "drops them, both ways"
    DEAF = "drops what the client sends"
    MUTE = "drops what the server sends"
    CLOSED = "resets connections, new ones too"
    CUT_SILENT = "drops all bytes; new connections hang"
    CUT_RESET = "resets connections and refuses new ones"
    CUT_NEW = "passes bytes on, but refuses new connections"


_DROPS_FROM_CLIENT = frozenset({Link.SILENT, Link.DEAF, Link.CUT_SILENT})
_DROPS_FROM_SERVER = frozenset({Link.SILENT, Link.MUTE, Link.CUT_SILENT})
_RESETS = frozenset({Link.CLOSED, Link.CUT_RESET})
CUTS = (Link.CUT_SILENT, Link.CUT_RESET, Link.CUT_NEW)
# Connections that fill the queue of a listener with the shortest backlog.
_QUEUE_FILLERS = 3
DELAY_S = 0.15
# The kernel closes the connections of a process that ends before its listener.
LISTENER_OUTLIVES_S = 0.01


class FaultProxy:
    """Passes connections to one address; an async context manager.

    Bytes that were dropped are gone: a connection that was silent for a
    moment never recovers, as behind a firewall that forgot it.

    The port stays reserved while a cut closes the listener. Otherwise a process
    of another test that asks the system for a port could get this one and
    answer in place of the target.
    """

    def __init__(self) -> None:
        self.target = ""
        self.address = ""
        self._link = Link.SOUND
        self._listener: socket.socket | None = None
        # Listener that accepts nothing any more and is about to be closed.
        self._ending: socket.socket | None = None
        self._reservation: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Sockets whose full queue lets connections hang.
        self._queue: list[socket.socket] = []

    async def __aenter__(self) -> FaultProxy:
        # Bound, but never listening: the system gives the port to nobody else,
        # and refuses connections as long as no other socket listens on it.
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind(("127.0.0.1", 0))
        host, port = self._reservation.getsockname()
        self.address = f"{host}:{port}"
        self._listen()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop_listening()
        self._close_ending()
        self._empty_queue()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._reservation is not None:
            self._reservation.close()

    @property
    def link(self) -> Link:
        """What happens to connections now."""
        return self._link

    def set_link(self, link: Link) -> None:
        """Sets what happens to all connections from now on."""
        self._link = link
        if link in _RESETS:
            for writer in list(self._writers):
                writer.transport.abort()
        self._empty_queue()
        if link not in CUTS:
            self._listen()
            return
        self._stop_listening()
        if link is Link.CUT_RESET:
            loop = asyncio.get_running_loop()
            loop.call_later(LISTENER_OUTLIVES_S, self._close_ending)
            return
        self._close_ending()
        if link is Link.CUT_SILENT:
            self._fill_queue()

    def _listen(self) -> None:
        if self._listener is not None:
            return
        self._close_ending()
        host, _, port = self.address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        self._listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener, self._accept, self._listener)

    def _stop_listening(self) -> None:
        if self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._close_ending()
        self._ending, self._listener = self._listener, None

    def _close_ending(self) -> None:
        if self._ending is not None:
            self._ending.close()
            self._ending = None

    def _accept(self, listener: socket.socket) -> None:
        # A client may have left between the event and this call.
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            connection, _ = listener.accept()
            connection.setblocking(False)
            task = asyncio.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _fill_queue(self) -> None:
        """Lets new connections hang: nobody takes them from a full queue."""
        host, _, port = self.address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=0)
        self._queue = [listener]
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._queue.append(filler)

    def _empty_queue(self) -> None:
        for one in self._queue:
            one.close()
        self._queue = []

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        self._writers.add(writer)
        try:
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._link is Link.CLOSED or self._link in CUTS:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        upstream_reader, upstream = await asyncio.open_connection(
            host, int(port)
        )
        self._writers.add(upstream)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, upstream, _DROPS_FROM_CLIENT)
                )
                group.create_task(
                    self._copy(upstream_reader, writer, _DROPS_FROM_SERVER)
                )
        except* OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(upstream)
            upstream.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drops: frozenset[Link],
    ) -> None:
        is_broken = False
        while data := await reader.read(_CHUNK_BYTES):
            if self._link is Link.SLOW:
                await asyncio.sleep(DELAY_S)
            # Bytes after a gap would belong to nothing.
            is_broken = is_broken or self._link in drops
            if not is_broken:
                writer.write(data)
                await writer.drain()
        if not is_broken:
            with contextlib.suppress(OSError):
                writer.write_eof()
