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


class FaultProxy:
    """Passes connections to one address; an async context manager.

    Bytes that were dropped are gone: a connection that was silent for a
    moment never recovers, as behind a firewall that forgot it.
    """

    def __init__(self) -> None:
        self.target = ""
        self.address = ""
        self._link = Link.SOUND
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Sockets whose full queue lets connections hang.
        self._queue: list[socket.socket] = []

    async def __aenter__(self) -> FaultProxy:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        self._empty_queue()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

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
        if self._server is not None:
            self._server.close()
            self._server = None
        if link is Link.CUT_SILENT:
            self._fill_queue()

    def _listen(self) -> None:
        """Accepts connections again after a cut."""
        if self._server is not None:
            return
        task = asyncio.create_task(self._start())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> None:
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        if self._server is None and self._link not in CUTS:
            self._server = server
        else:
            server.close()

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

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
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
