"""Plays one schedule and checks what was seen."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time

import msgspec

from soak.callers import DEADLINE_S, Caller
from soak.checks import RECOVERY_S, Violation, violations
from soak.component_injector import ComponentInjector
from soak.faults import Schedule
from soak.fleet import RATES, SoakFleet
from soak.pipelining_caller import PipeliningCaller
from soak.records import History
from soak.stall_monitor import StallMonitor

CALLERS = 10
PIPELINING_CALLERS = 3
# Load after the faults and the users' time for recovery.
CALM_S = 2.0


class Outcome(msgspec.Struct, kw_only=True):
    """Result of one run.

    Attributes:
        schedule: The faults.
        violations: Broken rules.
        calls: Requests of callers.
        served: Those that were answered with 200.
        runs: Requests that servers ran.
        history: All records.
    """

    schedule: Schedule
    violations: list[Violation]
    calls: int
    served: int
    runs: int
    history: History


async def play(
    schedule: Schedule, folder: pathlib.Path, recovery_s: float = RECOVERY_S
) -> Outcome:
    """Plays a schedule.

    Args:
        schedule: The faults.
        folder: An empty folder for logs and records.
        recovery_s: Load after the last fault; less than the users' time for
            recovery leaves RECOVER unchecked.
    """
    history = History(
        rates={name: rate for name, rate in RATES.items() if rate[0]}
    )
    async with (
        StallMonitor(history.stalls),
        SoakFleet(
            folder,
            schedule.gateways,
            schedule.servers,
            schedule.full_mesh_max,
            history,
        ) as fleet,
    ):
        callers = [
            asyncio.create_task(
                Caller(
                    f"c{n}",
                    random.Random(f"{schedule.seed}/{n}"),
                    lambda: fleet.callers_addresses,
                    fleet.targets,
                    history.calls,
                ).run()
            )
            for n in range(CALLERS)
        ]
        callers += [
            asyncio.create_task(
                PipeliningCaller(
                    f"p{n}",
                    random.Random(f"{schedule.seed}/p{n}"),
                    lambda: fleet.callers_addresses,
                    fleet.targets,
                    history.calls,
                ).run()
            )
            for n in range(PIPELINING_CALLERS)
        ]
        await ComponentInjector(fleet, schedule).run()
        history.faults_end = time.time()
        await asyncio.sleep(recovery_s + CALM_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(min(1.0, DEADLINE_S))
        history.ended_at = time.time()
        history.runs = fleet.runs()
        history.arrivals = fleet.arrivals()
        history.duty_calls = await fleet.duty_calls()
        record = msgspec.json.encode(history.duty_calls)
        (folder / "duty-calls.json").write_bytes(record)
    return Outcome(
        schedule=schedule,
        violations=violations(history),
        calls=len(history.calls),
        served=sum(call.status == 200 for call in history.calls),
        runs=len(history.runs),
        history=history,
    )
