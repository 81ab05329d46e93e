"""Fleets whose backend servers crash, on their own or under a request."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp
import msgspec
from aiohttp import web

from bench.fleet import free_addresses
from soak.proxy import LISTENER_OUTLIVES_S
from standins.platform_server import PlatformServerStandIn
from tests.gateway.fleet import HOST, config, run_fleet, server_entry

GATEWAYS = {"g0": "a-1", "g1": "a-1", "g2": "a-2", "g3": "b-1"}
SERVER_DOMAINS = ("a-1", "a-2", "b-1")
SERVERS = 9
SLOTS = 8
WORK_MS = 60.0
# Time from the start of a crashing request to the end of its server.
CRASH_AFTER_S = 0.06
# A crashed server's entry lapses after the first time, and the server is back
# after the second.
LAPSE_S = 1.5
DOWN_S = 4.0
DEADLINE_MS = 2000
# Times that a caller repeats a request that failed.
REPEATS = 2
# The users count from this long after the third crash of a request.
CONTACT_S = 4.0
# Instances that start together read each other's records in their second watch
# of the store, and report twice a second.
MEETING_S = 2.0
_CRASHING = "/crash/"


class Arrival(msgspec.Struct, kw_only=True):
    """A crashing request that a server began to run.

    Attributes:
        target: Path and query.
        server: Name of the server, with the number of its start.
        at: Monotonic time.
    """

    target: str
    server: str
    at: float


class CrashingServer:
    """A backend server in the process of the test, which can crash.

    Requests whose path contains `/crash/` crash it.
    """

    def __init__(self, name, domain, service, fleet):
        self.name = name
        self._service = service
        self._domain = domain
        self._fleet = fleet
        self._starts = 0
        # No other process takes it while the server is down.
        self._address = free_addresses(1)[0]
        self._runner = None
        self._ended = None
        self.version = "v1"

    @property
    def is_up(self):
        return self._runner is not None

    @property
    def incarnation(self):
        return f"{self.name}/{self._starts}"

    @property
    def address(self):
        return self._address

    async def start(self):
        self._starts += 1
        self._ended = asyncio.Event()
        standin = PlatformServerStandIn(self.name)
        app = standin.build()

        @web.middleware
        async def crash_if_told(request, handler):
            return await self._serve(request, handler)

        app.middlewares.append(crash_if_told)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0, handler_cancellation=True
        )
        await runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), reuse_address=True)
        await site.start()
        self._runner = runner
        standin.behave(work_ms=WORK_MS, slots=SLOTS)
        await self.register()

    async def register(self, **fields):
        await self._fleet.put(
            **{
                f"servers/{self.name}": server_entry(
                    self.address,
                    Service=self._service,
                    Zone=self._domain,
                    Slots=SLOTS,
                    Version=self.version,
                    born=1_000 + self._starts,
                    **fields,
                )
            }
        )

    async def _serve(self, request, handler):
        if _CRASHING not in request.path:
            return await handler(request)
        arrivals = self._fleet.arrivals
        arrivals.append(
            Arrival(
                target=request.path_qs,
                server=self.incarnation,
                at=time.monotonic(),
            )
        )
        if request.path_qs not in self._fleet.harmless:
            # Also if the connection closes meanwhile.
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, self.crash, request.path_qs
            )
            await asyncio.Event().wait()
        await asyncio.sleep(CRASH_AFTER_S)
        return await handler(request)

    def crash(self, target=""):
        """Ends the server; it starts again after a while."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        if target:
            self._fleet.crashes.append((target, time.monotonic()))
        loop = asyncio.get_running_loop()
        for site in list(runner.sites):
            for listener in site._server.sockets:
                loop.remove_reader(listener.fileno())
            loop.call_later(LISTENER_OUTLIVES_S, site._server.close)
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self._fleet.group.create_task(self._return(runner))

    async def _return(self, runner):
        await asyncio.sleep(LAPSE_S)
        await runner.cleanup()
        await self._fleet.put(**{f"servers/{self.name}": None})
        await asyncio.sleep(DOWN_S - LAPSE_S)
        if not self._fleet.is_ending:
            await self.start()

    async def close(self):
        if self._runner is not None:
            await self._runner.cleanup()


