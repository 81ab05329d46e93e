"""Injects the faults of a schedule into a running fleet."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable

import aiohttp

from radishmux.registry import Registry
from soak.checks import CRASH, CUT
from soak.crashing_caller import CrashingCaller
from soak.departing_callers import DepartingCallers
from soak.faults import Fault, Schedule
from soak.fleet import LEAVE_AFTER_S, Server, SoakFleet
from soak.proxy import Link
from tests.gateway.fleet import Gateway

Inject = Callable[["Injector", Fault], Awaitable[None]]
INJECT: Registry[str, Inject] = Registry("injection")
# A process that has had SIGTERM is killed after the users' grace.
_GRACE_S = 6.0
# What servers in need name.
LIMIT_PER_S = 2.0
REST_S = 2.0
# Age of the copy that the store comes back from.
COPY_AGE_S = 4.0
# How often the runs of a crashing request are looked for, and the time until a
# server that it crashed starts again.
CRASH_POLL_S = 0.03
CRASHED_S = 2.0
# Time for which a server that says that it leaves goes on serving.
SERVES_ON_S = 6.0


async def control(server: Server, **change: object) -> None:
    """Sets faults of a server, unless it crashes under a request."""
    standin = server.standin
    if standin is None:
        return
    try:
        await standin.control(**change)
    except aiohttp.ClientError:
        if server.standin is standin:
            raise


class Injector:
    """Carries out a schedule; every fault runs as a task of its own.

    Faults that overlap at one process wait for each other.

    Args:
        fleet: The processes.
        schedule: The faults.
    """

    def __init__(self, fleet: SoakFleet, schedule: Schedule) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Injects all faults and returns when the last one has ended."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in self._schedule.faults:
                pause_s = started_at + fault.at - time.monotonic()
                await asyncio.sleep(max(0.0, pause_s))
                group.create_task(INJECT[fault.kind](self, fault))

    def _lock(self, name: str) -> asyncio.Lock:
        return self._locks.setdefault(name, asyncio.Lock())

    def _gateway(self, fault: Fault) -> Gateway:
        gateways = self._fleet.gateways
        return gateways[fault.target % len(gateways)]

    def _server(self, fault: Fault) -> Server:
        servers = self._fleet.servers
        return servers[fault.target % len(servers)]

    @INJECT.register("gateway_kill")
    async def _kill(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        async with self._lock(gateway.name):
            disruption = self._fleet.disrupt(fault.kind, gateway.name)
            gateway.kill()
            await gateway.process.wait()
            await asyncio.sleep(fault.for_s)
            await self._fleet.start(gateway)
            disruption.until = time.time()

    @INJECT.register("gateway_term")
    async def _term(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        async with self._lock(gateway.name):
            disruption = self._fleet.disrupt(fault.kind, gateway.name)
            self._fleet.signal(gateway, signal.SIGTERM)
            try:
                async with asyncio.timeout(_GRACE_S):
                    await gateway.process.wait()
            except TimeoutError:
                gateway.kill()
                await gateway.process.wait()
            await self._fleet.start(gateway)
            disruption.until = time.time()

    @INJECT.register("gateway_pause")
    async def _pause(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        async with self._lock(gateway.name):
            disruption = self._fleet.disrupt(fault.kind, gateway.name)
            self._fleet.signal(gateway, signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            self._fleet.signal(gateway, signal.SIGCONT)
            disruption.until = time.time()

    @INJECT.register("gateway_reload")
    async def _reload(self, fault: Fault) -> None:
        self._fleet.signal(self._gateway(fault), signal.SIGHUP)

    @INJECT.register("gateway_cut")
    async def _cut(self, fault: Fault) -> None:
        """Parts a gateway from all servers; it stays in touch otherwise."""
        gateway = self._gateway(fault)
        async with self._lock(f"server links of {gateway.name}"):
            disruption = self._fleet.disrupt(CUT, CUT + gateway.name)
            self._fleet.cut(gateway, Link[fault.how])
            await asyncio.sleep(fault.for_s)
            self._fleet.cut(gateway, Link.SOUND)
            disruption.until = time.time()

    @INJECT.register("crashing_request")
    async def _crashing_request(self, fault: Fault) -> None:
        """A request comes again and again and ends each server that runs it."""
        caller = CrashingCaller(self._fleet, fault)
        calls = asyncio.create_task(caller.run())
        async with asyncio.TaskGroup() as group:
            while not calls.done():
                for name in caller.new_victims():
                    group.create_task(self._crash(name, caller.path))
                await asyncio.sleep(CRASH_POLL_S)
        await calls

    async def _crash(self, name: str, path: str) -> None:
        for server in self._fleet.servers:
            if server.name != name or server.standin is None:
                continue
            disruption = self._fleet.disrupt("server_crash", name)
            await self._fleet.stop_server(server)
            self._fleet.note(CRASH, path)
            async with self._lock(f"server {server.number}"):
                await asyncio.sleep(CRASHED_S)
                if server.standin is None:
                    await self._fleet.start_server(server)
            disruption.until = time.time()

    @INJECT.register("store_link")
    async def _store_link(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        link = self._fleet.store_links[self._fleet.gateways.index(gateway)]
        async with self._lock(f"store link of {gateway.name}"):
            disruption = self._fleet.disrupt(fault.kind, gateway.name)
            link.set_link(Link[fault.how])
            await asyncio.sleep(fault.for_s)
            link.set_link(Link.SOUND)
            disruption.until = time.time()

    @INJECT.register("store_down")
    async def _store_down(self, fault: Fault) -> None:
        async with self._lock("store"):
            disruption = self._fleet.disrupt(fault.kind, "")
            await self._fleet.store.control(down=fault.how)
            await asyncio.sleep(fault.for_s)
            await self._fleet.store.control(down="no")
            disruption.until = time.time()

    @INJECT.register("store_restored")
    async def _store_restored(self, fault: Fault) -> None:
        """The store is away and comes back from a copy some seconds old."""
        async with self._lock("store"):
            disruption = self._fleet.disrupt(fault.kind, "")
            await self._fleet.store.control(down=fault.how)
            await asyncio.sleep(fault.for_s)
            await self._fleet.store.control(restore_s=COPY_AGE_S)
            await self._fleet.store.control(down="no")
            disruption.until = time.time()

    @INJECT.register("callers_leave")
    async def _callers_leave(self, fault: Fault) -> None:
        """Callers of a gateway leave at once, also while it stands still."""
        gateway = self._gateway(fault)
        async with self._lock(gateway.name):
            callers = DepartingCallers(gateway, fault, self._fleet.history)
            calls = asyncio.create_task(callers.run(fault.for_s))
            disruption = self._fleet.disrupt(fault.kind, gateway.name)
            self._fleet.signal(gateway, signal.SIGSTOP)
            await asyncio.sleep(fault.for_s / 2)
            self._fleet.signal(gateway, signal.SIGCONT)
            await calls
            disruption.until = time.time()

    @INJECT.register("store_lost_answers")
    async def _store_lost_answers(self, fault: Fault) -> None:
        disruption = self._fleet.disrupt(fault.kind, "")
        await self._fleet.store.control(lose_answers=3)
        disruption.until = time.time() + 1.0

    @INJECT.register("store_history_lost")
    async def _store_history_lost(self, fault: Fault) -> None:
        disruption = self._fleet.disrupt(fault.kind, "")
        await self._fleet.store.control(compact=True)
        disruption.until = time.time()

    @INJECT.register("server_kill")
    async def _server_kill(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            disruption = self._fleet.disrupt(fault.kind, server.name)
            await self._fleet.stop_server(server)
            await asyncio.sleep(fault.for_s)
            await self._fleet.start_server(server)
            disruption.until = time.time()

    @INJECT.register("server_pause")
    async def _server_pause(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            disruption = self._fleet.disrupt(fault.kind, server.name)
            standin = server.standin
            if standin is not None:
                standin.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                # It may have crashed under a request meanwhile.
                with contextlib.suppress(ProcessLookupError):
                    standin.process.send_signal(signal.SIGCONT)
            disruption.until = time.time()

    @INJECT.register("server_link")
    async def _server_link(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"link of server {server.number}"):
            disruption = self._fleet.disrupt(fault.kind, server.name)
            server.proxy.set_link(Link[fault.how])
            await asyncio.sleep(fault.for_s)
            server.proxy.set_link(Link.SOUND)
            disruption.until = time.time()

    @INJECT.register("server_lost_answers")
    async def _server_lost_answers(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            disruption = self._fleet.disrupt(fault.kind, server.name)
            await control(server, lose_answers=5)
            disruption.until = time.time() + 1.0

    @INJECT.register("server_drain")
    async def _server_drain(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            server.draining = True
            await self._fleet.write_entry(server)
            self._fleet.note("drain", server.name)
            await asyncio.sleep(LEAVE_AFTER_S)
            await self._fleet.stop_server(server)
            # Its address may be used again after the users' delay.
            await asyncio.sleep(2.0)
            await self._fleet.start_server(server)

    @INJECT.register("server_limited")
    async def _server_limited(self, fault: Fault) -> None:
        await self._need(fault, "limit_per_s", LIMIT_PER_S)

    @INJECT.register("server_resting")
    async def _server_resting(self, fault: Fault) -> None:
        await self._need(fault, "rest_s", REST_S)

    async def _need(self, fault: Fault, field: str, value: float) -> None:
        """Lets a server say for a time what it needs."""
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            await control(server, **{field: value})
            await asyncio.sleep(fault.for_s)
            await control(server, **{field: None})

    @INJECT.register("server_leaving")
    async def _server_leaving(self, fault: Fault) -> None:
        server = self._server(fault)
        async with self._lock(f"server {server.number}"):
            await control(server, leaving=True)
            await asyncio.sleep(SERVES_ON_S)
            await self._fleet.stop_server(server)
            await asyncio.sleep(2.0)
            await self._fleet.start_server(server)

    @INJECT.register("configuration")
    async def _configuration(self, fault: Fault) -> None:
        await self._fleet.configure()

    @INJECT.register("key_withdrawn")
    async def _key_withdrawn(self, fault: Fault) -> None:
        if len(self._fleet.keys) > 1:
            key = self._fleet.keys.pop()
            await self._fleet.configure()
            self._fleet.note("key_withdrawn", key)
