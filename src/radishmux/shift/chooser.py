"""Chooses the version that serves an attempt; docs/design.md, 4.6."""

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
    """Detects faults of a new version (`shift.detector.Detector`)."""

    def observe(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        """Adds the outcome of one attempt; returns a newly detected fault."""

    def pop_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns and clears the evidence to send to the peers."""

    def merge(self, evidence: RouteEvidence) -> Fault | None:
        """Adds a peer's evidence; returns a newly detected fault."""

    @property
    def requests(self) -> int:
        """Requests of the new version counted here or reported by peers."""


class VersionStop(msgspec.Struct, frozen=True, kw_only=True):
    """Stops a faulty version, which then gets no new requests.

    Attributes:
        service: Name of the service.
        version: The faulty version.
        route: Route on which the fault was found; `*` means all routes.
        reason: One sentence for people.
        step: `ShiftRecord.step` on the instance that found the fault.
    """

    service: str
    version: str
    route: str
    reason: str
    step: int


class EvidenceBundle(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on one version that an instance sends to its peers.

    Attributes:
        service: Name of the service.
        version: The new version.
        step: `ShiftRecord.step` on the instance that sends the evidence.
        evidence: Evidence by route.
    """

    service: str
    version: str
    step: int
    evidence: tuple[RouteEvidence, ...]


class _ActiveShift:
    """A shift in a serving state, as in force on this instance.

    Each route has its own counter. With a single counter, a pattern in the
    order of requests could keep a route from ever using the new version.
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
        """Returns whether an attempt goes to the new version."""
        counter = self.counters.get(route)
        if counter is None:
            counter = ShareCounter(self.share_ppm)
            self.counters[route] = counter
        return counter.decide()


class VersionChooser:
    """Chooses versions and passes their outcomes to fault detectors.

    The share in force is that of the shifts document, limited by the cap in
    the configuration in force. It is 0 once the configuration takes the shift
    back. It is also 0 once this instance knows of a fault, if the old version
    still has backend servers.

    Args:
        config: The configuration in force.
        new_detector: Creates a detector from the service, the new version and
            the number of routes; None: faults are not detected.
    """

    def __init__(
        self,
        config: ConfigSource,
        new_detector: Callable[[str, str, int], FaultDetector] | None = None,
    ) -> None:
        self._new_detector = new_detector
        self._document = ShiftDocument()
        self._active_shifts: dict[str, _ActiveShift] = {}
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
        """Returns the version for one attempt; a retry is another attempt.

        Args:
            service: Name of the service.
            route: Name of the route.
            now: Monotonic seconds.
        """
        active = self._active_shifts.get(service)
        if active is None:
            return self._stable_versions.get(service, "")
        if not active.share_ppm:
            return active.record.from_version
        if not self._is_connected and self._can_return(active.record):
            return active.record.from_version
        if active.decide(route):
            return active.record.to_version
        return active.record.from_version

    def set_connected(self, is_connected: bool) -> None:
        """Sets whether stops found elsewhere can reach this instance.

        While they cannot, no request goes to the new version of a shift if the
        old version still has backend servers.
        """
        self._is_connected = is_connected

    def observe(self, observation: Observation, now: float) -> Fault | None:
        """Adds the outcome of an attempt; stops the version on a fault.

        Args:
            observation: The outcome.
            now: Monotonic seconds.

        Returns:
            The fault that the outcome completes, if any.
        """
        active = self._active_shifts.get(observation.service)
        if active is None or active.detector is None:
            return None
        is_new = observation.version == active.record.to_version
        if not is_new and observation.version != active.record.from_version:
            return None
        fault = active.detector.observe(observation, is_new, now)
        return self._stop_for(fault, active)

    def pop_evidence(self) -> tuple[EvidenceBundle, ...]:
        """Returns and clears the evidence to send to all peers."""
        bundles = []
        for active in self._active_shifts.values():
            if active.detector is None or not active.share_ppm:
                continue
            evidence = active.detector.pop_evidence()
            if evidence:
                bundle = EvidenceBundle(
                    service=active.record.service,
                    version=active.record.to_version,
                    step=active.record.step,
                    evidence=evidence,
                )
                bundles.append(bundle)
        return tuple(bundles)

    def on_evidence(self, bundle: EvidenceBundle) -> Fault | None:
        """Adds a peer's evidence; stops the version on a fault.

        Evidence on another version or from an earlier shift is ignored.
        """
        active = self._active_shifts.get(bundle.service)
        if active is None or active.detector is None:
            return None
        record = active.record
        if bundle.version != record.to_version or bundle.step < record.started:
            return None
        for evidence in bundle.evidence:
            fault = active.detector.merge(evidence)
            if fault is not None:
                return self._stop_for(fault, active)
        return None

    def judged_requests(self, service: str) -> int:
        """Returns how many requests of the new version were judged."""
        active = self._active_shifts.get(service)
        if active is None or active.detector is None:
            return 0
        return active.detector.requests

    def _stop_for(
        self, fault: Fault | None, active: _ActiveShift
    ) -> Fault | None:
        """Stops the version if there is a fault and it gets requests."""
        if fault is None or not active.share_ppm:
            return None
        stop = VersionStop(
            service=fault.service,
            version=fault.version,
            route=fault.route,
            reason=fault.reason,
            step=active.record.step,
        )
        self.on_stop(stop)
        for callback in self._stop_watchers:
            callback(stop)
        return fault

    def on_stop(self, stop: VersionStop) -> bool:
        """Applies a stop found by this instance or by a peer.

        Returns:
            False when this stop or a later one is already known.
        """
        known = self._stops.get((stop.service, stop.version))
        if known is not None and known.step >= stop.step:
            return False
        self._stops[stop.service, stop.version] = stop
        self._apply()
        return True

    def on_document(self, document: ShiftDocument) -> bool:
        """Puts a shifts document in force.

        Returns:
            False when it is not newer than the one in force.
        """
        if document.sequence <= self._document.sequence:
            return False
        self._document = document
        self._apply()
        return True

    def on_configuration(self, configuration: Configuration) -> None:
        """Puts a new configuration in force."""
        self._stable_versions = {
            service.name: service.stable_version
            for service in configuration.services
        }
        self._route_counts = {
            service.name: len(service.routes)
            for service in configuration.services
        }
        self._served_versions = {
            (server.service, server.version)
            for server in configuration.backend_servers
        }
        self._shifts = {shift.name: shift for shift in configuration.shifts}
        self._apply()

    def _apply(self) -> None:
        """Updates the active shifts after any of their inputs has changed."""
        before = self._active_shifts
        self._active_shifts = {}
        for record in sorted(self._document.shifts, key=_precedence):
            shift = self._shifts.get(record.name)
            if shift is None or record.state not in SERVING_STATES:
                continue
            share_ppm = self._share_ppm(record, shift)
            former = before.get(record.service)
            self._active_shifts[record.service] = self._update(
                former, record, share_ppm
            )

    def _update(
        self, former: _ActiveShift | None, record: ShiftRecord, share_ppm: int
    ) -> _ActiveShift:
        """Returns the active shift for a record.

        The detector is kept during a shift, and the counters are kept while
        the share stays the same.
        """
        if former is None or former.record.started != record.started:
            return _ActiveShift(
                record, share_ppm, self._create_detector(record)
            )
        if former.share_ppm == share_ppm:
            former.record = record
            return former
        return _ActiveShift(record, share_ppm, former.detector)

    def _create_detector(self, record: ShiftRecord) -> FaultDetector | None:
        if self._new_detector is None:
            return None
        routes = self._route_counts.get(record.service, 1)
        return self._new_detector(record.service, record.to_version, routes)

    def _share_ppm(self, record: ShiftRecord, shift: Shift) -> int:
        """Returns the share in force, in parts per million."""
        if shift.intent is ShiftIntent.TAKE_BACK:
            return 0
        stop = self._stops.get((record.service, record.to_version))
        is_stopped = stop is not None and stop.step >= record.started
        if is_stopped and self._can_return(record):
            return 0
        if (shift.service, shift.to_version) != (
            record.service,
            record.to_version,
        ):
            return 0
        return min(record.share_ppm, record.cap_ppm, to_ppm(shift.cap))

    def _can_return(self, record: ShiftRecord) -> bool:
        """Returns whether the old version still has a backend server."""
        return (record.service, record.from_version) in self._served_versions


def _precedence(record: ShiftRecord) -> tuple[bool, int]:
    """Returns a sort key; the last record of a service takes precedence.

    A shift in progress precedes one that is done, and a later shift precedes
    an earlier one.
    """
    return record.state is not ShiftState.DONE, record.started
