"""Brings steps, stops and evidence to and from the other instances."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from loguru import logger

from radishmux.peer import messages
from radishmux.shift.chooser import EvidenceBundle, VersionChooser, VersionStop
from radishmux.shift.detector import RouteEvidence
from radishmux.shift.document import SHIFTS_KEY, decode
from radishmux.steer.selector import ConfigSource
from radishmux.store.interface import Entry, Store
from radishmux.tasks import repeat

# While the configuration names a shift, each instance reads this document and
# the controller lease once a second: 20 reads/s for 10 instances, so that a
# store of 2,000 reads/s bears about 1,000 instances. Larger fleets need one
# reader per region and a relay.
READ_PERIOD_S = 1.0
EVIDENCE_PERIOD_S = 0.1
# A stop that a peer has not acknowledged is sent again.
RESEND_PERIOD_S = 0.25
PEER_TIMEOUT_S = 0.25


class Bus(Protocol):
    """Messages between instances (`peer.bus.PeerBus`)."""

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the known peers."""

    def handle(self, message_type: type) -> Any:
        """Returns a decorator that registers a handler."""

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message to one peer; falsy when it is unavailable."""

    async def broadcast(self, message: Any, timeout_s: float) -> Any:
        """Sends a message to all peers."""


class MetricsSink(Protocol):
    """Takes counters."""

    def count(self, name: str, amount: float = 1, **labels: Any) -> None:
        """Adds to a counter."""


class ShiftSync:
    """Keeps this instance's chooser in step with the fleet.

    A background part: an async context manager.

    Args:
        store: Holds the shifts document.
        bus: Messages to and from peers.
        config: The configuration in force.
        chooser: The chooser of this instance.
        metrics: Takes counters.
        timeout_s: Of each store call.
        is_connected: Whether this instance hears from the store or from peers.
    """

    def __init__(
        self,
        *,
        store: Store,
        bus: Bus,
        config: ConfigSource,
        chooser: VersionChooser,
        metrics: MetricsSink,
        timeout_s: float = 1.0,
        is_connected: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_connected = is_connected
        self._store = store
        self._bus = bus
        self._config = config
        self._chooser = chooser
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._senders: dict[tuple[str, str], asyncio.Task[None]] = {}
        chooser.watch_stops(self._on_own_stop)
        bus.handle(messages.VersionStopped)(self._on_version_stopped)
        bus.handle(messages.VersionEvidence)(self._on_version_evidence)

    async def __aenter__(self) -> ShiftSync:
        for step, period_s in (
            (self._read_if_needed, READ_PERIOD_S),
            (self._send_evidence, EVIDENCE_PERIOD_S),
        ):
            loop = repeat(step, period_s, "spread of shifts")
            self._tasks.add(asyncio.create_task(loop))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in [*self._tasks, *self._senders.values()]:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def read(self) -> None:
        """Reads the shifts document once."""
        entry = await self._store.get(SHIFTS_KEY, self._timeout_s)
        if not isinstance(entry, Entry):
            return
        try:
            document = decode(entry.value)
        except msgspec.DecodeError as error:
            logger.error("shifts document is unreadable: {}", error)
            return
        self._chooser.on_document(document)

    async def _read_if_needed(self) -> None:
        if self._config.current.shifts or self._chooser.document.shifts:
            await self.read()

    async def _send_evidence(self) -> None:
        self._chooser.set_connected(self._is_connected())
        for bundle in self._chooser.pop_evidence():
            await self._bus.broadcast(_to_message(bundle), PEER_TIMEOUT_S)

    def _on_own_stop(self, stop: VersionStop) -> None:
        self._metrics.count(
            "versions_stopped_total",
            service=stop.service,
            version=stop.version,
            source="own",
        )
        logger.warning("version stopped: {}", stop.reason)
        key = (stop.service, stop.version)
        former = self._senders.pop(key, None)
        if former is not None:
            former.cancel()
        self._senders[key] = asyncio.create_task(self._send(stop))

    async def _send(self, stop: VersionStop) -> None:
        """Sends a stop to each peer until it has acknowledged."""
        message = messages.VersionStopped(
            service_name=stop.service,
            version=stop.version,
            route=stop.route,
            reason=stop.reason,
            epoch=stop.step,
        )
        acknowledged: set[str] = set()
        while self._is_wanted(stop):
            missing = [p for p in self._bus.peers if p not in acknowledged]
            if not missing:
                return
            replies = await asyncio.gather(
                *(
                    self._bus.request(peer, message, PEER_TIMEOUT_S)
                    for peer in missing
                )
            )
            for peer, reply in zip(missing, replies, strict=True):
                if reply:
                    acknowledged.add(peer)
            if len(acknowledged) < len(self._bus.peers):
                await asyncio.sleep(RESEND_PERIOD_S)

    def _is_wanted(self, stop: VersionStop) -> bool:
        return any(
            (shift.service, shift.to_version) == (stop.service, stop.version)
            for shift in self._config.current.shifts
        )

    async def _on_version_stopped(self, message: Any, sender: Any) -> Any:
        stop = VersionStop(
            service=message.service_name,
            version=message.version,
            route=message.route,
            reason=message.reason,
            step=message.epoch,
        )
        if self._chooser.on_stop(stop):
            self._metrics.count(
                "versions_stopped_total",
                service=stop.service,
                version=stop.version,
                source="peer",
            )
        return messages.Done(accepted=True, reason="")

    async def _on_version_evidence(self, message: Any, sender: Any) -> Any:
        bundle = EvidenceBundle(
            service=message.service_name,
            version=message.version,
            step=message.epoch,
            evidence=tuple(
                RouteEvidence(
                    route=one.route,
                    errors=one.errors,
                    error_requests=one.error_requests,
                    latency=one.latency,
                    latency_requests=one.latency_requests,
                )
                for one in message.routes or ()
            ),
        )
        self._chooser.on_evidence(bundle)
        return messages.Done(accepted=True, reason="")


def _to_message(bundle: EvidenceBundle) -> Any:
    return messages.VersionEvidence(
        service_name=bundle.service,
        version=bundle.version,
        epoch=bundle.step,
        routes=[
            messages.RouteEvidence(
                route=one.route,
                errors=one.errors,
                error_requests=one.error_requests,
                latency=one.latency,
                latency_requests=one.latency_requests,
            )
            for one in bundle.evidence
        ],
    )
