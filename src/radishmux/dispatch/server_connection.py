"""One HTTP/1.1 connection to a server, which carries one request at a time.

The parser is httptools, which aiohttp and sanic use too. aiohttp's client
does not serve here: it takes a response without a length whose connection was
reset for a complete one, and has no way to skip a late response to an earlier
request.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from radishmux.clock import Clock
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_response import (
    Headers,
    NoResponse,
    ServerResponse,
)
from radishmux.verdict import Verdict

# Idle time after which a connection is not used again when the server does
# not say how long it keeps it.
DEFAULT_KEEP_ALIVE_S = 4.0
# A connection is given up this long before the server closes it, so that a
# request does not cross the close.
KEEP_ALIVE_MARGIN_S = 0.6
# Unacknowledged bytes for this long mean that the path is gone.
USER_TIMEOUT_MS = 2_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Bytes of a response that are not part of its body: a head, interim responses,
# trailers. As much as a caller's head may have by the platform's figures, four
# times.
MAX_HEAD_BYTES = 64 * 1024
# Whole responses to other requests that are skipped on the way to the one that
# is waited for: an earlier one and its copy.
MAX_SKIPPED = 2
_BODYLESS = frozenset({204, 304})


class ServerConnection(asyncio.Protocol):
    """One connection to a server; carries one request at a time."""

    def __init__(
        self, clock: Clock, memory: ResponseMemory, use_tcp_keepalive: bool
    ) -> None:
        self._clock = clock
        self._probes_silence = use_tcp_keepalive
        self._memory = memory
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ServerResponse | NoResponse] | None = None
        self._accepts: Callable[[Headers], bool] = accept_all
        self._is_head = False
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        # Bytes since the latest piece of a body, or since the request.
        self._head_bytes = 0
        self._skipped = 0
        self._until_eof = False
        self._sent = False
        self._reusable = True
        self._head_complete = False
        self.idle_until = 0.0
        self.uses = 0

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent on it now."""
        transport = self._transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
            and self._clock.now() < self.idle_until
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection."""
        # uvloop's transports are no subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            if self._probes_silence:
                _probe_silence(raw)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request that is under way."""
        self._reusable = False
        if self._until_eof and exc is None:
            self._complete()
            return
        if self._head_complete:
            self._fail("truncated_response")
        else:
            self._fail("connection_broken", connection_failed=True)

    def eof_received(self) -> bool:
        """Takes the end of the server's side."""
        self._reusable = False
        if self._until_eof:
            self._complete()
        return False

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the server."""
        if self._waiter is None:
            # They belong to no request.
            self.close()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.give_up("malformed_response")
            return
        if self._waiter is not None and self._head_bytes > MAX_HEAD_BYTES:
            self.give_up("response_head_too_large")

    def give_up(self, reason: str) -> None:
        """Ends the request that is under way, and the connection."""
        self._fail(reason)
        self.close()

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._waiter is None:
            # A second response to a request that has one.
            self._reusable = False
        self._headers = []
        self._drop_body()
        self._head_complete = False

    def _drop_body(self) -> None:
        self._body = []
        self._size = 0
        self._memory.release(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Looks at how the body is framed."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._head_complete = True
        names = {name for name, _ in self._headers}
        framed = "content-length" in names or "transfer-encoding" in names
        self._until_eof = (
            not framed and status not in _BODYLESS and not self._is_head
        )
        if self._is_head:
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        if self._waiter is None:
            return
        self._head_bytes = 0
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self.give_up("response_too_large")
            return
        self._body.append(body)
        self._memory.hold(self, len(body))

    def on_message_complete(self) -> None:
        """Ends a response."""
        if self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._complete()

    async def exchange(
        self,
        payload: list[bytes],
        is_head: bool,
        accepts: Callable[[Headers], bool],
    ) -> ServerResponse | NoResponse:
        """Sends one request and returns what comes of it.

        Args:
            payload: Head and body.
            is_head: Whether the response has no body.
            accepts: Whether the headers are those of this request's response;
                another one is dropped.
        """
        transport = self._transport
        assert transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._is_head = is_head
        self._until_eof = self._head_complete = False
        self._head_bytes = self._skipped = 0
        self.uses += 1
        self._sent = True
        transport.writelines(payload)
        try:
            return await self._waiter
        except BaseException:
            self._waiter = None
            self.close()
            raise

    def close(self) -> None:
        """Ends the connection at once; the server stops its work."""
        self._reusable = False
        self._drop_body()
        if self._transport is not None:
            self._transport.abort()

    def _complete(self) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if not self._accepts(self._headers):
            # A late response to an earlier request; ours may follow.
            self._reusable = False
            self._head_complete = self._until_eof = False
            self._drop_body()
            self._skipped += 1
            if self._skipped > MAX_SKIPPED:
                self.give_up("mismatched_response")
            elif self._transport is None or self._transport.is_closing():
                self._fail("mismatched_response")
            return
        self._waiter = None
        response = ServerResponse(
            self._parser.get_status_code(), self._headers, b"".join(self._body)
        )
        self._drop_body()
        self._note_keep_alive(response)
        transport = self._transport
        assert transport is not None
        if transport.get_write_buffer_size():
            # The response came before the whole request was sent.
            self._reusable = False
        waiter.set_result(response)

    def _note_keep_alive(self, response: ServerResponse) -> None:
        keep_s = DEFAULT_KEEP_ALIVE_S
        for item in (response.header("keep-alive") or "").split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                keep_s = float(value)
        self.idle_until = self._clock.now() + keep_s - KEEP_ALIVE_MARGIN_S

    def _fail(self, reason: str, connection_failed: bool = False) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(
                NoResponse(reason, Verdict.MAY_HAVE_RUN, connection_failed)
            )


def _probe_silence(raw: socket.socket) -> None:
    """Makes a connection that went silent break within seconds."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def accept_all(headers: Headers) -> bool:
    """Takes any response for that of the request."""
    return True
