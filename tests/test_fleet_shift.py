"""Shifts to a bad version in a fleet of daemons, from radishctl to the report.

Tests I1 and I5 for errors in how the components are connected: a new version
that gets no requests, outcomes that reach no detector, a stop that does not
reach the peers, or a report that cannot be read.
"""

from __future__ import annotations

import asyncio
import time

import aiohttp

from bench.fleet import Fleet, free_addresses, get_json
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Region,
    Route,
    Service,
)

CANARY = 0.2
# The new version must get no requests this long after its fault was found.
STOPPED_WITHIN_S = 2.0
_REQUEST_PERIOD_S = 0.01
_LOAD_S = 40.0


def _configuration() -> Configuration:
    names = ("accra", "kumasi")
    addresses = iter(free_addresses(2 * len(names)))
    return Configuration(
        regions=[
            Region(name=name, failure_domains=[f"{name}-a"]) for name in names
        ],
        services=[
            Service(
                name="poles",
                routes=[Route(name="read", idempotent=True, open_to_all=True)],
                stable_version="v1",
            )
        ],
        backend_servers=[
            BackendServer(
                name=f"poles-{name}-{version}",
                service="poles",
                region=name,
                failure_domain=f"{name}-a",
                address=next(addresses),
                version=version,
                slots=4,
            )
            for name in names
            for version in ("v1", "v2")
        ],
    )


async def _load(fleet: Fleet, stop: asyncio.Event) -> None:
    async with aiohttp.ClientSession() as session:

        async def read(number: int) -> None:
            instance = fleet.instances[number % len(fleet.instances)]
            url = f"http://{instance.caller}/poles/status/{number}"
            async with session.get(url) as response:
                await response.read()

        async with asyncio.TaskGroup() as group:
            for number in range(int(_LOAD_S / _REQUEST_PERIOD_S)):
                if stop.is_set():
                    return
                group.create_task(read(number))
                await asyncio.sleep(_REQUEST_PERIOD_S)


async def _until_taken_back(fleet: Fleet) -> dict:
    async with asyncio.timeout(_LOAD_S):
        while True:
            report = await asyncio.to_thread(_report, fleet)
            if report["state"] == "taken_back":
                return report
            await asyncio.sleep(0.2)


def _report(fleet: Fleet) -> dict:
    shown = fleet.radishctl("report", "blue")
    return shown["reports"][0] if "reports" in shown else shown


async def _run(fleet: Fleet) -> dict:
    stop = asyncio.Event()
    load = asyncio.create_task(_load(fleet, stop))
    try:
        report = await _until_taken_back(fleet)
        # The load continues, so that a version that was not stopped would get
        # more requests.
        await asyncio.sleep(STOPPED_WITHIN_S + 1.0)
    finally:
        stop.set()
        await load
    return report


def test_a_bad_version_is_taken_back_and_reported():
    configuration = _configuration()
    with Fleet(stop_s=1.0) as fleet:
        fleet.start_all(configuration, per_region=2)
        for server in configuration.backend_servers:
            error_rate = 0.5 if server.version == "v2" else 0.0
            fleet.control(server.address, error_rate=error_rate)
        fleet.radishctl(
            *("shift", "start", "blue", "--service", "poles", "--to", "v2"),
            *("--cap", "0.5", "--canary", str(CANARY), "--deadline", "10m"),
        )
        report = asyncio.run(_run(fleet))
        ended_at = time.time()
        runs = {"v1": [], "v2": []}
        for server in configuration.backend_servers:
            shown = get_json(server.address, "/control")
            runs[server.version] += [run["at"] for run in shown["runs"]]
    print(report["sentences"])
    assert runs["v2"], "the new version got no requests"
    assert len(runs["v2"]) <= CANARY * (len(runs["v1"]) + len(runs["v2"]))
    assert max(runs["v2"]) <= report["changed_at"] + STOPPED_WITHIN_S
    assert max(runs["v1"]) > ended_at - 2.0
    assert "taken back" in report["sentences"]
    assert "fails more often" in report["reason"]
