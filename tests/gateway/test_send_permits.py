"""Limits of backend servers in fleets whose instances come and go.

The failure is described in docs/incidents/limit-aqrp-retours.md.
"""

from __future__ import annotations

import asyncio
import math
from functools import partial

import pytest

from radishmux.membership.hubs import FULL_MESH_MAX
from radishmux.peer import messages
from tests.gateway import virtual_fleet, virtual_loop
from tests.gateway.parts import customer, server

WINDOW_S = 4.0
CONTACT_S = 4.0
# Instances that passed a limit on count from this much later.
TOLD_S = 0.5
LIMITS_PER_S = (0.7, 2.0, 4.4, 5.0, 12.0, 30.0)
# Rate at which callers ask for each of these servers.
WANTED_PER_S = 40.0
RESPONSE_S = 0.1
TERMS = customer(rate_per_s=0.0)
# Least part of the limits that requests use while there are enough of them.
MIN_USED_SHARE = 0.6


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


class NeedyServer:
    """A server that names a limit and counts the requests that reach it."""

    def __init__(self, loop, number, limit_per_s):
        self.loop = loop
        self.server = server(f"i-{number}", f"{'abc'[number % 3]}-1")
        self.limit_per_s = limit_per_s
        self.arrived = []
        # Arrivals from processes that had passed the limit on before.
        self.counted = []
        # Monotonic time at which each process first passed the limit on.
        self.told_at = {}
        # End of the pause of each process.
        self.paused_until = {}

    async def request(self, fleet, node):
        """Sends a request of a caller, unless the instance may not."""
        if self.paused_until.get(node, -math.inf) > self.loop.time():
            return
        permits = node.permits
        if permits.is_required(self.server):
            wait_s = await permits.acquire(self.server)
            if wait_s > 0:
                self.paused_until[node] = self.loop.time() + wait_s
                return
        same = node.record.region == self.server.region
        delay_s = 0.001 if same else 0.055
        await asyncio.sleep(delay_s)
        now = self.loop.time()
        name = node.record.instance
        if name in fleet.network.cut_off or not node.is_serving:
            return
        self.arrived.append(now)
        named = self.limit_per_s
        told_at = self.told_at.get(node, math.inf)
        if now >= told_at + TOLD_S:
            self.counted.append(now)
        await asyncio.sleep(RESPONSE_S + delay_s)
        permits.observe(self.server, named)
        if named < math.inf:
            self.told_at.setdefault(node, self.loop.time())

    def max_counted(self, start):
        """Returns the most requests in a window that count for the rule."""
        times = sorted(at for at in self.counted if at >= start)
        return max(
            (
                sum(at <= first + WINDOW_S for at in times[n:])
                for n, first in enumerate(times)
            ),
            default=0,
        )


async def _send(fleet, needy, seconds):
    loop = fleet.loop
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            serving = [
                node
                for node in fleet.network.running.values()
                if node.is_serving
            ]
            if serving:
                node = fleet.rng.choice(serving)
                wanted = fleet.rng.choice(needy)
                group.create_task(wanted.request(fleet, node))
            rate_per_s = WANTED_PER_S * len(needy)
            await asyncio.sleep(fleet.rng.expovariate(rate_per_s))


async def _play(loop, seed, sizes, fault, seconds=16.0):
    fleet = virtual_fleet.VirtualFleet(loop, TERMS, seed, sizes)
    await fleet.start_all()
    await asyncio.sleep(4.0)
    needy = [
        NeedyServer(loop, number, limit_per_s)
        for number, limit_per_s in enumerate(LIMITS_PER_S)
    ]
    started_at = loop.time()
    calls = asyncio.create_task(_send(fleet, needy, seconds))
    await asyncio.sleep(5.0)
    await fault(fleet, needy)
    await calls
    return needy, started_at


async def _nothing(fleet, needy):
    pass


