"""A connection to one peer that matches replies to requests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from radishmux.outcome import Unavailable
from radishmux.peer import messages
from radishmux.peer._framing import (
    FrameError,
    Traffic,
    read_envelope,
    write_envelope,
)


class PeerUnavailable(Unavailable):
    """A peer did not reply.

    Attributes:
        refused: Whether the peer's port refused the connection, which shows
            that its process is dead. A timeout does not show that.
    """

    __slots__ = ("refused",)

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class PeerLink:
    """Sends requests to one peer and matches replies by correlation number.

    An async context manager. The first request opens the connection, and so
    does the first one after a failure.
    """

    def __init__(
        self,
        sender: str,
        incarnation: int,
        address: str,
        traffic: Traffic | None = None,
    ) -> None:
        self._sender = sender
        self._incarnation = incarnation
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._correlation = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._connecting = asyncio.Lock()
        self._traffic = traffic or Traffic()

    async def __aenter__(self) -> PeerLink:
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._close("link closed")

    async def request(
        self, message: Any, timeout_s: float
    ) -> Any | PeerUnavailable:
        """Sends a message and returns the peer's reply.

        A timeout closes the connection, which fails all requests that are in
        flight on it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                writer = await self._connect()
                reply = self._send(writer, message)
                return await reply
        except ConnectionRefusedError:
            return PeerUnavailable("connection refused", refused=True)
        except TimeoutError:
            self._close("peer timed out")
            return PeerUnavailable("timeout")
        except OSError as error:
            self._close(str(error))
            return PeerUnavailable(str(error))

    def _send(
        self, writer: asyncio.StreamWriter, message: Any
    ) -> asyncio.Future[Any]:
        self._correlation += 1
        envelope = messages.Envelope(
            correlation=self._correlation,
            is_reply=False,
            sender=self._sender,
            sender_incarnation=self._incarnation,
            body=messages.wrap(message),
        )
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[self._correlation] = reply
        write_envelope(writer, envelope, self._traffic)
        return reply

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._connecting:
            if self._writer is None:
                reader, self._writer = await asyncio.open_connection(
                    self._host, self._port
                )
                self._reader_task = asyncio.create_task(
                    self._read(reader, self._writer)
                )
            return self._writer

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reason = "connection lost"
        try:
            while True:
                envelope = await read_envelope(reader, self._traffic)
                reply = self._waiting.pop(envelope.correlation, None)
                if reply is not None and not reply.done():
                    reply.set_result(messages.unwrap(envelope.body))
        except (asyncio.IncompleteReadError, OSError, FrameError):
            pass
        finally:
            if self._writer is writer:
                self._close(reason)

    def _close(self, reason: str) -> None:
        writer, self._writer = self._writer, None
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
        task, self._reader_task = self._reader_task, None
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        waiting, self._waiting = self._waiting, {}
        for reply in waiting.values():
            if not reply.done():
                reply.set_exception(ConnectionResetError(reason))
                reply.exception()  # Retrieved, as the waiter may be cancelled.
