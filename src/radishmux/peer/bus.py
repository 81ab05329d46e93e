"""Sends requests to peers and dispatches their requests to handlers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from radishmux.peer import messages
from radishmux.peer._framing import (
    FrameError,
    Traffic,
    read_envelope,
    write_envelope,
)
from radishmux.peer.link import PeerLink, PeerUnavailable

Handler = Callable[[Any, "Sender"], Awaitable[Any]]


class Sender:
    """The instance that sent a message, and its incarnation."""

    __slots__ = ("incarnation", "instance")

    def __init__(self, instance: str, incarnation: int) -> None:
        self.instance = instance
        self.incarnation = incarnation


class PeerBus:
    """Exchanges messages with all peers over control connections.

    An async context manager; it listens for connections while it is entered.
    """

    def __init__(
        self, instance: str, incarnation: int, listen_address: str
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._listen_address = listen_address
        self._handlers: dict[type, Handler] = {}
        self._links: dict[str, PeerLink] = {}
        self._addresses: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._traffic = Traffic()

    async def __aenter__(self) -> PeerBus:
        host, _, port = self._listen_address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host.strip("[]"), int(port)
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        for link in self._links.values():
            await link.__aexit__()

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """Incarnation of this process; grows with each restart."""
        return self._incarnation

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the instances whose address is known."""
        return tuple(self._addresses)

    @property
    def traffic(self) -> Traffic:
        """Bytes and messages exchanged with all peers since the start."""
        return self._traffic

    def handle(self, message_type: type) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers the handler of a message type."""

        def decorate(handler: Handler) -> Handler:
            self._handlers[message_type] = handler
            return handler

        return decorate

    def add_address(self, instance: str, address: str) -> None:
        """Adds the control address of a peer, unless one is already known."""
        self._addresses.setdefault(instance, address)

    async def set_address(self, instance: str, address: str | None) -> None:
        """Sets or, with None, removes the control address of a peer.

        Closes the connection to the previous address.
        """
        if self._addresses.get(instance) == address:
            return
        link = self._links.pop(instance, None)
        if link is not None:
            await link.__aexit__()
        if address is None:
            self._addresses.pop(instance, None)
        else:
            self._addresses[instance] = address

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any | PeerUnavailable:
        """Sends a message to a peer and returns its reply.

        Connects first if there is no connection to the peer yet.
        """
        address = self._addresses.get(instance)
        if address is None:
            return PeerUnavailable("unknown instance")
        link = self._links.get(instance)
        if link is None:
            link = PeerLink(
                self._instance, self._incarnation, address, self._traffic
            )
            self._links[instance] = link
        return await link.request(message, timeout_s)

    async def broadcast(
        self, message: Any, timeout_s: float
    ) -> dict[str, Any | PeerUnavailable]:
        """Sends a message to all peers and returns the replies by instance."""
        names = self.peers
        replies = await asyncio.gather(
            *(self.request(name, message, timeout_s) for name in names)
        )
        return dict(zip(names, replies, strict=True))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        answers: set[asyncio.Task[None]] = set()
        try:
            while True:
                envelope = await read_envelope(reader, self._traffic)
                answer = asyncio.create_task(self._answer(envelope, writer))
                answers.add(answer)
                answer.add_done_callback(answers.discard)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            OSError,
            FrameError,
        ):
            pass
        finally:
            self._connections.discard(task)
            for answer in answers:
                answer.cancel()
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(
        self, envelope: Any, writer: asyncio.StreamWriter
    ) -> None:
        message = messages.unwrap(envelope.body)
        handler = self._handlers.get(type(message))
        if handler is None:
            reply: Any = messages.Done(accepted=False, reason="no handler")
        else:
            sender = Sender(envelope.sender, envelope.sender_incarnation)
            reply = await handler(message, sender)
        answer = messages.Envelope(
            correlation=envelope.correlation,
            is_reply=True,
            sender=self._instance,
            sender_incarnation=self._incarnation,
            body=messages.wrap(reply),
        )
        with contextlib.suppress(OSError):
            write_envelope(writer, answer, self._traffic)
            await writer.drain()