async def _rolling_restart(fleet, needy):
    at_once = max(1, len(fleet.names) // 5)
    await fleet.rolling_restart(at_once=at_once, gap_s=1.1)


async def _kill_holders(fleet, needy):
    for wanted in needy:
        holder = _holder(fleet, wanted)
        if holder is not None:
            await holder.kill()
    await asyncio.sleep(virtual_fleet.START_S)
    for name in fleet.names:
        if name not in fleet.network.running:
            await fleet.start(name)


async def _cut_holders(fleet, needy):
    names = {_holder(fleet, wanted).record.instance for wanted in needy}
    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(fleet.network.cut(name, 5.0))


async def _store_refuses_some(fleet, needy):
    refused = fleet.rng.sample(fleet.names, len(fleet.names) * 2 // 5)
    await fleet.network.cut_from_store(refused, 6.0)


def _holder(fleet, wanted):
    """Returns the process that grants permits for a server, if it runs."""
    region = wanted.server.region
    nodes = [
        node
        for node in fleet.network.running.values()
        if node.record.region == region
    ]
    if not nodes:
        return None
    name = nodes[0].permits._candidates(wanted.server)[0]
    return fleet.network.running.get(name)


FAULTS = (
    _nothing,
    _rolling_restart,
    _kill_holders,
    _cut_holders,
    _store_refuses_some,
)
SIZES = ((4, 3, 3), (14, 13, 13))


# Guards against servers in need that get more than their limit allows from
# the instances that know it, while instances restart, die or are cut off.
@pytest.mark.parametrize("sizes", SIZES, ids=str)
@pytest.mark.parametrize("fault", FAULTS)
def test_servers_in_need_get_no_more_than_allowed(fault, sizes):
    too_many = {}
    for seed in (1, 2, 3):
        needy, started_at = virtual_loop.run(
            partial(_play, seed=seed, sizes=sizes, fault=fault)
        )
        for wanted in needy:
            most = wanted.max_counted(started_at + CONTACT_S)
            if most > allowed(wanted.limit_per_s):
                too_many[seed, wanted.limit_per_s] = most
    assert too_many == {}


# Guards against limits that nobody uses up although callers wait.
@pytest.mark.parametrize("sizes", [*SIZES, (20, 20, 20)], ids=str)
def test_limits_are_used(sizes):
    assert sum(SIZES[1]) > FULL_MESH_MAX
    needy, started_at = virtual_loop.run(
        partial(_play, seed=1, sizes=sizes, fault=_nothing)
    )
    for wanted in needy:
        used = [at for at in wanted.arrived if at > started_at + CONTACT_S]
        expected = wanted.limit_per_s * (16.0 - CONTACT_S)
        assert len(used) >= MIN_USED_SHARE * expected - 2, wanted.limit_per_s


async def _recover(fleet, needy):
    for wanted in needy:
        wanted.limit_per_s = math.inf


# Guards against instances that keep to a limit that has ended, since they get
# no response of the server any more.
@pytest.mark.parametrize("sizes", SIZES, ids=str)
def test_servers_that_have_recovered_get_all_requests(sizes):
    needy, started_at = virtual_loop.run(
        partial(_play, seed=1, sizes=sizes, fault=_recover)
    )
    recovered_at = started_at + 5.0
    for wanted in needy:
        # The lowest limit lets a request through every 2 s.
        times = [at for at in wanted.arrived if at > recovered_at + 4.0]
        per_s = len(times) / (started_at + 16.0 - recovered_at - 4.0)
        assert per_s > 0.8 * WANTED_PER_S


async def _ask_with(loop, change):
    """Lets an instance ask for a permit, with a field of a message changed."""
    fleet = virtual_fleet.VirtualFleet(loop, TERMS, 1)
    await fleet.start_all()
    await asyncio.sleep(2.0)
    limited = server("i-0", "a-1")
    asker = fleet.network.running["b-0"]
    asker.permits.observe(limited, 2.0)
    request = asker.bus.request

    async def changed_request(name, message, timeout_s):
        if not isinstance(message, messages.SendPermitRequest):
            return await request(name, message, timeout_s)
        change(message)
        reply = await request(name, message, timeout_s)
        change(reply)
        return reply

    asker.bus.request = changed_request
    wait_s = await asker.permits.acquire(limited)
    return wait_s, asker.permits.is_required(limited)


# Guards against a malformed message that ends a limit, pauses a server for
# long or raises an error.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("server", None),
        ("limit_per_s", None),
        ("limit_per_s", math.nan),
        ("limit_per_s", math.inf),
        ("limit_per_s", -7.0),
        ("age_ms", None),
        ("age_ms", -1),
        ("wait_ms", None),
        ("wait_ms", -5),
        ("wait_ms", 2**31 - 1),
    ],
)
def test_malformed_message_changes_no_limit(field, value):
    def change(message):
        if hasattr(message, field):
            setattr(message, field, value)

    wait_s, is_limited = virtual_loop.run(partial(_ask_with, change=change))
    assert is_limited
    assert 0 < wait_s <= 1.0
