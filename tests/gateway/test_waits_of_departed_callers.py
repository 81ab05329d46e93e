"""Requests that wait are not sent once their callers have left.

In each test the first request that goes on takes so long that its turn of the
event loop gets long, and all callers leave meanwhile. The other requests go on
in the same turn, before the loop reads from any socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading

import pytest
import uvloop

from radishmux.clock import SystemClock
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.events import ConfigurationPut, ServerPut
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.request_flow import RequestFlow
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.gateway.sender import ServerSender
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.http.pipelined import PipelinedServer
from radishmux.platform import dialect
from radishmux.settings.gateway import Bounds
from radishmux.shift.rollout import ANY_VERSION
from radishmux.steer.cold_pace import ColdRateLimiter
from radishmux.steer.placement import Placement
from radishmux.steer.server_contact import ServerContact
from radishmux.telemetry.metrics import Metrics
from tests.departing_caller import DepartingCaller
from tests.gateway import parts

WAIT_S = 0.15
# Longer than a check whether a caller has left stays valid.
TURN_S = 0.1
SHED = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
REQUEST = (
    b"GET /p/%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-%d\r\n"
    b"Api-Key: key\r\nDeadline-Remaining: 3000\r\n\r\n"
)
CALLERS = 10


# The daemons run on uvloop.
@pytest.fixture
def event_loop_policy():
    return uvloop.EventLoopPolicy()


class BackendServer:
    """Counts the requests that reach it and answers with a fixed response.

    Attributes:
        arrived: Number of requests.
        response: The response; None lets requests wait.
        delay_s: Time that a response takes.
    """

    def __init__(self):
        self.arrived = 0
        self.response = None
        self.delay_s = 0.0

    @contextlib.asynccontextmanager
    async def serving(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        async with server:
            yield "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, OSError),
        ):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrived += 1
                if self.response is not None:
                    await asyncio.sleep(self.delay_s)
                    writer.write(self.response)


def do_nothing():
    """Does nothing."""


class Tokens:
    """A rate limiter that admits requests after a wait."""

    def __init__(self):
        self.wait_s = 0.0

    async def acquire(self, customer, max_wait_s, settling_s):
        await asyncio.sleep(self.wait_s)


class Permits:
    """Grants permits after a wait."""

    def __init__(self):
        self.wait_s = 0.0
        self.after_wait = do_nothing

    def is_required(self, server):
        return self.wait_s > 0

    async def acquire(self, server):
        await asyncio.sleep(self.wait_s)
        self.after_wait()
        return 0.0

    def observe(self, server, limit_per_s):
        """Ignores limits."""


class Rollouts:
    """Has no rollouts; calls `before_choice` before a server is chosen."""

    def __init__(self):
        self.before_choice = do_nothing

    def next_rule(self, service, route, now):
        self.before_choice()
        return ANY_VERSION

    def record_outcome(self, *args):
        """Ignores outcomes."""


class Log:
    """Collects the log lines."""

    def __init__(self):
        self.lines = []

    def write_bytes(self, line):
        self.lines.append(line)


class Instance:
    """The request path of an instance with two backend servers."""

    def __init__(self, addresses):
        customer = parts.customer(rate_per_s=100.0)
        fleet = FleetState(lambda change: change, parts.REGIONS)
        for n, address in enumerate(addresses):
            entry = parts.entry(f"s{n}", address=address, slots=99)
            fleet.on_change(ServerPut(f"s{n}", entry), -100.0)
        configuration = parts.configuration(
            parts.route(timeout_s=3.0), customers=(customer,)
        )
        fleet.on_change(ConfigurationPut(configuration), -100.0)
        self.tokens = Tokens()
        self.permits = Permits()
        self.rollouts = Rollouts()
        self.log = Log()
        placement = Placement("a", "a-1")
        clock, metrics = SystemClock(), Metrics()
        contact = ServerContact()
        sender = ServerSender(
            fleet,
            placement,
            ColdRateLimiter("i1"),
            contact,
            self.permits,
            self.rollouts,
            dialect,
            clock,
            metrics,
        )
        guard = parts.crash_guard(clock)
        self.flow = RequestFlow(
            fleet,
            ServerChooser(fleet, self.rollouts, placement, sender, guard),
            sender,
            parts.guarded_sender(sender, clock, guard),
            self.tokens,
            RetryBudgets(Bounds(retry_slack=500)),
            dialect,
            clock,
            DecisionLog(self.log, "i1", lambda: 1, metrics),
            contact,
            relay=None,
        )


@contextlib.asynccontextmanager
async def running():
    servers = [BackendServer(), BackendServer()]
    async with contextlib.AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(server.serving())
            for server in servers
        ]
        instance = Instance(addresses)
        listener = await stack.enter_async_context(
            PipelinedServer(
                "127.0.0.1:0",
                instance.flow.handle,
                on_not_started=instance.flow.record_not_started,
            )
        )
        yield instance, servers, listener.address


def call(address, number):
    caller = DepartingCaller(address)
    caller.send(REQUEST % (number, number))
    return caller


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def arrived(servers):
    return sum(server.arrived for server in servers)


class Departure:
    """All callers leave in a long turn of the event loop; done once."""

    def __init__(self, callers):
        self.callers = callers
        self.is_over = False

    def __call__(self):
        if not self.is_over:
            self.is_over = True
            for caller in self.callers:
                caller.close()
            threading.Event().wait(TURN_S)


async def open_idle_connections(servers, address):
    """Makes the instance connect to the servers, so that it sends at once."""
    for server in servers:
        server.response = SHED
    callers = [call(address, n) for n in range(CALLERS)]
    await until(lambda: arrived(servers) >= CALLERS)
    await asyncio.sleep(0.2)
    for server in servers:
        server.arrived, server.response = 0, None
    for caller in callers:
        caller.close()


# GONE: requests that had waited for tokens of their customer.
async def test_request_is_not_sent_if_its_caller_left_before_a_token_came():
    async with running() as (instance, servers, address):
        await open_idle_connections(servers, address)
        instance.tokens.wait_s = WAIT_S
        callers = [call(address, n) for n in range(CALLERS)]
        departure = Departure(callers)
        instance.rollouts.before_choice = departure
        await until(lambda: departure.is_over)
        await asyncio.sleep(0.2)
        assert arrived(servers) == 0


# GONE: requests that had waited for permits of a limited server.
async def test_request_is_not_sent_if_its_caller_left_before_a_permit_came():
    async with running() as (instance, servers, address):
        await open_idle_connections(servers, address)
        instance.permits.wait_s = WAIT_S
        callers = [call(address, n) for n in range(CALLERS)]
        departure = Departure(callers)
        instance.permits.after_wait = departure
        await until(lambda: departure.is_over)
        await asyncio.sleep(0.2)
        assert arrived(servers) == 0


# GONE: requests that were sent on after a server had turned them away.
async def test_request_that_was_not_run_is_not_sent_on_for_a_departed_caller():
    async with running() as (instance, servers, address):
        await open_idle_connections(servers, address)
        for server in servers:
            server.response, server.delay_s = SHED, WAIT_S
        callers = [call(address, n) for n in range(CALLERS)]
        await until(lambda: arrived(servers) == CALLERS)
        departure = Departure(callers)
        instance.rollouts.before_choice = departure
        await until(lambda: departure.is_over)
        await asyncio.sleep(0.2)
        assert arrived(servers) == CALLERS
