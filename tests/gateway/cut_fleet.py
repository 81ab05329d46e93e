"""Fleets whose gateways can be cut off from all backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time

import aiohttp
import msgspec

from soak.proxy import FaultProxy, Link
from tests.gateway.fleet import HOST, run_fleet, server_entry

# Two gateways in one failure domain, one in the other domain of the region and
# one in another region.
GATEWAYS = {"g0": "a-1", "g1": "a-1", "g2": "a-2", "g3": "b-1"}
SERVER_DOMAINS = ("a-1", "a-2", "b-1")
SLOTS = 32
DEADLINE_MS = 2000
BODY = bytes(range(256)) * 64
# The users count a gateway as in touch this long after the begin of a cut.
CONTACT_S = 4.0


class Call(msgspec.Struct, kw_only=True):
    """A first try of a caller.

    Attributes:
        id: Id of the request.
        gateway: Name of the gateway that it was sent to.
        sent_at: Monotonic time.
        status: Status of the answer; 0 without one.
        took_s: Time until its end.
    """

    id: str
    gateway: str
    sent_at: float
    status: int = 0
    took_s: float = 0.0


class CutFleet:
    """A fleet whose gateways see the servers through proxies of their own.

    Attributes:
        fleet: The store, the servers and the gateways.
        calls: All requests that callers have sent.
    """

    def __init__(self, fleet, links):
        self.fleet = fleet
        self._links = links
        self._numbers = itertools.count()
        self.calls = []

    def set_links(self, names, link):
        """Sets the links of some gateways to all servers."""
        for name in names:
            for proxy in self._links[name]:
                proxy.set_link(link)

    async def set_servers(self, **behaviour):
        """Sets how all servers work."""
        for server in self.fleet.servers.values():
            await server.control(**behaviour)

    async def load(self, calls_per_s, seconds, path="/safe/1"):
        """Sends requests to each running gateway on its callers' connections.

        Returns:
            The requests, when all of them have ended.
        """
        begin = len(self.calls)
        async with asyncio.TaskGroup() as group:
            for gateway in self.fleet.gateways:
                if gateway.process is not None:
                    group.create_task(
                        self._load(gateway, calls_per_s, seconds, path)
                    )
        return self.calls[begin:]

    async def _load(self, gateway, calls_per_s, seconds, path):
        end = time.monotonic() + seconds
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            async with asyncio.TaskGroup() as group:
                while time.monotonic() < end:
                    group.create_task(self._call(session, gateway, path))
                    await asyncio.sleep(1 / calls_per_s)

    async def _call(self, session, gateway, path):
        call = Call(
            id=f"id-{next(self._numbers)}",
            gateway=gateway.name,
            sent_at=time.monotonic(),
        )
        self.calls.append(call)
        headers = {
            "Host": HOST,
            "Request-Id": call.id,
            "Api-Key": "key",
            "Deadline-Remaining": str(DEADLINE_MS),
        }
        url = f"http://{gateway.caller}{path}"
        is_safe = path.startswith("/safe/")
        method, data = ("GET", b"") if is_safe else ("POST", BODY)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.request(
                method, url, headers=headers, data=data
            ) as response:
                body = await response.read()
                end = f":{call.id}:".encode() + data
                if response.status != 200 or body.endswith(end):
                    call.status = response.status
        call.took_s = time.monotonic() - call.sent_at

    async def runs(self):
        """Returns what all servers have run."""
        ran = (await self.fleet.executed()).values()
        return [run for of_server in ran for run in of_server]

    def held_ms(self):
        """Returns how long the gateways held each request, by its id."""
        lines = [
            msgspec.json.decode(line)
            for gateway in self.fleet.gateways
            for line in gateway.log_text().splitlines()
            if line.startswith("{")
        ]
        return {
            line["request"]: line["ms"] for line in lines if "request" in line
        }

    async def running(self):
        """Returns the number of requests that all servers work on."""
        shown = [await one.show() for one in self.fleet.servers.values()]
        return sum(one["running"] for one in shown)


@contextlib.asynccontextmanager
async def run_cut_fleet(folder, gateways=GATEWAYS, **settings):
    """Runs servers and gateways, all of which reach all servers."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            run_fleet(folder, len(SERVER_DOMAINS), len(gateways) + 1)
        )
        entries = {
            f"servers/{name}": server_entry(
                server.address, Zone=domain, Sequence=2, Slots=SLOTS
            )
            for domain, (name, server) in zip(
                SERVER_DOMAINS, fleet.servers.items(), strict=True
            )
        }
        await fleet.put(**entries)
        views, links = {}, {}
        for listener, (name, domain) in zip(
            fleet.store.addresses[1:], gateways.items(), strict=True
        ):
            links[name] = []
            views[listener] = {}
            for server in fleet.servers.values():
                proxy = await stack.enter_async_context(FaultProxy())
                proxy.target = server.address
                links[name].append(proxy)
                views[listener][server.address] = proxy.address
            gateway = fleet.create(name, domain, **settings)
            gateway.settings["store"]["address"] = listener
        await fleet.set_views(views)
        cut_fleet = CutFleet(fleet, links)
        await cut_fleet.set_servers(slots=SLOTS)
        yield cut_fleet


def served_share(calls, names):
    """Returns the share of the requests to some gateways that were served."""
    chosen = [call for call in calls if call.gateway in names]
    return sum(call.status == 200 for call in chosen) / len(chosen)


__all__ = [
    "CONTACT_S",
    "DEADLINE_MS",
    "GATEWAYS",
    "Link",
    "run_cut_fleet",
    "served_share",
]
