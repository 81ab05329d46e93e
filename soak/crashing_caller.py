"""A caller whose request ends each server that runs it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator

import aiohttp

from soak.callers import DEADLINE_S, HOST
from soak.faults import Fault
from soak.fleet import CRASHING, SoakFleet
from soak.records import Call

CUSTOMER, KEY = "open", "open-0"


class CrashingCaller:
    """Sends one request again and again, at any gateway, with new ids.

    Args:
        fleet: The processes.
        fault: For how long, and whether the request may be repeated.
    """

    def __init__(self, fleet: SoakFleet, fault: Fault) -> None:
        self._fleet = fleet
        self._fault = fault
        self._rng = random.Random(fault.target)
        self._seen: set[tuple[str, str]] = set()
        self.path = f"/{fault.how}{CRASHING}{fault.target}-{fault.at}"

    async def run(self) -> None:
        """Sends the request each 0.3 to 0.5 s."""
        end = time.monotonic() + self._fault.for_s
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
        number = 0
        while time.monotonic() < end:
            number += 1
            gateway = self._rng.choice(self._fleet.gateways)
            call = Call(
                id=f"crash-{self.path}-{number}",
                gateway=gateway.name,
                customer=CUSTOMER,
                key=KEY,
                idempotent=self._fault.how == "safe",
                path=self.path,
                sent_at=time.time(),
            )
            self._fleet.history.calls.append(call)
            connector = aiohttp.TCPConnector(force_close=True)
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session:
                await self._send(session, gateway.caller, call)
            await asyncio.sleep(self._rng.uniform(0.3, 0.5))

    async def _send(
        self, session: aiohttp.ClientSession, address: str, call: Call
    ) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": call.id,
            "Api-Key": call.key,
            "Deadline-Remaining": str(round(DEADLINE_S * 1000)),
        }
        method = "GET" if call.idempotent else "POST"
        url = f"http://{address}{call.path}"
        try:
            async with session.request(
                method, url, headers=headers
            ) as response:
                await response.read()
                call.status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError):
            call.is_timeout = True
        finally:
            call.ended_at = time.time()

    def new_victims(self) -> Iterator[str]:
        """Yields the servers that began to run the request since last time."""
        for run in self._fleet.runs():
            if (
                run.target == self.path
                and (run.id, run.server) not in self._seen
            ):
                self._seen.add((run.id, run.server))
                yield run.server
