"""radishmuxd against bare servers: `python -m bench.processes`.

Real processes on loopback: a bare sanic handler, a bare sanic + aiohttp
pass-through and one radishmuxd with metrics, traces and logs on. All run in
the same minutes, in turn, and each ratio is the median over the rounds.

Goals (docs/design.md, 1.3): lookups at 60% of the bare handler's throughput
with p99 below 2 ms; requests at 50% of the bare pass-through's throughput and
p50 with one caller at most twice the bare one's.
"""

from __future__ import annotations

import argparse
import itertools
import json
import pathlib
import statistics
import sys
from typing import Any

import msgspec
from msgspec.structs import replace
from rich.console import Console
from rich.table import Table

from bench.fleet import (
    Fleet,
    Process,
    free_addresses,
    load_configuration,
    plan_instances,
)
from bench.load import Load, LoadResult
from radishmux.config.model import BackendServer, Configuration

_SEED = 20_261_204
_LEVELS = (0.3, 0.6, 0.9)
_CONNECTIONS = 32
_SLOTS = 64
_UNLIMITED_PER_S = 1_000_000.0
_SERVICE = "rounds"
_KEY = "demo-grand-hopital"

_LOOKUP = (
    f"GET /v1/lookup?service={_SERVICE}&region=montreal HTTP/1.1\r\n"
    f"Host: bench\r\nX-Radishmux-Key: {_KEY}\r\n\r\n"
).encode()
_REQUEST = (
    f"GET /{_SERVICE}/rounds/7 HTTP/1.1\r\n"
    f"Host: bench\r\nX-Radishmux-Key: {_KEY}\r\n"
    "X-Radishmux-Deadline-Ms: 2000\r\n\r\n"
).encode()

Results = dict[str, dict[str, list[LoadResult]]]


def bench_configuration(backends: list[str]) -> Configuration:
    """Returns the Association's configuration with the bench's servers only.

    Rates are lifted, because the rates are not what is measured here, and
    servers that do not run are left out, because probing them takes time.
    """
    base = load_configuration("association")
    servers = [
        BackendServer(
            name=f"{_SERVICE}-{number}",
            service=_SERVICE,
            region="montreal",
            failure_domain="montreal-a",
            address=address,
            version="2026.11",
            slots=_SLOTS,
        )
        for number, address in enumerate(backends)
    ]
    customers = [
        replace(one, rate_per_s=_UNLIMITED_PER_S, burst=_UNLIMITED_PER_S)
        for one in base.customers
    ]
    return replace(base, backend_servers=servers, customers=customers)


class Target(msgspec.Struct, frozen=True):
    """A server, its address, and the request that it is sent."""

    process: Process
    address: str
    request: bytes


def measure_target(target: Target, duration_s: float) -> dict[str, LoadResult]:
    """Returns the results at one connection, at saturation and at levels."""
    results = {}
    requests = itertools.repeat(target.request)
    with Load(target.address, requests, 1) as load:
        results["1 connection"] = load.closed(duration_s)
    with Load(target.address, requests, _CONNECTIONS) as load:
        load.closed(duration_s / 2)  # Opens connections and warms up.
        before_s = target.process.cpu_seconds()
        result = load.closed(duration_s)
        spent_s = target.process.cpu_seconds() - before_s
        results["saturated"] = replace(
            result, cpu_us=round(1e6 * spent_s / max(1, result.good), 1)
        )
        full = results["saturated"].per_s
        for level in _LEVELS:
            results[f"{level:.0%}"] = load.open(
                max(1.0, full * level), duration_s, _SEED
            )
    return results


def measure_rounds(
    targets: dict[str, Target], rounds: int, duration_s: float
) -> Results:
    """Measures all targets in turn, `rounds` times."""
    results: Results = {name: {} for name in targets}
    for number in range(rounds):
        # The order changes, so that no target always follows the same one.
        names = list(targets) if number % 2 == 0 else list(targets)[::-1]
        for name in names:
            measured = measure_target(targets[name], duration_s)
            for load, result in measured.items():
                results[name].setdefault(load, []).append(result)
            print(f"round {number + 1}: {name}", file=sys.stderr)
    return results


