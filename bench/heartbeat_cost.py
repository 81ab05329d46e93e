"""Processor time and bytes per heartbeat and per peer, over loopback.

All instances run in one process, so that the figure per heartbeat is the sum
of the sender's and the receiver's work. Bytes are those of the framed
messages, heartbeat and acknowledgement, without cell loads.
Usage: python -m bench.heartbeat_cost [--json FILE]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import pathlib
import time

import uvloop
from loguru import logger

from bench.fleet import free_addresses
from bench.virtual_node import NullMetrics
from radishmux.clock import SystemClock
from radishmux.instances.interface import Instance
from radishmux.membership.heartbeats import HEARTBEAT_PERIOD_S, Heartbeats
from radishmux.membership.view import MembershipView
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus

# More than about 30 instances saturate the one process that runs them all.
SIZES = (3, 5, 10, 20)
WARM_UP_S = 3.0
MEASURED_S = 8.0
LENGTH_PREFIX_BYTES = 4


class FixedList:
    """An instance list that does not change."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        self._instances = instances

    async def read(self, timeout_s: float) -> tuple[Instance, ...]:
        """Returns the instances."""
        return self._instances


def _instances(count: int) -> tuple[Instance, ...]:
    return tuple(
        Instance(
            instance=f"instance{index}",
            region=f"region{index % 3}",
            failure_domain=f"region{index % 3}-a",
            caller_address=address,
            peer_address=address,
            control_address=address,
        )
        for index, address in enumerate(free_addresses(count))
    )


async def measure(count: int) -> dict[str, float]:
    """Returns the figures for a full mesh of `count` instances."""
    clock = SystemClock()
    instances = _instances(count)
    platform = FixedList(instances)
    async with contextlib.AsyncExitStack() as stack:
        buses = []
        for own in instances:
            bus = PeerBus(own.instance, 1, own.control_address)
            buses.append(await stack.enter_async_context(bus))
        views = [MembershipView(own, 1, clock.now()) for own in instances]
        for view, bus in zip(views, buses, strict=True):
            beats = Heartbeats(view, bus, platform, clock, NullMetrics())
            await stack.enter_async_context(beats)
        await asyncio.sleep(WARM_UP_S)
        cpu_s = time.process_time()
        started = time.monotonic()
        await asyncio.sleep(MEASURED_S)
        spent_s = time.monotonic() - started
        cpu_s = time.process_time() - cpu_s
        size = _bytes_per_heartbeat(views[0], clock.now())
    beats = count * (count - 1) * spent_s / HEARTBEAT_PERIOD_S
    return {
        "instances": count,
        "bytes_per_heartbeat": size,
        "bytes_per_s_and_instance": size * (count - 1) / HEARTBEAT_PERIOD_S,
        "cpu_us_per_heartbeat": 1e6 * cpu_s / beats,
        "cpu_pct_of_a_core_per_instance": 100 * cpu_s / spent_s / count,
    }


def _bytes_per_heartbeat(view: MembershipView, now: float) -> int:
    """Returns the framed size of a heartbeat and its acknowledgement."""
    report = view.report(now)
    size = 0
    for body in (report, messages.HeartbeatAck(own=report)):
        envelope = messages.Envelope(
            correlation=1,
            is_reply=False,
            sender=view.own.instance,
            sender_incarnation=1,
            body=messages.wrap(body),
        )
        size += LENGTH_PREFIX_BYTES + len(messages.encode(envelope))
    return size


def main() -> None:
    """Measures all sizes and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    logger.disable("radishmux")
    results = []
    print("instances  bytes/beat  bytes/s/inst  us/beat  % core/inst")
    for count in SIZES:
        found = uvloop.run(measure(count))
        results.append(found)
        print(
            f"{count:>9}"
            f"{found['bytes_per_heartbeat']:>12.0f}"
            f"{found['bytes_per_s_and_instance']:>14.0f}"
            f"{found['cpu_us_per_heartbeat']:>9.0f}"
            f"{found['cpu_pct_of_a_core_per_instance']:>13.2f}",
            flush=True,
        )
    if arguments.json is not None:
        text = json.dumps(results, indent=2)
        arguments.json.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
