"""A fleet's version decisions in virtual time, for the driver and the proofs.

The real choosers, detectors and planner run; requests, latencies and faults
are drawn from a seeded generator. Nothing else of the cluster is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

import msgspec

from radishmux.config.model import (
    BackendServer,
    Configuration,
    Route,
    Service,
    Shift,
)
from radishmux.shift.chooser import VersionChooser, VersionStop
from radishmux.shift.detector import Detector
from radishmux.shift.document import (
    ShiftDocument,
    ShiftRecord,
    ShiftState,
)
from radishmux.shift.observation import Observation
from radishmux.shift.plan import Measurements, Pace, Planner

SERVICE = "poles"
OLD, NEW = "v1", "v2"
ROUTES = ("status", "refill", "valve", "photo")
REGIONS = ("accra", "kumasi", "tamale")
PEER_DELAY_S = 0.06
DOCUMENT_PERIOD_S = 1.0
EVIDENCE_PERIOD_S = 0.1
BASE_LATENCY_S = 0.02


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One run.

    Attributes:
        error_rate: Error rate of the fault on the new version.
        slowdown: Factor of its latency.
        after_requests: Requests of the new version before the fault starts.
        from_share: Share from which the fault shows (under load).
        route: The only faulty route; None: all.
        old_error_rate: Errors of both versions.
        spread: Standard deviation of the logarithm of the latency.
        loaded_region: Whether one region is 3 times slower for 20 s.
        cold_requests: First requests of each new server that are slow.
        common_errors: Error rate of both versions for 5 s, such as from a
            database that both use.
        crashing_share: Share of requests that crash their server.
    """

    error_rate: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    from_share: float = 0.0
    route: str | None = None
    old_error_rate: float = 0.001
    spread: float = 0.35
    loaded_region: bool = False
    cold_requests: int = 0
    common_errors: float = 0.0
    crashing_share: float = 0.0
    rate_per_s: float = 300.0
    instances: int = 9
    cap: float = 0.5
    canary: float = 0.02
    deadline_s: float = 120.0
    limit_s: float = 130.0
    pace: Pace = Pace(min_step_s=4.0, verify_s=10.0)

    @property
    def is_bad(self) -> bool:
        """Whether the new version has a fault."""
        return self.error_rate > 0 or self.slowdown > 1


class Outcome(msgspec.Struct, kw_only=True):
    """What happened in one run.

    Attributes:
        stopped_at_s: Time of the first detection.
        done_at_s: Time at which the shift was done.
        exposed: Requests sent to the new version from the start of its fault
            to the last one sent.
        affected: Those on faulty routes.
        judged_exposed: `affected` when the fault was detected.
        late_on_detector: Requests that the detecting instance sent to the
            new version after detection.
        last_new_s: Time of the last request sent to the new version.
        over_share: Prefixes with more than the cap moved.
    """

    stopped_at_s: float | None = None
    done_at_s: float | None = None
    fault_from_s: float | None = None
    exposed: int = 0
    affected: int = 0
    judged_exposed: int = 0
    late_on_detector: int = 0
    last_new_s: float = 0.0
    new: int = 0
    total: int = 0
    over_share: int = 0
    reason: str = ""


class _Config:
    """Holds a configuration that never changes."""

    def __init__(self, current: Configuration) -> None:
        self.current = current

    def watch(self, callback: Callable[[Configuration], None]) -> None:
        """Never calls: there is no change."""


def _configuration(scenario: Scenario) -> Configuration:
    servers = [
        BackendServer(
            name=f"{version}-{region}-{n}",
            service=SERVICE,
            region=region,
            failure_domain=region,
            address="127.0.0.1:1",
            version=version,
            slots=4,
        )
        for version in (OLD, NEW)
        for region in REGIONS
        for n in range(2)
    ]
    shift = Shift(
        name="shift",
        service=SERVICE,
        from_version=OLD,
        to_version=NEW,
        cap=scenario.cap,
        canary=scenario.canary,
        deadline=scenario.deadline_s,
    )
    service = Service(
        name=SERVICE,
        routes=[Route(name=route) for route in ROUTES],
        stable_version=OLD,
    )
    return Configuration(
        services=[service], backend_servers=servers, shifts=[shift]
    )


NewDetector = Callable[[str, str, int], Any]


