"""Reference cycles of requests that have ended.

Collections of reference cycles are rare in a daemon (`gateway/daemon`). A cycle
that holds the bytes of a request keeps them until then, beside the limit of the
memory.
"""

from __future__ import annotations

import asyncio
import gc
import socket
import sys
import time
import types
from contextlib import contextmanager

import pytest

from radishmux.config.routing import CallerLimits
from radishmux.http._connection import CHECK_VALID_S
from radishmux.http.memory_budget import MIB, MemoryBudget
from radishmux.http.pipelined import PipelinedServer
from radishmux.http.response import Response
from tests.gateway.test_pipelined import Caller, _until

# Smaller objects are not counted.
LARGE_BYTES = 2_000
TARGET = b"/" + b"x" * 8_000
REQUEST = b"GET " + TARGET + b" HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST " + TARGET + b" HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


@contextmanager
def no_large_garbage():
    """Fails if reference cycles of the block hold large bytes or texts."""
    gc.collect()
    gc.disable()
    try:
        yield
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        held = {
            id(one): (type(holder).__name__, sys.getsizeof(one))
            for holder in gc.garbage
            for one in gc.get_referents(holder)
            if isinstance(one, (bytes, bytearray, str))
            and sys.getsizeof(one) > LARGE_BYTES
        }
        frames = [
            one.f_code.co_qualname
            for one in gc.garbage
            if isinstance(one, types.FrameType)
        ]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not held, (list(held.values()), frames)


async def answer(request):
    return Response(200, [])


def serve(handler=answer, **options):
    return PipelinedServer("127.0.0.1:0", handler, CallerLimits(), **options)


REJECTED = {
    "memory_full": (REQUEST * 4, {"budget": MemoryBudget(20_000)}, 503),
    "header_too_large": (
        REQUEST[:-2] + b"%b: b\r\n" % TARGET[1:] * 3,
        {},
        431,
    ),
    "malformed": (REQUEST[:-2] + b"\0:\r\n\r\n", {}, 400),
    "body_too_large": (POST % (65 * MIB), {}, 413),
    "refused_by_its_head": (
        POST % MIB,
        {"check_head": lambda request: Response(404, [])},
        404,
    ),
}


# The traceback of a rejection held what had been read from the connection, up
# to 256 KB for each rejected request. Crowds exceeded the memory by it.
@pytest.mark.parametrize("reason", REJECTED)
async def test_rejected_request_leaves_no_large_garbage(reason):
    data, options, expected = REJECTED[reason]
    async with serve(**options) as server:
        with no_large_garbage():
            async with Caller(server) as caller:
                caller.writer.write(data)
                status, _, _ = await caller.read_response()
            await _until(lambda: not server._connections)
    assert status == expected


# A closed connection and its parser refer to each other.
async def test_closed_connection_leaves_no_large_garbage():
    async with serve() as server:
        with no_large_garbage():
            async with Caller(server) as caller:
                caller.writer.write(REQUEST + REQUEST[:-2])
                assert (await caller.read_response())[0] == 200
            await _until(lambda: not server._connections)


# The cancelled task of a handler holds the frames that it ended in.
async def test_cancelled_request_leaves_no_large_garbage():
    started = []

    async def wait(request):
        started.append(request.method)
        await asyncio.sleep(60)

    async with serve(wait) as server:
        with no_large_garbage():
            async with Caller(server) as caller:
                caller.writer.write(REQUEST * 3)
                await _until(lambda: len(started) == 3)
            await _until(lambda: not server.connection_limit.requests)


# A request refers to its place among the responses, which refers to it until
# its handler has been started.
async def test_request_that_is_not_started_leaves_no_large_garbage():
    not_started = []

    async def leave(request):
        caller.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        time.sleep(2 * CHECK_VALID_S)
        assert request.has_caller_left()

    async with serve(
        leave, on_not_started=lambda request: not_started.append(request.method)
    ) as server:
        with no_large_garbage():
            async with Caller(server) as caller:
                caller.writer.write(REQUEST * 3)
                await _until(lambda: not_started)
            await _until(lambda: not server.connection_limit.requests)
    assert not_started == ["GET", "GET"]
