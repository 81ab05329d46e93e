"""Runs gateway daemons as processes with stand-ins for the platform."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import sys

import aiohttp

from bench.fleet import free_addresses
from tests.standin_processes import standin

ROOT = pathlib.Path(__file__).parents[2]
HOST = "h.example"


def survives(process, number):
    """Returns whether a process ignores a signal or handles it itself.

    No process does before the first lines of its program have run.
    """
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn", "SigCgt"))
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)


class Gateway:
    """One gateway daemon in a process of its own."""

    def __init__(self, name, region, domain, store, folder, **settings):
        addresses = free_addresses(6)
        self.name = name
        self.caller, self.ready, self.directory, self.metrics = addresses[:4]
        host = addresses[4].rpartition(":")[0]
        peer_ports = [int(one.rpartition(":")[2]) for one in addresses[4:]]
        self.path = folder / f"{name}.jsonc"
        self.settings = {
            "instance": name,
            "region": region,
            "failure_domain": domain,
            "ip": host,
            "regions": {"a-1": "a", "a-2": "a", "b-1": "b"},
            "listen": {
                "caller": self.caller,
                "ready": self.ready,
                "directory": self.directory,
                "metrics": self.metrics,
                "peer_ports": peer_ports,
            },
            "store": {"address": store, "min_lease_s": None},
            "bounds": {"grace_s": 4.0, "quota_slack": 20},
            # As in the template of the deployment.
            "admission": {"max_waiting": 64},
        } | settings
        self.process = None

    async def start(self):
        """Starts the daemon and waits until it is ready."""
        self.path.write_text("// Settings.\n" + json.dumps(self.settings))
        self.log = open(self.path.with_suffix(".log"), "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "gateway.py"),
            env=os.environ | {"RADISHMUX_CONFIG": str(self.path)},
            stdout=self.log,
            stderr=self.log,
        )
        async with asyncio.timeout(20):
            while await self.is_ready() != 200:
                assert self.process.returncode is None, self.log_text()
                await asyncio.sleep(0.05)

    def log_text(self):
        """Returns what the daemon has logged so far."""
        return self.path.with_suffix(".log").read_text()

    async def is_ready(self):
        """Returns the status of the readiness check, or None."""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with aiohttp.ClientSession() as session:
                url = f"http://{self.ready}/api/readiness"
                async with session.get(url) as response:
                    return response.status
        return None

    def kill(self):
        """Kills the daemon."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def stop(self):
        """Sends SIGTERM and waits for the end."""
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            await self.process.wait()


class Fleet:
    """A store, backend servers and gateway daemons."""

    def __init__(self, store, servers, folder):
        self.store = store
        self.servers = servers
        self.folder = folder
        self.gateways = []

    async def put(self, **keys):
        """Writes JSON documents to the store; None deletes a key.

        Returns:
            The store's revision after the writes.
        """
        encoded = {
            key: None
            if value is None
            else base64.b64encode(json.dumps(value).encode()).decode()
            for key, value in keys.items()
        }
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.store.address}/put"
            async with session.post(url, json=encoded) as response:
                response.raise_for_status()
                return (await response.json())["Revision"]

    async def set_views(self, views):
        """Sets what the clients of each listener of the store see.

        Args:
            views: By listener, the addresses in place of those of servers.
        """
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.store.address}/views"
            async with session.post(url, json=views) as response:
                response.raise_for_status()

    def create(self, name, domain="a-1", **settings):
        """Returns one more gateway daemon, which is not started yet."""
        gateway = Gateway(
            name,
            domain[0],
            domain,
            self.store.address,
            self.folder,
            **settings,
        )
        self.gateways.append(gateway)
        return gateway

    async def add(self, name, domain="a-1", **settings):
        """Starts one more gateway daemon and returns it."""
        gateway = self.create(name, domain, **settings)
        await gateway.start()
        return gateway

    async def executed(self):
        """Returns the requests that each server has executed, by its name."""
        return {
            name: (await server.show())["ran"]
            for name, server in self.servers.items()
        }


def server_entry(address, **fields):
    """Returns the store's document for a ready server of service `s`."""
    return {
        "Service": "s",
        "Address": address,
        "Zone": "a-1",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "ColdRemainingS": 0,
        "Sequence": 1,
        "born": 1,
    } | fields


def config(version=1, rules=None, keys=("key",), **tenant):
    """Returns a configuration with two routes of one service."""
    if rules is None:
        rules = [("safe", "/safe/"), ("unsafe", "/unsafe/")]
    return {
        "Version": f"{version:08x}",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": list(keys)} | tenant],
        "Listeners": [
            {
                "Host": HOST,
                "Rules": [
                    {
                        "Name": f"r{prefix}",
                        "Kind": kind,
                        "Match": {"PathPrefix": prefix},
                        "Action": {
                            "Service": "s",
                            "TimeoutS": 2,
                            "MaxAttempts": 2,
                        },
                    }
                    for kind, prefix in rules
                ],
            }
        ],
        "Clusters": [{"Name": "s", "HealthPath": "/health"}],
    }


@contextlib.asynccontextmanager
async def run_fleet(folder, servers=2, store_listeners=1):
    """Runs a store with a configuration and with registered servers."""
    async with contextlib.AsyncExitStack() as stack:
        listen = free_addresses(store_listeners)
        store = await stack.enter_async_context(
            standin("platform_store", listen)
        )
        running = {}
        for n in range(servers):
            name = f"i-{n}"
            running[name] = await stack.enter_async_context(
                standin("platform_server", arguments=("--name", name))
            )
        fleet = Fleet(store, running, folder)
        entries = {
            f"servers/{name}": server_entry(server.address)
            for name, server in running.items()
        }
        await fleet.put(**{"op/config": config()}, **entries)
        try:
            yield fleet
        finally:
            for gateway in fleet.gateways:
                gateway.kill()
                if gateway.process is not None:
                    await gateway.process.wait()


async def send_request(gateway, path="/safe/1", method="GET", **headers):
    """Sends one request on a new connection.

    Returns:
        The status, the headers and the body of the answer.
    """
    fields = {
        "Host": HOST,
        "Request-Id": "id-1",
        "Api-Key": "key",
        "Deadline-Remaining": "3000",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        url = f"http://{gateway.caller}{path}"
        async with session.request(method, url, headers=fields) as response:
            return response.status, response.headers, await response.read()
