"""Sends one attempt at a request over HTTP and classifies its outcome.

An outcome is either a response or a failure whose verdict says whether the
request may have run on the server.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import aiohttp

from radishmux.clock import Clock
from radishmux.dispatch.connections import Call, Connections, NotSentError
from radishmux.dispatch.exchange import (
    BUFFER_BYTES,
    Headers,
    IncompleteResponseError,
    RequestBody,
)
from radishmux.dispatch.server_response import is_valid_status
from radishmux.dispatch.silence import SILENT_AFTER_S, ConnectionWatchdog
from radishmux.verdict import Verdict

# A server may echo this header of a request in its response. A different value
# shows that the response belongs to another attempt.
_ATTEMPT_HEADER = "X-Radishmux-Attempt"
# A server sets this header to 1 in a 503 for a request that it did not start.
_SHED_HEADER = "X-Radishmux-Shed"
_BODYLESS_STATUSES = (204, 304)
_HELD_BACK = "gate_closed"


class Failure:
    """An attempt without a usable response.

    Attributes:
        verdict: Whether the request may have run.
        reason: Machine-readable cause.
        broken: Whether the connection broke after the request was sent.
        refused: Whether connecting failed, such as with connection refused.
    """

    __slots__ = ("broken", "reason", "refused", "verdict")

    def __init__(
        self,
        verdict: Verdict,
        reason: str,
        broken: bool = False,
        refused: bool = False,
    ) -> None:
        self.verdict = verdict
        self.reason = reason
        self.broken = broken
        self.refused = refused

    @property
    def is_held_back(self) -> bool:
        """Whether the gate was closed, so that nothing was sent."""
        return self.reason == _HELD_BACK


class ReceivedResponse:
    """A response whose body is either complete or still being streamed.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        length: Content-Length, or None if the server did not send one.
        body: Complete body, or None if `stream` delivers it.
        stream: Body that is still being received, or None.
    """

    __slots__ = ("body", "headers", "length", "status", "stream")

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        body: bytes | None,
        stream: ResponseStream | None = None,
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self.length = response.content_length
        self.body = body
        self.stream = stream


class ResponseStream:
    """Body of a response in chunks; releases the connection when closed.

    Args:
        response: Response of the server, with its headers read.
        prefix: First bytes of the body, which are already read.
        call: Request that the response belongs to.
        watch: Watchdog for silent connections that watches `call`.
        deadline: Monotonic time until which chunks are awaited.
        clock: Source of monotonic time.
    """

    __slots__ = (
        "_call",
        "_clock",
        "_complete",
        "_deadline",
        "_on_close",
        "_prefix",
        "_response",
        "_watch",
    )

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        prefix: bytes,
        call: Call,
        watch: ConnectionWatchdog,
        deadline: float,
        clock: Clock,
    ) -> None:
        self._response = response
        self._prefix = prefix
        self._call = call
        self._watch = watch
        self._deadline = deadline
        self._clock = clock
        self._complete = False
        self._on_close: Callable[[bool], None] | None = None

    def on_close(self, callback: Callable[[bool], None]) -> None:
        """Sets a function that `aclose` calls once.

        Its argument is True if the whole body was received.
        """
        self._on_close = callback

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._prefix:
            yield self._prefix
        content = self._response.content
        while True:
            wait_s = self._deadline - self._clock.now()
            try:
                async with asyncio.timeout(wait_s):
                    chunk = await content.readany()
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                raise IncompleteResponseError(str(error)) from error
            if not chunk:
                break
            self._call.last_byte_at = self._clock.now()
            yield chunk
        self._complete = True

    async def aclose(self) -> None:
        """Ends the body.

        The connection is reused after a complete body and closed otherwise.
        """
        self._watch.remove(self._call)
        if self._complete:
            self._response.release()
        else:
            self._response.close()
        callback, self._on_close = self._on_close, None
        if callback is not None:
            callback(self._complete)


class Sender:
    """Sends attempts and classifies their outcomes.

    Args:
        clock: Source of monotonic time.
        watch: Watchdog for silent connections, to which each attempt is added.
    """

    def __init__(self, clock: Clock, watch: ConnectionWatchdog) -> None:
        self._clock = clock
        self._watch = watch
        self._attempt_count = 0

    async def send(
        self,
        connections: Connections,
        gate: Callable[[], bool],
        method: str,
        target: str,
        headers: Headers,
        body: RequestBody,
        deadline: float,
        silent_after_s: float = SILENT_AFTER_S,
    ) -> ReceivedResponse | Failure:
        """Sends a request to a server exactly once, without any retry.

        Args:
            connections: Connections to the server.
            gate: Called right before the first byte is written; False stops
                the attempt.
            method: HTTP method.
            target: Path and query.
            headers: Headers without hop-by-hop fields; the list is extended.
            body: Body of the request; a stream must not have been opened.
            deadline: Monotonic time until which to wait for the response.
            silent_after_s: Seconds without a received byte after which the
                connection is checked.
        """
        now = self._clock.now()
        call = Call(connections, gate, now)
        self._attempt_count += 1
        attempt_id = f"{self._attempt_count:x}"
        headers.append((_ATTEMPT_HEADER, attempt_id))
        if body.data is None and body.length is not None:
            headers.append(("Content-Length", str(body.length)))
        self._watch.add(call, silent_after_s)
        try:
            async with asyncio.timeout(deadline - now):
                response = await connections.send(
                    call, method, target, headers, body.open()
                )
                call.last_byte_at = self._clock.now()
                received = await self._receive(
                    response, method, attempt_id, call, deadline
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _failure_from_error(call, error)
        except NotSentError:
            return Failure(Verdict.NOT_RUN, _HELD_BACK)
        finally:
            if call.stream is None:
                self._watch.remove(call)
        return received

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        attempt_id: str,
        call: Call,
        deadline: float,
    ) -> ReceivedResponse | Failure:
        try:
            return await self._classify(
                response, method, attempt_id, call, deadline
            )
        except BaseException:
            response.close()
            raise

    async def _classify(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        attempt_id: str,
        call: Call,
        deadline: float,
    ) -> ReceivedResponse | Failure:
        headers = response.headers
        if headers.get(_ATTEMPT_HEADER, attempt_id) != attempt_id:
            response.close()
            return Failure(Verdict.MAY_HAVE_RUN, "mismatched_response")
        if not is_valid_status(response.status):
            response.close()
            return Failure(Verdict.MAY_HAVE_RUN, "malformed_response")
        if response.status == 503 and headers.get(_SHED_HEADER) == "1":
            await _drain_or_close(response)
            return Failure(Verdict.NOT_RUN, "shed")
        if method == "HEAD" or response.status in _BODYLESS_STATUSES:
            response.release()
            return ReceivedResponse(response, b"")
        length = response.content_length
        if length is not None and length <= BUFFER_BYTES:
            return ReceivedResponse(response, await response.read())
        if length is None and "Transfer-Encoding" not in headers:
            response.close()
            return Failure(Verdict.MAY_HAVE_RUN, "unframed_response")
        prefix = await response.content.readany()
        if response.content.at_eof():
            return ReceivedResponse(response, prefix)
        call.stream = ResponseStream(
            response, prefix, call, self._watch, deadline, self._clock
        )
        return ReceivedResponse(response, None, call.stream)


async def _drain_or_close(response: aiohttp.ClientResponse) -> None:
    # Reading a short body lets the connection be reused.
    length = response.content_length
    if length is not None and length <= BUFFER_BYTES:
        await response.read()
    else:
        response.close()


def _failure_from_error(call: Call, error: Exception) -> Failure:
    refused = isinstance(error, aiohttp.ClientConnectorError)
    if not call.sent:
        reason = "refused" if refused else "connect_failed"
        return Failure(Verdict.NOT_RUN, reason, refused=refused)
    if call.aborted:
        return Failure(Verdict.MAY_HAVE_RUN, "silent_connection")
    if isinstance(error, TimeoutError):
        return Failure(Verdict.MAY_HAVE_RUN, "deadline_passed")
    if isinstance(error, aiohttp.ClientPayloadError):
        return Failure(Verdict.MAY_HAVE_RUN, "truncated_response", broken=True)
    return Failure(Verdict.MAY_HAVE_RUN, "connection_broken", broken=True)
