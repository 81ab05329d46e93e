"""Backend servers in need that name a limit for all instances together.

The failure is described in docs/incidents/limit-aqrp-retours.md.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
import time

import aiohttp

from tests.gateway.fleet import HOST, run_fleet, server_entry

# The users' bound on the requests to a server that names a limit: in any
# window, from some time after it first named one.
WINDOW_S = 4.0
CONTACT_S = 4.0
OVERRUN = 1.5
SLACK = 5.0
DOMAINS = ("a-1", "a-2", "b-1")
CALLS_PER_S = 150.0
LIMITS_PER_S = {"i-0": 4.4, "i-1": 4.4, "i-2": 1.0}
# Has room for all requests, also for those that arrive together.
UNLIMITED = "i-3"
UNLIMITED_SLOTS = 32


def allowed(limit_per_s):
    return OVERRUN * limit_per_s * WINDOW_S + SLACK


def max_in_window(times):
    """Returns the largest number of times within one window."""
    times = sorted(times)
    return max(
        (n + 1 - bisect.bisect(times, at - WINDOW_S))
        for n, at in enumerate(times)
    )


class Callers:
    """Callers that send requests to random gateways at a steady rate."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = random.Random(1)
        self.numbers = itertools.count()
        self.statuses = []

    async def call_for(self, seconds):
        end = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            async with asyncio.TaskGroup() as group:
                while time.monotonic() < end:
                    group.create_task(self._call(session))
                    gap_s = self.rng.expovariate(CALLS_PER_S)
                    await asyncio.sleep(gap_s)

    async def _call(self, session):
        gateway = self.rng.choice(self.fleet.gateways)
        headers = {
            "Host": HOST,
            "Request-Id": f"id-{next(self.numbers)}",
            "Api-Key": "key",
            "Deadline-Remaining": "2000",
        }
        url = f"http://{gateway.caller}/safe/1"
        sent_at = time.monotonic()
        async with session.get(url, headers=headers) as response:
            await response.read()
            took_s = time.monotonic() - sent_at
            self.statuses.append((response.status, took_s))


async def start_gateways(fleet, count):
    for n in range(count):
        await fleet.add(f"g{n}", DOMAINS[n % len(DOMAINS)])


async def set_up_servers(fleet):
    """Puts the servers into different failure domains."""
    entries = {
        f"servers/{name}": server_entry(
            server.address, Zone=DOMAINS[n % len(DOMAINS)], Sequence=2
        )
        for n, (name, server) in enumerate(fleet.servers.items())
    }
    entries[f"servers/{UNLIMITED}"]["Slots"] = UNLIMITED_SLOTS
    await fleet.put(**entries)
    await fleet.servers[UNLIMITED].control(slots=UNLIMITED_SLOTS)


# Guards against instances that do not know or do not share the limit that a
# server names: it gets several times what it can take.
async def test_limited_servers_get_at_most_their_limit_from_all_instances(
    tmp_path,
):
    async with run_fleet(tmp_path, servers=4) as fleet:
        await set_up_servers(fleet)
        await start_gateways(fleet, 6)
        for name, limit_per_s in LIMITS_PER_S.items():
            await fleet.servers[name].control(limit_per_s=limit_per_s)
        limited_at = time.time()
        callers = Callers(fleet)
        await callers.call_for(CONTACT_S + 2 * WINDOW_S)
        arrived = {
            name: (await fleet.servers[name].show())["arrived"]
            for name in LIMITS_PER_S
        }
    most = {
        name: max_in_window(
            [at for at in times if at >= limited_at + CONTACT_S]
        )
        for name, times in arrived.items()
    }
    assert all(
        most[name] <= allowed(limit_per_s)
        for name, limit_per_s in LIMITS_PER_S.items()
    ), most
    assert {status for status, _ in callers.statuses} == {200}
