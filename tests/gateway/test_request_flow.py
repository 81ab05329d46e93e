"""What callers are told, and what is sent again."""

from __future__ import annotations

import asyncio

import pytest

from radishmux.clock import SystemClock
from radishmux.config.routing import RouteKind
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.events import ConfigurationPut, ServerPut
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.rate_limiter import Grant
from radishmux.gateway.request_flow import RequestFlow
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.platform import dialect
from radishmux.settings.gateway import Bounds
from radishmux.shift.rollout import ANY_VERSION
from radishmux.steer.placement import Placement
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Verdict
from tests.gateway import parts

OK = ServerResponse(200, [("server-seal", "x"), ("request-id", "id-1")], b"ok")
FAILED = ServerResponse(500, [("server-seal", "x")], b"failed")
SHED = NoResponse("shed:503", Verdict.NOT_RUN)
LOST = NoResponse("connection_broken", Verdict.MAY_HAVE_RUN, True)


class FakeSender:
    """Gives the scripted outcomes, one for each attempt."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.servers = []
        self.cancelled = 0

    def may_send(self, server, now):
        return True

    async def send(self, attempt):
        self.servers.append(attempt.choice.server.name)
        outcome = self.outcomes.pop(0)
        if not isinstance(outcome, tuple):
            return outcome
        delay_s, outcome = outcome
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return outcome


class NoRollouts:
    """Knows of no order, and counts how often it is asked."""

    def __init__(self):
        self.asked = 0

    def next_rule(self, service, route, now):
        self.asked += 1
        return ANY_VERSION


class OwnTokens:
    """Admits all requests or none."""

    def __init__(self, admits=True):
        self.admits = admits

    async def acquire(self, customer, longest_s):
        return None if self.admits else Grant("i1", 0, 0.5, 0.25)


class Lines:
    """Keeps the lines of the log."""

    def __init__(self):
        self.lines = []

    def write_bytes(self, line):
        self.lines.append(line)


def first_events(configuration, servers):
    return [
        *(ServerPut(f"s{n}", parts.entry(f"s{n}")) for n in range(servers)),
        ConfigurationPut(configuration),
    ]


def make_flow(sender, configuration=None, servers=2, admits=True, events=None):
    if events is None:
        configuration = configuration or parts.configuration()
        events = first_events(configuration, servers)
    state = FleetState(lambda change: change, parts.REGIONS)
    for event in events:
        state.on_change(event, -100.0)
    budgets = RetryBudgets(Bounds(retry_slack=50))
    lines = Lines()
    flow = RequestFlow(
        state,
        NoRollouts(),
        Placement("a", "a-1"),
        sender,
        OwnTokens(admits),
        budgets,
        dialect,
        SystemClock(),
        DecisionLog(lines, "i1", lambda: 1, Metrics()),
    )
    return flow, lines


async def ask(flow, **fields):
    received_at = SystemClock().now()
    return await flow.handle(parts.request(received_at=received_at, **fields))


def unsafe(**fields):
    return parts.configuration(
        parts.route(kind=RouteKind.UNSAFE, max_attempts=3, **fields)
    )


async def test_answer_of_the_server_is_passed_on():
    flow, lines = make_flow(FakeSender(OK))
    response = await ask(flow)
    assert (response.status, response.body) == (200, b"ok")
    assert ("server-seal", "x") in response.headers
    assert b'"request":"id-1"' in lines.lines[0]


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"target": "/other/1"}, 404),
        ({"host": "other.example"}, 404),
        ({"deadline_remaining": "soon"}, 400),
        ({"deadline_remaining": "nan"}, 400),
        ({"deadline_remaining": "-5"}, 400),
    ],
)
async def test_request_without_a_route_is_refused(fields, status):
    flow, _ = make_flow(FakeSender())
    assert (await ask(flow, **fields)).status == status


async def test_no_configuration_promises_not_run():
    flow, _ = make_flow(FakeSender(), events=[])
    assert (await ask(flow)).status == 503


async def test_no_configuration_in_the_store_refuses_at_once():
    """Nobody waits for what the store, which has been read, does not have."""
    flow, _ = make_flow(FakeSender(), events=[])
    flow._state.on_list((), 0.0)
    async with asyncio.timeout(0.1):
        response = await ask(flow)
    assert response.status == 503
    assert float(dict(response.headers)["Retry-After"]) > 0


@pytest.mark.parametrize(
    "configuration",
    [
        parts.configuration(parts.route(destinations=(), withheld="why")),
        parts.configuration(customers=(parts.customer(withheld="why"),)),
    ],
)
async def test_what_is_withheld_is_refused_and_not_run(configuration):
    sender = FakeSender()
    flow, _ = make_flow(sender, configuration)
    response = await ask(flow, api_key="key")
    assert response.status == 503
    assert sender.servers == []
    assert float(dict(response.headers)["Retry-After"]) > 0


async def test_request_that_comes_before_the_configuration_is_served():
    """After a restart of all, callers return before the store is read."""
    flow, _ = make_flow(FakeSender(OK), events=[])
    task = asyncio.create_task(ask(flow))
    await asyncio.sleep(0.1)
    for event in first_events(parts.configuration(), 2):
        flow._state.on_change(event, -100.0)
    assert (await task).status == 200


@pytest.mark.parametrize(
    ("key", "status"), [("key", 200), ("wrong", 401), (None, 401)]
)
async def test_key_decides(key, status):
    configuration = parts.configuration(customers=(parts.customer(),))
    flow, _ = make_flow(FakeSender(OK), configuration)
    fields = {} if key is None else {"api_key": key}
    assert (await ask(flow, **fields)).status == status


async def test_request_beyond_the_rate_is_not_sent():
    configuration = parts.configuration(
        customers=(parts.customer(rate_per_s=1.0, burst=1.0),)
    )
    sender = FakeSender()
    flow, _ = make_flow(sender, configuration, admits=False)
    response = await ask(flow, api_key="key")
    assert response.status == 429
    assert sender.servers == []


async def test_not_run_is_sent_to_another_server():
    sender = FakeSender(SHED, OK)
    flow, _ = make_flow(sender, unsafe())
    assert (await ask(flow)).status == 200
    assert len(set(sender.servers)) == 2


async def test_non_idempotent_request_that_may_have_run_is_not_sent_again():
    sender = FakeSender(LOST, OK)
    flow, _ = make_flow(sender, unsafe())
    assert (await ask(flow)).status == 502
    assert len(sender.servers) == 1


async def test_lost_answer_of_a_repeatable_request_is_fetched_again():
    sender = FakeSender(LOST, OK)
    flow, _ = make_flow(sender)
    assert (await ask(flow)).status == 200


async def test_failure_that_no_other_attempt_mends_is_passed_on():
    sender = FakeSender(FAILED, SHED)
    flow, _ = make_flow(sender)
    response = await ask(flow)
    assert (response.status, response.body) == (500, b"failed")


async def test_attempts_end_at_the_routes_limit():
    sender = FakeSender(SHED, SHED, OK)
    flow, _ = make_flow(sender, servers=3)
    assert (await ask(flow)).status == 503
    assert len(sender.servers) == 2


async def test_attempt_that_goes_on_at_the_deadline_may_have_run():
    """A 503 here would promise that it has not run."""
    sender = FakeSender((5.0, OK))
    configuration = unsafe(timeout_s=0.4)
    flow, _ = make_flow(sender, configuration)
    response = await ask(flow)
    await asyncio.sleep(0.01)
    assert response.status == 504
    assert sender.cancelled == 1


async def test_slow_attempt_goes_on_beside_the_second_one():
    """A server's silence is no reason to end its answer."""
    sender = FakeSender((1.2, OK), (5.0, OK))
    configuration = parts.configuration(parts.route(timeout_s=3.0))
    flow, _ = make_flow(sender, configuration)
    assert (await ask(flow)).status == 200
    await asyncio.sleep(0.01)
    assert len(sender.servers) == 2
    assert sender.cancelled == 1


