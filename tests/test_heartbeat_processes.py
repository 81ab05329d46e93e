"""Tests heartbeats between processes that are killed or suspended."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from bench.fleet import free_addresses

ROOT = pathlib.Path(__file__).parent.parent
REPORT_TIMEOUT_S = 20.0


class Member:
    """A heartbeat process, its commands and its state reports."""

    def __init__(self, name, address, process):
        self.name = name
        self.address = address
        self.process = process

    def command(self, **fields):
        self.process.stdin.write(json.dumps(fields).encode() + b"\n")

    def signal(self, number):
        os.kill(self.process.pid, number)

    async def until(self, condition):
        """Returns the first report that fulfils the condition."""
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            while True:
                report = json.loads(await self.process.stdout.readline())
                if condition(report):
                    return report


@contextlib.asynccontextmanager
async def members(*names):
    started = []
    path = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
    try:
        for name in names:
            (address,) = free_addresses(1)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "tests" / "heartbeat_process.py"),
                name,
                "1",
                address,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                env={**os.environ, "PYTHONPATH": path},
            )
            started.append(Member(name, address, process))
        for member in started:
            await member.until(lambda report: "listening" in report)
        addresses = {member.name: member.address for member in started}
        for member in started:
            member.command(peers=addresses)
        yield started
    finally:
        for member in started:
            if member.process.returncode is None:
                member.signal(signal.SIGKILL)
                await member.process.wait()


def all_live(report):
    states = report.get("states")
    return bool(states) and set(states.values()) == {"live"}


async def test_killed_peer_is_proven_dead_and_suspended_peer_is_not():
    async with members("a", "b", "c") as (a, b, c):
        await a.until(all_live)
        await b.until(all_live)
        c.signal(signal.SIGSTOP)
        report = await a.until(lambda r: r["states"]["c"] == "dead")
        assert report["dead"] == [], "silence does not prove a death"
        # Two of three members are still a majority.
        await a.until(lambda r: r["permit"])
        c.signal(signal.SIGCONT)
        await a.until(all_live)
        c.signal(signal.SIGKILL)
        report = await a.until(lambda r: r["dead"] == ["c"])
        assert report["states"]["c"] == "dead"


async def test_store_is_out_only_if_all_members_are_heard_or_dead():
    async with members("a", "b", "c") as (a, b, c):
        await a.until(lambda r: r["out_for_all"])
        # A suspended member is neither heard nor proven dead, so it may
        # still reach the store.
        c.signal(signal.SIGSTOP)
        await a.until(lambda r: not r["out_for_all"])
        c.signal(signal.SIGCONT)
        await a.until(lambda r: r["out_for_all"])
        # Store contact of one member ends the outage for all members.
        b.command(contact=True)
        report = await a.until(lambda r: r["fresh"])
        assert not report["out_for_all"]
        # Once a member is proven dead, the others can infer an outage again.
        c.signal(signal.SIGKILL)
        await a.until(lambda r: r["dead"] == ["c"] and r["out_for_all"])


async def test_isolated_instance_does_not_infer_an_outage():
    async with members("a", "b", "c") as (a, b, c):
        await a.until(lambda r: r["out_for_all"])
        b.signal(signal.SIGSTOP)
        c.signal(signal.SIGSTOP)
        await a.until(lambda r: set(r["states"].values()) == {"dead"})
        report = await a.until(lambda r: "out_for_all" in r)
        assert not report["out_for_all"]
        assert not report["permit"]
