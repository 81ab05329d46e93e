"""No work goes on for callers that have left."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
import uvloop

from radishmux.http.pipelined import PipelinedServer
from radishmux.http.response import Response
from tests.departing_caller import LEAVE, DepartingCaller

# The users' bound on work that goes on after a caller has left.
BOUND_S = 0.5
SLOW = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE_BYTES = 2 * 1024 * 1024


# The daemons run on uvloop.
@pytest.fixture(
    params=[uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()],
    ids=["uvloop", "asyncio"],
)
def event_loop_policy(request):
    return request.param


class Handler:
    """Answers `/large` at once and lets other requests run for a long time.

    Attributes:
        started: Number of slow requests that were started.
        running: Number of slow requests that run.
    """

    def __init__(self):
        self.started = 0
        self.running = 0

    async def __call__(self, request):
        if request.target == "/large":
            return Response(200, [], b"x" * LARGE_BYTES)
        self.started += 1
        self.running += 1
        try:
            await asyncio.sleep(30)
        finally:
            self.running -= 1
        return Response(200, [])


@contextlib.asynccontextmanager
async def serving():
    handler = Handler()
    async with PipelinedServer("127.0.0.1:0", handler) as server:
        yield server, handler


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


# GONE: pipelined requests went on after their caller had left.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
@pytest.mark.parametrize("count", [1, 15, 16, 40])
async def test_leaving_cancels_all_pipelined_requests(count, leave):
    async with serving() as (server, handler):
        caller = DepartingCaller(server.address)
        caller.send(SLOW * count)
        await until(lambda: handler.running == count)
        leave(caller)
        await until(lambda: handler.running == 0, BOUND_S)


# GONE: a caller that had left with more requests than are read at once.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_leaving_is_seen_behind_unread_requests(leave):
    async with serving() as (server, handler):
        caller = DepartingCaller(server.address)
        caller.send(SLOW * 20)
        await until(lambda: handler.running == 20)
        caller.send(SLOW * 20)
        await asyncio.sleep(0.1)
        leave(caller)
        await until(lambda: handler.running == 0, BOUND_S)
        assert handler.started <= 40


# GONE: requests behind responses that their caller had not read.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_leaving_cancels_requests_behind_unread_responses(leave):
    async with serving() as (server, handler):
        caller = DepartingCaller(server.address)
        caller.send(LARGE * 4 + SLOW * 3)
        await until(lambda: handler.running == 3)
        await until(lambda: server.unsent_bytes > 0)
        leave(caller)
        await until(lambda: handler.running == 0, BOUND_S)


# GONE: requests of callers that left while the process stood still.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
@pytest.mark.parametrize("is_kept", [True, False], ids=["kept", "new"])
async def test_requests_of_callers_that_have_left_are_not_started(
    leave, is_kept
):
    async with serving() as (server, handler):
        kept = (
            [DepartingCaller(server.address) for _ in range(20)]
            if is_kept
            else []
        )
        await asyncio.sleep(0.1)
        # The loop stands still from here on.
        callers = kept or [DepartingCaller(server.address) for _ in range(20)]
        for caller in callers:
            caller.send(SLOW)
            leave(caller)
        stayed = DepartingCaller(server.address)
        stayed.send(SLOW)
        await until(lambda: handler.running > 0)
        await asyncio.sleep(0.1)
        assert (handler.started, handler.running) == (1, 1)
        stayed.close()


# Half-closing gives up the requests that run, not the responses that are ready.
async def test_ready_responses_are_delivered_after_a_half_close():
    async with serving() as (server, handler):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(LARGE * 4 + SLOW * 3 + LARGE)
        await until(lambda: handler.running == 3)
        await until(lambda: server.unsent_bytes > 0)
        writer.write_eof()
        await until(lambda: handler.running == 0, BOUND_S)
        data = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        await writer.wait_closed()
    assert data.count(b"HTTP/1.1 200") == 4
    assert len(data) > 4 * LARGE_BYTES
