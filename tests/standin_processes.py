"""Starts stand-ins as processes for tests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp

from bench.fleet import free_addresses

_ROOT = pathlib.Path(__file__).parent.parent
_READY_S = 20.0


class StandIn:
    """A running stand-in."""

    def __init__(
        self, process: asyncio.subprocess.Process, addresses: list[str]
    ) -> None:
        self.process = process
        self.addresses = addresses

    @property
    def address(self) -> str:
        """The first address."""
        return self.addresses[0]

    async def control(self, **change: Any) -> dict[str, Any]:
        """Sets faults."""
        url = f"http://{self.address}/control"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=change) as response:
                response.raise_for_status()
                return await response.json()

    async def show(self) -> dict[str, Any]:
        """Returns counts and faults."""
        url = f"http://{self.address}/control"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return await response.json()


async def run_module(module: str, *arguments: str) -> bytes:
    """Runs `python -m <module>` to its end and returns what it printed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        cwd=_ROOT,
        env=os.environ | {"PYTHONPATH": f"{_ROOT}/src:{_ROOT}"},
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    assert process.returncode == 0, printed
    return printed


@contextlib.asynccontextmanager
async def standin(
    module: str,
    listen: Sequence[str] = (),
    arguments: Sequence[str] = (),
) -> AsyncIterator[StandIn]:
    """Runs `python -m standins.<module>` until the block ends.

    Without `listen` it has an address that nothing else uses after its end:
    clients that still connect to it are refused and reach no other test.
    """
    listen = listen or free_addresses(1)
    options = [part for one in listen for part in ("--listen", one)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"standins.{module}",
        *options,
        *arguments,
        cwd=_ROOT,
        env=os.environ | {"PYTHONPATH": f"{_ROOT}/src:{_ROOT}"},
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        addresses = []
        async with asyncio.timeout(_READY_S):
            for _ in listen:
                line = (await process.stdout.readline()).decode().split()
                assert line[0] == "listening", line
                addresses.append(line[1])
        yield StandIn(process, addresses)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
