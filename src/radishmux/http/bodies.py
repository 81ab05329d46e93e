"""Reads request bodies and sends responses with sanic."""

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

# Longest pause between two reads of a request body.
BODY_IDLE_S = 10.0
# Lowest average rate of a request body since its start. It is enforced once
# BODY_IDLE_S has passed.
MIN_BYTES_PER_S = 1024


class BodyReader:
    """Reads one request body and enforces size, idle time and rate limits."""

    __slots__ = ("_loop", "_request", "_size", "_started_at")

    def __init__(self, request: Request) -> None:
        self._request = request
        self._size = 0
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    async def read(self) -> RequestBody:
        """Returns the body, in memory if small and as a stream otherwise.

        Raises:
            CallerBodyError: The body is malformed, too large or too slow.
        """
        declared = self._request.headers.get("content-length")
        length = int(declared) if declared is not None else None
        if length is not None and length > MAX_BODY_BYTES:
            self._close_after_response()
            raise CallerBodyError("body_too_large", 413)
        if length is not None and length > BUFFER_BYTES:
            return RequestBody(None, self._stream_pieces(b""), length)
        # One buffer: a list of chunks of a few bytes takes many times their
        # size.
        received = bytearray()
        while self._size <= BUFFER_BYTES:
            piece = await self._read_piece()
            if piece is None:
                return RequestBody(bytes(received))
            received += piece
        prefix = bytes(received)
        return RequestBody(None, self._stream_pieces(prefix), None, prefix)

    async def _stream_pieces(self, prefix: bytes) -> AsyncIterator[bytes]:
        if prefix:
            yield prefix
        while True:
            piece = await self._read_piece()
            if piece is None:
                return
            yield piece

    async def _read_piece(self) -> bytes | None:
        stream = self._request.stream
        if stream is None:
            raise CallerBodyError("caller_gone", 400)
        try:
            if stream.recv_buffer or not stream.request_body:
                piece = await stream.read()
            else:
                async with asyncio.timeout(BODY_IDLE_S):
                    piece = await stream.read()
        except TimeoutError as error:
            self._close_after_response()
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
        self._check_limits()
        return piece

    def _check_limits(self) -> None:
        if self._size > MAX_BODY_BYTES:
            self._close_after_response()
            raise CallerBodyError("body_too_large", 413)
        elapsed_s = self._loop.time() - self._started_at
        if elapsed_s > BODY_IDLE_S and self._size < MIN_BYTES_PER_S * elapsed_s:
            self._close_after_response()
            raise CallerBodyError("body_too_slow", 408)

    def _close_after_response(self) -> None:
        # The rest of the body is not read, so that the connection cannot be
        # used for another request.
        stream = self._request.stream
        if stream is not None:
            stream.keep_alive = False
            stream.request_body = None


async def read_body(request: Request) -> RequestBody:
    """Returns the body of a request.

    Raises:
        CallerBodyError: The body is malformed, too large or too slow.
    """
    stream = request.stream
    if stream is None or not stream.request_body:
        return EMPTY_BODY
    return await BodyReader(request).read()


def to_http_response(backend_response: BackendResponse) -> HTTPResponse:
    """Returns the sanic response for a backend response held in memory."""
    return HTTPResponse(
        backend_response.body,
        status=backend_response.status,
        headers=_headers(backend_response),
    )


async def send_stream(
    request: Request, backend_response: BackendResponse
) -> None:
    """Sends a streamed response; aborts the connection if it is truncated."""
    assert backend_response.stream is not None
    headers = _headers(backend_response)
    if backend_response.length is not None:
        headers.append(("content-length", str(backend_response.length)))
    response = HTTPResponse(status=backend_response.status, headers=headers)
    try:
        await request.respond(response)
        async for piece in backend_response.stream:
            await response.send(piece, False)
        if backend_response.length is None:
            await response.send(b"", True)
    except IncompleteResponseError:
        # A normal end of the connection or of the chunks would make the
        # truncated response look complete.
        if request.transport is not None:
            request.transport.abort()
    finally:
        await backend_response.stream.aclose()


def _headers(backend_response: BackendResponse) -> list[tuple[str, str]]:
    return [
        *backend_response.headers,
        (names.VERDICT, backend_response.verdict.value),
        (names.SERVED_BY, backend_response.served_by),
        (names.ATTEMPTS, str(backend_response.attempts)),
    ]