class CrashingFleet:
    """Gateways, backend servers that crash, and callers.

    Attributes:
        arrivals: Crashing requests that servers began to run.
        crashes: Target of the request, and monotonic time of each crash.
        harmless: Targets that crash no server any more.
        answers: Status and gateway of other requests that have ended.
    """

    def __init__(self, fleet, group, services=("s",)):
        self.fleet = fleet
        self.group = group
        self.is_ending = False
        self.arrivals = []
        self.crashes = []
        self.harmless = set()
        self.answers = []
        self.servers = [
            CrashingServer(
                f"i-{n}",
                SERVER_DOMAINS[n % 3],
                services[n // 3 % len(services)],
                self,
            )
            for n in range(SERVERS)
        ]
        self._numbers = itertools.count()
        self._rng = random.Random(1)

    async def put(self, **keys):
        await self.fleet.put(**keys)

    @property
    def gateways(self):
        return [one for one in self.fleet.gateways if one.process is not None]

    async def request(self, gateway, target, method="GET", body=b"", key="key"):
        """Sends a request on a connection of its own.

        Returns:
            The status and the Retry-After header; 0 without an answer.
        """
        headers = {
            "Host": HOST,
            "Request-Id": f"id-{next(self._numbers)}",
            "Api-Key": key,
            "Deadline-Remaining": f"{DEADLINE_MS}",
        }
        url = f"http://{gateway.caller}{target}"
        connector = aiohttp.TCPConnector(force_close=True)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(connector=connector) as session,
                session.request(
                    method, url, headers=headers, data=body
                ) as response,
            ):
                await response.read()
                return response.status, response.headers.get("Retry-After")
        return 0, None

    async def leave_early(self, gateway, target, method, wait_s):
        """Sends a request whose caller waits only so long for its answer.

        Returns:
            Status and Retry-After, or 0 and None if the caller has left.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                return await self.request(gateway, target, method)
        return 0, None

    async def send_crashing(self, target, seconds, method="GET", body=None):
        """Sends a crashing request each 0.3 to 0.5 s, at one gateway each.

        Its caller repeats it if it failed; one that is not repeatable only if
        it has not run. `body` returns the body, anew for each try.

        Returns:
            Status and Retry-After of each answer.
        """
        answers = []
        end = time.monotonic() + seconds
        turns = itertools.count()
        while time.monotonic() < end:
            turn = next(turns)
            for repeat in range(1 + REPEATS):
                gateways = self.gateways
                gateway = gateways[(turn + repeat) % len(gateways)]
                data = b"" if body is None else body()
                answer = await self.request(gateway, target, method, data)
                answers.append(answer)
                may_repeat = method == "GET" or answer[0] == 503
                if answer[0] == 200 or not may_repeat:
                    break
            await asyncio.sleep(self._rng.uniform(0.3, 0.5))
        return answers

    async def send_others(self, seconds, calls_per_s=20, popular=0.0):
        """Sends other requests to each gateway at a steady rate.

        Args:
            seconds: How long.
            calls_per_s: At each gateway.
            popular: Share of them that ask for one object.
        """
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                for gateway in self.gateways:
                    is_popular = self._rng.random() < popular
                    name = "hot" if is_popular else self._rng.randrange(500)
                    group.create_task(self._send_other(gateway, name))
                await asyncio.sleep(1 / calls_per_s)

    async def _send_other(self, gateway, name):
        sent_at = time.monotonic()
        status, _ = await self.request(gateway, f"/safe/{name}")
        self.answers.append((sent_at, status))

    def crashed(self, target):
        """Returns the monotonic times at which a request crashed servers."""
        return [at for one, at in self.crashes if one == target]

    def late_sends(self, target):
        """Returns how often it ran `CONTACT_S` after its third crash or later.

        The users allow three.
        """
        crashed = self.crashed(target)
        if len(crashed) < 3:
            return 0
        return sum(
            one.target == target and one.at > crashed[2] + CONTACT_S
            for one in self.arrivals
        )

    def served_share(self, since=0.0):
        """Returns the share of the other requests that were served."""
        chosen = [status for at, status in self.answers if at >= since]
        return sum(status == 200 for status in chosen) / len(chosen)


def split_config(services, version=2):
    """Returns a configuration that splits all routes among services."""
    document = config(version)
    for rule in document["Listeners"][0]["Rules"]:
        del rule["Action"]["Service"]
        rule["Action"]["WeightedSplit"] = [
            {"Service": name, "Weight": 10} for name in services
        ]
    document["Clusters"] = [
        {"Name": name, "HealthPath": "/health"} for name in services
    ]
    return document


@contextlib.asynccontextmanager
async def run_crashing_fleet(
    folder, gateways=GATEWAYS, cut_off=(), services=("s",), **settings
):
    """Runs servers that can crash, and gateways, which are ready.

    Args:
        folder: Where settings and logs go.
        gateways: Failure domain of each gateway by name.
        cut_off: Names of the gateways that reach no server.
        services: Services among which requests are split.
        settings: Further settings of the gateways.
    """
    async with run_fleet(folder, servers=0, store_listeners=2) as fleet:
        async with asyncio.TaskGroup() as group:
            await fleet.put(**{"op/config": split_config(services)})
            crashing_fleet = CrashingFleet(fleet, group, services)
            for server in crashing_fleet.servers:
                await server.start()
            dead = free_addresses(1)[0]
            listener = fleet.store.addresses[1]
            await fleet.set_views(
                {
                    listener: {
                        one.address: dead for one in crashing_fleet.servers
                    }
                }
            )
            for name, domain in gateways.items():
                gateway = fleet.create(name, domain, **settings)
                if name in cut_off:
                    gateway.settings["store"]["address"] = listener
            await asyncio.gather(*(one.start() for one in fleet.gateways))
            await crashing_fleet.send_others(MEETING_S)
            crashing_fleet.answers.clear()
            try:
                yield crashing_fleet
            finally:
                crashing_fleet.is_ending = True
                for server in crashing_fleet.servers:
                    await server.close()
