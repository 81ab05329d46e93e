"""Derives the cost of each role at the target size from measured slopes.

Run as `python -m bench.capacity` after `python -m bench`, which writes the
results that are read here. docs/CAPACITY.md explains the figures.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

from rich.console import Console
from rich.table import Table

_RESULTS = pathlib.Path(__file__).parent / "results"

# Target of docs/design.md, section 1.6.
NODES = 5_100
FAILURE_DOMAINS = 144
SITES = 1_800
LOOKUPS_PER_S = 19_000_000 / NODES
CHANGES_PER_S = 110_000 / 86_400
CPU_LIMIT_PERCENT = 1.2
MEMORY_LIMIT_MB = 64.0
BYTES_LIMIT_PER_S = 16_000.0
# Platform: radishmux.store.budget takes the same figures.
STORE_WRITES_PER_S = 300.0
STORE_READS_PER_S = 2_000.0
STORE_VALUE_BYTES = 1_000_000
RENEWALS_PER_S = 1 / 3.0
TOTAL_WEIGHT = 10_000


def _load(name: str) -> dict[str, Any]:
    return json.loads((_RESULTS / f"{name}.json").read_text())


def _at(line: dict[str, float], size: float) -> float:
    slope = line.get("per_instance", line.get("each", 0.0))
    return line["fixed"] + slope * size


def lookups() -> dict[str, float]:
    """Returns the processor time of lookups on one node."""
    rounds = _load("processes")["results"]["radishmuxd lookup"]["saturated"]
    cpu_us = sorted(one["cpu_us"] for one in rounds)[len(rounds) // 2]
    return {
        "lookup_cpu_us": cpu_us,
        "lookup_cpu_percent_at_target": 100 * cpu_us * 1e-6 * LOOKUPS_PER_S,
    }


def members(peers: int) -> dict[str, float]:
    """Returns the control cost of one node in a full mesh of `peers`."""
    lines = _load("control")["slopes"]
    size = peers + 1
    messages = _at(lines["messages_per_s"], size)
    size_bytes = _at(lines["bytes_per_message"], size)
    fixed_percent = lines["cpu_percent"]["fixed"]
    percent = _at(lines["cpu_percent"], size)
    return {
        "messages_per_s": messages,
        "bytes_per_s": messages * size_bytes,
        "cpu_percent": percent,
        "cpu_us_per_message": 1e4 * (percent - fixed_percent) / messages,
        "resident_mb": _at(lines["resident_mb"], size),
    }


def configuration() -> dict[str, float]:
    """Returns the cost of distributing one document of all sites."""
    lines = _load("messages")
    size_bytes = _at(lines["configuration bytes by backend servers"], SITES)
    load_us = _at(lines["configuration load us by backend servers"], SITES)
    index_us = _at(lines["configuration index us by backend servers"], SITES)
    each_bytes = lines["configuration bytes by backend servers"]["each"]
    return {
        "document_bytes": size_bytes,
        "bytes_per_s": size_bytes * CHANGES_PER_S,
        "cpu_percent": 1e-4 * (load_us + index_us) * CHANGES_PER_S,
        "servers_at_1_MB": STORE_VALUE_BYTES / each_bytes,
        "document_bytes_at_16_KB_per_s": BYTES_LIMIT_PER_S / CHANGES_PER_S,
    }


def roster() -> dict[str, float]:
    """Returns the sizes at which the roster reaches its limits."""
    line = _load("messages")["roster bytes by entries"]
    return {
        "bytes_at_target": _at(line, NODES),
        "renewals_per_s_at_target": NODES * RENEWALS_PER_S,
        "instances_at_write_limit": STORE_WRITES_PER_S / RENEWALS_PER_S,
        "instances_at_1_MB": STORE_VALUE_BYTES / line["each"],
        "weight_at_target": TOTAL_WEIGHT / NODES,
        "instances_at_5_percent_rounding": TOTAL_WEIGHT * 0.1,
    }


def dispatcher(servers: int) -> dict[str, float]:
    """Returns the cost of dispatching to `servers` without requests."""
    lines = _load("probing")["slopes"]
    return {
        "cpu_percent": _at(lines["cpu_percent"], servers),
        "resident_mb": _at(lines["resident_mb"], servers),
    }


def derive() -> dict[str, dict[str, float]]:
    """Returns all derived figures by role."""
    per_domain = NODES // FAILURE_DOMAINS
    lines = _load("control")["slopes"]
    budget = CPU_LIMIT_PERCENT - lines["cpu_percent"]["fixed"]
    return {
        "lookup": lookups(),
        "member, full mesh of 10": members(9),
        f"member, full mesh of a failure domain ({per_domain})": members(
            per_domain - 1
        ),
        f"member, full mesh of all {NODES} (extrapolated)": members(NODES - 1),
        "member, limit": {
            "instances_at_cpu_limit": budget
            / lines["cpu_percent"]["per_instance"],
        },
        "configuration reader": configuration(),
        "roster": roster(),
        "dispatcher of 60 servers": dispatcher(60),
    }


def main() -> None:
    """Prints all derived figures."""
    table = Table("role", "figure", "value")
    for role, figures in derive().items():
        for name, value in figures.items():
            table.add_row(role, name, f"{value:,.4g}")
    Console(width=110).print(table)


if __name__ == "__main__":
    main()
