"""Crowds of misbehaving clients at the listeners of an instance's process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys

import aiohttp
import pytest

from tests.gateway.crowd import Crowd, status_kib
from tests.request_node import headers
from tests.request_parts import backend_process

pytestmark = pytest.mark.crowd

MEMORY_MB = 200
MAX_FDS = 400
RESERVED_FDS = 200
SERVED_WITHIN_S = 30.0
HEAD = b"POST /poles/write HTTP/1.1\r\nHost: a\r\nX-Radishmux-Key: secret\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FIELDS = b"".join(b"%x:%x\r\n" % (n, n) for n in range(0x100, 0x600))

# By name: what each connection sends, and their number.
CROWDS = {
    "chunks": (CHUNKED + b"2\r\nab\r\n" * 600, 300),
    "stalled": (
        HEAD + b"Content-Length: 4000000\r\n\r\n" + b"x" * 3999999,
        700,
    ),
    "fields": (HEAD + FIELDS[: 15 * 1024], 600),
    "pipelined": (b"GET /poles/a HTTP/1.1\r\nHost: a\r\n\r\n" * 40, 300),
    "many-chunks": (CHUNKED + b"2\r\nab\r\n" * 32_000, 300),
    "many-pipelined": (
        b"GET /poles/a HTTP/1.1\r\nHost: a\r\n\r\n" * 9_000,
        300,
    ),
}


class NodeProcess:
    """A process with the request path of an instance."""

    def __init__(self, process, caller, peer):
        self.process = process
        self.caller = caller
        self.peer = peer

    async def check_served(self):
        """An ordinary request is answered."""
        url = f"http://{self.caller}/poles/a"
        async with asyncio.timeout(SERVED_WITHIN_S):
            while True:
                connector = aiohttp.TCPConnector(force_close=True)
                with contextlib.suppress(aiohttp.ClientError):
                    async with (
                        aiohttp.ClientSession(connector=connector) as session,
                        session.get(url, headers=headers()) as response,
                    ):
                        if response.status == 200:
                            break
                await asyncio.sleep(0.1)
        assert self.process.returncode is None


@contextlib.asynccontextmanager
async def run_process(tmp_path):
    """Runs an instance whose process may open MAX_FDS descriptors."""
    async with backend_process() as backend:
        command = (
            f'ulimit -n {MAX_FDS}; exec "$0" -m tests.node_process --name n1'
            f" --members {tmp_path}/members --server b1={backend.address}"
        )
        process = await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            command,
            sys.executable,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": "src:."},
        )
        try:
            line = await asyncio.wait_for(process.stdout.readline(), 20)
            _, caller, peer = line.decode().split()
            yield NodeProcess(process, caller, peer)
        finally:
            process.kill()
            await process.wait()


# The process outgrew its memory, and took all descriptors.
@pytest.mark.parametrize("listener", ["caller", "peer"])
@pytest.mark.parametrize("crowd", CROWDS)
async def test_crowd_leaves_memory_and_descriptors(tmp_path, crowd, listener):
    sent, count = CROWDS[crowd]
    async with run_process(tmp_path) as node:
        async with Crowd(getattr(node, listener)) as clients:
            await clients.open(count, [sent])
            await node.check_served()
            open_fds = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        await node.check_served()
        assert status_kib(node.process, "VmHWM") < MEMORY_MB * 1024
        assert open_fds < MAX_FDS - RESERVED_FDS
