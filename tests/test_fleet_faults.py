"""Whole daemons under SIGKILL, SIGSTOP and a store outage at the same time.

Guards I3, I4, I7 and I8 of docs/design.md against faults in how components are
connected, which tests of single components cannot find. Callers' answers are
compared with the executions that the backend servers recorded.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import os
import signal

from bench.fleet import Fleet, free_addresses, get_json
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Route,
    Service,
)
from radishmux.keys.check import key_digest
from tests.fleet_load import CUSTOMER, KEY, SERVICE, Callers

SEED = 20_261_204
RATE_PER_S = 40.0
BURST = 20.0
OFFERED_PER_S = 60.0
LOAD_S = 14.0
# Long enough that requests are in flight at the moment of the kill.
RUN_S = 0.3
# A run may begin this long after its admission, because of the wait for a slot
# (1 s) and the latency of two instances.
RUN_DELAY_S = 1.5


def _configuration() -> Configuration:
    names = ("accra", "kumasi", "tamale")
    addresses = iter(free_addresses(2 * len(names)))
    return Configuration(
        regions=[
            Region(name=name, failure_domains=[f"{name}-a", f"{name}-b"])
            for name in names
        ],
        customers=[
            Customer(
                name=CUSTOMER,
                rate_per_s=RATE_PER_S,
                burst=BURST,
                key_digests=[key_digest(KEY)],
            )
        ],
        services=[
            Service(
                name=SERVICE,
                routes=[Route(name="credit")],
                stable_version="v1",
            )
        ],
        backend_servers=[
            BackendServer(
                name=f"ledger-{name}-{number}",
                service=SERVICE,
                region=name,
                failure_domain=f"{name}-a",
                address=next(addresses),
                version="v1",
                slots=4,
            )
            for name in names
            for number in (1, 2)
        ],
    )


async def _inject_faults(fleet: Fleet) -> None:
    """Kills one daemon, stops another and hangs the store, overlapping."""
    killed, stopped = fleet.instances[1], fleet.instances[4]
    await asyncio.sleep(3.0)
    fleet.control(fleet.store, down="hang")
    await asyncio.sleep(1.0)
    os.kill(fleet.daemon(stopped.instance).pid, signal.SIGSTOP)
    await asyncio.sleep(0.5)
    os.kill(fleet.daemon(killed.instance).pid, signal.SIGKILL)
    await asyncio.sleep(3.5)
    os.kill(fleet.daemon(stopped.instance).pid, signal.SIGCONT)
    await asyncio.sleep(1.0)
    fleet.control(fleet.store, down="no")


def _runs(configuration: Configuration) -> list[dict]:
    return [
        run
        for server in configuration.backend_servers
        for run in get_json(server.address, "/control")["runs"]
    ]


def test_promises_hold_through_kill_freeze_and_store_outage():
    print(f"seed {SEED}")
    configuration = _configuration()
    with Fleet(stop_s=1.0) as fleet:
        fleet.start_all(configuration, per_region=2)
        for server in configuration.backend_servers:
            fleet.control(server.address, latency_s=RUN_S)
        callers = Callers(fleet.instances, SEED)

        async def run() -> None:
            await asyncio.gather(
                callers.run(OFFERED_PER_S, LOAD_S), _inject_faults(fleet)
            )

        asyncio.run(run())
        runs = _runs(configuration)
    print(dict(callers.outcomes))
    _check_at_most_once(callers, runs)
    _check_not_run_is_true(callers, runs)
    _check_rate(runs)
    assert not any(run["key_seen"] for run in runs)
    assert callers.outcomes["served"] > 0.3 * RATE_PER_S * LOAD_S


def _check_at_most_once(callers: Callers, runs: list[dict]) -> None:
    counts = collections.Counter(run["request_id"] for run in runs)
    repeated = {name: count for name, count in counts.items() if count > 1}
    assert not repeated
    assert counts.keys() <= callers.answers.keys()


def _check_not_run_is_true(callers: Callers, runs: list[dict]) -> None:
    """Checks that a final "not_run" is true, and every "ran" as well."""
    ran = {run["request_id"] for run in runs}
    for request_id, answers in callers.answers.items():
        if answers.verdicts[-1] == "not_run":
            assert request_id not in ran, answers
        if "ran" in answers.verdicts:
            assert request_id in ran, answers


def _check_rate(runs: list[dict]) -> None:
    """Checks that in every interval, runs <= rate x length + burst."""
    times = sorted(run["at"] for run in runs)
    assert times
    for (first, begin), (last, end) in itertools.combinations(
        enumerate(times), 2
    ):
        allowed = RATE_PER_S * (end - begin + RUN_DELAY_S) + BURST
        assert last - first + 1 <= allowed, (begin, end)
