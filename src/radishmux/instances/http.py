"""Instance list driver over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import Protocol

import aiohttp
import msgspec

from radishmux.instances.interface import Instance, instance_list_drivers
from radishmux.outcome import Unavailable

_PATH = "/v1/instances"
# Ten thousand instances of about 300 bytes each, with room to spare.
_MAX_BODY_BYTES = 8 * 1024 * 1024


class MetricsSink(Protocol):
    """Takes counters."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""


@instance_list_drivers.register("http")
class HttpInstanceList:
    """Reads the list with `GET /v1/instances`; an async context manager.

    Args:
        addresses: `ip:port` of each server of the list; tried in turn.
        metrics: Takes counts of the reads.
    """

    def __init__(self, addresses: Sequence[str], metrics: MetricsSink) -> None:
        self._addresses = tuple(addresses)
        self._metrics = metrics
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> HttpInstanceList:
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(
        self, timeout_s: float
    ) -> tuple[Instance, ...] | Unavailable:
        """Returns the instances that the platform names now.

        An entry that cannot be understood makes the whole answer unusable:
        an instance that is missing from the list counts as gone.
        """
        deadline = time.monotonic() + timeout_s
        failure = Unavailable("no address")
        for attempts_left in range(len(self._addresses), 0, -1):
            share_s = (deadline - time.monotonic()) / attempts_left
            if share_s <= 0:
                break
            answer = await self._read_one(share_s)
            if not isinstance(answer, Unavailable):
                self._metrics.count("instance_list_reads_total", outcome="ok")
                return answer
            failure = answer
            self._preferred = (self._preferred + 1) % len(self._addresses)
        self._metrics.count("instance_list_reads_total", outcome="failed")
        return failure

    async def _read_one(
        self, timeout_s: float
    ) -> tuple[Instance, ...] | Unavailable:
        if self._session is None:
            raise RuntimeError("HttpInstanceList is used outside its context")
        address = self._addresses[self._preferred]
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.get(f"http://{address}{_PATH}") as response,
            ):
                if response.status != 200:
                    return Unavailable(f"{address}: HTTP {response.status}")
                body = await _read_bounded(response)
                listed = msgspec.json.decode(body, type=list[Instance])
        except TimeoutError:
            return Unavailable(f"{address}: no answer in {timeout_s:.3f} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(f"{address}: {type(error).__name__}: {error}")
        return tuple(listed)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            raise ValueError("instance list is too long")
    return bytes(body)
