"""Runs both users' workloads on a small fleet: `make demo`.

Each pass starts three regions with three entry instances each, a store, an
instance list and 24 backend servers on loopback, first with the Association's
configuration and then with the Trust's. All processes of a pass are stopped at
its end.
"""

from __future__ import annotations

import asyncio
import collections
import random
import statistics
import sys
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
from msgspec.structs import replace
from rich.console import Console
from rich.table import Table

from bench.fleet import (
    Fleet,
    FleetError,
    InstancePlan,
    free_addresses,
    load_configuration,
    plan_instances,
)
from radishmux.cli.inspect_commands import merge_spans, span_tree
from radishmux.config.model import BackendServer, Configuration
from scripts.demo_load import (
    KINDS,
    SEED,
    Caller,
    Kind,
    RequestResult,
    headers_of,
    mixed_load,
)

_USERS = ("association", "trust")
_INSTANCES_PER_REGION = 3
# Two servers for each of 4 services in 3 regions: 24 processes.
_SERVERS_PER_SERVICE_AND_REGION = 2
# No requests are in flight when a pass ends, so its daemons need not drain.
_STOP_S = 1.0
# Kinds of requests that the system must refuse.
_REFUSED_KINDS = frozenset({"above its rate", "wrong key"})
# Fraction of the other requests that must be served for the demo to succeed.
_MIN_SERVED_FRACTION = 0.9
# The traced request is repeated until its selector has taken effect.
_TRACE_ATTEMPTS = 60
_TRACE_PAUSE_S = 0.1
# Service label that selects the reads of each user, of which one is traced.
_READ_LABELS = {"association": "kind=lookup", "trust": "kind=status"}


def demo_configuration(user: str) -> Configuration:
    """Returns a user's configuration with the servers that the demo runs.

    The servers get free ports, so that two demos can run at the same time.
    """
    configuration = load_configuration(user)
    kept: dict[tuple[str, str], list[BackendServer]] = {}
    for server in configuration.backend_servers:
        chosen = kept.setdefault((server.service, server.region), [])
        if len(chosen) < _SERVERS_PER_SERVICE_AND_REGION:
            chosen.append(server)
    servers = [server for chosen in kept.values() for server in chosen]
    addresses = free_addresses(len(servers))
    servers = [
        replace(server, address=address)
        for server, address in zip(servers, addresses, strict=True)
    ]
    return replace(configuration, backend_servers=servers)


async def traced_request(
    kind: Kind, entry: InstancePlan, instances: Sequence[InstancePlan]
) -> list[dict[str, Any]]:
    """Returns the spans of a request that was handled in two regions.

    Sends sampled requests to one instance until one has spans of two regions.
    If none has, returns the spans of the last request.
    """
    regions = {item.instance: item.region for item in instances}
    spans: list[dict[str, Any]] = []
    rng = random.Random(SEED)
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, instances)
        for _ in range(_TRACE_ATTEMPTS):
            trace_id = f"{rng.getrandbits(128):032x}"
            headers = headers_of(kind) | {
                "traceparent": f"00-{trace_id}-{rng.getrandbits(64):016x}-01"
            }
            now = time.perf_counter()
            await caller.send_to(entry.caller, kind, headers, now)
            spans = await _collect(session, instances, trace_id)
            if len({regions[span["instance"]] for span in spans}) > 1:
                break
            await asyncio.sleep(_TRACE_PAUSE_S)
    return spans


async def _collect(
    session: aiohttp.ClientSession,
    instances: Sequence[InstancePlan],
    trace_id: str,
) -> list[dict[str, Any]]:
    async def read(admin: str) -> Any:
        url = f"http://{admin}/v1/traces/{trace_id}"
        async with session.get(url) as response:
            if response.status != 200:
                return []
            return await response.json(content_type=None)

    answers = await asyncio.gather(*(read(item.admin) for item in instances))
    return merge_spans(list(answers))


