"""Backend servers do no work for callers of a daemon that have left."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.departing_caller import LEAVE, DepartingCaller
from tests.gateway.fleet import HOST, run_fleet, send_request

# The users' bound on work that goes on after a caller has left.
BOUND_S = 0.5
COUNT = 20


def request_bytes(number):
    return (
        f"GET /safe/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: id-{number}\r\nApi-Key: key\r\n"
        "Deadline-Remaining: 2000\r\n\r\n"
    ).encode()


async def running(server):
    return (await server.show())["running"]


# GONE: servers went on with pipelined requests of a caller that had left.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_servers_are_told_that_a_caller_has_left(tmp_path, leave):
    async with run_fleet(tmp_path, servers=1) as fleet:
        server = fleet.servers["i-0"]
        gateway = await fleet.add("g1")
        await send_request(gateway)
        await server.control(work_ms=1_800, slots=2 * COUNT)
        caller = DepartingCaller(gateway.caller)
        caller.send(b"".join(map(request_bytes, range(COUNT))))
        async with asyncio.timeout(1):
            while await running(server) < COUNT:
                await asyncio.sleep(0.02)
        leave(caller)
        async with asyncio.timeout(BOUND_S):
            while await running(server):
                await asyncio.sleep(0.02)


# GONE: a stopped process sent on requests of callers that had left meanwhile.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_requests_of_departed_callers_are_not_sent_after_a_stop(
    tmp_path, leave
):
    async with run_fleet(tmp_path, servers=1) as fleet:
        server = fleet.servers["i-0"]
        gateway = await fleet.add("g1")
        await send_request(gateway)
        before = len((await server.show())["arrived"])
        kept = [DepartingCaller(gateway.caller) for _ in range(COUNT)]
        await asyncio.sleep(0.1)
        gateway.process.send_signal(signal.SIGSTOP)
        new = [DepartingCaller(gateway.caller) for _ in range(COUNT)]
        for number, caller in enumerate(kept + new):
            caller.send(request_bytes(number))
            leave(caller)
        gateway.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(BOUND_S)
        assert len((await server.show())["arrived"]) == before
        assert "caller_left" in gateway.log_text()
