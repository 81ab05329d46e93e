"""Samples what has no event of its own: the process and the instance."""

from __future__ import annotations

import asyncio
import os
import pathlib
import resource
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from radishmux.clock import Clock
from radishmux.telemetry.metrics import Metrics

SAMPLE_PERIOD_S = 1.0
# A timer this late means that the process was stopped or the machine is
# overloaded; heartbeats are missed from there on.
PAUSE_S = 1.0

_PEER_STATES = ("joining", "live", "suspect", "dead")

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Traffic(Protocol):
    """What this part needs of peer.bus.PeerBus.traffic."""

    sent_bytes: int
    sent_messages: int
    received_bytes: int
    received_messages: int


class Status(Protocol):
    """What this part needs of status.Status."""

    ready: bool
    leaving: bool
    store_contact_age_s: float
    store_out_for_all: bool
    holds_permit: bool
    weight: int
    peers: dict[str, str]
    cells: Sequence[Any]


class Sampler:
    """Background task that sets gauges once a second.

    An async context manager.

    Args:
        metrics: Takes the samples.
        clock: Monotonic clock.
        traffic: Control traffic, counted since the start.
        status: Returns the state of the instance.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        traffic: Traffic,
        status: Callable[[], Status],
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._traffic = traffic
        self._status = status
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
        self._set_status(self._status())
        self._count_traffic()

    def record_timer_delay(self, delay_s: float) -> None:
        """Records how late the last timer was."""
        self._metrics.set("event_loop_delay_seconds", max(0.0, delay_s))
        if delay_s >= PAUSE_S:
            self._metrics.count("pauses_total")

    def _set_status(self, status: Status) -> None:
        metrics = self._metrics
        metrics.set("ready", status.ready)
        metrics.set("leaving", status.leaving)
        metrics.set("store_contact_age_seconds", status.store_contact_age_s)
        metrics.set("store_out_for_all", status.store_out_for_all)
        metrics.set("permit_held", status.holds_permit)
        metrics.set("roster_weight", status.weight)
        metrics.set("cells_held", len(status.cells))
        states = Counter(status.peers.values())
        for state in _PEER_STATES:
            metrics.set("peers", states[state], state=state)

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
            self.record_timer_delay(
                self._clock.now() - started - SAMPLE_PERIOD_S
            )
            self.sample()
