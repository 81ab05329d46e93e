"""Runs the request path of one instance as a process, with a membership file.

The file maps instance names to {"peer": address, "dead": bool} and is reloaded
when it changes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import time

import msgspec
import uvloop

from tests.request_node import Node, run_node
from tests.request_parts import FakeMembers, NodeParts, backend, instance


async def _reload_members(members: FakeMembers, path: str) -> None:
    loaded_mtime_ns = 0.0
    while True:
        await asyncio.sleep(0.02)
        with contextlib.suppress(FileNotFoundError, msgspec.DecodeError):
            mtime_ns = os.stat(path).st_mtime_ns
            if mtime_ns == loaded_mtime_ns:
                continue
            with open(path, "rb") as file:
                entries = msgspec.json.decode(file.read())
            loaded_mtime_ns = mtime_ns
            own = members.instances[0]
            members.instances = [own] + [
                instance(name, peer_address=entry["peer"])
                for name, entry in entries.items()
                if name != own.instance
            ]
            members.dead = {
                name for name, entry in entries.items() if entry["dead"]
            }
            members.dead.discard(own.instance)


async def _main(arguments: argparse.Namespace) -> None:
    servers = [
        backend(name, address, arguments.slots)
        for name, _, address in (
            server.partition("=") for server in arguments.server
        )
    ]
    members = FakeMembers(instance(arguments.name))
    incarnation = time.time_ns()
    parts = NodeParts(servers, arguments.name, incarnation, members)
    async with run_node(Node(parts)) as node:
        print(f"listening {node.caller.address} {node.peer.address}")
        print(flush=True)
        await _reload_members(members, arguments.members)


def main() -> None:
    """Runs the instance until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--members", required=True)
    parser.add_argument("--server", action="append", default=[])
    parser.add_argument("--slots", type=int, default=4)
    uvloop.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
