"""Parses requests and writes responses on one caller connection."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools
from loguru import logger

from radishmux.http._progress import Progress
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
# Size of a connection's write buffer above which it sends no further responses
# and reads no further requests: half the size of the largest responses.
WRITE_BUFFER_BYTES = 256 * 1024
# Memory of one field beside its characters: two strings, a tuple and its place
# in the list.
_FIELD_BYTES = 170
# The colon and the end of the line of a field. The space after the colon is not
# required.
_FIELD_WIRE_BYTES = 3
# Memory of one connection without requests, and of one request beside its
# fields and its body.
_CONNECTION_BYTES = 6 * 1024
_REQUEST_BYTES = 8 * 1024
# Copies of a head while a request is in progress: as received, decoded, and the
# request line, text and bytes of the head that is sent to a server.
_HEAD_COPIES = 5
# Bytes parsed at a time, so that few requests are read beyond those that may
# wait. A body of known length is parsed at once.
_HEAD_SLICE_BYTES = 4 * 1024
_CHUNKS_SLICE_BYTES = 16 * 1024
# The rest of a body that is not wanted is read up to this size, so that the
# connection can be used again.
_MAX_DISCARDED_BYTES = 64 * 1024
# A body that has grown by this much makes its connection one of use.
_USEFUL_BODY_BYTES = 64 * 1024
# A caller reads slowly if it leaves this much of its responses for this long.
_LARGE_UNSENT_BYTES = 16 * 1024
_SLOW_READ_S = 0.5
# Receive buffer in the kernel of new connections while many are open. It is as
# large as the first window that the kernel offers: with a smaller one, bytes on
# their way are dropped, and uploads over links with large packets stall.
_SMALL_RECEIVE_BYTES = 64 * 1024


class _PendingResponse:
    """A response that must be sent in the order of its request.

    Attributes:
        closes: Whether the connection ends after the response.
        body_bytes: Size of the body of the request.
        held_bytes: Memory of the request.
        is_head: Whether the response is sent without its body.
        request: The request, or None once its handler has been started or
            cancelled.
        response: The response, or None while the request is processed.
        task: Runs the handler, or None once it has ended.
    """

    __slots__ = (
        "body_bytes",
        "closes",
        "held_bytes",
        "is_head",
        "request",
        "response",
        "task",
    )

    def __init__(
        self,
        closes: bool,
        is_head: bool,
        held_bytes: int = 0,
        body_bytes: int = 0,
    ) -> None:
        self.body_bytes = body_bytes
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
        self._aborted = False
        self._closing = False
        self._lingering = False
        self._reading_paused = False
        self._writing_paused = False
        self._unsent_at_last_check = 0
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        # Declared size of the body; None if it is chunked.
        self._declared_bytes: int | None = 0
        self._fields_bytes = 0
        # Size of the header or the trailer as received.
        self._field_wire_bytes = 0
        # Bytes of a chunked body since the last ones that belong to its data.
        self._framing_bytes = 0
        # The response to a request whose body is discarded.
        self._refusal: Response | None = None
        # Memory and bodies of the requests that handlers work on.
        self._held_bytes = 0
        self._held_body_bytes = 0
        # Received but not parsed, since enough requests wait.
        self._unparsed = bytearray()
        self._progress = Progress()
        # Lookups and checks are answered at once, one after the other.
        self._max_pipelined = MAX_PIPELINED if server.takes_bodies else 1
        self._written_at = -math.inf
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
        if not self._server.add_connection(self):
            self._closing = True
            self._transport.abort()
            return
        if self._server.connection_limit.is_crowded:
            self._bound_receive_buffer()
        self._settle()
        self._set_timer(self._server.limits.idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all requests of a caller that has disconnected."""
        self._closing = True
        self._cancel_timer()
        self._discard_unfinished()
        self._cancel_pending(self._end_reason)
        self._transport = self._remote_end = None
        self._server.remove_connection(self)
        self._settle()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and rejects them if they are not valid."""
        if self._closing:
            return
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        if self._server.draining and self._pending:
            self._end_with_last()
        self._settle_unfinished()

    def _parse(self, data: bytes) -> None:
        """Parses bytes until enough requests wait; keeps the others."""
        if (
            len(data) <= self._slice_bytes()
            and len(self._pending) < self._max_pipelined
        ):
            self._parse_slice(data)
            return
        rest = memoryview(data)
        while rest and not self._closing:
            if len(self._pending) >= self._max_pipelined:
                self._unparsed += rest
                if self._in_request and not self._writing_paused:
                    # Its caller does not keep the rest of it back.
                    self._cancel_timer()
                return
            size = self._slice_bytes()
            self._parse_slice(rest[:size])
            rest = rest[size:]

    def _slice_bytes(self) -> int:
        if not self._in_body:
            return _HEAD_SLICE_BYTES
        if self._declared_bytes is None:
            return _CHUNKS_SLICE_BYTES
        return max(1, self._declared_bytes - self._body_bytes)

    def _parse_slice(self, data: bytes | memoryview) -> None:
        now = self._loop.time()
        size = len(data)
        if not self._in_request:
            self._in_request = True
            self._head_bytes = 0
            self._progress.start(now, size)
            self._set_timer(
                self._server.limits.header_timeout_s, self._on_slow_request
            )
        else:
            self._progress.add(size, now)
        if not self._in_body:
            self._head_bytes += size
        elif self._declared_bytes is None:
            self._framing_bytes += size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as an ordinary request. The bytes after
            # it may belong to the other protocol, so nothing more is parsed.
            self._stop_reading()
            if self._pending:
                self._pending[-1].closes = True
        except httptools.HttpParserError as error:
            # The cause must not become a local variable: its traceback holds
            # this frame. The cycle would keep the received bytes until the
            # next garbage collection, up to 256 KB for each rejected request.
            rejection = _rejection(error)
            if isinstance(rejection, Response):
                self._end_with(rejection)
            else:
                self._reject(rejection)
        if self._in_request and not self._closing:
            if self._in_body:
                # Bodies may pause as long as idle connections, also right
                # after their heads.
                self._set_timer(
                    self._server.limits.idle_timeout_s, self._on_slow_request
                )
            limit = self._server.limits.max_header_bytes
            received = (
                self._framing_bytes if self._in_body else self._head_bytes
            )
            if received > limit + _CHUNKS_SLICE_BYTES * self._in_body:
                self._reject("header_too_large")

    def _parse_rest(self) -> None:
        """Parses what was kept when enough requests waited."""
        if self._closing or self._transport is None or not self._unparsed:
            return
        if len(self._pending) >= self._max_pipelined or self._writing_paused:
            return
        data, self._unparsed = bytes(self._unparsed), bytearray()
        if self._in_request and not self._in_body:
            self._set_timer(
                self._server.limits.header_timeout_s, self._on_slow_request
            )
        self._parse(data)
        self._settle_unfinished()
        if not self._closing and len(self._pending) < self._max_pipelined:
            self._resume_reading()

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
            self._set_timer(
                self._server.limits.idle_timeout_s, self._on_slow_request
            )
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
        self._body = bytearray()
        self._body_bytes = self._framing_bytes = 0
        self._declared_bytes = 0
        self._fields_bytes = self._field_wire_bytes = 0
        self._refusal = None

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header with its name in lower case; drops a trailer.

        Raises:
            _RejectedError: The header or the trailer is too large.
        """
        size = self._field_wire_bytes + len(name) + len(value)
        size += _FIELD_WIRE_BYTES
        self._field_wire_bytes = size
        if size > self._server.limits.max_header_bytes:
            raise _RejectedError("header_too_large")
        if not self._in_body:
            self._headers.append(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
            )

    def on_headers_complete(self) -> None:
        """Checks the head; sends an expected 100 Continue.

        Raises:
            _RejectedError: The header or the declared body is too large, or
                the listener takes no bodies.
            _RefusedError: The head suffices to refuse the request, and its body
                is too large to be skipped.
        """
        self._received_at = self._loop.time()
        self._fields_bytes = self._received_fields_bytes
        size = len(self._target) + self._field_wire_bytes
        self._in_body = True
        self._field_wire_bytes = 0
        limits = self._server.limits
        if size > limits.max_header_bytes:
            raise _RejectedError("header_too_large")
        expects_continue = False
        for name, value in self._headers:
            if name == "content-length":
                if not value.isdigit() or int(value) > limits.max_body_bytes:
                    raise _RejectedError("body_too_large")
                self._declared_bytes = int(value)
            elif name == "transfer-encoding":
                self._declared_bytes = None
            elif name == "expect":
                expects_continue = True
        if self._declared_bytes != 0:
            self._check_head()
        if expects_continue and not self._pending and self._refusal is None:
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _check_head(self) -> None:
        """Refuses a request with a body for which its head suffices."""
        if not self._server.takes_bodies:
            raise _RejectedError("body_not_taken")
        if self._server.check_head is None:
            return
        self._refusal = self._server.check_head(self._new_request(b""))
        if self._refusal is not None and (
            (self._declared_bytes or 0) > _MAX_DISCARDED_BYTES
        ):
            raise _RefusedError(self._refusal)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body.

        Raises:
            _RejectedError: The body is too large.
            _RefusedError: The body of a refused request is too large.
        """
        if self._body_bytes // _USEFUL_BODY_BYTES != (
            (self._body_bytes + len(body)) // _USEFUL_BODY_BYTES
        ):
            self._server.connection_limit.touch(self)
        self._body_bytes += len(body)
        self._framing_bytes = 0
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise _RejectedError("body_too_large")
        if self._refusal is None:
            self._body += body
        elif self._body_bytes > _MAX_DISCARDED_BYTES:
            raise _RefusedError(self._refusal)

    def on_message_complete(self) -> None:
        """Starts the handler for a complete request.

        Raises:
            _RejectedError: There is no memory left for the request, or too
                many others are in progress.
        """
        method = self._parser.get_method()
        head_bytes = self._fields_bytes + len(self._target)
        request_bytes = _REQUEST_BYTES + _HEAD_COPIES * head_bytes
        pending = _PendingResponse(
            not self._parser.should_keep_alive(),
            method == b"HEAD",
            request_bytes + self._unfinished_bytes,
            len(self._body),
        )
        limit = self._server.connection_limit
        if (
            self._refusal is None
            and self._server.takes_bodies
            and limit.requests >= limit.max_requests
        ):
            raise _RejectedError("requests_full")
        if self._refusal is None and not self._server.budget.allows(
            self,
            self.size + request_bytes,
            not self._server.takes_bodies,
        ):
            raise _RejectedError("memory_full")
        # A large body is not copied.
        is_small = len(self._body) < _USEFUL_BODY_BYTES
        body = bytes(self._body) if is_small else self._body
        self._body = bytearray()
        self._in_request = self._in_body = False
        self._head_bytes = self._fields_bytes = self._field_wire_bytes = 0
        self._cancel_timer()
        limit.touch(self)
        self._pending.append(pending)
        if self._refusal is None:
            self._start_handler(pending, self._new_request(body))
        else:
            pending.response, self._refusal = self._refusal, None
            self._loop.call_soon(self._flush_if_open)
        self._target = b""
        self._headers = []
        if len(self._pending) >= self._max_pipelined:
            self._pause_reading()

    def _new_request(self, body: bytes | bytearray) -> IncomingRequest:
        return IncomingRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            body,
            self._received_at,
            self.has_caller_left,
            self._remote_host,
        )

    def _start_handler(
        self, pending: _PendingResponse, request: IncomingRequest
    ) -> None:
        pending.request = request
        request.holds_up_others = partial(self._holds_up_others, pending)
        self._server.connection_limit.requests += 1
        self._held_bytes += pending.held_bytes
        self._held_body_bytes += pending.body_bytes
        pending.task = self._loop.create_task(
            self._run_handler(pending, request)
        )
        # A callback also runs if the task is cancelled before it starts.
        pending.task.add_done_callback(lambda _: self._release(pending))

    def _flush_if_open(self) -> None:
        if self._transport is not None and not self._writing_paused:
            self._flush()

    # Memory.

    @property
    def held_body_bytes(self) -> int:
        """Size of the bodies of unanswered requests."""
        return len(self._body) + self._held_body_bytes

    @property
    def _unfinished_bytes(self) -> int:
        """Memory of the request that is being received."""
        fields_bytes = self._fields_bytes
        if self._in_request and not self._in_body:
            fields_bytes = self._received_fields_bytes
        return fields_bytes + len(self._target) + len(self._body)

    @property
    def _received_fields_bytes(self) -> int:
        """Memory of the fields of a head that is being received."""
        count = len(self._headers)
        return self._field_wire_bytes + count * (
            _FIELD_BYTES - _FIELD_WIRE_BYTES
        )

    @property
    def size(self) -> int:
        """Memory of the connection and all of its requests."""
        transport = self._transport
        if transport is None:
            return self._held_bytes
        unsent_bytes = 0
        if self._pending:
            unsent_bytes = self.unsent_bytes
        elif not self._aborted:
            unsent_bytes = transport.get_write_buffer_size()
        return (
            _CONNECTION_BYTES
            + self._held_bytes
            + self._unfinished_bytes
            + len(self._unparsed)
            + unsent_bytes
        )

    def _settle(self) -> None:
        """Reports the size, which cannot be refused."""
        self._server.budget.set_size(self, self.size)

    def _settle_unfinished(self) -> None:
        """Reports the size; gives up what is received if it is too much."""
        if self._server.budget.allows(
            self, self.size, not self._server.takes_bodies
        ):
            return
        if self._closing:
            self._settle()
        elif self._in_request or (self._unparsed and not self._pending):
            self._reject("memory_full")
        elif self._unparsed:
            # As if the bytes had not been received.
            self._end_with_last()
            self._settle()
        else:
            self._settle()

    def _release(self, pending: _PendingResponse) -> None:
        # A cancelled task holds its last frames, and a request that was not
        # started refers to `pending`. These cycles would keep the request.
        pending.task = pending.request = None
        self._server.connection_limit.requests -= 1
        self._held_bytes -= pending.held_bytes
        self._held_body_bytes -= pending.body_bytes
        self._settle()

    @property
    def can_give_up(self) -> bool:
        """Whether a request is arriving, or a response is not read."""
        return self._transport is not None and (
            (self._in_request and not self._closing) or self._reads_slowly
        )

    @property
    def _reads_slowly(self) -> bool:
        """Whether a large response has not been read for some time."""
        if self._aborted:
            return False
        return self._writing_paused or (
            self.unsent_bytes > _LARGE_UNSENT_BYTES
            and self._loop.time() - self._written_at > _SLOW_READ_S
        )

    def progress(self, now: float) -> float:
        """Returns how fast a request arrives, in bytes/s."""
        return 0.0 if self._reads_slowly else self._progress.rate(now)

    def give_up(self) -> None:
        """Ends a connection whose caller sends or reads too slowly."""
        if self._reads_slowly:
            self._server.report_rejection("caller_too_slow")
            self.abort()
        else:
            self._reject("upload_given_up")
        self._settle()

    @property
    def is_serving(self) -> bool:
        """Whether a complete request is not answered yet."""
        return bool(self._pending)

    def close_for_another(self) -> None:
        """Closes a connection without complete requests at once."""
        self._server.report_rejection("connections_full")
        self.abort()

    def _bound_receive_buffer(self) -> None:
        sock = self._transport and self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_RECEIVE_BYTES
            )

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
        self._discard_unfinished()
        self._in_request = self._in_body = False
        self._closing = True
        self._unparsed = bytearray()
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
            self._settle()
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
            self._written_at = self._loop.time()
            transport.write(head if pending.is_head else head + response.body)
            if closes:
                self._close_after_response()
                return
        self._settle()
        if self._writing_paused:
            return
        if len(self._pending) < self._max_pipelined:
            if self._unparsed:
                self._loop.call_soon(self._parse_rest)
            else:
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
        self._unparsed = bytearray()
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
        self._discard_unfinished()
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
        self._end_with(INVALID_REQUESTS[reason])

    def _end_with(self, response: Response) -> None:
        """Queues a response after the pending ones, then closes."""
        self._discard_unfinished()
        self._in_request = self._in_body = False
        pending = _PendingResponse(True, False)
        pending.response = response
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
        if self._transport is None or self._aborted:
            return 0
        unsent = self._transport.get_write_buffer_size()
        for pending in self._pending:
            if pending.response is not None:
                unsent += len(pending.response.body)
        return unsent

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
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def _discard_unfinished(self) -> None:
        """Drops the request that is being received."""
        self._target = b""
        self._body = bytearray()
        self._headers = []
        self._fields_bytes = self._field_wire_bytes = 0

    def _stop_reading(self) -> None:
        """Ignores further input; requests in flight are still answered."""
        self._closing = True
        self._unparsed = bytearray()

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


class _RefusedError(Exception):
    """A request that is refused before its body is received.

    Attributes:
        response: The response to it.
    """

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


def _rejection(error: Exception) -> Response | str:
    """Returns the response to a request, or why it is rejected."""
    cause = error.__context__ or error.__cause__
    if isinstance(cause, _RefusedError):
        return cause.response
    if isinstance(cause, _RejectedError):
        return cause.reason
    return "malformed_request"
