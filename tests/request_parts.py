"""Fake components and backend processes for tests of the request path."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable

import aiohttp
import msgspec

from radishmux.clock import SystemClock
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Route,
    Service,
)
from radishmux.dispatch.cells import CellMap
from radishmux.instances.interface import Instance
from radishmux.once.ledger import RequestLedger
from radishmux.once.tickets import TicketIssuer
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.traces import Tracer
from radishmux.verdict import Refusal, Verdict

KEY = "secret"
ROUTES = [
    Route(name="read", path_prefix="/", idempotent=True),
    Route(name="write", path_prefix="/write"),
    Route(
        name="public", path_prefix="/public", idempotent=True, open_to_all=True
    ),
    Route(name="upload", path_prefix="/upload", methods=["PUT"], upload=True),
]


def configuration(servers: list[BackendServer]) -> Configuration:
    return Configuration(
        regions=[Region(name="r1", failure_domains=["d1"])],
        customers=[Customer(name="alice", rate_per_s=1e6, burst=1e6)],
        services=[Service(name="poles", routes=ROUTES, stable_version="v1")],
        backend_servers=servers,
    )


def backend(
    name: str, address: str, slots: int = 4, version: str = "v1"
) -> BackendServer:
    return BackendServer(
        name=name,
        service="poles",
        region="r1",
        failure_domain="d1",
        address=address,
        version=version,
        slots=slots,
    )


class FakeConfig:
    """A ConfigState whose configuration the test replaces."""

    def __init__(self, current: Configuration) -> None:
        self.current = current
        self._callbacks: list[Callable[[Configuration], None]] = []

    def watch(self, callback: Callable[[Configuration], None]) -> None:
        self._callbacks.append(callback)

    def put(self, current: Configuration) -> None:
        self.current = current
        for callback in self._callbacks:
            callback(current)


class FakeKeys:
    """A KeyCheck with a single valid key."""

    def __init__(self) -> None:
        self.customer = Customer(name="alice", rate_per_s=1e6, burst=1e6)
        self.revoked = False

    def is_still_valid(self, digest, customer, config_version, now):
        return not self.revoked

    def check(self, key, route, now):
        if route.open_to_all:
            return None
        if key == KEY:
            return self.customer
        reason = "no_key" if key is None else "unknown_key"
        return Refusal(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            message="No valid key.",
            status=401,
        )


class FakeShares:
    """Admits all requests unless the test sets a refusal."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None

    async def admit(self, customer, wait_s):
        return self.refusal


class FakeSelectors:
    """Allows every customer the same regions."""

    def __init__(self, *regions: str) -> None:
        self.regions = regions or ("r1",)

    def allowed_regions(self, customer, service, caller_region):
        return self.regions


class FakeRegions:
    """Keeps the regions in the given order."""

    def order(self, regions, service, now):
        return tuple(regions)

    def record_sent(self, service, region, now):
        pass


class FakeMembers:
    """A MembershipView whose members the test sets."""

    def __init__(self, *instances: Instance) -> None:
        self.instances = list(instances)
        self.permit = True
        self.leaving: set[str] = set()
        self.dead: set[str] = set()

    def peers(self):
        return tuple(self.instances[1:])

    def live(self, region=None):
        return tuple(
            member
            for member in self.instances
            if member.instance not in self.dead
            and region in (None, member.region)
        )

    def holds_permit(self, now):
        return self.permit

    def is_leaving(self, instance):
        return instance in self.leaving

    def proven_dead(self, instance):
        return instance in self.dead

    def may_be_taken_over(self, instance, now):
        return instance in self.dead

    def cell_load(self, cell):
        return None


class FakeLookup:
    """Returns lookup answers with a ticket and without instances."""

    def __init__(self, tickets: TicketIssuer) -> None:
        self._tickets = tickets

    def answer_body(self, customer, service, region, now):
        return msgspec.json.encode({"ticket": self._tickets.issue(now)})


class FakeBlocks:
    """A BlockTable without entries."""

    def region_of(self, address):
        return None


def instance(name: str, **addresses: str) -> Instance:
    unset = dict.fromkeys(
        ("caller_address", "peer_address", "control_address"), "127.0.0.1:1"
    )
    return Instance(
        instance=name, region="r1", failure_domain="d1", **(unset | addresses)
    )


class BackendProcess:
    """A process of the stand-in backend server."""

    def __init__(self, process: asyncio.subprocess.Process, address: str):
        self.process = process
        self.address = address

    async def control(self, **changes) -> dict:
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.address}/control"
            if changes:
                request = session.post(url, json=changes)
            else:
                request = session.get(url)
            async with request as response:
                return await response.json()

    async def runs(self) -> list[dict]:
        return (await self.control())["runs"]

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()


@contextlib.asynccontextmanager
async def backend_process(
    name: str = "b1",
    slots: int = 4,
    listen: str = "127.0.0.1:0",
    version: str = "v1",
    record_file: str = "",
):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.backend_server",
        "--listen",
        listen,
        "--name",
        name,
        "--service",
        "poles",
        "--version",
        version,
        "--slots",
        str(slots),
        "--record-file",
        record_file,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        yield BackendProcess(process, line.decode().split()[1])
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def eventually(condition, timeout_s: float = 10.0):
    """Polls a plain or async condition until it is true; returns its value."""
    async with asyncio.timeout(timeout_s):
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)


class NodeParts:
    """Components from which a Node is built."""

    def __init__(
        self,
        servers: list[BackendServer],
        name: str = "i1",
        incarnation: int = 1,
        members: FakeMembers | None = None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.tracer = Tracer(0.0, 10, name)
        self.config = FakeConfig(configuration(servers))
        self.members = members or FakeMembers(instance(name))
        self.keys = FakeKeys()
        self.shares = FakeShares()
        self.tickets = TicketIssuer(name, incarnation)
        self.ledger = RequestLedger(self.tickets)
        self.cells = CellMap(self.config, self.members)