def print_summary(
    console: Console,
    user: str,
    answers: Sequence[RequestResult],
    elapsed_s: float,
) -> None:
    """Prints the served and refused requests of each kind, with reasons."""
    table = Table("request", "sent", "served", "refused, by reason", "p50 ms")
    kinds = dict.fromkeys(item.kind for item in answers)
    for kind in kinds:
        of_kind = [item for item in answers if item.kind == kind]
        outcomes = collections.Counter(item.outcome for item in of_kind)
        served = outcomes.pop("served", 0)
        reasons = ", ".join(f"{name}: {n}" for name, n in outcomes.items())
        p50_ms = 1000 * statistics.median(item.latency_s for item in of_kind)
        table.add_row(
            kind,
            str(len(of_kind)),
            str(served),
            reasons or "-",
            f"{p50_ms:.1f}",
        )
    verdicts = collections.Counter(item.verdict or "none" for item in answers)
    attempts = sum(item.attempts for item in answers)
    console.print(table)
    console.print(
        f"{user}: {len(answers)} requests in {elapsed_s:.1f} s; verdicts"
        f" {dict(verdicts)}; attempts at backend servers: {attempts}"
    )


def check_served(answers: Sequence[RequestResult]) -> None:
    """Checks that enough of the requests that are not to be refused succeeded.

    Raises:
        FleetError: Less than _MIN_SERVED_FRACTION of them were served.
    """
    expected = [item for item in answers if item.kind not in _REFUSED_KINDS]
    served = sum(item.outcome == "served" for item in expected)
    if served < _MIN_SERVED_FRACTION * len(expected):
        raise FleetError(f"only {served} of {len(expected)} were served")


def run_user(console: Console, fleet: Fleet, user: str) -> None:
    """Runs one user's pass on a running fleet.

    Raises:
        FleetError: Too many requests failed, or the traced request stayed in
            one region.
    """
    configuration = demo_configuration(user)
    instances = fleet.instances
    kinds = KINDS[user]
    started = time.perf_counter()
    answers = asyncio.run(mixed_load(kinds, instances))
    print_summary(console, user, answers, time.perf_counter() - started)
    regions = [region.name for region in configuration.regions]
    # Routes reads of the last region to the first one, so that a request
    # through both can be traced.
    fleet.radishctl(
        *("selector", "put", "demo-crossing", "--position", "0"),
        *("--service-label", _READ_LABELS[user]),
        *("--caller-region", regions[-1], "--allow", regions[0]),
    )
    entry = next(item for item in instances if item.region == regions[-1])
    spans = asyncio.run(traced_request(kinds[0], entry, instances))
    console.print(f"trace of '{kinds[0].label}' from {regions[-1]}:")
    for line in span_tree(spans):
        console.print("  " + line, markup=False)
    visited_regions = {
        item.region for item in instances if _handled(item, spans)
    }
    if len(visited_regions) < 2:
        raise FleetError("no request crossed two regions")
    check_served(answers)


def _handled(plan: InstancePlan, spans: list[dict[str, Any]]) -> bool:
    return any(span["instance"] == plan.instance for span in spans)


def main() -> int:
    """Runs both passes."""
    console = Console(width=100, highlight=False)
    console.print(f"seed {SEED}")
    try:
        for user in _USERS:
            run_pass(console, user)
    except FleetError as error:
        console.print(str(error), markup=False)
        return 1
    return 0


def run_pass(console: Console, user: str) -> None:
    """Starts a fleet, runs one user's pass and stops the fleet."""
    configuration = demo_configuration(user)
    started = time.perf_counter()
    with Fleet(_STOP_S) as fleet:
        plans = plan_instances(configuration.regions, _INSTANCES_PER_REGION)
        fleet.start_platform(plans)
        servers = fleet.start_backend_servers(configuration)
        path = fleet.write(f"{user}.json", configuration)
        fleet.radishctl("config", "put", str(path))
        fleet.start_daemons()
        fleet.wait_ready()
        ready_s = time.perf_counter() - started
        console.rule(f"{configuration.services[0].name}: {user}")
        console.print(
            f"{len(plans)} instances in {len(configuration.regions)} regions"
            f" and {len(servers)} backend servers, ready in {ready_s:.1f} s"
        )
        run_user(console, fleet, user)


if __name__ == "__main__":
    sys.exit(main())
