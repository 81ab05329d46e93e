"""One HTTP/1.1 connection to a server, which carries one request at a time.

Responses are parsed with httptools, which aiohttp and sanic also use. aiohttp's
client is not suitable here for two reasons: if a connection is reset during a
response without a length, it treats that response as complete; and it cannot
skip a late response to an earlier request.
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
    is_valid_status,
)
from radishmux.verdict import Verdict

# Idle time after which a connection is not reused, if the server sends no
# timeout in a Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 4.0
# A connection is no longer reused this long before the server closes it, so
# that no request is sent while the server is closing.
KEEP_ALIVE_MARGIN_S = 0.6
# The kernel breaks a connection whose sent bytes stay unacknowledged for this
# long, because the network path is lost.
TCP_USER_TIMEOUT_MS = 2_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Limit of consecutive bytes that are not part of a body, such as headers,
# interim responses and trailers. Four times the platform's limit for the
# headers of a caller's request.
MAX_HEAD_BYTES = 64 * 1024
# Complete responses to other requests that are skipped before the expected one:
# the response to an earlier request, and a duplicate of it.
MAX_SKIPPED_RESPONSES = 2
_BODYLESS = frozenset({204, 304})


class ServerConnection(asyncio.Protocol):
    """One connection to a server; carries one request at a time.

    It is both the asyncio protocol of the connection and the object that the
    parser calls back.

    Args:
        clock: Monotonic time.
        memory: Counts and limits the bytes of incomplete responses.
        use_tcp_keepalive: Whether the kernel probes the connection, so that it
            breaks within seconds when the server is no longer reachable.
        on_broken: Called when the connection has ended and this side did not
            close it.

    Attributes:
        idle_until: Monotonic time until which the idle connection may be
            reused.
        uses: Number of requests sent.
    """

    def __init__(
        self,
        clock: Clock,
        memory: ResponseMemory,
        use_tcp_keepalive: bool,
        on_broken: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_broken = on_broken
        self._is_closed_here = False
        self._clock = clock
        self._use_tcp_keepalive = use_tcp_keepalive
        self._memory = memory
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ServerResponse | NoResponse] | None = None
        self._accepts: Callable[[Headers], bool] = accept_all
        self._is_head = False
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        # Bytes received since the last piece of a body, or since the request
        # was sent if there was none.
        self._non_body_bytes = 0
        self._skipped_responses = 0
        self._ends_at_eof = False
        self._sent = False
        self._reusable = True
        self._head_complete = False
        self.idle_until = 0.0
        self.uses = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection now."""
        return (
            self._reusable
            and self.is_open
            and self._clock.now() < self.idle_until
        )

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options of the new connection."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
            if self._use_tcp_keepalive:
                _enable_tcp_keepalive(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request in flight, unless its response is now complete.

        A response without a length ends when the server closes the connection.
        """
        self._reusable = False
        if not self._is_closed_here:
            self._on_broken()
        if self._ends_at_eof and exc is None:
            self._complete()
            return
        if self._head_complete:
            self._fail("truncated_response")
        else:
            self._fail("connection_broken", connection_failed=True)

    def eof_received(self) -> bool:
        """Completes a response that ends when the server closes."""
        self._reusable = False
        if self._ends_at_eof:
            self._complete()
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._waiter is None:
            # The bytes belong to no request.
            self.close()
            return
        self._non_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort("malformed_response")
            return
        if self._waiter is not None and self._non_body_bytes > MAX_HEAD_BYTES:
            self.abort("response_head_too_large")

    def abort(self, reason: str) -> None:
        """Fails the request in flight and closes the connection."""
        self._fail(reason)
        self.close()

    def on_message_begin(self) -> None:
        """Resets the state for a new response; called by the parser."""
        if self._waiter is None:
            # A second response to a request that already has one.
            self._reusable = False
        self._headers = []
        self._discard_body()
        self._head_complete = False

    def _discard_body(self) -> None:
        self._body = []
        self._size = 0
        self._memory.release(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Determines how the body ends; called by the parser."""
        status = self._parser.get_status_code()
        if not is_valid_status(status):
            # Also below 100, which is no interim response.
            self.abort("malformed_response")
            return
        if status < 200:
            return
        self._head_complete = True
        names = {name for name, _ in self._headers}
        framed = "content-length" in names or "transfer-encoding" in names
        self._ends_at_eof = (
            not framed and status not in _BODYLESS and not self._is_head
        )
        if self._is_head:
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body; called by the parser."""
        if self._waiter is None:
            return
        self._non_body_bytes = 0
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self.abort("response_too_large")
            return
        self._body.append(body)
        self._memory.add(self, len(body))

    def on_message_complete(self) -> None:
        """Completes a final response; called by the parser."""
        if self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._complete()

    async def send(
        self,
        payload: list[bytes],
        is_head: bool,
        accepts: Callable[[Headers], bool],
    ) -> ServerResponse | NoResponse:
        """Sends one request and returns its response or why there is none.

        Cancellation closes the connection.

        Args:
            payload: Bytes of the request: its head and its body.
            is_head: Whether the method is HEAD, whose response has no body.
            accepts: Returns whether response headers belong to the response to
                this request; other responses are skipped.
        """
        transport = self._transport
        assert transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._is_head = is_head
        self._ends_at_eof = self._head_complete = False
        self._non_body_bytes = self._skipped_responses = 0
        self.uses += 1
        self._sent = True
        transport.writelines(payload)
        try:
            return await self._waiter
        except BaseException:
            self._waiter = None
            self.close()
            raise
        finally:
            # The check refers to the request and its body, and the connection
            # may stay idle for long.
            self._accepts = accept_all

    def close(self) -> None:
        """Closes the connection immediately, discarding unsent bytes.

        The server can then stop working on the request.
        """
        self._reusable = False
        self._is_closed_here = True
        self._discard_body()
        if self._transport is not None:
            self._transport.abort()

    def _complete(self) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if not self._accepts(self._headers):
            # This is a late response to an earlier request; the response to
            # the current request may follow.
            self._reusable = False
            self._head_complete = self._ends_at_eof = False
            self._discard_body()
            self._skipped_responses += 1
            if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                self.abort("mismatched_response")
            elif self._transport is None or self._transport.is_closing():
                self._fail("mismatched_response")
            return
        self._waiter = None
        response = ServerResponse(
            self._parser.get_status_code(), self._headers, b"".join(self._body)
        )
        self._discard_body()
        self._update_idle_until(response)
        transport = self._transport
        assert transport is not None
        if transport.get_write_buffer_size():
            # The response arrived before the whole request was sent.
            self._reusable = False
        waiter.set_result(response)

    def _update_idle_until(self, response: ServerResponse) -> None:
        keep_alive_s = DEFAULT_KEEP_ALIVE_S
        for item in (response.header("keep-alive") or "").split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                keep_alive_s = float(value)
        self.idle_until = self._clock.now() + keep_alive_s - KEEP_ALIVE_MARGIN_S

    def _fail(self, reason: str, connection_failed: bool = False) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(
                NoResponse(reason, Verdict.MAY_HAVE_RUN, connection_failed)
            )


def _enable_tcp_keepalive(sock: socket.socket) -> None:
    """Makes the kernel break a connection within seconds of going silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def accept_all(headers: Headers) -> bool:
    """Accepts any response as that to the current request."""
    return True