def ratios(results: Results) -> dict[str, float]:
    """Returns the figures that the goals are about."""

    def median_ratio(ours: str, bare: str, load: str, field: str) -> float:
        pairs = zip(results[ours][load], results[bare][load], strict=True)
        values = [
            getattr(one, field) / max(getattr(two, field), 1e-9)
            for one, two in pairs
        ]
        return round(statistics.median(values), 3)

    def median(name: str, load: str, field: str) -> float:
        values = [getattr(one, field) for one in results[name][load]]
        return round(statistics.median(values), 3)

    lookup, request = "radishmuxd lookup", "radishmuxd request"
    constant, pass_through = "bare handler", "bare pass-through"
    return {
        "lookup_throughput_ratio": median_ratio(
            lookup, constant, "saturated", "per_s"
        ),
        "lookup_cpu_ratio": median_ratio(
            lookup, constant, "saturated", "cpu_us"
        ),
        "lookup_p99_ms_at_60%": median(lookup, "60%", "p99_ms"),
        "bare_handler_p99_ms_at_60%": median(constant, "60%", "p99_ms"),
        "request_throughput_ratio": median_ratio(
            request, pass_through, "saturated", "per_s"
        ),
        "request_cpu_ratio": median_ratio(
            request, pass_through, "saturated", "cpu_us"
        ),
        "request_p50_ratio_1_connection": median_ratio(
            request, pass_through, "1 connection", "p50_ms"
        ),
    }


def measure_memory(fleet: Fleet, daemon: Process) -> dict[str, float]:
    """Returns resident megabytes without and with configurations."""
    admin = fleet.instances[0].admin
    memory = {"idle_mb": daemon.resident_mb()}
    for user in ("association", "trust"):
        path = f"deploy/{user}.jsonc"
        options = ("--replace-keys", "--wait", admin)
        fleet.radishctl("config", "put", path, *options)
        memory[f"{user}_mb"] = daemon.resident_mb()
    return {name: round(value, 1) for name, value in memory.items()}


def run(rounds: int, duration_s: float) -> dict[str, Any]:
    """Runs the benchmark and returns its results."""
    backends = free_addresses(2)
    constant, pass_through = free_addresses(2)
    region = load_configuration("association").regions[0]
    with Fleet() as fleet:
        for number, address in enumerate(backends):
            backend = fleet.start(
                f"backend-{number}", "bench.baselines", "backend", address
            )
            backend.listening()
        bare = {"constant": constant, "pass-through": pass_through}
        servers = {}
        for kind, address in bare.items():
            arguments = ("bench.baselines", kind, address, *backends)
            servers[kind] = fleet.start(kind, *arguments)
            servers[kind].listening()
        fleet.start_platform(plan_instances([region], 1))
        fleet.radishctl("config", "put", "deploy/association.jsonc")
        fleet.start_daemons()
        fleet.wait_ready()
        plan = fleet.instances[0]
        daemon = fleet.daemon(plan.instance)
        memory = measure_memory(fleet, daemon)
        path = fleet.write("bench.json", bench_configuration(backends))
        options = ("--replace-keys", "--wait", plan.admin)
        fleet.radishctl("config", "put", str(path), *options)
        targets = {
            "bare handler": Target(servers["constant"], constant, _LOOKUP),
            "radishmuxd lookup": Target(daemon, plan.caller, _LOOKUP),
            "bare pass-through": Target(
                servers["pass-through"], pass_through, _REQUEST
            ),
            "radishmuxd request": Target(daemon, plan.caller, _REQUEST),
        }
        results = measure_rounds(targets, rounds, duration_s)
        memory["after_load_mb"] = round(daemon.resident_mb(), 1)
    return {
        "seed": _SEED,
        "rounds": rounds,
        "duration_s": duration_s,
        "ratios": ratios(results),
        "memory": memory,
        "results": msgspec.to_builtins(results),
    }


def print_tables(report: dict[str, Any]) -> None:
    """Prints medians over the rounds and the ratios."""
    table = Table(
        *("server", "load", "per s", "p50 ms", "p99 ms", "cpu us", "bad")
    )
    for name, loads in report["results"].items():
        for load, rounds in loads.items():
            medians = [
                statistics.median(one[field] for one in rounds)
                for field in ("per_s", "p50_ms", "p99_ms", "cpu_us")
            ]
            bad = sum(one["bad"] for one in rounds)
            cells = [f"{value:.2f}" for value in medians]
            table.add_row(name, load, *cells, str(bad))
    console = Console(width=100)
    console.print(table)
    for name, value in (report["ratios"] | report["memory"]).items():
        console.print(f"{name}: {value}")


def main() -> None:
    """Runs the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    report = run(arguments.rounds, arguments.seconds)
    print_tables(report)
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
