"""Callers that keep their connections until the gateway closes them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp

from soak.records import Call

HOST = "h.example"
DEADLINE_S = 3.0
# Pause of a caller between two requests, on the average.
THINK_S = 0.06
# A caller moves to another gateway after about this many requests.
_STAY = 40


class Target:
    """What a caller may send: a path, a customer and its key."""

    __slots__ = ("customer", "idempotent", "key", "path")

    def __init__(
        self, path: str, customer: str, key: str, idempotent: bool
    ) -> None:
        self.path = path
        self.customer = customer
        self.key = key
        self.idempotent = idempotent


class Caller:
    """Sends requests one after the other.

    Args:
        name: Prefix of its request ids.
        rng: Draws what it does.
        gateways: Returns the addresses of the gateways by name.
        targets: Returns what may be sent now.
        calls: Takes a record of each request.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        gateways: Callable[[], dict[str, str]],
        targets: Callable[[], list[Target]],
        calls: list[Call],
    ) -> None:
        self._name = name
        self._rng = rng
        self._gateways = gateways
        self._targets = targets
        self._calls = calls
        self._number = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            gateway, address = self._rng.choice(
                sorted(self._gateways().items())
            )
            connector = aiohttp.TCPConnector(limit=1)
            timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session:
                # The library would send a request a second time by itself.
                session._retry_connection = False
                while self._rng.random() > 1 / _STAY:
                    pause_s = self._rng.expovariate(1 / THINK_S)
                    await asyncio.sleep(pause_s)
                    if not await self._send(session, gateway, address):
                        break

    async def _send(
        self, session: aiohttp.ClientSession, gateway: str, address: str
    ) -> bool:
        """Sends one request; tells whether the connection goes on."""
        target = self._rng.choice(self._targets())
        self._number += 1
        call = Call(
            id=f"{self._name}-{self._number}",
            gateway=gateway,
            customer=target.customer,
            key=target.key,
            idempotent=target.idempotent,
            path=target.path,
            sent_at=time.time(),
        )
        self._calls.append(call)
        headers = {
            "Host": HOST,
            "Request-Id": call.id,
            "Api-Key": call.key,
            "Deadline-Remaining": str(round(DEADLINE_S * 1000)),
        }
        if self._rng.random() < 0.5:
            headers["Affinity-Key"] = str(self._rng.randrange(20))
        method, body = ("GET", None) if call.idempotent else ("POST", call.id)
        try:
            async with session.request(
                method,
                f"http://{address}{call.path}",
                headers=headers,
                data=body,
            ) as response:
                answer = await response.read()
                call.status = response.status
                seal = response.headers.get("Server-Seal", "")
                call.server = seal.removeprefix("seal-")
                own = f"{call.server}:{call.id}:{body or ''}"
                call.is_whole = bool(seal) and answer == own.encode()
        except TimeoutError:
            call.is_timeout = True
        except (aiohttp.ClientError, OSError):
            pass
        finally:
            call.ended_at = time.time()
        return call.status > 0


def encode_call(call: Call) -> bytes:
    """Returns the bytes of a request without a body."""
    method = "GET" if call.idempotent else "POST"
    return (
        f"{method} {call.path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {call.id}\r\nApi-Key: {call.key}\r\n"
        f"Deadline-Remaining: {round(DEADLINE_S * 1000)}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()
