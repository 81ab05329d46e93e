"""Cost of probing backend servers: `python -m bench.probing`.

One daemon dispatches to all servers of a configuration of growing size; one
process answers all their probes. No requests are sent. A straight line through
the sizes gives the cost of one more backend server on its dispatcher.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
import time
from typing import Any

from msgspec.structs import replace

from bench.baselines import HEALTH
from bench.control import slopes
from bench.fleet import (
    Fleet,
    free_addresses,
    load_configuration,
    plan_instances,
)
from radishmux.config.model import BackendServer, Configuration

_SIZES = (0, 60, 120, 240)
_SETTLE_S = 4.0
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: " + str(len(HEALTH)).encode() + b"\r\n\r\n"
)


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_HEAD + HEALTH)
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def _serve(addresses: list[str]) -> None:
    for address in addresses:
        host, _, port = address.rpartition(":")
        await asyncio.start_server(_answer, host, int(port))
    print(f"listening {addresses[0]}", flush=True)
    await asyncio.Event().wait()


def _configuration(addresses: list[str]) -> Configuration:
    base = load_configuration("association")
    services = [one.name for one in base.services]
    region = base.regions[0]
    servers = [
        BackendServer(
            name=f"server-{number}",
            service=services[number % len(services)],
            region=region.name,
            failure_domain=region.failure_domains[0],
            address=address,
            version=base.services[0].stable_version,
            slots=4,
        )
        for number, address in enumerate(addresses)
    ]
    return replace(base, backend_servers=servers)


def measure(size: int, duration_s: float) -> dict[str, float]:
    """Returns the cost of a daemon that dispatches to `size` servers."""
    addresses = free_addresses(size)
    region = load_configuration("association").regions[0]
    with Fleet(stop_s=2.0) as fleet:
        if addresses:
            servers = fleet.start(
                "servers", "bench.probing", "--serve", *addresses
            )
            servers.listening()
        fleet.start_platform(plan_instances([region], 1))
        path = fleet.write("bench.json", _configuration(addresses))
        fleet.radishctl("config", "put", str(path))
        fleet.start_daemons()
        fleet.wait_ready()
        daemon = fleet.daemon(fleet.instances[0].instance)
        time.sleep(_SETTLE_S)
        before_s, started = daemon.cpu_seconds(), time.monotonic()
        time.sleep(duration_s)
        spent_s = daemon.cpu_seconds() - before_s
        percent = 100 * spent_s / (time.monotonic() - started)
        return {
            # `slopes` reads the size from this name.
            "instances": size,
            "cpu_percent": round(percent, 3),
            "resident_mb": round(daemon.resident_mb(), 2),
        }


def run(duration_s: float) -> dict[str, Any]:
    """Runs the benchmark and returns its results."""
    rows = []
    for size in _SIZES:
        rows.append(measure(size, duration_s))
        print(json.dumps(rows[-1]), flush=True)
    return {"duration_s": duration_s, "rows": rows, "slopes": slopes(rows)}


def main() -> None:
    """Runs the benchmark from the command line."""
    if sys.argv[1:2] == ["--serve"]:
        asyncio.run(_serve(sys.argv[2:]))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    report = run(arguments.seconds)
    print(json.dumps(report["slopes"], indent=1))
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
