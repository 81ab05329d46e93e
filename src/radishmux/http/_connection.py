"""Parses requests and writes responses on one caller connection."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools
from loguru import logger

from radishmux.http._remote_end import RemoteEnd
from radishmux.http.incoming import (
    CALLER_LEFT,
    CONNECTION_ENDS,
    Headers,
    IncomingRequest,
)
from radishmux.http.response import INVALID_REQUESTS, Response, render_head

if TYPE_CHECKING:
    from radishmux.http.pipelined import PipelinedServer

# Number of unanswered requests at which a connection pauses reading. Requests
# that were already received are still processed.
MAX_PIPELINED = 16
# Time for which a connection discards input after its last response. Closing at
# once could send a reset that destroys the response before the caller reads it.
LINGER_S = 1.0
# A check whether the caller has left is not repeated within this time.
CHECK_VALID_S = 0.02
# Longest pause between two reads of a request body.
BODY_IDLE_S = 10.0
# Size of a connection's write buffer above which it sends no further responses
# and reads no further requests: half the size of the largest responses.
WRITE_BUFFER_BYTES = 256 * 1024


class _PendingResponse:
    """A response that must be sent in the order of its request.

    Attributes:
        closes: Whether the connection ends after the response.
        held_bytes: Memory reserved for the body of the request.
        is_head: Whether the response is sent without its body.
        request: The request, or None once its handler has been started.
        response: The response, or None while the request is processed.
        task: Runs the handler, or None once it has ended.
    """

    __slots__ = (
        "closes",
        "held_bytes",
        "is_head",
        "request",
        "response",
        "task",
    )

    def __init__(
        self, closes: bool, is_head: bool, held_bytes: int = 0
    ) -> None:
        self.closes = closes
        self.held_bytes = held_bytes
        self.is_head = is_head
        self.request: IncomingRequest | None = None
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class Connection(asyncio.Protocol):
    """Protocol of one caller connection; owns its transport."""

    def __init__(self, server: PipelinedServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._remote_end: RemoteEnd | None = None
        self._checked_at = -math.inf
        self._end_reason = CALLER_LEFT
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_PendingResponse] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._lingering = False
        self._reading_paused = False
        self._writing_paused = False
        self._unsent_at_last_check = 0
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_request = False
        self._in_body = False
        self._received_at = 0.0
        self._remote_host = ""

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timeout."""
        # Transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._remote_end = RemoteEnd(self._transport)
        peer = transport.get_extra_info("peername")
        self._remote_host = peer[0] if peer else ""
        self._server.add_connection(self)
        self._set_timer(self._server.limits.idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all requests of a caller that has disconnected."""
        self._closing = True
        self._cancel_timer()
        self._discard_body()
        self._cancel_pending(self._end_reason)
        self._transport = self._remote_end = None
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and rejects them if they are not valid."""
        if self._closing:
            return
        if not self._in_request:
            self._in_request = True
            self._head_bytes = 0
            self._set_timer(
                self._server.limits.header_timeout_s, self._on_slow_request
            )
        elif self._in_body:
            self._set_timer(BODY_IDLE_S, self._on_slow_request)
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as an ordinary request. The bytes after
            # it may belong to the other protocol, so nothing more is parsed.
            self._stop_reading()
            if self._pending:
                self._pending[-1].closes = True
        except httptools.HttpParserError as error:
            self._reject(_rejection_reason(error))
        if self._server.draining and self._pending:
            self._end_with_last()
        if self._in_request and not self._in_body and not self._closing:
            limit = self._server.limits.max_header_bytes
            if self._head_bytes > limit:
                self._reject("header_too_large")

    def pause_writing(self) -> None:
        """Stops reading and sending while the write buffer is full."""
        self._writing_paused = True
        self._pause_reading()
        self._start_send_timeout()
        self._server.on_write_paused(self)

    def resume_writing(self) -> None:
        """Sends the completed responses that waited for buffer space."""
        self._writing_paused = False
        self._server.on_write_resumed(self)
        if self._closing and not self._pending:
            # The last response is written; a timer closes the connection.
            return
        self._cancel_timer()
        if self._in_request:
            self._set_timer(BODY_IDLE_S, self._on_slow_request)
        self._flush()

    def eof_received(self) -> bool:
        """Gives up the requests in flight of a caller that has left.

        Returns:
            Whether the connection stays open for responses that are ready.
        """
        self._on_caller_left()
        return self._transport is not None and not self._transport.is_closing()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Resets the state of the previous request."""
        self._in_request = True
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header with its name in lower case."""
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Checks the header and body size; sends an expected 100 Continue.

        Raises:
            _RejectedError: The header or the declared body is too large.
        """
        self._received_at = self._loop.time()
        self._in_body = True
        limits = self._server.limits
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > limits.max_header_bytes:
            raise _RejectedError("header_too_large")
        for name, value in self._headers:
            if name == "content-length" and (
                not value.isdigit() or int(value) > limits.max_body_bytes
            ):
                raise _RejectedError("body_too_large")
            if name == "expect" and not self._pending:
                assert self._transport is not None
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body.

        Raises:
            _RejectedError: The body is too large, or the server has no memory
                left for bodies.
        """
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise _RejectedError("body_too_large")
        if not self._server.reserve_memory(len(body)):
            raise _RejectedError("memory_full")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Starts the handler for a complete request."""
        body = b"".join(self._body)
        self._body = []
        self._in_request = self._in_body = False
        self._head_bytes = 0
        self._cancel_timer()
        method = self._parser.get_method().decode("latin-1")
        request = IncomingRequest(
            method,
            self._target.decode("latin-1"),
            self._headers,
            body,
            self._received_at,
            self.has_caller_left,
            self._remote_host,
        )
        pending = _PendingResponse(
            not self._parser.should_keep_alive(), method == "HEAD", len(body)
        )
        pending.request = request
        request.holds_up_others = partial(self._holds_up_others, pending)
        self._pending.append(pending)
        pending.task = self._loop.create_task(
            self._run_handler(pending, request)
        )
        # A callback also runs if the task is cancelled before it starts.
        pending.task.add_done_callback(
            lambda _: self._server.release_memory(pending.held_bytes)
        )
        if len(self._pending) >= MAX_PIPELINED:
            self._pause_reading()

    # Departure of the caller.

    def has_caller_left(self) -> bool:
        """Whether the caller has closed or half-closed the connection.

        If so, its requests in flight are cancelled.
        """
        if self._remote_end is None:
            return True
        now = self._loop.time()
        if now - self._checked_at < CHECK_VALID_S:
            return False
        self._checked_at = now
        if not self._remote_end.is_closed():
            return False
        self._on_caller_left()
        return True

    def _on_caller_left(self) -> None:
        """Cancels the requests in flight; sends responses that are ready.

        A caller that has half-closed the connection may still read them.
        """
        ready: deque[_PendingResponse] = deque()
        while self._pending and self._pending[0].response is not None:
            ready.append(self._pending.popleft())
        self._cancel_pending(CALLER_LEFT)
        self._discard_body()
        self._in_request = self._in_body = False
        self._closing = True
        self._resume_reading()
        if ready:
            ready[-1].closes = True
            self._pending = ready
            self._flush()
        elif self.unsent_bytes:
            self._close_after_response()
        else:
            self.close()

    def _holds_up_others(self, pending: _PendingResponse) -> bool:
        """Whether a response is the first missing one of several."""
        waiting = [one for one in self._pending if one.response is None]
        return (
            bool(waiting)
            and waiting[0] is pending
            and self._pending[-1] is not pending
        )

    # Sending of responses.

    async def _run_handler(
        self, pending: _PendingResponse, request: IncomingRequest
    ) -> None:
        if self.has_caller_left():
            return
        pending.request = None
        try:
            pending.response = await self._server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("request handler raised an exception")
            pending.response = Response(500, [], b"", closes=True)
        pending.task = None
        if self._writing_paused:
            self._server.on_write_paused(self)
        else:
            self._flush()

    def _flush(self) -> None:
        transport = self._transport
        assert transport is not None
        while (
            not self._writing_paused
            and self._pending
            and self._pending[0].response is not None
        ):
            response = self._pending[0].response
            if response.closes:
                self._end_with_last()
            pending = self._pending.popleft()
            closes = pending.closes
            head = render_head(response, closes)
            transport.write(head if pending.is_head else head + response.body)
            if closes:
                self._close_after_response()
                return
        if self._writing_paused:
            return
        if len(self._pending) < MAX_PIPELINED:
            self._resume_reading()
        if not self._pending and not self._in_request:
            self._set_timer(self._server.limits.idle_timeout_s, self.close)

    def _close_after_response(self) -> None:
        """Ends the connection after the response that was just written.

        Cancels later requests and half-closes the socket. The linger timer
        closes it completely.
        """
        self._cancel_pending(CONNECTION_ENDS)
        self._closing = self._lingering = True
        # Unread input would reset the connection when it is closed.
        self._resume_reading()
        transport = self._transport
        assert transport is not None
        if transport.can_write_eof():
            transport.write_eof()
        self._set_timer(LINGER_S, self._end_lingering)

    def _end_with_last(self) -> None:
        """Lets the connection end after the last request that was received.

        All requests before it may be at a server already. A caller sends later
        ones again, since it gets no response to them.
        """
        self._discard_body()
        self._in_request = self._in_body = False
        if not self._writing_paused:
            # Otherwise it is the timeout of the responses.
            self._cancel_timer()
        self._stop_reading()
        self._pending[-1].closes = True

    def _cancel_pending(self, reason: str) -> None:
        """Cancels the requests in flight and drops unsent responses."""
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel(reason)
            if pending.request is not None and reason == CALLER_LEFT:
                self._server.report_not_started(pending.request)
        self._pending.clear()

    def _end_lingering(self) -> None:
        """Closes the connection once the write buffer is empty."""
        assert self._transport is not None
        self._transport.close()
        if self.unsent_bytes:
            self._start_send_timeout()

    def _start_send_timeout(self) -> None:
        """Aborts the connection if nothing is sent within the idle timeout."""
        self._unsent_at_last_check = self.unsent_bytes
        self._set_timer(
            self._server.limits.idle_timeout_s, self._check_send_progress
        )

    def _check_send_progress(self) -> None:
        if self.unsent_bytes >= self._unsent_at_last_check:
            self.abort()
        else:
            self._start_send_timeout()

    def _reject(self, reason: str) -> None:
        """Queues an error response after the pending ones, then closes."""
        self._server.report_rejection(reason)
        self._discard_body()
        self._in_request = self._in_body = False
        pending = _PendingResponse(True, False)
        pending.response = INVALID_REQUESTS[reason]
        self._pending.append(pending)
        self._stop_reading()
        self._cancel_timer()
        self._flush()

    def _on_slow_request(self) -> None:
        self._reject("request_too_slow")

    # Methods for the server.

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no response is on its way."""
        return not (
            self._pending
            or self._in_request
            or self.unsent_bytes
            or self._lingering
        )

    def drain(self) -> None:
        """Closes the connection after the requests that were received.

        A request that has begun to arrive is received, unless others are in
        flight before it.
        """
        if self.is_idle:
            self.close()
        elif self._pending:
            self._end_with_last()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of completed responses not yet passed to the socket."""
        if self._transport is None:
            return 0
        waiting = sum(
            len(pending.response.body)
            for pending in self._pending
            if pending.response is not None
        )
        return waiting + self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Closes the connection once the write buffer is sent.

        Only for connections without requests in flight.
        """
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self, reason: str = CALLER_LEFT) -> None:
        """Closes the connection at once; unsent data is lost.

        Args:
            reason: Why the requests in flight are cancelled.
        """
        self._end_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def _discard_body(self) -> None:
        if self._body:
            self._server.release_memory(sum(map(len, self._body)))
        self._body = []

    def _stop_reading(self) -> None:
        """Ignores further input; requests in flight are still answered."""
        self._closing = True

    def _pause_reading(self) -> None:
        # Input that is ignored is read on, since closing a socket with unread
        # input resets the connection.
        if self._reading_paused or self._closing or self._transport is None:
            return
        self._reading_paused = True
        self._transport.pause_reading()
        self._server.on_reading_paused(self)

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
            self._server.on_reading_resumed(self)

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _RejectedError(Exception):
    """A request that is rejected while it is parsed.

    Attributes:
        reason: Key of INVALID_REQUESTS.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def _rejection_reason(error: Exception) -> str:
    cause = error.__context__ or error.__cause__
    if isinstance(cause, _RejectedError):
        return cause.reason
    return "malformed_request"
