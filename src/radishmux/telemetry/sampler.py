"""Samples what has no event of its own: the process and states of parts."""

from __future__ import annotations

import asyncio
import os
import pathlib
import resource
from collections.abc import Callable, Mapping
from typing import Protocol

from radishmux.clock import Clock
from radishmux.telemetry.metrics import Metrics

SAMPLE_PERIOD_S = 1.0
# A timer this late means that the process was stopped or the machine is
# overloaded; heartbeats are missed from there on.
PAUSE_S = 1.0

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Traffic(Protocol):
    """What this part needs of peer.bus.PeerBus.traffic."""

    sent_bytes: int
    sent_messages: int
    received_bytes: int
    received_messages: int


class Sampler:
    """Background task that sets gauges once a second.

    An async context manager.

    Args:
        metrics: Takes the samples.
        clock: Monotonic clock.
        traffic: Control traffic, counted since the start.
        gauges: Functions that return the value of a gauge, by its name.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        traffic: Traffic,
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._traffic = traffic
        self._gauges = dict(gauges)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Sampler:
        self.sample()
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def sample(self) -> None:
        """Sets all gauges now."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(_STATM.read_text(encoding="ascii").split()[1])
        self._metrics.set("resident_bytes", pages * _PAGE_BYTES)
        self._metrics.set("cpu_seconds", usage.ru_utime + usage.ru_stime)
        for name, read in self._gauges.items():
            self._metrics.set(name, float(read()))
        self._count_traffic()

    def note_delay(self, delay_s: float) -> None:
        """Records how late the last timer was."""
        self._metrics.set("event_loop_delay_seconds", max(0.0, delay_s))
        if delay_s >= PAUSE_S:
            self._metrics.count("pauses_total")

    def _count_traffic(self) -> None:
        traffic = self._traffic
        totals = (
            ("sent", traffic.sent_bytes, traffic.sent_messages),
            ("received", traffic.received_bytes, traffic.received_messages),
        )
        for direction, size, messages in totals:
            series = self._metrics.series(
                "control_bytes_total", direction=direction
            )
            series.value = size
            series = self._metrics.series(
                "control_messages_total", direction=direction
            )
            series.value = messages

    async def _run(self) -> None:
        while True:
            started = self._clock.now()
            await asyncio.sleep(SAMPLE_PERIOD_S)
            self.note_delay(self._clock.now() - started - SAMPLE_PERIOD_S)
            self.sample()
