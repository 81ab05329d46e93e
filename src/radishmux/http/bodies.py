"""Reads callers' bodies and sends answers, with sanic."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from sanic import HTTPResponse, Request
from sanic.exceptions import BadRequest, PayloadTooLarge, SanicException

from radishmux.dispatch.exchange import (
    BUFFER_BYTES,
    EMPTY_BODY,
    BackendResponse,
    CallerBodyError,
    IncompleteResponseError,
    RequestBody,
)
from radishmux.http import headers as names
from radishmux.http.server import MAX_BODY_BYTES

# Longest time without a byte of the body.
IDLE_S = 10.0
# A body must come at this rate, averaged from its start, once IDLE_S passed.
MIN_BYTES_PER_S = 1024


class BodyReader:
    """Reads one body within its limits of size, idle time and rate."""

    __slots__ = ("_loop", "_request", "_size", "_started_at")

    def __init__(self, request: Request) -> None:
        self._request = request
        self._size = 0
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    async def read(self) -> RequestBody:
        """Returns the body: in memory if it is small, else as a stream.

        Raises:
            CallerBodyError: The body is malformed, too large or too slow.
        """
        declared = self._request.headers.get("content-length")
        length = int(declared) if declared is not None else None
        if length is not None and length > MAX_BODY_BYTES:
            self._close_after_answer()
            raise CallerBodyError("body_too_large", 413)
        if length is not None and length > BUFFER_BYTES:
            return RequestBody(None, self._pieces(b""), length)
        pieces: list[bytes] = []
        while self._size <= BUFFER_BYTES:
            piece = await self._next()
            if piece is None:
                return RequestBody(b"".join(pieces))
            pieces.append(piece)
        head = b"".join(pieces)
        return RequestBody(None, self._pieces(head), None, head)

    async def _pieces(self, head: bytes) -> AsyncIterator[bytes]:
        if head:
            yield head
        while True:
            piece = await self._next()
            if piece is None:
                return
            yield piece

    async def _next(self) -> bytes | None:
        stream = self._request.stream
        if stream is None:
            raise CallerBodyError("caller_gone", 400)
        try:
            if stream.recv_buffer or not stream.request_body:
                piece = await stream.read()
            else:
                async with asyncio.timeout(IDLE_S):
                    piece = await stream.read()
        except TimeoutError as error:
            self._close_after_answer()
            raise CallerBodyError("body_too_slow", 408) from error
        except PayloadTooLarge as error:
            raise CallerBodyError("body_too_large", 413) from error
        except BadRequest as error:
            raise CallerBodyError("malformed_body", 400) from error
        except SanicException as error:
            raise CallerBodyError("caller_gone", 400) from error
        if piece is None:
            return None
        self._size += len(piece)
        self._check()
        return piece

    def _check(self) -> None:
        if self._size > MAX_BODY_BYTES:
            self._close_after_answer()
            raise CallerBodyError("body_too_large", 413)
        elapsed_s = self._loop.time() - self._started_at
        if elapsed_s > IDLE_S and self._size < MIN_BYTES_PER_S * elapsed_s:
            self._close_after_answer()
            raise CallerBodyError("body_too_slow", 408)

    def _close_after_answer(self) -> None:
        # The rest of the body is not read.
        stream = self._request.stream
        if stream is not None:
            stream.keep_alive = False
            stream.request_body = None


async def read_body(request: Request) -> RequestBody:
    """Returns the body of a request; see BodyReader.read."""
    stream = request.stream
    if stream is None or not stream.request_body:
        return EMPTY_BODY
    return await BodyReader(request).read()


def answer_response(answer: BackendResponse) -> HTTPResponse:
    """Returns the HTTP form of an answer without a stream."""
    return HTTPResponse(
        answer.body,
        status=answer.status,
        headers=_headers(answer),
    )


async def send_stream(request: Request, answer: BackendResponse) -> None:
    """Sends a streamed answer; breaks the connection if it breaks off."""
    assert answer.stream is not None
    headers = _headers(answer)
    if answer.length is not None:
        headers.append(("content-length", str(answer.length)))
    response = HTTPResponse(status=answer.status, headers=headers)
    try:
        await request.respond(response)
        async for piece in answer.stream:
            await response.send(piece, False)
        if answer.length is None:
            await response.send(b"", True)
    except IncompleteResponseError:
        # A complete chunked or shorter response must not look complete.
        if request.transport is not None:
            request.transport.abort()
    finally:
        await answer.stream.aclose()


def _headers(answer: BackendResponse) -> list[tuple[str, str]]:
    return [
        *answer.headers,
        (names.VERDICT, answer.verdict.value),
        (names.SERVED_BY, answer.served_by),
        (names.ATTEMPTS, str(answer.attempts)),
    ]
