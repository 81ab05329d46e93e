"""Requests that wait for room at servers.

The load pattern: for some seconds more requests arrive than the servers of a
service take, and callers whose requests are refused come back.
"""

from __future__ import annotations

import asyncio

import pytest

from radishmux.config.routing import RouteKind
from radishmux.gateway.shortage_log import ShortageLog
from radishmux.gateway.waiting_requests import WaitingRequests
from radishmux.settings.gateway import AdmissionSettings
from radishmux.shift.rollout import VersionRule
from radishmux.telemetry.metrics import Metrics
from tests.gateway import parts
from tests.gateway.test_request_flow import (
    OK,
    FakeSender,
    make_flow,
    send_request,
)


class FullSender(FakeSender):
    """Its servers take no request until `opens` is set.

    Each request is answered at once afterwards.
    """

    def __init__(self, is_open=False):
        super().__init__()
        self.is_open = is_open
        self.ids = []

    def may_send(self, server, now):
        return self.is_open

    def accepted_per_s(self, server, now):
        return float("inf")

    async def send(self, attempt):
        self.ids.append(attempt.call.path)
        return OK


def waiting_flow(sender, **settings):
    routes = (
        parts.route("urgent", path_prefix="/p/", priority=0),
        parts.route("late", path_prefix="/q/", priority=2),
        parts.route("write", path_prefix="/w/", kind=RouteKind.UNSAFE),
    )
    flow, lines = make_flow(sender, parts.configuration(*routes))
    flow._waiting = WaitingRequests(
        flow._chooser,
        flow._contact,
        AdmissionSettings(**({"max_waiting": 8} | settings)),
        flow._clock,
        ShortageLog(Metrics()),
    )
    return flow, lines


async def until_waiting(flow, count):
    async with asyncio.timeout(1.0):
        while flow._waiting.count != count:
            await asyncio.sleep(0)


async def test_request_waits_for_room_instead_of_being_refused():
    """Guards against refusals of requests that can be served a bit later."""
    sender = FullSender()
    flow, _ = waiting_flow(sender)
    task = asyncio.create_task(send_request(flow))
    await until_waiting(flow, 1)
    sender.is_open = True
    assert (await task).status == 200
    assert flow._waiting.count == 0


@pytest.mark.parametrize("target", ["/p/1", "/w/1"])
async def test_request_that_finds_no_room_is_refused_before_its_deadline(
    target,
):
    """Guards against holding requests until their callers give up."""
    flow, lines = waiting_flow(FullSender())
    async with asyncio.timeout(0.3):
        response = await send_request(
            flow, target=target, deadline_remaining="400"
        )
    assert response.status == 503
    assert b'"no_room":"waited"' in lines.lines[0]
    # At most a third of what is left of the 0.4 s.
    assert 0 < float(dict(response.headers)["Retry-After"]) < 0.1


async def test_request_without_servers_is_refused_at_once():
    """Guards against holding a request that certainly is not served."""
    sender = FullSender()
    flow, lines = waiting_flow(sender)
    for server in flow._fleet.servers.all():
        flow._chooser._placement.state_of(server).record_rest(
            5.0, flow._clock.now()
        )
    async with asyncio.timeout(0.1):
        assert (await send_request(flow)).status == 503
    assert b'"no_room":"no_server"' in lines.lines[0]


async def test_request_leaves_the_room_with_its_caller():
    """Guards against running requests that nobody waits for any more."""
    sender = FullSender()
    flow, _ = waiting_flow(sender)
    task = asyncio.create_task(send_request(flow))
    await until_waiting(flow, 1)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert flow._waiting.count == 0
    assert flow._waiting._held_bytes == 0
    assert sender.ids == []


async def test_urgent_requests_go_first_and_the_rest_is_refused():
    """Guards against urgent requests behind others, and a room without end."""
    sender = FullSender()
    flow, _ = waiting_flow(sender, max_waiting=2)
    late = [
        asyncio.create_task(send_request(flow, target=f"/q/{n}"))
        for n in range(2)
    ]
    await until_waiting(flow, 2)
    urgent = asyncio.create_task(send_request(flow))
    # The last in the order has to leave.
    assert (await late[1]).status == 503
    sender.is_open = True
    assert (await urgent).status == 200
    assert (await late[0]).status == 200
    assert sender.ids == ["/p/1", "/q/0"]


async def test_waiting_requests_end_before_the_instance_does():
    """Guards against requests cut off by the end of the grace period."""
    flow, _ = waiting_flow(FullSender())
    task = asyncio.create_task(send_request(flow))
    await until_waiting(flow, 1)
    flow._waiting.stop_by(flow._clock.now() + 0.2)
    async with asyncio.timeout(0.2):
        assert (await task).status == 503


async def test_calm_instance_holds_no_request_back():
    """Guards against waits where there is room, also after one rejection."""
    sender = FullSender(is_open=True)
    flow, _ = waiting_flow(sender)
    for number in range(10):
        async with asyncio.timeout(0.02):
            assert (await send_request(flow)).status == 200
        if number == 5:
            admission = flow._waiting._services["s"].admission
            admission.record_sign(0, flow._clock.now())
    assert flow._waiting._timer is None


async def test_request_does_not_wait_for_a_version_that_it_may_not_use():
    """Guards against waits that only a rolled back version could end."""
    flow, lines = waiting_flow(FullSender())
    rule = VersionRule(rejected=frozenset({"v1"}))
    flow._chooser._rollouts.next_rule = lambda *_: rule
    async with asyncio.timeout(0.1):
        assert (await send_request(flow)).status == 503
    assert b'"no_room":"no_server"' in lines.lines[0]
