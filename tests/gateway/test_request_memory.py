"""Memory of requests, which must not wait for the garbage collector.

The failure is described in docs/incidents/lost-memory-of-uploads.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import pathlib
import weakref

import aiohttp
import pytest

from radishmux.clock import SystemClock
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.http.incoming import CALLER_LEFT, IncomingRequest
from radishmux.verdict import Verdict
from tests.gateway import parts
from tests.gateway.fleet import HOST, config, run_fleet
from tests.gateway.test_request_flow import (
    FAILED,
    LOST,
    NOT_SENT,
    OK,
    SHED,
    FakeSender,
    make_flow,
)

MIB = 1024 * 1024
# The platform ends a process with more memory.
MEMORY_LIMIT_MB = 300
UPLOADS = 80
UPLOAD_BYTES = 4 * MIB


class CallerHere:
    """Belongs to a request; says that its caller has not left."""

    def __call__(self):
        return False


@contextlib.contextmanager
def without_collector():
    """Frees unreachable cycles first, and none meanwhile."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def handle(flow):
    """Handles a request; returns what lives as long as the request."""
    caller_here = CallerHere()
    request = parts.request(received_at=SystemClock().now())
    call = IncomingRequest(
        request.method,
        request.target,
        request.headers,
        b"body",
        request.received_at,
        caller_here,
    )
    reference = weakref.ref(caller_here)
    del caller_here, request
    task = asyncio.create_task(flow.handle(call))
    del call
    return reference, task


def make_guarded_flow(*outcomes, timeout_s=1.0):
    flow, _ = make_flow(
        FakeSender(*outcomes),
        parts.configuration(parts.route(timeout_s=timeout_s)),
    )
    return flow


# LOST: an attempt and its own check for obstacles were a cycle that held the
# body of each request until the collector ran.
@pytest.mark.parametrize(
    "outcomes",
    [
        pytest.param([OK], id="answered"),
        pytest.param([FAILED, OK], id="retried"),
        pytest.param([LOST, OK], id="lost"),
        pytest.param([SHED, SHED], id="turned-away"),
        pytest.param([NOT_SENT, NOT_SENT], id="not-sent"),
        pytest.param([ServerResponse(404, [], b"")], id="not-found"),
        pytest.param(
            [NoResponse("deadline_passed", Verdict.MAY_HAVE_RUN)] * 2,
            id="deadline",
        ),
    ],
)
async def test_request_is_freed_when_it_has_ended(outcomes):
    flow = make_guarded_flow(*outcomes)
    with without_collector():
        reference, task = await handle(flow)
        await task
        del task
        await asyncio.sleep(0.01)
        assert reference() is None


@pytest.mark.parametrize("ends", ["caller-left", "timeout"])
async def test_request_that_is_cancelled_is_freed(ends):
    flow = make_guarded_flow((5.0, OK), timeout_s=0.3)
    with without_collector():
        reference, task = await handle(flow)
        if ends == "caller-left":
            await asyncio.sleep(0.05)
            task.cancel(CALLER_LEFT)
            with contextlib.suppress(asyncio.CancelledError):
                await task
        else:
            assert (await task).status == 504
        del task
        await asyncio.sleep(0.05)
        assert reference() is None


def resident_mb(process):
    pages = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / MIB


# LOST: gateways outgrew their memory with uploads, were killed, and cut the
# requests of all their callers.
async def test_uploads_do_not_add_up_in_memory(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        document = config(2, [("upload", "/up/"), ("safe", "/safe/")])
        document["Limits"]["MaxBodyBytes"] = 16 * MIB
        await fleet.put(**{"op/config": document})
        gateway = await fleet.add("g1")
        body = os.urandom(UPLOAD_BYTES)
        largest = 0.0
        async with aiohttp.ClientSession() as session:
            for number in range(UPLOADS):
                headers = {
                    "Host": HOST,
                    "Request-Id": f"id-{number}",
                    "Api-Key": "key",
                    "Deadline-Remaining": "5000",
                }
                async with session.post(
                    f"http://{gateway.caller}/up/1", data=body, headers=headers
                ) as response:
                    await response.read()
                    assert response.status == 200
                largest = max(largest, resident_mb(gateway.process))
    assert largest < MEMORY_LIMIT_MB
