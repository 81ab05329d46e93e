"""Finds faults of a new version; docs/design.md, section 4.6.

Each request of the new version yields evidence, the logarithm of a likelihood
ratio against the old version in the same interval. Evidence adds up, so that
instances can pool it: what one instance sees too rarely, the fleet sees.
"""

from __future__ import annotations

import msgspec

from radishmux.shift.baseline import ErrorBaseline, LatencyComparison
from radishmux.shift.observation import Fault, Observation
from radishmux.shift.sequential import SequentialTest

ALL_ROUTES = "*"
# Chances of a false stop in the whole life of a shift. They sum to less than
# the target of 0.1%; the routes share one between them.
ALPHA_ERRORS = 4e-4
ALPHA_ERRORS_BY_ROUTE = 2.5e-4
ALPHA_LATENCY = 1.5e-4
ALPHA_LATENCY_BY_ROUTE = 1.5e-4
# First requests to each backend server whose latency this instance does not
# judge: new connections. Cold caches are reported as warming.
COLD_REQUESTS = 1
# Requests of the new version are judged once this many of the old version
# have followed, or after this time: when both versions begin to fail, the
# new one must not be seen first.
JUDGED_AFTER_OLD = 3
JUDGED_AFTER_S = 0.5


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on one route since the last bundle.

    Attributes:
        errors: Sum of the log likelihood ratios of outcomes.
        error_requests: Requests behind `errors`.
        latency: Sum of the log likelihood ratios of latencies.
        latency_requests: Requests behind `latency`.
    """

    route: str
    errors: float = 0.0
    error_requests: int = 0
    latency: float = 0.0
    latency_requests: int = 0


class _Pending:
    """Outcomes of the new version that wait for the old one's."""

    __slots__ = ("since", "successes", "failures", "old")

    def __init__(self, since: float) -> None:
        self.since = since
        self.successes = 0
        self.failures = 0
        self.old = 0


