"""Callers that send requests and leave before they are answered."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from soak.callers import encode_call
from soak.faults import Fault
from soak.records import Call, History
from tests.departing_caller import LEAVE, DepartingCaller
from tests.gateway.fleet import Gateway

# Callers start in this interval; each sends some requests at once, more than a
# gateway reads at a time among them, and leaves soon.
_PAUSE_S = 0.05
_PIPELINED = (1, 1, 3, 20)
_STAY_S = (0.0, 0.01, 0.1)
_ROUTES = (("/safe/1", True), ("/unsafe/1", False))


class DepartingCallers:
    """Sends requests to one gateway from callers that leave.

    Args:
        gateway: The gateway.
        fault: Names how they leave; seeds what they do.
        history: Takes a record of each request.
    """

    def __init__(
        self, gateway: Gateway, fault: Fault, history: History
    ) -> None:
        self._gateway = gateway
        self._leave = LEAVE[fault.how]
        self._rng = random.Random(f"{fault.at}/{fault.target}")
        self._prefix = f"d{fault.at}-{fault.target}"
        self._history = history
        self._number = 0

    async def run(self, seconds: float) -> None:
        """Lets callers come and leave for some seconds."""
        until = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                group.create_task(self._call())
                await asyncio.sleep(_PAUSE_S)

    async def _call(self) -> None:
        path, idempotent = self._rng.choice(_ROUTES)
        count = self._rng.choice(_PIPELINED) if idempotent else 1
        calls = [self._new_call(path, idempotent) for _ in range(count)]
        # A gateway that has ended refuses the connection.
        with contextlib.suppress(OSError):
            caller = DepartingCaller(self._gateway.caller)
            self._history.calls.extend(calls)
            caller.send(b"".join(map(encode_call, calls)))
            await asyncio.sleep(self._rng.choice(_STAY_S))
            self._leave(caller)
            for call in calls:
                call.left_at = call.ended_at = time.time()

    def _new_call(self, path: str, idempotent: bool) -> Call:
        self._number += 1
        return Call(
            id=f"{self._prefix}-{self._number}",
            gateway=self._gateway.name,
            customer="open",
            key="open-0",
            idempotent=idempotent,
            path=path,
            sent_at=time.time(),
        )
