"""Fleets with servers in need, and callers at a steady rate."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import aiohttp

from tests.gateway.fleet import HOST, server_entry

DOMAINS = ("a-1", "a-2", "b-1")
CALLS_PER_S = 150.0
# Has room for all requests, also for those that arrive together.
HEALTHY = "i-3"
HEALTHY_SLOTS = 32


class Callers:
    """Callers that send requests to random gateways at a steady rate.

    Attributes:
        gateways: Name of the gateway that each request was sent to, by id.
        sent_at: Unix time of each request, by id.
        answers: Unix time of the request and status of each answer.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = random.Random(1)
        self.numbers = itertools.count()
        self.gateways = {}
        self.sent_at = {}
        self.answers = []

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
        request_id = f"id-{next(self.numbers)}"
        self.gateways[request_id] = gateway.name
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Api-Key": "key",
            "Deadline-Remaining": "2000",
        }
        url = f"http://{gateway.caller}/safe/1"
        sent_at = self.sent_at[request_id] = time.time()
        async with session.get(url, headers=headers) as response:
            await response.read()
            self.answers.append((sent_at, response.status))


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
    entries[f"servers/{HEALTHY}"]["Slots"] = HEALTHY_SLOTS
    await fleet.put(**entries)
    await fleet.servers[HEALTHY].control(slots=HEALTHY_SLOTS)
