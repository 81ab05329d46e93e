"""Controls the shifts: one instance at a time plans and writes their steps."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec
from loguru import logger

from radishmux.clock import Clock
from radishmux.config.model import Configuration
from radishmux.outcome import NotFound, Unavailable, Unknown
from radishmux.shift.chooser import VersionChooser, VersionStop
from radishmux.shift.document import (
    FINAL_STATES,
    SHIFTS_KEY,
    ShiftDocument,
    ShiftRecord,
    decode,
    encode,
)
from radishmux.shift.lease import ControllerLease
from radishmux.shift.plan import Measurements, Planner
from radishmux.steer.region import RegionLoads
from radishmux.steer.selector import ConfigSource
from radishmux.store.interface import Entry, Store

PERIOD_S = 1.0


class MetricsSink(Protocol):
    """Receives counters and gauges."""

    def count(self, name: str, amount: float = 1, **labels: Any) -> None:
        """Adds to a counter."""

    def set(self, name: str, value: float, **labels: Any) -> None:
        """Sets a gauge."""


def next_document(
    document: ShiftDocument,
    configuration: Configuration,
    measure: Callable[[ShiftRecord], Measurements],
    stops: Mapping[tuple[str, str], VersionStop],
    planner: Planner,
    now: float,
) -> ShiftDocument:
    """Returns the document after the steps that are due now.

    Args:
        document: The document in the store.
        configuration: The configuration in force, with the operators' shifts.
        measure: Returns the measurements for a shift.
        stops: Known stops by service and version.
        planner: Plans the steps of a single shift.
        now: Unix time.

    Returns:
        The next document, or `document` itself if no step is due.
    """
    sequence = document.sequence + 1
    known = {record.name: record for record in document.shifts}
    busy = {
        record.service
        for record in document.shifts
        if record.state not in FINAL_STATES
    }
    records = []
    for shift in configuration.shifts:
        before = known.get(shift.name)
        record = before
        if record is None:
            in_progress = shift.service in busy
            record = planner.propose(shift, sequence, in_progress, now)
            busy.add(shift.service)
        stop = stops.get((record.service, record.to_version))
        record = planner.advance(record, shift, measure(record), stop, now)
        if before is None or record.share_ppm != before.share_ppm:
            record = msgspec.structs.replace(record, step=sequence)
        records.append(record)
    if tuple(records) == document.shifts:
        return document
    return msgspec.structs.replace(
        document, sequence=sequence, shifts=tuple(records)
    )


class Controller:
    """Runs on every instance and acts while it holds the controller lease.

    An async context manager that runs a background task while it is entered.
    Every write is a compare-and-swap on the document's revision. The first
    write under a lease raises the fencing epoch, so that a late write of a
    former holder fails on its outdated revision.

    Args:
        instance: Name of this instance.
        incarnation: Incarnation of this instance.
        store: Holds the lease and the shifts document.
        config: The configuration in force.
        chooser: The version chooser of this instance.
        loads: Loads of the regions, as reported by heartbeats.
        clock: Monotonic time.
        metrics: Receives counters and gauges.
        planner: Plans the steps of a single shift.
        wall: Returns the Unix time.
        timeout_s: Timeout of each store call, in seconds.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        store: Store,
        config: ConfigSource,
        chooser: VersionChooser,
        loads: RegionLoads,
        clock: Clock,
        metrics: MetricsSink,
        planner: Planner | None = None,
        wall: Callable[[], float] = time.time,
        timeout_s: float = 1.0,
    ) -> None:
        self._writer = f"{instance}:{incarnation}"
        self._store = store
        self._config = config
        self._chooser = chooser
        self._loads = loads
        self._metrics = metrics
        self._planner = planner or Planner()
        self._wall = wall
        self._timeout_s = timeout_s
        self._lease = ControllerLease(
            instance, incarnation, store, clock, timeout_s
        )
        self._epoch: int | None = None
        self._writes = itertools.count(1)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Controller:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self._lease.release()

    async def _run(self) -> None:
        while True:
            try:
                await self.step()
            except Exception as error:
                # The task must go on: without it no shift is ever changed.
                logger.error("shift controller step failed: {!r}", error)
            await asyncio.sleep(PERIOD_S)

    async def step(self) -> bool:
        """Plans and writes the steps that are due, under the lease.

        Returns:
            Whether this instance holds the lease.
        """
        if not self._is_needed():
            self._epoch = None
            await self._lease.release()
            return False
        held = await self._lease.ensure()
        self._metrics.set("controller_held", float(held))
        if not held:
            self._epoch = None
            return False
        entry = await self._store.get(SHIFTS_KEY, self._timeout_s)
        if isinstance(entry, NotFound):
            await self._advance(ShiftDocument(), 0)
        elif isinstance(entry, Entry):
            await self._advance(decode(entry.value), entry.revision)
        return True

    def _is_needed(self) -> bool:
        """Returns whether there is a shift to advance or a record to remove."""
        if self._config.current.shifts:
            return True
        return bool(self._chooser.document.shifts)

    async def _advance(self, document: ShiftDocument, revision: int) -> None:
        """Writes the next document if a step is due or the epoch is old."""
        self._chooser.on_document(document)
        if self._epoch is not None and document.epoch != self._epoch:
            # Another instance has written, so the lease expired unnoticed.
            self._epoch = None
            await self._lease.release()
            return
        stops = {
            (stop.service, stop.version): stop for stop in self._chooser.stops
        }
        planned = next_document(
            document,
            self._config.current,
            self._measure,
            stops,
            self._planner,
            self._wall(),
        )
        if self._epoch is None:
            planned = msgspec.structs.replace(
                planned,
                epoch=document.epoch + 1,
                sequence=document.sequence + 1,
            )
        if planned is not document:
            await self._write(document, planned, revision)

    async def _write(
        self, before: ShiftDocument, after: ShiftDocument, revision: int
    ) -> None:
        writer = f"{self._writer}:{next(self._writes)}"
        after = msgspec.structs.replace(after, writer=writer)
        value = encode(after)
        # The process may have been suspended since the lease was renewed.
        if not self._lease.is_held():
            self._epoch = None
            return
        result: object = await self._store.compare_and_swap(
            SHIFTS_KEY, revision, value, self._timeout_s
        )
        if isinstance(result, Unknown):
            result = await self._read_back(writer)
        if not isinstance(result, Entry):
            # The write failed or its result is unknown. The next step starts
            # from the document in the store.
            self._epoch = None
            return
        self._epoch = after.epoch
        self._chooser.on_document(after)
        self._report_changes(before, after)

    async def _read_back(self, writer: str) -> Entry | None:
        """Returns the entry if a write with unknown result has succeeded."""
        entry = await self._store.get(SHIFTS_KEY, self._timeout_s)
        if isinstance(entry, Unavailable):
            return None
        return entry if decode(entry.value).writer == writer else None

    def _report_changes(
        self, before: ShiftDocument, after: ShiftDocument
    ) -> None:
        """Updates the metrics and logs each shift that changed its state."""
        states = {record.name: record.state for record in before.shifts}
        for record in after.shifts:
            self._metrics.set(
                "shift_share",
                record.share_ppm / 1e6,
                service=record.service,
                version=record.to_version,
            )
            if states.get(record.name) is record.state:
                continue
            self._metrics.count("shift_changes_total", state=record.state.value)
            logger.info(
                "shift {} is now {}: {}",
                record.name,
                record.state.value,
                record.reason,
            )

    def _measure(self, record: ShiftRecord) -> Measurements:
        """Returns the measurements that heartbeats report for a service.

        Cells report the sum of their ready slots over all versions. The ready
        slots of the new version are therefore estimated as its configured
        slots times the ready fraction of all configured slots.
        """
        configured_by_region: dict[str, int] = {}
        new_slots = 0
        for server in self._config.current.backend_servers:
            if server.service != record.service:
                continue
            slots = configured_by_region.get(server.region, 0)
            configured_by_region[server.region] = slots + server.slots
            new_slots += server.slots * (server.version == record.to_version)
        loads = [
            self._loads.region_load(record.service, region)
            for region in configured_by_region
        ]
        judged_requests = self._chooser.judged_requests(record.service)
        reported = [load for load in loads if load is not None]
        if not reported:
            return Measurements(
                configured_slots=new_slots, judged_requests=judged_requests
            )
        ready_fraction = min(
            1.0,
            sum(load.slots for load in reported)
            / max(1, sum(configured_by_region.values())),
        )
        return Measurements(
            configured_slots=new_slots,
            ready_slots=new_slots * ready_fraction,
            demand_slots=sum(load.in_use + load.queued for load in reported),
            judged_requests=judged_requests,
        )