async def test_slow_attempt_goes_on_when_there_is_no_second_server():
    sender = FakeSender((1.2, OK))
    configuration = parts.configuration(parts.route(timeout_s=3.0))
    flow, _ = make_flow(sender, configuration, servers=1)
    assert (await ask(flow)).status == 200


async def test_caller_that_leaves_ends_its_attempts():
    sender = FakeSender((5.0, OK))
    flow, _ = make_flow(sender)
    task = asyncio.create_task(ask(flow))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await asyncio.sleep(0.01)
    assert sender.cancelled == 1


async def test_no_server_is_refused_at_once():
    flow, _ = make_flow(FakeSender(), servers=0)
    response = await asyncio.wait_for(ask(flow), 0.2)
    assert response.status == 503
    assert any(name == "Retry-After" for name, _ in response.headers)


# Route and customer both bind; without a common home the request ran anywhere.
async def test_request_without_a_common_home_is_not_run():
    configuration = parts.configuration(
        parts.route(home_regions=frozenset({"a"})),
        customers=(parts.customer(home_regions=frozenset({"b"})),),
    )
    sender = FakeSender(OK)
    flow, _ = make_flow(sender, configuration)
    assert (await ask(flow, api_key="key")).status == 503
    assert sender.servers == []


async def test_line_of_a_refusal_holds_what_decided_it():
    flow, lines = make_flow(FakeSender())
    for n in range(2):
        for _ in range(40):
            flow._placement.state(f"s{n}").record_sent(SystemClock().now())
    assert (await ask(flow)).status == 503
    # Each time counts as a request in the exposure of a version.
    assert flow._rollouts.asked == 1
    detail = lines.lines[0].decode()
    assert "no_room: 2 servers, " in detail
    assert " ms left, best s" in detail
    assert "with load 40.0 of 4 expected to take" in detail
