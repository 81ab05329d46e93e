"""Requests whose callers leave before the server that runs them crashes.

The failure is described in docs/incidents/budget-departed-callers.md.
"""

from __future__ import annotations

import asyncio
import math

import pytest

from radishmux.clock import ManualClock, SystemClock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.gateway.crash_detector import CrashDetector
from radishmux.gateway.events import ServerPut
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.sender import Attempt
from radishmux.verdict import Verdict
from tests.gateway import parts
from tests.gateway.test_http_client import ScriptedServer, encode_response, send

DEADLINE = 3.0
# Service and version of the servers.
SOFTWARE = "s v1"


class Observer:
    """Sends a request that gets no answer; tells when its server ends."""

    def __init__(self, clock, outcome=None, is_sent=True):
        self.clock = clock
        self.outcome = outcome
        self.is_sent = is_sent
        self.ended = asyncio.Event()
        self.until = -math.inf

    async def send(self, attempt):
        if self.is_sent:
            attempt.sent_at = self.clock.now()
        if self.outcome is None:
            await asyncio.Event().wait()
        return self.outcome

    async def wait_ended(self, server, until):
        self.until = until
        await self.ended.wait()
        return self.clock.now()


def attempt_at(server):
    return Attempt(
        call=None,
        route=parts.route(),
        customer="c",
        choice=parts.choice(parts.server(server)),
        deadline=DEADLINE,
        digest="d",
    )


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def leave(guard, observer, clock, server="i-0"):
    """Sends a request, and cancels it unless it has an outcome."""
    sender = parts.guarded_sender(observer, clock, guard, observer)
    task = asyncio.create_task(sender.send(attempt_at(server)))
    await settle()
    task.cancel()
    await settle()
    return sender


# BUDGET: what a request does to its server after its caller has left was lost.
@pytest.mark.parametrize(
    "outcome",
    [
        None,
        NoResponse("deadline_passed", Verdict.MAY_HAVE_RUN),
        NoResponse("truncated_response", Verdict.MAY_HAVE_RUN),
    ],
)
async def test_crash_after_the_end_of_an_attempt_marks_the_request(outcome):
    clock = ManualClock(1.0)
    guard, observer = parts.crash_guard(clock), Observer(clock, outcome)
    sender = await leave(guard, observer, clock)
    assert not guard.is_marked("d")
    assert observer.until > DEADLINE
    observer.ended.set()
    await settle()
    assert guard.is_marked("d")
    assert sender


@pytest.mark.parametrize(
    "outcome",
    [
        ServerResponse(200, [], b""),
        NotSent("stopped"),
        NoResponse("shed:503", Verdict.NOT_RUN),
    ],
)
async def test_server_that_does_not_run_the_request_is_not_observed(outcome):
    clock = ManualClock(1.0)
    observer = Observer(clock, outcome)
    await leave(parts.crash_guard(clock), observer, clock)
    assert observer.until == -math.inf


async def test_request_that_waited_for_a_connection_is_not_observed():
    clock = ManualClock(1.0)
    observer = Observer(clock, is_sent=False)
    await leave(parts.crash_guard(clock), observer, clock)
    assert observer.until == -math.inf


# Another run on trial before the fate of this one is known could crash another
# server.
async def test_trial_goes_on_while_its_server_may_run_the_request():
    clock = ManualClock(2.0)
    guard, observer = parts.crash_guard(clock), Observer(clock)
    for n in range(2):
        server = parts.server(f"i-{n}")
        await guard.record_crash("d", "s c r", server, n, n + 0.1)
    sender = await leave(guard, observer, clock, "i-8")
    assert not await guard.acquire_trial("d", SOFTWARE, 1.0)
    observer.ended.set()
    await settle()
    # Its third crash withholds the request.
    assert guard.withheld_s("d", [SOFTWARE]) > 0.0
    assert sender


class Connections:
    """Connections that break; the server then refuses new ones."""

    def __init__(self):
        self.refuses = True

    async def wait_broken(self, server, timeout_s):
        return True

    async def is_refused(self, server):
        return self.refuses

    async def probe(self, server):
        return True


def detector_of(connections, **fields):
    fleet = FleetState(lambda change: change, parts.REGIONS)
    for n in range(2):
        entry = parts.entry(f"s{n}", "a-1", **(fields if n == 0 else {}))
        fleet.on_change(ServerPut(f"s{n}", entry), 0.0)
    clock = SystemClock()
    detector = CrashDetector(
        parts.OWN, fleet, connections, lambda now: 0.0, clock
    )
    return detector, fleet.servers.get("s0"), clock.now()


@pytest.mark.parametrize(
    ("fields", "refuses", "has_ended"),
    [
        ({}, True, True),
        ({}, False, False),
        pytest.param({"draining": True}, True, False, id="planned-end"),
    ],
)
async def test_end_of_a_server_is_noticed_by_its_connections(
    fields, refuses, has_ended
):
    connections = Connections()
    connections.refuses = refuses
    detector, server, now = detector_of(connections, **fields)
    ended_at = await detector.wait_ended(server, now + 0.3)
    assert (ended_at is not None) is has_ended


async def test_pool_tells_that_a_connection_broke():
    clock = SystemClock()
    response = encode_response(b"x")
    async with ScriptedServer([response, "pause", "pause", "reset"]) as server:
        pool = ServerConnectionPool(server.address, clock)
        assert isinstance(await send(server, pool), ServerResponse)
        # It goes on with the idle connection and opens no other one.
        assert await pool.wait_broken(2.0)
        assert server.connections == 1
        pool.close()


async def test_pool_opens_a_connection_to_notice_the_end_of_a_server():
    async with ScriptedServer() as server:
        pool = ServerConnectionPool(server.address, SystemClock())
        assert not await pool.wait_broken(0.1)
        assert server.connections == 1
        assert pool.has_idle
        pool.close()
    assert await pool.wait_broken(0.1)
