"""A process that only exchanges heartbeats, controlled over standard input.

Usage: heartbeat_process.py NAME INCARNATION LISTEN_ADDRESS

The process prints {"listening": true} and then reads commands, one line of
JSON each: {"peers": {name: address}} sets the instance list and the roster,
{"contact": true} records a store response. It prints the state of its
membership view at least ten times a second.
"""

from __future__ import annotations

import asyncio
import json
import sys

from bench.virtual_node import NullMetrics
from radishmux.clock import SystemClock
from radishmux.instances.interface import Instance
from radishmux.membership.heartbeats import Heartbeats
from radishmux.membership.roster_document import RosterEntry
from radishmux.membership.view import MembershipView
from radishmux.peer.bus import PeerBus


def instance(name, address):
    return Instance(
        instance=name,
        region="r1",
        failure_domain="r1a",
        caller_address=address,
        peer_address=address,
        control_address=address,
    )


class FakeInstanceList:
    """An instance list with the instances that the test sets."""

    def __init__(self):
        self.instances = ()

    async def read(self, timeout_s):
        return self.instances


def state(view, now):
    peers = {record.instance: record for record in view.peers()}
    return {
        "states": {name: view.state_of(name) for name in peers},
        "dead": [name for name in peers if view.proven_dead(name)],
        "out_for_all": view.store_out_for_all(now),
        "permit": view.holds_permit(now),
        "fresh": view.is_fresh(now),
    }


def run_command(command, view, instance_list, clock):
    if "contact" in command:
        view.record_store_contact(clock.now())
    if "peers" in command:
        instance_list.instances = tuple(
            instance(name, address)
            for name, address in command["peers"].items()
        )
        entries = tuple(
            RosterEntry(
                instance=name,
                incarnation=1,
                region="r1",
                failure_domain="r1a",
                caller_address=address,
                peer_address=address,
                control_address=address,
            )
            for name, address in command["peers"].items()
        )
        view.set_roster(entries, 1, clock.now())


async def main(name, incarnation, address):
    clock = SystemClock()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    instance_list = FakeInstanceList()
    async with PeerBus(name, incarnation, address) as bus:
        print(json.dumps({"listening": True}), flush=True)
        view = MembershipView(instance(name, address), incarnation, clock.now())
        heartbeats = Heartbeats(
            view, bus, instance_list, clock, NullMetrics(), 0.1
        )
        async with heartbeats:
            reading = asyncio.ensure_future(reader.readline())
            while True:
                done, _ = await asyncio.wait((reading,), timeout=0.1)
                if done:
                    line = reading.result()
                    if not line:
                        return
                    run_command(json.loads(line), view, instance_list, clock)
                    reading = asyncio.ensure_future(reader.readline())
                print(json.dumps(state(view, clock.now())), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
