"""The processes of a run: gateways, servers, the store, and their links."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import time
from types import TracebackType

import msgspec

from bench.fleet import free_addresses
from soak.callers import Target
from soak.components import LONG_SHARE, gateway_settings, server_paces
from soak.proxy import FaultProxy, Link
from soak.records import Act, Arrival, Disruption, DutyCall, History, Run
from tests.gateway.fleet import (
    Fleet,
    Gateway,
    config,
    server_entry,
    survives,
)
from tests.standin_processes import StandIn, standin

DOMAINS = ("a-1", "a-2", "b-1")
HEARTBEAT_S = 1.0
# A server that is silent for three heartbeats loses its entry.
EXPIRY_S = 3 * HEARTBEAT_S
# A draining server goes on for the users' bound and a little longer.
LEAVE_AFTER_S = 3.5
WORK_MS = 15.0
SLOTS = 16
# Rate per second and burst of the customers; the second is beyond its rate.
RATES = {"open": (0.0, 0.0), "limited": (30.0, 30.0)}
KEYS_OF_OPEN = 8
# Part of the paths of requests that crash servers.
CRASHING = "/crash/"


class Server:
    """A backend server at a fixed address; each start has a new name.

    Attributes:
        number: Its place in the fleet.
        name: Name of the present start.
        proxy: What the gateways connect to.
        standin: Its process, or None while it is down.
        draining: Whether it has said that it leaves.
        heard_at: Unix time of its latest entry.
    """

    def __init__(self, number: int, proxy: FaultProxy) -> None:
        self.number = number
        self.proxy = proxy
        self.starts = 0
        self.name = ""
        self.standin: StandIn | None = None
        self.draining = False
        self.heard_at = 0.0
        self.stack = contextlib.AsyncExitStack()


class SoakFleet:
    """All processes; an async context manager.

    Args:
        folder: Where logs and records go.
        gateways: Number of gateways.
        servers: Number of backend servers.
        full_mesh_max: Setting of the gateways.
        history: Takes what happens.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int,
        servers: int,
        full_mesh_max: int,
        history: History,
    ) -> None:
        self._folder = folder
        self._counts = (gateways, servers)
        self._full_mesh_max = full_mesh_max
        self._history = history
        self._stack = contextlib.AsyncExitStack()
        self._sequence = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.keys = [f"open-{n}" for n in range(KEYS_OF_OPEN)]
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.store_links: list[FaultProxy] = []
        # What each gateway connects to in place of the servers' proxies.
        self.server_links: list[list[FaultProxy]] = []
        # Links of the gateways that are cut off, by their number.
        self._cuts: dict[int, Link] = {}

    async def __aenter__(self) -> SoakFleet:
        enter = self._stack.enter_async_context
        listen = free_addresses(1 + self._counts[0])
        self.store = await enter(standin("platform_store", listen))
        self.api = await enter(standin("duties_api"))
        self.platform = Fleet(self.store, {}, self._folder)
        for number in range(self._counts[1]):
            server = Server(number, await enter(FaultProxy()))
            self.servers.append(server)
            await self.start_server(server)
        await self.configure()
        for number in range(self._counts[0]):
            link = await enter(FaultProxy())
            link.target = self.store.addresses[1 + number]
            self.store_links.append(link)
            self.server_links.append(await self._link_servers())
            domain = DOMAINS[number % len(DOMAINS)]
            gateway = Gateway(
                f"g{number}",
                domain[0],
                domain,
                link.address,
                self._folder,
                full_mesh_max=self._full_mesh_max,
                **gateway_settings(self.api.address),
            )
            self.gateways.append(gateway)
        views = {
            link.target: {one.target: one.address for one in links}
            for link, links in zip(
                self.store_links, self.server_links, strict=True
            )
        }
        await self.platform.set_views(views)
        await asyncio.gather(*(self.start(one) for one in self.gateways))
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        return self

    async def _link_servers(self) -> list[FaultProxy]:
        """Returns the links of one gateway to all servers."""
        links = []
        for server in self.servers:
            link = await self._stack.enter_async_context(FaultProxy())
            link.target = server.proxy.address
            links.append(link)
        return links

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            gateway.kill()
            if gateway.process is not None:
                await gateway.process.wait()
        for server in self.servers:
            await server.stack.aclose()
        await self._stack.aclose()

    @property
    def history(self) -> History:
        """Where callers record their requests."""
        return self._history

    @property
    def callers_addresses(self) -> dict[str, str]:
        """Addresses of the gateways for callers, dead ones too."""
        return {one.name: one.caller for one in self.gateways}

    def targets(self) -> list[Target]:
        """Returns what callers may send now; withdrawn keys too."""
        paths = [("/safe/1", True), ("/unsafe/1", False)]
        paths += [("/unsafe/2", False), (f"/v{self.version}/", True)]
        keys = [("open", f"open-{n}") for n in range(KEYS_OF_OPEN)]
        keys += [("limited", "limited-0")] * KEYS_OF_OPEN
        return [
            Target(path, customer, key, idempotent)
            for path, idempotent in paths
            for customer, key in keys
        ]

    def runs(self) -> list[Run]:
        """Returns what all servers ran."""
        return [
            msgspec.json.decode(line, type=Run)
            for path in self._folder.glob("s*.runs")
            for line in path.read_bytes().splitlines()
        ]

    def arrivals(self) -> list[Arrival]:
        """Returns what reached all servers."""
        return [
            msgspec.json.decode(line, type=Arrival)
            for path in self._folder.glob("s*.arrivals")
            for line in path.read_bytes().splitlines()
        ]

    async def duty_calls(self) -> list[DutyCall]:
        """Returns the calls to the API for duties, as they arrived."""
        return msgspec.convert((await self.api.show())["log"], list[DutyCall])

    def note(self, kind: str, subject: str) -> None:
        """Records an act that the store has acknowledged."""
        self._history.acts.append(
            Act(kind=kind, subject=subject, at=time.time())
        )

    def disrupt(self, kind: str, target: str) -> Disruption:
        """Records the begin of a fault; its end is set later."""
        now = time.time()
        one = Disruption(
            kind=kind, target=target, since=now, until=float("inf")
        )
        self._history.disruptions.append(one)
        return one

    async def configure(self) -> None:
        """Writes the next version, with one more route and the valid keys."""
        self.version += 1
        rules = [("safe", "/safe/"), ("unsafe", "/unsafe/")]
        rules += [("safe", f"/v{n}/") for n in range(1, self.version + 1)]
        document = config(self.version, rules)
        document["Tenants"] = [
            {
                "Name": name,
                "ApiKeys": self.keys if name == "open" else ["limited-0"],
                "RatePerS": rate,
                "Burst": burst,
            }
            for name, (rate, burst) in RATES.items()
        ]
        await self.platform.put(**{"op/config": document})
        self.note("configuration", str(self.version))

    async def start(self, gateway: Gateway) -> None:
        """Starts a gateway's process."""
        starts = self._history.starts.setdefault(gateway.name, [])
        starts.append(time.time())
        await gateway.start()

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Sends a signal to a process that this run started.

        A SIGHUP is not sent before the first lines of the program have run:
        it would end any program then.
        """
        process = gateway.process
        if process is None or process.returncode is not None:
            return
        if number is signal.SIGHUP and not survives(process, number):
            return
        process.send_signal(number)

    async def start_server(self, server: Server) -> None:
        """Starts a server under a new name at its address."""
        server.starts += 1
        server.name = f"s{server.number}-{server.starts}"
        server.draining = False
        record = self._folder / f"{server.name}.runs"
        arrivals = self._folder / f"{server.name}.arrivals"
        server.stack = contextlib.AsyncExitStack()
        server.standin = await server.stack.enter_async_context(
            standin(
                "platform_server",
                arguments=(
                    "--name",
                    server.name,
                    "--record",
                    str(record),
                    "--arrivals",
                    str(arrivals),
                ),
            )
        )
        await server.standin.control(
            work_ms=WORK_MS,
            slots=SLOTS,
            hang_on=CRASHING,
            paces=server_paces(server.name),
            long_share=LONG_SHARE,
        )
        server.proxy.target = server.standin.address
        self._set_links()
        await self.write_entry(server)

    async def stop_server(self, server: Server) -> None:
        """Kills a server; its entry lapses later."""
        name = server.name
        server.standin = None
        self._set_links()
        await server.stack.aclose()
        self._tasks.append(asyncio.create_task(self._lapse(name)))

    def cut(self, gateway: Gateway, link: Link) -> None:
        """Sets the links of a gateway to all servers."""
        number = self.gateways.index(gateway)
        self._cuts[number] = link
        self._set_links()

    def _set_links(self) -> None:
        """Sets the links of gateways to servers.

        The host of a server that has ended refuses connections, which a proxy
        would accept in its place.
        """
        for number, links in enumerate(self.server_links):
            cut = self._cuts.get(number, Link.SOUND)
            for server, proxy in zip(self.servers, links, strict=True):
                is_down = server.standin is None and cut is Link.SOUND
                link = Link.CUT_RESET if is_down else cut
                if proxy.link is not link:
                    proxy.set_link(link)

    async def write_entry(self, server: Server) -> None:
        """Writes what a server says of itself."""
        self._sequence += 1
        domain = DOMAINS[server.number % len(DOMAINS)]
        entry = server_entry(
            server.proxy.address,
            Zone=domain,
            Slots=SLOTS,
            State="draining" if server.draining else "ready",
            Sequence=self._sequence,
        )
        await self.platform.put(**{f"servers/{server.name}": entry})

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(EXPIRY_S)
        await self.platform.put(**{f"servers/{name}": None})

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                if server.standin is not None:
                    await self.write_entry(server)