class Detector:
    """Judges one new version of one service against the old one.

    Args:
        service: Name of the service.
        version: The new version.
        routes: Routes of the service, which share the false stops allowed for
            single routes.
    """

    def __init__(self, service: str, version: str, routes: int) -> None:
        self._service = service
        self._version = version
        self._routes = max(1, routes)
        self._errors: dict[str, SequentialTest] = {}
        self._latencies: dict[str, SequentialTest] = {}
        self._error_baselines: dict[tuple[str, str], ErrorBaseline] = {}
        self._comparisons: dict[tuple[str, str], LatencyComparison] = {}
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._seen_on: dict[str, int] = {}
        self._bundles: dict[str, list[float]] = {}
        self._requests = 0
        self._seen = 0
        self._failures = 0
        self._reported = False

    @property
    def requests(self) -> int:
        """Requests of the new version seen here or told by peers."""
        return self._requests

    def observe(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        """Takes the outcome of one attempt.

        Args:
            observation: The outcome.
            is_new: Whether the new version served it.
            now: Monotonic seconds.

        Returns:
            The fault, once, when it is shown.
        """
        if not observation.counted:
            return None
        if not is_new:
            return self._observe_old(observation, now)
        self._requests += 1
        self._seen += 1
        self._failures += observation.failed
        fault = None
        if self._is_warm(observation):
            fault = self._judge_latency(observation, True, now)
        return fault or self._hold(observation, now)

    def pop_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns the evidence since the last call, which peers should have.

        Evidence for and against the version goes together: sending failures
        first stopped 0.3% of the good versions in
        tests/shift/test_i5_bad_versions.py.
        """
        result = tuple(
            RouteEvidence(
                route=route,
                errors=errors,
                error_requests=int(error_requests),
                latency=latency,
                latency_requests=int(latency_requests),
            )
            for route, (
                errors,
                error_requests,
                latency,
                latency_requests,
            ) in self._bundles.items()
        )
        self._bundles.clear()
        return result

    def merge(self, evidence: RouteEvidence) -> Fault | None:
        """Takes a peer's evidence; returns the fault, once, when shown."""
        self._requests += evidence.error_requests
        fault = None
        if evidence.error_requests:
            fault = self._add_errors(
                evidence.route, evidence.errors, evidence.error_requests
            )
        if evidence.latency_requests and fault is None:
            fault = self._add_latency(
                evidence.route, evidence.latency, evidence.latency_requests
            )
        return fault

    def _observe_old(
        self, observation: Observation, now: float
    ) -> Fault | None:
        key = (observation.route, observation.region)
        self._error_baseline(key).add(observation.failed, now)
        common = self._error_baseline((ALL_ROUTES, observation.region))
        common.add(observation.failed, now)
        fault = None
        if not observation.failed and not observation.warming:
            fault = self._judge_latency(observation, False, now)
        pending = self._pending.get(key)
        if pending is None or fault is not None:
            return fault
        pending.old += 1
        return self._judge_errors(key, now)

    def _hold(self, observation: Observation, now: float) -> Fault | None:
        key = (observation.route, observation.region)
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = _Pending(now)
        if observation.failed:
            pending.failures += 1
        else:
            pending.successes += 1
        return self._judge_errors(key, now)

    def _judge_errors(self, key: tuple[str, str], now: float) -> Fault | None:
        pending = self._pending[key]
        waited_s = now - pending.since
        if pending.old < JUDGED_AFTER_OLD and waited_s < JUDGED_AFTER_S:
            return None
        del self._pending[key]
        route, region = key
        common = self._error_baseline((ALL_ROUTES, region))
        success, failure = self._error_baseline(key).log_ratios(
            common.recent_rate(now), now
        )
        requests = pending.successes + pending.failures
        evidence = pending.successes * success + pending.failures * failure
        self._bundle(route, 0, evidence, requests)
        return self._add_errors(route, evidence, requests)

    def _is_warm(self, observation: Observation) -> bool:
        if observation.failed or observation.warming:
            return False
        seen = self._seen_on.get(observation.backend_server, 0)
        if seen >= COLD_REQUESTS:
            return True
        self._seen_on[observation.backend_server] = seen + 1
        return False

    def _judge_latency(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        comparison = self._comparison((observation.route, observation.region))
        evidence = comparison.add(observation.latency_s, is_new, now)
        if evidence is None:
            return None
        self._bundle(observation.route, 2, evidence, 1)
        return self._add_latency(observation.route, evidence, 1)

    def _add_errors(
        self,
        route: str,
        evidence: float,
        requests: int,
    ) -> Fault | None:
        shown_on = self._shown_on(
            self._errors,
            (ALPHA_ERRORS, ALPHA_ERRORS_BY_ROUTE),
            route,
            evidence,
            requests,
        )
        if shown_on is None:
            return None
        where = _where(shown_on)
        reason = (
            f"Version {self._version} fails more often than the old version"
            f" {where}: {self._failures} of the {self._seen} requests"
            " seen here."
        )
        return self._fault(shown_on, "errors", reason)

    def _add_latency(
        self,
        route: str,
        evidence: float,
        requests: int,
    ) -> Fault | None:
        shown_on = self._shown_on(
            self._latencies,
            (ALPHA_LATENCY, ALPHA_LATENCY_BY_ROUTE),
            route,
            evidence,
            requests,
        )
        if shown_on is None:
            return None
        where = _where(shown_on)
        reason = (
            f"Version {self._version} is slower than the old version {where}."
        )
        return self._fault(shown_on, "latency", reason)

    def _fault(self, route: str, kind: str, reason: str) -> Fault | None:
        if self._reported:
            return None
        self._reported = True
        return Fault(
            service=self._service,
            version=self._version,
            route=route,
            kind=kind,
            reason=reason,
            requests=self._requests,
        )

    def _shown_on(
        self,
        tests: dict[str, SequentialTest],
        alphas: tuple[float, float],
        route: str,
        evidence: float,
        requests: int,
    ) -> str | None:
        """Adds evidence to both tests; returns where a fault is shown."""
        both = tests.get(ALL_ROUTES)
        if both is None:
            both = tests[ALL_ROUTES] = SequentialTest(alphas[0])
        shown = both.add(evidence, requests)
        if self._routes == 1:
            return ALL_ROUTES if shown else None
        single = tests.get(route)
        if single is None:
            alpha = alphas[1] / self._routes
            single = tests[route] = SequentialTest(alpha)
        if single.add(evidence, requests):
            return route
        return ALL_ROUTES if shown else None

    def _bundle(
        self, route: str, at: int, evidence: float, requests: int
    ) -> None:
        bundle = self._bundles.setdefault(route, [0.0, 0.0, 0.0, 0.0])
        bundle[at] += evidence
        bundle[at + 1] += requests

    def _error_baseline(self, key: tuple[str, str]) -> ErrorBaseline:
        baseline = self._error_baselines.get(key)
        if baseline is None:
            baseline = self._error_baselines[key] = ErrorBaseline()
        return baseline

    def _comparison(self, key: tuple[str, str]) -> LatencyComparison:
        comparison = self._comparisons.get(key)
        if comparison is None:
            comparison = self._comparisons[key] = LatencyComparison()
        return comparison


def _where(route: str) -> str:
    return "on all routes" if route == ALL_ROUTES else f"on route {route!r}"
