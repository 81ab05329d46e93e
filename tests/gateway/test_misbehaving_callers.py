"""Crowds of misbehaving clients at each listener of a gateway process.

The process must stay within the memory and the descriptors of its machine
(`memory_mb` and `max_fds` of the settings, lowered here). The cases run one at
a time and apart from other load.
"""

from __future__ import annotations

import asyncio
import os
import resource

import aiohttp
import pytest

from tests.gateway.crowd import Crowd, status_kib
from tests.gateway.fleet import HOST, config, run_fleet, send_request

pytestmark = pytest.mark.crowd

MIB = 1024 * 1024
# Memory of the machine, lowered so that small crowds exceed it.
MEMORY_MB = 96
MAX_FDS = 400
# Descriptors of MAX_FDS that are reserved for files.
RESERVED_FDS = 200
# The longest wait for the answer to an ordinary request; not a measurement.
SERVED_WITHIN_S = 30.0


def head(path, *fields, method="POST", key="key"):
    """Returns a head with the fields of an ordinary request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "Request-Id: crowd",
        f"Api-Key: {key}",
        *fields,
    ]
    return "\r\n".join([*lines, "\r\n"]).encode()


def stalled(path, size=4 * MIB):
    """A body that stops one byte short of its end."""
    return [head(path, f"Content-Length: {size}") + b"x" * (size - 1)]


def many_chunks(path, size=3 * MIB // 2):
    """A body in chunks of four bytes, without its end."""
    chunks = b"4\r\nabcd\r\n" * (size // 9)
    return [head(path, "Transfer-Encoding: chunked") + chunks]


def oversized(path):
    """A chunked body far over the limit."""
    piece = b"100000\r\n" + b"x" * MIB + b"\r\n"
    return [head(path, "Transfer-Encoding: chunked"), *[piece] * 24]


def many_fields(path):
    """A head of legal size with very many fields, without its end."""
    start = head(path)[:-2]
    fields = b"".join(b"%x:%x\r\n" % (n, n) for n in range(0x100, 0x600))
    return [start + fields[: 15 * 1024]]


def many_query_fields(path):
    """Complete requests with very many query fields."""
    query = "&".join(f"{n:x}=1" for n in range(0x100, 0x800))
    return [head(f"{path}?{query}"[:15_000], method="GET") * 8]


def many_trailers(path):
    """A chunked body whose trailer has very many fields."""
    fields = b"".join(b"%x:%x\r\n" % (n, n) for n in range(0x1000, 0x4000))
    start = head(path, "Transfer-Encoding: chunked")
    return [start + b"1\r\nx\r\n0\r\n" + fields * 4]


def pipelined(path):
    """Requests that are sent ahead, whose responses are not read."""
    return [head(path, method="GET") * 400] * 20


# By name: the bytes of one connection, the number of connections.
CROWDS = {
    "stalled": (stalled, 40),
    "chunks": (many_chunks, 16),
    "oversized": (oversized, 32),
    "fields": (many_fields, 400),
    "query-fields": (many_query_fields, 600),
    "trailers": (many_trailers, 60),
    "pipelined": (pipelined, 40),
}

# By name: the attribute of a gateway with the address, and the path.
TARGETS = {
    "caller": ("caller", "/safe/1"),
    "no-route": ("caller", "/none"),
    "directory": ("directory", "/api/resolve"),
    "ready": ("ready", "/api/readiness"),
    "metrics": ("metrics", "/metrics"),
    "relay": ("relay", "/"),
}


async def start(fleet, **settings):
    """Starts a gateway with a route for large bodies, and lowered limits."""
    document = config(2, [("safe", "/safe/"), ("unsafe", "/unsafe/")])
    document["Limits"]["MaxBodyBytes"] = 16 * MIB
    await fleet.put(**{"op/config": document})
    gateway = await fleet.add("g1", memory_mb=MEMORY_MB, **settings)
    port = gateway.settings["listen"]["peer_ports"][1]
    gateway.relay = f"{gateway.settings['ip']}:{port}"
    return gateway


async def check_served(gateway):
    """An ordinary request is answered, and so is the readiness check."""
    async with asyncio.timeout(SERVED_WITHIN_S):
        while True:
            try:
                if (await send_request(gateway))[0] == 200:
                    break
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
        while await gateway.is_ready() != 200:
            await asyncio.sleep(0.1)
    assert gateway.process.returncode is None, gateway.log_text()[-2000:]


def check_memory(gateway):
    """The process has never been larger than its machine."""
    peak_kib = status_kib(gateway.process, "VmHWM")
    assert peak_kib < MEMORY_MB * 1024


def check_descriptors(gateway):
    """The process leaves the descriptors that are reserved for files."""
    count = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
    assert count < MAX_FDS - RESERVED_FDS


# LOST: gateways were killed for their memory, and all requests with them.
@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("crowd", CROWDS)
async def test_crowd_does_not_outgrow_the_memory(tmp_path, crowd, target):
    make, count = CROWDS[crowd]
    attribute, path = TARGETS[target]
    async with run_fleet(tmp_path, servers=1) as fleet:
        gateway = await start(fleet)
        async with Crowd(getattr(gateway, attribute)) as clients:
            await clients.open(count, make(path))
            await check_served(gateway)
        await check_served(gateway)
        check_memory(gateway)


# Each listener kept to a limit of its own; together they exceeded the memory.
async def test_crowds_at_all_listeners_share_one_limit(tmp_path):
    async with run_fleet(tmp_path, servers=1) as fleet:
        gateway = await start(fleet)
        crowds = [
            (Crowd(getattr(gateway, attribute)), path)
            for attribute, path in TARGETS.values()
        ]
        await asyncio.gather(
            *(one.open(8, stalled(path)) for one, path in crowds)
        )
        await check_served(gateway)
        for one, _ in crowds:
            await one.__aexit__()
        await check_served(gateway)
        check_memory(gateway)


SLOW = {
    "without-any-byte": [b""],
    "in-the-head": [head("/safe/1")[:40]],
    "in-the-body": [head("/safe/1", "Content-Length: 9") + b"x"],
    "reads-nothing": [head("/safe/1", method="GET")],
}


# Connections took all descriptors, so that none was left for servers, peers,
# the store and files.
@pytest.mark.parametrize("target", ["caller", "directory", "ready", "relay"])
@pytest.mark.parametrize("kind", SLOW)
async def test_crowd_leaves_descriptors(tmp_path, kind, target):
    async with run_fleet(tmp_path, servers=1) as fleet:
        gateway = await start(fleet, max_fds=MAX_FDS)
        resource.prlimit(
            gateway.process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
        )
        attribute, _ = TARGETS[target]
        async with Crowd(getattr(gateway, attribute)) as clients:
            await clients.open(MAX_FDS + 50, SLOW[kind])
            check_descriptors(gateway)
            await check_served(gateway)
            check_descriptors(gateway)
        await check_served(gateway)


# A machine of the smallest size still takes the largest body in calm.
async def test_largest_body_is_served_on_the_smallest_machine(tmp_path):
    async with run_fleet(tmp_path, servers=1) as fleet:
        document = config(2)
        document["Limits"]["MaxBodyBytes"] = 64 * MIB
        for rule in document["Listeners"][0]["Rules"]:
            rule["Action"]["TimeoutS"] = 30
        await fleet.put(**{"op/config": document})
        gateway = await fleet.add("g1", memory_mb=200)
        body = bytes(64 * MIB)
        async with aiohttp.ClientSession() as session:
            headers = {"Host": HOST, "Api-Key": "key", "Request-Id": "id-1"}
            url = f"http://{gateway.caller}/safe/1"
            # The stand-in returns the body of any other request.
            async with session.head(
                url, data=body, headers=headers
            ) as response:
                status = response.status
        assert status == 200
        assert status_kib(gateway.process, "VmHWM") < 200 * 1024
