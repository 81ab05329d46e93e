"""Exchanges shift steps, stops and evidence with the other instances."""

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

# While the configuration contains a shift, each instance reads the shifts
# document and the controller lease once a second: 20 reads/s for 10 instances.
# A store that serves 2,000 reads/s therefore supports about 1,000 instances.
# Larger fleets need one reader per region that relays to the others.
READ_PERIOD_S = 1.0
EVIDENCE_PERIOD_S = 0.1
# A stop is sent again after this time to peers that have not acknowledged it.
RESEND_PERIOD_S = 0.25
PEER_TIMEOUT_S = 0.25


class Bus(Protocol):
    """Exchanges messages with the other instances (`peer.bus.PeerBus`)."""

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the known peers."""

    def handle(self, message_type: type) -> Any:
        """Returns a decorator that registers a handler."""

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message and returns the reply; falsy if unavailable."""

    async def broadcast(self, message: Any, timeout_s: float) -> Any:
        """Sends a message to all peers."""


class MetricsSink(Protocol):
    """Receives counters."""

    def count(self, name: str, amount: float = 1, **labels: Any) -> None:
        """Adds to a counter."""


class ShiftSync:
    """Keeps this instance's version chooser in sync with the fleet.

    An async context manager that runs background tasks while it is entered.

    Args:
        store: Holds the shifts document.
        bus: Sends messages to peers and receives theirs.
        config: The configuration in force.
        chooser: The version chooser of this instance.
        metrics: Receives counters.
        timeout_s: Timeout of each store call, in seconds.
        is_connected: Returns whether this instance is in contact with the
            store or with peers.
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
            loop = repeat(step, period_s, "shift synchronization")
            self._tasks.add(asyncio.create_task(loop))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in [*self._tasks, *self._senders.values()]:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def read(self) -> None:
        """Reads the shifts document once and passes it to the chooser."""
        entry = await self._store.get(SHIFTS_KEY, self._timeout_s)
        if not isinstance(entry, Entry):
            return
        try:
            document = decode(entry.value)
        except msgspec.DecodeError as error:
            logger.error(
                "shifts document {} at revision {} cannot be decoded: {}",
                SHIFTS_KEY,
                entry.revision,
                error,
            )
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
        logger.warning(
            "version {} of service {} stopped: {}",
            stop.version,
            stop.service,
            stop.reason,
        )
        key = (stop.service, stop.version)
        former_task = self._senders.pop(key, None)
        if former_task is not None:
            former_task.cancel()
        self._senders[key] = asyncio.create_task(self._send_stop(stop))

    async def _send_stop(self, stop: VersionStop) -> None:
        """Sends a stop repeatedly until all peers have acknowledged it."""
        message = messages.VersionStopped(
            service_name=stop.service,
            version=stop.version,
            route=stop.route,
            reason=stop.reason,
            epoch=stop.step,
        )
        acknowledged: set[str] = set()
        while self._is_configured(stop):
            pending = [
                peer for peer in self._bus.peers if peer not in acknowledged
            ]
            if not pending:
                return
            replies = await asyncio.gather(
                *(
                    self._bus.request(peer, message, PEER_TIMEOUT_S)
                    for peer in pending
                )
            )
            for peer, reply in zip(pending, replies, strict=True):
                if reply:
                    acknowledged.add(peer)
            if len(acknowledged) < len(self._bus.peers):
                await asyncio.sleep(RESEND_PERIOD_S)

    def _is_configured(self, stop: VersionStop) -> bool:
        """Returns whether a shift to the stopped version is configured."""
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
                    route=item.route,
                    errors=item.errors,
                    error_requests=item.error_requests,
                    latency=item.latency,
                    latency_requests=item.latency_requests,
                )
                for item in message.routes or ()
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
                route=item.route,
                errors=item.errors,
                error_requests=item.error_requests,
                latency=item.latency,
                latency_requests=item.latency_requests,
            )
            for item in bundle.evidence
        ],
    )