class Fleet:
    """Runs one scenario.

    Args:
        scenario: What happens.
        seed: Of all random draws.
        new_detector: Builds the detector of an instance.
        planner: Decides the steps; None: the product's.
        pooled: Whether instances share evidence and stops.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        new_detector: NewDetector = Detector,
        planner: Any = None,
        pooled: bool = True,
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._pooled = pooled
        self._planner = planner or Planner(scenario.pace)
        self._shift = _configuration(scenario).shifts[0]
        config = _Config(_configuration(scenario))
        self._choosers = [
            VersionChooser(config, new_detector)
            for _ in range(scenario.instances)
        ]
        for index, chooser in enumerate(self._choosers):
            chooser.watch_stops(
                lambda stop, index=index: self._on_stop(index, stop)
            )
        self._document = ShiftDocument()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._served_by: dict[str, int] = {}
        self._stopped_on: set[int] = set()
        self._now = 0.0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Returns the outcome after the limit or the end of the shift."""
        self._at(0.0, self._control)
        self._at(0.0, self._arrive)
        if self._pooled:
            self._at(0.0, self._share_evidence)
        while self._events and not self._is_over():
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _is_over(self) -> bool:
        if self._now > self._scenario.limit_s:
            return True
        outcome = self.outcome
        if outcome.done_at_s is not None:
            return True
        stopped = outcome.stopped_at_s
        return stopped is not None and self._now > stopped + 3.0

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _after(self, delay: float, event: Callable[[], None]) -> None:
        self._at(self._now + delay, event)

    def _control(self) -> None:
        self._after(DOCUMENT_PERIOD_S, self._control)
        chooser = self._choosers[0]
        record = self._record()
        if record is None:
            record = self._planner.propose(self._shift, 1, False, self._now)
        measured = Measurements(
            configured_slots=24,
            ready_slots=24,
            demand_slots=20,
            judged_requests=chooser.judged_requests(SERVICE),
        )
        stops = chooser.stops
        stop = stops[0] if stops else None
        record = self._planner.advance(
            record, self._shift, measured, stop, self._now
        )
        if record == self._record():
            return
        if record.state is ShiftState.DONE:
            self.outcome.done_at_s = self._now
        sequence = self._document.sequence + 1
        record = msgspec.structs.replace(record, step=sequence)
        self._document = ShiftDocument(sequence=sequence, shifts=(record,))
        for one in self._choosers:
            delay = self._random.uniform(0.0, DOCUMENT_PERIOD_S)
            self._after(delay, lambda d=self._document, c=one: c.on_document(d))

    def _record(self) -> ShiftRecord | None:
        shifts = self._document.shifts
        return shifts[0] if shifts else None

    def _arrive(self) -> None:
        scenario, rng = self._scenario, self._random
        self._after(rng.expovariate(scenario.rate_per_s), self._arrive)
        index = rng.randrange(scenario.instances)
        route = rng.choice(ROUTES)
        chosen = self._choosers[index].choose(SERVICE, route, self._now)
        outcome = self.outcome
        outcome.total += 1
        faulty = False
        if chosen == NEW:
            faulty = self._count_new(index, route)
        if outcome.new > scenario.cap * outcome.total:
            outcome.over_share += 1
        self._finish(index, route, chosen, faulty)

    def _count_new(self, index: int, route: str) -> bool:
        scenario, outcome = self._scenario, self.outcome
        outcome.last_new_s = self._now
        outcome.new += 1
        if index in self._stopped_on:
            outcome.late_on_detector += 1
        record = self._record()
        share = record.share_ppm / 1e6 if record else 0.0
        started = (
            scenario.is_bad
            and outcome.new > scenario.after_requests
            and share >= scenario.from_share
        )
        if not started:
            return False
        if outcome.fault_from_s is None:
            outcome.fault_from_s = self._now
        outcome.exposed += 1
        faulty = scenario.route in (None, route)
        outcome.affected += faulty
        return faulty

    def _finish(
        self, index: int, route: str, version: str, faulty: bool
    ) -> None:
        scenario, rng = self._scenario, self._random
        region = REGIONS[index % len(REGIONS)]
        server = f"{version}-{region}-{rng.randrange(2)}"
        served = self._served_by.get(server, 0)
        self._served_by[server] = served + 1
        cold = version == NEW and served < scenario.cold_requests
        latency_s = BASE_LATENCY_S * math.exp(rng.gauss(0.0, scenario.spread))
        if cold:
            latency_s *= 1 + 5 * math.exp(-3 * served / scenario.cold_requests)
        loaded = scenario.loaded_region and 15.0 <= self._now < 35.0
        if loaded and region == REGIONS[0]:
            latency_s *= 3
        if faulty:
            latency_s *= scenario.slowdown
        rate = scenario.old_error_rate + (scenario.error_rate * faulty)
        if 20.0 <= self._now < 25.0:
            rate += scenario.common_errors
        crashes = rng.random() < scenario.crashing_share
        observation = Observation(
            service=SERVICE,
            version=version,
            route=route,
            failed=crashes or rng.random() < rate,
            latency_s=latency_s,
            backend_server=server,
            region=region,
            # Health reports lag: a server reports itself ready a little
            # before its caches are warm.
            warming=cold and served < 0.8 * scenario.cold_requests,
            counted=not crashes,
        )
        self._after(
            latency_s,
            lambda: self._choosers[index].observe(observation, self._now),
        )

    def _on_stop(self, index: int, stop: VersionStop) -> None:
        outcome = self.outcome
        self._stopped_on.add(index)
        if outcome.stopped_at_s is None:
            outcome.stopped_at_s = self._now
            outcome.judged_exposed = outcome.affected
            outcome.reason = stop.reason
        if self._pooled:
            for other in self._choosers:
                self._after(PEER_DELAY_S, lambda c=other: c.on_stop(stop))

    def _share_evidence(self) -> None:
        self._after(EVIDENCE_PERIOD_S, self._share_evidence)
        for index, chooser in enumerate(self._choosers):
            for bundle in chooser.pop_evidence():
                for other, receiver in enumerate(self._choosers):
                    if other != index:
                        self._after(
                            PEER_DELAY_S,
                            lambda c=receiver, b=bundle: c.on_evidence(b),
                        )
