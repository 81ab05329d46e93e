"""One attempt at a server over HTTP, and what is known about its fate."""

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
from radishmux.dispatch.silence import SILENT_AFTER_S, ConnectionWatchdog
from radishmux.verdict import Verdict

_ATTEMPT = "X-Radishmux-Attempt"
_SHED = "X-Radishmux-Shed"
_BODYLESS = (204, 304)


class Failure:
    """An attempt without a usable response.

    Attributes:
        verdict: Whether the request may have run.
        reason: Machine-readable cause.
        broken: Whether the connection broke while the request was in flight.
        refused: Whether the server refused the connection.
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


class ReceivedResponse:
    """A response: complete, or a stream whose end is still to come."""

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
    """Body of a response in pieces; frees the connection when closed."""

    __slots__ = (
        "_call",
        "_clock",
        "_complete",
        "_deadline",
        "_head",
        "_on_close",
        "_response",
        "_watch",
    )

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: bytes,
        call: Call,
        watch: ConnectionWatchdog,
        deadline: float,
        clock: Clock,
    ) -> None:
        self._response = response
        self._head = head
        self._call = call
        self._watch = watch
        self._deadline = deadline
        self._clock = clock
        self._complete = False
        self._on_close: Callable[[bool], None] | None = None

    def on_close(self, callback: Callable[[bool], None]) -> None:
        """Calls back once with whether the body was complete."""
        self._on_close = callback

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._head:
            yield self._head
        content = self._response.content
        while True:
            wait_s = self._deadline - self._clock.now()
            try:
                async with asyncio.timeout(wait_s):
                    piece = await content.readany()
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                raise IncompleteResponseError(str(error)) from error
            if not piece:
                break
            self._call.last_byte_at = self._clock.now()
            yield piece
        self._complete = True

    async def aclose(self) -> None:
        """Closes the connection unless the body was complete."""
        self._watch.remove(self._call)
        if self._complete:
            self._response.release()
        else:
            self._response.close()
        callback, self._on_close = self._on_close, None
        if callback is not None:
            callback(self._complete)


class Sender:
    """Sends attempts and classifies what comes of them."""

    def __init__(self, clock: Clock, watch: ConnectionWatchdog) -> None:
        self._clock = clock
        self._watch = watch
        self._number = 0

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
        """Sends a request once and never again.

        Args:
            connections: Connections to the server.
            gate: Called right before the first byte; False stops the attempt.
            method: HTTP method.
            target: Path and query.
            headers: Headers, cleaned; a list that the attempt may extend.
            body: Body, not yet started if it is a stream.
            deadline: Monotonic time until which to wait.
            silent_after_s: Time without a byte that is suspicious.
        """
        now = self._clock.now()
        call = Call(connections, gate, now)
        self._number += 1
        number = f"{self._number:x}"
        headers.append((_ATTEMPT, number))
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
                    response, method, number, call, deadline
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _failure(call, error)
        except NotSentError:
            return Failure(Verdict.NOT_RUN, "gate_closed")
        finally:
            if call.stream is None:
                self._watch.remove(call)
        return received

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        number: str,
        call: Call,
        deadline: float,
    ) -> ReceivedResponse | Failure:
        try:
            return await self._classify(
                response, method, number, call, deadline
            )
        except BaseException:
            response.close()
            raise

    async def _classify(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        number: str,
        call: Call,
        deadline: float,
    ) -> ReceivedResponse | Failure:
        headers = response.headers
        if headers.get(_ATTEMPT, number) != number:
            response.close()
            return Failure(Verdict.MAY_HAVE_RUN, "mismatched_response")
        if response.status == 503 and headers.get(_SHED) == "1":
            await _finish(response)
            return Failure(Verdict.NOT_RUN, "shed")
        if method == "HEAD" or response.status in _BODYLESS:
            response.release()
            return ReceivedResponse(response, b"")
        length = response.content_length
        if length is not None and length <= BUFFER_BYTES:
            return ReceivedResponse(response, await response.read())
        if length is None and "Transfer-Encoding" not in headers:
            response.close()
            return Failure(Verdict.MAY_HAVE_RUN, "unframed_response")
        head = await response.content.readany()
        if response.content.at_eof():
            return ReceivedResponse(response, head)
        call.stream = ResponseStream(
            response, head, call, self._watch, deadline, self._clock
        )
        return ReceivedResponse(response, None, call.stream)


async def _finish(response: aiohttp.ClientResponse) -> None:
    length = response.content_length
    if length is not None and length <= BUFFER_BYTES:
        await response.read()
    else:
        response.close()


def _failure(call: Call, error: Exception) -> Failure:
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
