"""radishmuxd does no work for callers that have left."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from tests.departing_caller import LEAVE, DepartingCaller
from tests.request_node import Node, run_node
from tests.request_parts import (
    KEY,
    NodeParts,
    backend,
    backend_process,
    eventually,
)

# The users' bound on work that goes on after a caller has left.
BOUND_S = 0.5
# More than sanic reads ahead of a handler. The rest fits into the buffers of
# the kernel: the end of input of a larger body would not reach this machine
# before more of the body is read.
LARGE_BYTES = 160_000
HEAD = f"Host: a\r\nX-Radishmux-Key: {KEY}\r\n".encode()
GET = b"GET /poles/status HTTP/1.1\r\n" + HEAD + b"\r\n"
PUT = (
    b"PUT /poles/upload/1 HTTP/1.1\r\n"
    + HEAD
    + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES
    + b"x" * LARGE_BYTES
)


# The daemon runs on uvloop.
@pytest.fixture
def event_loop_policy():
    return uvloop.EventLoopPolicy()


@pytest.fixture
async def path():
    async with backend_process() as server:
        node = Node(NodeParts([backend("b1", server.address, slots=1)]))
        async with run_node(node):
            pool = await eventually(lambda: node.runtime.pool("poles/r1/0"))
            await eventually(lambda: pool.slots)
            yield node, server, pool


async def within_bound(condition):
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


# GONE: uploads that waited for a slot while their bodies were not read.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_upload_that_waits_for_a_slot_is_given_up(path, leave):
    node, server, pool = path
    await server.control(latency_s=3.0)
    busy = DepartingCaller(node.caller.address)
    busy.send(GET)
    await eventually(lambda: node.runtime.in_use == 1)
    waiting = DepartingCaller(node.caller.address)
    waiting.send(PUT)
    await eventually(lambda: pool.queued == 1)
    leave(waiting)
    await within_bound(lambda: pool.queued == 0)
    busy.close()
    await within_bound(lambda: node.runtime.in_use == 0)
    assert len(await server.runs()) == 1


# GONE: a request in flight with a large request behind it.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_request_before_an_unread_one_is_given_up(path, leave):
    node, server, _ = path
    await server.control(latency_s=3.0)
    caller = DepartingCaller(node.caller.address)
    caller.send(GET + PUT)
    await eventually(lambda: node.runtime.in_use == 1)
    leave(caller)
    await within_bound(lambda: node.runtime.in_use == 0)


# GONE: requests of callers that left while the process stood still.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_requests_of_callers_that_have_left_are_not_sent(path, leave):
    node, server, _ = path
    kept = [DepartingCaller(node.caller.address) for _ in range(20)]
    await asyncio.sleep(0.1)
    # The loop stands still from here on.
    for caller in kept:
        caller.send(GET)
        leave(caller)
    await asyncio.sleep(BOUND_S)
    assert await server.runs() == []
