"""Control traffic against fleet size: `python -m bench.control`.

Starts fleets of 3 to 40 daemons without callers and measures, for each
daemon, the processor time, the bytes and number of control messages, the
store calls and the resident memory; bytes and messages are those sent and
received. Straight lines through the means give the cost of one more instance.
A heartbeat names the peers that its sender hears, so that bytes grow with the
square of the size: its line is that of bytes per message.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import statistics
import time
import urllib.request
from typing import Any

from msgspec.structs import replace
from rich.console import Console
from rich.table import Table

from bench.fleet import Fleet, InstancePlan, load_configuration, plan_instances
from radishmux.telemetry.catalogue import PREFIX

_SIZES = (3, 5, 10, 20, 40)
_SETTLE_S = 5.0
_SAMPLE = re.compile(rf"^{PREFIX}(\w+?)(?:\{{(.*)\}})? (\S+)$")
# Counters whose growth per second is reported, by the reported name. The
# store's operations other than reads are writes.
_COUNTERS = {
    "control_bytes_total": "bytes_per_s",
    "control_messages_total": "messages_per_s",
    "store_calls_total": "store_calls_per_s",
    "store_reads": "store_reads_per_s",
    "roster_conflicts_total": "roster_conflicts_per_s",
}
_READ = 'operation="get"'
_FIELDS = (
    "cpu_percent",
    "bytes_per_s",
    "messages_per_s",
    "bytes_per_message",
    "store_calls_per_s",
    "store_reads_per_s",
    "roster_conflicts_per_s",
    "resident_mb",
)


def scrape(admin: str) -> dict[str, float]:
    """Returns the sum of all series of each metric."""
    with urllib.request.urlopen(f"http://{admin}/metrics", timeout=5) as page:
        text = page.read().decode()
    totals: dict[str, float] = {}
    for line in text.splitlines():
        match = _SAMPLE.match(line)
        if match is not None:
            name, value = match[1], float(match[3])
            totals[name] = totals.get(name, 0.0) + value
            if name == "store_calls_total" and _READ in (match[2] or ""):
                totals["store_reads"] = totals.get("store_reads", 0.0) + value
    return totals


def plan_fleet(size: int) -> list[InstancePlan]:
    """Returns `size` instances spread evenly over three regions."""
    regions = load_configuration("association").regions
    per_region = -(-size // len(regions))
    plans = plan_instances(regions, per_region)
    spread = [
        plans[region * per_region + number]
        for number in range(per_region)
        for region in range(len(regions))
    ]
    return spread[:size]


def measure_fleet(
    size: int, duration_s: float, store_ms: float
) -> dict[str, float]:
    """Returns means over the daemons of one fleet.

    Args:
        size: Number of daemons.
        duration_s: Length of the measurement.
        store_ms: Delay of the store in each direction, for all daemons.
    """
    with Fleet(stop_s=2.0) as fleet:
        fleet.start_platform(plan_fleet(size))
        # Without backend servers, because probing them is no control traffic;
        # bench/probing.py measures it.
        configuration = replace(
            load_configuration("association"), backend_servers=[]
        )
        path = fleet.write("bench.json", configuration)
        fleet.radishctl("config", "put", str(path))
        fleet.start_daemons()
        fleet.wait_ready(timeout_s=90.0)
        _delay_store(fleet.store, store_ms)
        time.sleep(_SETTLE_S)
        before = [_sample(fleet, plan) for plan in fleet.instances]
        time.sleep(duration_s)
        after = [_sample(fleet, plan) for plan in fleet.instances]
    rows = [
        _difference(one, two) for one, two in zip(before, after, strict=True)
    ]
    result = {
        name: round(statistics.mean(row[name] for row in rows), 3)
        for name in rows[0]
    }
    return {"instances": size, **result}


def _delay_store(store: str, delay_ms: float) -> None:
    change = {"latency_ms": delay_ms, "answer_latency_ms": delay_ms}
    request = urllib.request.Request(
        f"http://{store}/control", json.dumps(change).encode()
    )
    urllib.request.urlopen(request, timeout=5).close()


def slopes(rows: list[dict[str, float]]) -> dict[str, dict[str, float]]:
    """Returns the line through each field against the fleet size."""
    sizes = [row["instances"] for row in rows]
    lines = {}
    for field in rows[0]:
        if field in ("instances", "bytes_per_s"):
            continue
        values = [row[field] for row in rows]
        line = statistics.linear_regression(sizes, values)
        lines[field] = {
            "per_instance": round(line.slope, 5),
            "fixed": round(line.intercept, 3),
        }
    return lines


def _sample(fleet: Fleet, plan: InstancePlan) -> dict[str, float]:
    daemon = fleet.daemon(plan.instance)
    totals = scrape(plan.admin)
    return {
        "at": time.monotonic(),
        "cpu": daemon.cpu_seconds(),
        "resident_mb": daemon.resident_mb(),
        **{name: totals.get(name, 0.0) for name in _COUNTERS},
    }


def _difference(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    elapsed_s = after["at"] - before["at"]
    rates = {
        reported: (after[name] - before[name]) / elapsed_s
        for name, reported in _COUNTERS.items()
    }
    messages = max(1.0, rates["messages_per_s"])
    return {
        "cpu_percent": 100 * (after["cpu"] - before["cpu"]) / elapsed_s,
        **rates,
        "bytes_per_message": rates["bytes_per_s"] / messages,
        "resident_mb": after["resident_mb"],
    }


def run(
    sizes: list[int], duration_s: float, store_ms: float = 0.0
) -> dict[str, Any]:
    """Runs the benchmark and returns its results."""
    rows = []
    for size in sizes:
        rows.append(measure_fleet(size, duration_s, store_ms))
        print(json.dumps(rows[-1]), flush=True)
    lines = slopes(rows) if len(rows) > 1 else {}
    return {"duration_s": duration_s, "rows": rows, "slopes": lines}


def print_tables(report: dict[str, Any]) -> None:
    """Prints the means and the lines."""
    table = Table("instances", *_FIELDS, title="means of one instance")
    for row in report["rows"]:
        cells = [f"{row[field]:.2f}" for field in _FIELDS]
        table.add_row(str(row["instances"]), *cells)
    console = Console(width=100)
    console.print(table)
    for field, line in report["slopes"].items():
        console.print(
            f"{field}: {line['fixed']:g} + {line['per_instance']:g} x instances"
        )


def main() -> None:
    """Runs the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(_SIZES))
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--store-ms", type=float, default=0.0)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    report = run(arguments.sizes, arguments.seconds, arguments.store_ms)
    print_tables(report)
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
