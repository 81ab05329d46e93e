"""Whole daemons under SIGTERM while callers keep their lookup answers.

Guards I10 of docs/design.md: a shutdown must not cut requests, refuse callers
whose lookup answer still names the instance, or leave cells without a
dispatcher.
"""

from __future__ import annotations

import asyncio
import collections
import time

import aiohttp

from bench.fleet import Fleet, InstancePlan, free_addresses, get_json
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Route,
    Service,
)
from radishmux.keys.check import key_digest

KEY = "secret-of-a"
_CALLERS = 6
_PAUSE_S = 0.05
# The TTL of lookup answers, and some more time for requests in flight.
_EXIT_WITHIN_S = 20.0
_HEADERS = {"X-Radishmux-Key": KEY}


def _configuration() -> Configuration:
    addresses = free_addresses(2)
    return Configuration(
        regions=[Region(name="accra", failure_domains=["accra-a"])],
        customers=[
            Customer(
                name="a",
                rate_per_s=2_000,
                burst=2_000,
                key_digests=[key_digest(KEY)],
            )
        ],
        services=[
            Service(
                name="poles",
                routes=[
                    Route(name="status", path_prefix="/s", idempotent=True),
                    Route(name="valve", path_prefix="/v"),
                ],
                stable_version="v1",
            )
        ],
        backend_servers=[
            BackendServer(
                name=f"poles-{number}",
                service="poles",
                region="accra",
                failure_domain="accra-a",
                address=address,
                version="v1",
                slots=4,
            )
            for number, address in enumerate(addresses)
        ],
    )


class _Caller:
    """Looks up at any instance and keeps each answer for its `ttl_s`."""

    def __init__(
        self, number: int, instances: list[InstancePlan], outcomes
    ) -> None:
        self._number = number
        self._instances = instances
        self._outcomes = outcomes
        self._expires_at = 0.0
        self._address = ""
        self._ticket = ""

    async def run(self, session: aiohttp.ClientSession, stop) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            if time.monotonic() >= self._expires_at:
                await self._look_up(session)
            await self._send(session, count)
            await asyncio.sleep(_PAUSE_S)

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        for plan in self._instances:
            sent_at = time.monotonic()
            url = f"http://{plan.caller}/v1/lookup?service=poles"
            try:
                async with session.get(url, headers=_HEADERS) as response:
                    answer = await response.json(content_type=None)
                    if response.status != 200:
                        assert answer["reason"] == "leaving"
                        continue
            except aiohttp.ClientConnectorError:
                continue  # The instance has stopped; tries the next one.
            self._address = answer["instances"][self._number % 2]["address"]
            self._ticket = answer["ticket"]
            self._expires_at = sent_at + answer["ttl_s"]
            return

    async def _send(self, session: aiohttp.ClientSession, count: int) -> None:
        is_read = count % 2
        method, path = ("GET", "s") if is_read else ("POST", "v")
        headers = _HEADERS | {
            "X-Radishmux-Request-Id": f"{self._ticket}/{self._number}-{count}"
        }
        url = f"http://{self._address}/poles/{path}/{count}"
        try:
            async with session.request(
                method, url, headers=headers
            ) as response:
                body = await response.read()
                if response.status == 200:
                    self._outcomes["served"] += 1
                else:
                    self._outcomes[body.decode()] += 1
        except (aiohttp.ClientError, OSError) as error:
            self._outcomes[repr(error)] += 1


async def _run(fleet: Fleet, outcomes) -> None:
    stop = asyncio.Event()
    leaving = fleet.instances[0]
    process = fleet.daemon(leaving.instance)
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for number in range(_CALLERS):
            order = fleet.instances  # The leaving instance comes first.
            caller = _Caller(number, order, outcomes)
            group.create_task(caller.run(session, stop))
        try:
            async with asyncio.timeout(_EXIT_WITHIN_S):
                while outcomes["served"] < 20 * _CALLERS:
                    await asyncio.sleep(0.05)
                process.terminate()
                while not process.ended():
                    await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)  # Traffic without the stopped instance.
        finally:
            stop.set()


def test_a_graceful_shutdown_cuts_and_refuses_no_request():
    configuration = _configuration()
    outcomes: collections.Counter[str] = collections.Counter()
    with Fleet(stop_s=1.0) as fleet:
        fleet.start_all(configuration, per_region=3)
        for server in configuration.backend_servers:
            fleet.control(server.address, latency_s=0.02)
        asyncio.run(_run(fleet, outcomes))
        status = get_json(fleet.instances[1].admin, "/v1/status")
    print(dict(outcomes))
    assert outcomes.keys() == {"served"}
    assert outcomes["served"] > 40 * _CALLERS
    assert status["peers"][fleet.instances[0].instance] != "live"
