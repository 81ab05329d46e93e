"""Injects the faults of duties and of servers that lack capacity."""

from __future__ import annotations

import asyncio
import time

import msgspec

from soak.faults import Fault
from soak.fleet import SLOTS, WORK_MS
from soak.injector import INJECT, Injector, control
from soak.records import Disruption

# Longer than the first time limit of a call, shorter than the next one.
_SLOW_S = 2.5
# Longer than a lease and the acquisition by the next holder, which has made
# calls by then.
_LATE_S = 4.0
# Time in which calls reach the API before the holder ends.
_CALLS_S = 1.2
# The callers of a run need more than this at a few servers.
_CROWDED = {"slots": 1, "work_ms": 150.0}
_SOUND = {"down": "no", "delay_s": 0.0, "is_answer_lost": False}


class ComponentInjector(Injector):
    """Carries out a schedule with faults of the components."""

    @INJECT.register("holder_kill")
    @INJECT.register("holder_term")
    @INJECT.register("holder_pause")
    @INJECT.register("holder_store_link")
    async def _holder(self, fault: Fault) -> None:
        """Does to the latest holder what other faults do to any gateway."""
        kind = fault.kind.removeprefix("holder_")
        kind = kind if kind == "store_link" else f"gateway_{kind}"
        calls = await self._fleet.duty_calls()
        names = [gateway.name for gateway in self._fleet.gateways]
        target = names.index(calls[-1].holder) if calls else fault.target
        one = msgspec.structs.replace(fault, kind=kind, target=target)
        await INJECT[kind](self, one)

    @INJECT.register("api_down")
    async def _api_down(self, fault: Fault) -> None:
        change = {"delay_s": _SLOW_S} if fault.how == "slow" else None
        await self._set_api(fault, fault.for_s, change or {"down": fault.how})

    @INJECT.register("api_call_late")
    async def _api_call_late(self, fault: Fault) -> None:
        """Calls get no response and are executed after newer ones."""
        late = {"is_answer_lost": True, "delay_s": _LATE_S}
        await self._set_api(fault, _CALLS_S, late)
        if fault.how:
            await self._holder(msgspec.structs.replace(fault, kind=fault.how))

    async def _set_api(
        self, fault: Fault, for_s: float, change: dict[str, object]
    ) -> None:
        async with self._lock("api"):
            since = time.time()
            await self._fleet.api.control(**change)
            await asyncio.sleep(for_s)
            await self._fleet.api.control(**_SOUND)
            one = Disruption(
                kind=fault.kind, target="API", since=since, until=time.time()
            )
            self._fleet.history.api_faults.append(one)

    @INJECT.register("servers_crowded")
    async def _servers_crowded(self, fault: Fault) -> None:
        """All servers lack room, so that requests wait for them."""
        async with self._lock("capacity"):
            disruption = self._fleet.disrupt(fault.kind, "servers")
            await self._set_servers(**_CROWDED)
            await asyncio.sleep(fault.for_s)
            await self._set_servers(slots=SLOTS, work_ms=WORK_MS)
            disruption.until = time.time()

    async def _set_servers(self, **change: object) -> None:
        async with asyncio.TaskGroup() as group:
            for server in self._fleet.servers:
                group.create_task(control(server, **change))
