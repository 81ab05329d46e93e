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
# 10,000 instances of about 300 bytes each take 3 MB; the rest is
# headroom.
_MAX_BODY_BYTES = 8 * 1024 * 1024


class MetricsSink(Protocol):
    """Counts events."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""


@instance_list_drivers.register("http")
class HttpInstanceList:
    """Reads the list with `GET /v1/instances`; an async context manager.

    A server is used until a read from it fails; then the next one is tried.

    Args:
        addresses: `ip:port` of each server of the list.
        metrics: Receives `instance_list_reads_total`.
    """

    def __init__(self, addresses: Sequence[str], metrics: MetricsSink) -> None:
        self._addresses = tuple(addresses)
        self._metrics = metrics
        self._preferred_index = 0
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
        """Returns the instances that the platform lists now.

        A single malformed entry invalidates the whole response, since an
        instance that is missing from the list is considered gone.

        Args:
            timeout_s: Time for all servers together, in seconds.
        """
        deadline = time.monotonic() + timeout_s
        failure = Unavailable("no address configured")
        for attempts_left in range(len(self._addresses), 0, -1):
            attempt_timeout_s = (deadline - time.monotonic()) / attempts_left
            if attempt_timeout_s <= 0:
                break
            answer = await self._read_preferred(attempt_timeout_s)
            if not isinstance(answer, Unavailable):
                self._metrics.count("instance_list_reads_total", outcome="ok")
                return answer
            failure = answer
            self._preferred_index = (self._preferred_index + 1) % len(
                self._addresses
            )
        self._metrics.count("instance_list_reads_total", outcome="failed")
        return failure

    async def _read_preferred(
        self, timeout_s: float
    ) -> tuple[Instance, ...] | Unavailable:
        if self._session is None:
            raise RuntimeError(
                "HttpInstanceList is used outside its context manager"
            )
        address = self._addresses[self._preferred_index]
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.get(f"http://{address}{_PATH}") as response,
            ):
                if response.status != 200:
                    return Unavailable(f"{address}: HTTP {response.status}")
                body = await _read_bounded(response)
                instances = msgspec.json.decode(body, type=list[Instance])
        except TimeoutError:
            return Unavailable(f"{address}: no answer in {timeout_s:.3f} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(f"{address}: {type(error).__name__}: {error}")
        return tuple(instances)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            raise ValueError(
                f"instance list is longer than {_MAX_BODY_BYTES} bytes"
            )
    return bytes(body)
