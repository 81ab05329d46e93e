"""Choice of the version that serves an attempt; docs/design.md, 4.6."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from radishmux.config.model import Configuration, Shift, ShiftIntent
from radishmux.shift.counter import ShareCounter, to_ppm
from radishmux.shift.detector import RouteEvidence
from radishmux.shift.document import (
    SERVING_STATES,
    ShiftDocument,
    ShiftRecord,
    ShiftState,
)
from radishmux.shift.observation import Fault, Observation
from radishmux.steer.selector import ConfigSource


class FaultDetector(Protocol):
    """Finds faults of a new version (`shift.detector.Detector`)."""

    def observe(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        """Takes the outcome of one attempt and returns a fault, once."""

    def pop_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns evidence that the peers should have, and forgets it."""

    def merge(self, evidence: RouteEvidence) -> Fault | None:
        """Takes a peer's evidence and returns a fault, once."""

    @property
    def requests(self) -> int:
        """Requests of the new version known here."""


class VersionStop(msgspec.Struct, frozen=True, kw_only=True):
    """A version that gets no new request.

    Attributes:
        step: Sequence of the shift step in force where it was found.
    """

    service: str
    version: str
    route: str
    reason: str
    step: int


class EvidenceBundle(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on one version that instances pool.

    Attributes:
        step: Sequence of the shift step in force where it was found.
    """

    service: str
    version: str
    step: int
    evidence: tuple[RouteEvidence, ...]


class _Moving:
    """A shift in force on this instance.

    Each route has its own counter, so that a pattern in the order of requests
    cannot keep a route away from the new version.
    """

    __slots__ = ("record", "share_ppm", "counters", "detector")

    def __init__(
        self,
        record: ShiftRecord,
        share_ppm: int,
        detector: FaultDetector | None,
    ) -> None:
        self.record = record
        self.share_ppm = share_ppm
        self.counters: dict[str, ShareCounter] = {}
        self.detector = detector

    def decide(self, route: str) -> bool:
        counter = self.counters.get(route)
        if counter is None:
            counter = ShareCounter(self.share_ppm)
            self.counters[route] = counter
        return counter.decide()


class VersionChooser:
    """Chooses versions and watches their outcomes.

    The share in force is that of the shifts document, never above the cap in
    the configuration in force, and 0 from the moment the operator takes the
    shift back or a fault is known here.
    """

    def __init__(
        self,
        config: ConfigSource,
        new_detector: Callable[[str, str, int], FaultDetector] | None = None,
    ) -> None:
        self._new_detector = new_detector
        self._document = ShiftDocument()
        self._moving: dict[str, _Moving] = {}
        self._stops: dict[tuple[str, str], VersionStop] = {}
        self._stop_watchers: list[Callable[[VersionStop], None]] = []
        self._is_connected = True
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    @property
    def document(self) -> ShiftDocument:
        """The shifts document in force."""
        return self._document

    @property
    def stops(self) -> tuple[VersionStop, ...]:
        """Versions stopped on this instance."""
        return tuple(self._stops.values())

    def watch_stops(self, callback: Callable[[VersionStop], None]) -> None:
        """Calls `callback` for each fault found on this instance."""
        self._stop_watchers.append(callback)

    def choose(self, service: str, route: str, now: float) -> str:
        """Returns the version for one attempt; a retry is another attempt."""
        moving = self._moving.get(service)
        if moving is None:
            return self._stable.get(service, "")
        if not moving.share_ppm:
            return moving.record.from_version
        if not self._is_connected and self._can_return(moving.record):
            return moving.record.from_version
        if moving.decide(route):
            return moving.record.to_version
        return moving.record.from_version

    def set_connected(self, is_connected: bool) -> None:
        """Says whether a stop found elsewhere would reach this instance.

        While it would not, no request goes to a version that is being shifted,
        if the old version still has backend servers.
        """
        self._is_connected = is_connected

    def observe(self, observation: Observation, now: float) -> Fault | None:
        """Takes the outcome of an attempt; stops the version on a fault."""
        moving = self._moving.get(observation.service)
        if moving is None or moving.detector is None:
            return None
        is_new = observation.version == moving.record.to_version
        if not is_new and observation.version != moving.record.from_version:
            return None
        fault = moving.detector.observe(observation, is_new, now)
        return self._stop_for(fault, moving)

    def pop_evidence(self) -> tuple[EvidenceBundle, ...]:
        """Returns the evidence that all peers should have now."""
        bundles = []
        for moving in self._moving.values():
            if moving.detector is None or not moving.share_ppm:
                continue
            evidence = moving.detector.pop_evidence()
            if evidence:
                bundle = EvidenceBundle(
                    service=moving.record.service,
                    version=moving.record.to_version,
                    step=moving.record.step,
                    evidence=evidence,
                )
                bundles.append(bundle)
        return tuple(bundles)

    def on_evidence(self, bundle: EvidenceBundle) -> Fault | None:
        """Takes a peer's evidence; stops the version on a fault."""
        moving = self._moving.get(bundle.service)
        if moving is None or moving.detector is None:
            return None
        record = moving.record
        if bundle.version != record.to_version or bundle.step < record.started:
            return None
        for evidence in bundle.evidence:
            fault = moving.detector.merge(evidence)
            if fault is not None:
                return self._stop_for(fault, moving)
        return None

    def judged_requests(self, service: str) -> int:
        """Returns the known requests of the service's new version."""
        moving = self._moving.get(service)
        if moving is None or moving.detector is None:
            return 0
        return moving.detector.requests

    def _stop_for(self, fault: Fault | None, moving: _Moving) -> Fault | None:
        if fault is None or not moving.share_ppm:
            return None
        stop = VersionStop(
            service=fault.service,
            version=fault.version,
            route=fault.route,
            reason=fault.reason,
            step=moving.record.step,
        )
        self.on_stop(stop)
        for callback in self._stop_watchers:
            callback(stop)
        return fault

    def on_stop(self, stop: VersionStop) -> bool:
        """Takes a stop found here or by a peer.

        Returns:
            Whether it is news.
        """
        known = self._stops.get((stop.service, stop.version))
        if known is not None and known.step >= stop.step:
            return False
        self._stops[stop.service, stop.version] = stop
        self._apply()
        return True

    def on_document(self, document: ShiftDocument) -> bool:
        """Takes a shifts document.

        Returns:
            False when it is not newer than the one in force.
        """
        if document.sequence <= self._document.sequence:
            return False
        self._document = document
        self._apply()
        return True

    def on_configuration(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._stable = {
            service.name: service.stable_version
            for service in configuration.services
        }
        self._routes = {
            service.name: len(service.routes)
            for service in configuration.services
        }
        self._served = {
            (server.service, server.version)
            for server in configuration.backend_servers
        }
        self._shifts = {shift.name: shift for shift in configuration.shifts}
        self._apply()

    def _apply(self) -> None:
        before = self._moving
        self._moving = {}
        for record in sorted(self._document.shifts, key=_precedence):
            shift = self._shifts.get(record.name)
            if shift is None or record.state not in SERVING_STATES:
                continue
            share_ppm = self._share(record, shift)
            kept = before.get(record.service)
            self._moving[record.service] = self._next(kept, record, share_ppm)

    def _next(
        self, kept: _Moving | None, record: ShiftRecord, share_ppm: int
    ) -> _Moving:
        if kept is None or kept.record.started != record.started:
            return _Moving(record, share_ppm, self._detector(record))
        if kept.share_ppm == share_ppm:
            kept.record = record
            return kept
        return _Moving(record, share_ppm, kept.detector)

    def _detector(self, record: ShiftRecord) -> FaultDetector | None:
        if self._new_detector is None:
            return None
        routes = self._routes.get(record.service, 1)
        return self._new_detector(record.service, record.to_version, routes)

    def _share(self, record: ShiftRecord, shift: Shift) -> int:
        if shift.intent is ShiftIntent.TAKE_BACK:
            return 0
        stop = self._stops.get((record.service, record.to_version))
        stopped = stop is not None and stop.step >= record.started
        if stopped and self._can_return(record):
            return 0
        if (shift.service, shift.to_version) != (
            record.service,
            record.to_version,
        ):
            return 0
        return min(record.share_ppm, record.cap_ppm, to_ppm(shift.cap))

    def _can_return(self, record: ShiftRecord) -> bool:
        """Whether the old version has a backend server."""
        return (record.service, record.from_version) in self._served


def _precedence(record: ShiftRecord) -> tuple[bool, int]:
    """A shift in progress replaces a finished one, a later an earlier."""
    return record.state is not ShiftState.DONE, record.started
