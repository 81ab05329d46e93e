"""Callers that send further requests before the first one is answered."""

from __future__ import annotations

import asyncio
import collections
import time

from soak.callers import DEADLINE_S, Caller, encode_call
from soak.records import Call

# Requests in flight on one connection.
DEPTH = 3
_PAUSE_S = 0.05
# A caller opens a new connection after about this many requests.
_STAY = 40


class PipeliningCaller(Caller):
    """Keeps repeatable requests in flight until its connection ends."""

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            gateway, address = self._rng.choice(
                sorted(self._gateways().items())
            )
            in_flight: collections.deque[Call] = collections.deque()
            try:
                await self._use_connection(gateway, address, in_flight)
            except (OSError, EOFError):
                pass
            except TimeoutError:
                in_flight[0].is_timeout = True
            for call in in_flight:
                call.ended_at = time.time()
            await asyncio.sleep(_PAUSE_S)

    async def _use_connection(
        self, gateway: str, address: str, in_flight: collections.deque[Call]
    ) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            is_open = True
            while is_open or in_flight:
                while is_open and len(in_flight) < DEPTH:
                    call = self._new_call(gateway)
                    in_flight.append(call)
                    writer.write(encode_call(call))
                    await asyncio.sleep(self._rng.uniform(0.0, _PAUSE_S))
                    is_open = self._rng.random() > 1 / _STAY
                async with asyncio.timeout(DEADLINE_S):
                    closes = await _read_response(reader, in_flight[0])
                in_flight.popleft().ended_at = time.time()
                if closes:
                    return
        finally:
            writer.close()

    def _new_call(self, gateway: str) -> Call:
        targets = [one for one in self._targets() if one.idempotent]
        target = self._rng.choice(targets)
        self._number += 1
        call = Call(
            id=f"{self._name}-{self._number}",
            gateway=gateway,
            customer=target.customer,
            key=target.key,
            idempotent=True,
            path=target.path,
            sent_at=time.time(),
        )
        self._calls.append(call)
        return call


async def _read_response(reader: asyncio.StreamReader, call: Call) -> bool:
    """Records the response to a call.

    Returns:
        Whether the connection ends after it.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in lines[1:])
    }
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    call.status = int(lines[0].split()[1])
    seal = fields.get("server-seal", "")
    call.server = seal.removeprefix("seal-")
    own = f"{call.server}:{call.id}:"
    call.is_whole = bool(seal) and body == own.encode()
    return fields.get("connection") == "close"
