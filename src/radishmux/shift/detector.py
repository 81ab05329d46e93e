"""Detects faults of a new version; docs/design.md, section 4.6.

Each request of the new version yields evidence: the logarithm of a likelihood
ratio that compares it with requests of the old version in the same interval.
Evidence is additive. Instances add up their evidence, so that the fleet
detects faults of which each single instance sees too few requests.
"""

from __future__ import annotations

import msgspec

from radishmux.shift.baseline import ErrorBaseline, LatencyComparison
from radishmux.shift.observation import Fault, Observation
from radishmux.shift.sequential import SequentialTest

ALL_ROUTES = "*"
# Probabilities of stopping a good version at any time during a shift. They sum
# to less than the target of 0.1%. Those by route are divided among the routes.
ALPHA_ERRORS = 4e-4
ALPHA_ERRORS_BY_ROUTE = 2.5e-4
ALPHA_LATENCY = 1.5e-4
ALPHA_LATENCY_BY_ROUTE = 1.5e-4
# The latency of this many first requests to each backend server is ignored,
# since they open a connection. Servers with cold caches report themselves as
# warming.
COLD_REQUESTS = 1
# Outcomes of the new version are judged once this many outcomes of the old
# version have followed, or after this time. Otherwise, when both versions begin
# to fail, the failures of the new version could be judged before any failure
# of the old version is known.
JUDGED_AFTER_OLD_REQUESTS = 3
JUDGED_AFTER_S = 0.5


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on one route since it was last sent to the peers.

    Attributes:
        route: Name of the route.
        errors: Sum of the log likelihood ratios of successes and failures.
        error_requests: Number of requests behind `errors`.
        latency: Sum of the log likelihood ratios of latencies.
        latency_requests: Number of requests behind `latency`.
    """

    route: str
    errors: float = 0.0
    error_requests: int = 0
    latency: float = 0.0
    latency_requests: int = 0


class _Pending:
    """Outcomes of the new version not yet judged.

    They wait for `old_requests` outcomes of the old version.
    """

    __slots__ = ("since", "successes", "failures", "old_requests")

    def __init__(self, since: float) -> None:
        self.since = since
        self.successes = 0
        self.failures = 0
        self.old_requests = 0


class Detector:
    """Compares the new version of a service with the old one.

    Args:
        service: Name of the service.
        version: The new version.
        routes: Number of routes of the service. The probability of a false
            stop allowed by route is divided by it.
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
        self._cold_requests: dict[str, int] = {}
        self._unsent: dict[str, list[float]] = {}
        self._requests = 0
        self._own_requests = 0
        self._own_failures = 0
        self._fault_reported = False

    @property
    def requests(self) -> int:
        """Requests of the new version counted here or reported by peers."""
        return self._requests

    def observe(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        """Adds the outcome of one attempt.

        Args:
            observation: The outcome.
            is_new: Whether the new version served it.
            now: Monotonic seconds.

        Returns:
            The fault when it is first detected, otherwise None.
        """
        if not observation.counted:
            return None
        if not is_new:
            return self._observe_old(observation, now)
        self._requests += 1
        self._own_requests += 1
        self._own_failures += observation.failed
        fault = None
        if self._is_warm(observation):
            fault = self._judge_latency(observation, True, now)
        return fault or self._add_pending(observation, now)

    def pop_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns and clears the evidence to send to the peers.

        Successes and failures are always sent together: when failures were
        sent first, 0.3% of the good versions in
        tests/shift/test_i5_bad_versions.py were stopped.
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
            ) in self._unsent.items()
        )
        self._unsent.clear()
        return result

    def merge(self, evidence: RouteEvidence) -> Fault | None:
        """Adds a peer's evidence.

        Returns:
            The fault when it is first detected, otherwise None.
        """
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
        """Adds an outcome of the old version and judges what is then due."""
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
        pending.old_requests += 1
        return self._judge_errors(key, now)

    def _add_pending(
        self, observation: Observation, now: float
    ) -> Fault | None:
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
        """Judges the pending outcomes of a route and region if they are due."""
        pending = self._pending[key]
        waited_s = now - pending.since
        if (
            pending.old_requests < JUDGED_AFTER_OLD_REQUESTS
            and waited_s < JUDGED_AFTER_S
        ):
            return None
        del self._pending[key]
        route, region = key
        common = self._error_baseline((ALL_ROUTES, region))
        success, failure = self._error_baseline(key).log_ratios(
            common.recent_rate(now), now
        )
        requests = pending.successes + pending.failures
        evidence = pending.successes * success + pending.failures * failure
        self._add_unsent(route, 0, evidence, requests)
        return self._add_errors(route, evidence, requests)

    def _is_warm(self, observation: Observation) -> bool:
        """Returns whether a latency can be compared; counts cold requests."""
        if observation.failed or observation.warming:
            return False
        requests = self._cold_requests.get(observation.backend_server, 0)
        if requests >= COLD_REQUESTS:
            return True
        self._cold_requests[observation.backend_server] = requests + 1
        return False

    def _judge_latency(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        comparison = self._comparison((observation.route, observation.region))
        evidence = comparison.add(observation.latency_s, is_new, now)
        if evidence is None:
            return None
        self._add_unsent(observation.route, 2, evidence, 1)
        return self._add_latency(observation.route, evidence, 1)

    def _add_errors(
        self,
        route: str,
        evidence: float,
        requests: int,
    ) -> Fault | None:
        faulty_route = self._add_to_tests(
            self._errors,
            (ALPHA_ERRORS, ALPHA_ERRORS_BY_ROUTE),
            route,
            evidence,
            requests,
        )
        if faulty_route is None:
            return None
        where = _describe_route(faulty_route)
        reason = (
            f"Version {self._version} fails more often than the old version"
            f" {where}: {self._own_failures} of the {self._own_requests}"
            " requests seen here."
        )
        return self._report_fault(faulty_route, "errors", reason)

    def _add_latency(
        self,
        route: str,
        evidence: float,
        requests: int,
    ) -> Fault | None:
        faulty_route = self._add_to_tests(
            self._latencies,
            (ALPHA_LATENCY, ALPHA_LATENCY_BY_ROUTE),
            route,
            evidence,
            requests,
        )
        if faulty_route is None:
            return None
        where = _describe_route(faulty_route)
        reason = (
            f"Version {self._version} is slower than the old version {where}."
        )
        return self._report_fault(faulty_route, "latency", reason)

    def _report_fault(self, route: str, kind: str, reason: str) -> Fault | None:
        """Returns the fault, or None if a fault was returned before."""
        if self._fault_reported:
            return None
        self._fault_reported = True
        return Fault(
            service=self._service,
            version=self._version,
            route=route,
            kind=kind,
            reason=reason,
            requests=self._requests,
        )

    def _add_to_tests(
        self,
        tests: dict[str, SequentialTest],
        alphas: tuple[float, float],
        route: str,
        evidence: float,
        requests: int,
    ) -> str | None:
        """Adds evidence to the test of all routes and to that of one route.

        Args:
            tests: Tests by route, for errors or for latency.
            alphas: Probability of a false stop for the test of all routes and
                for those of the single routes together.
            route: Route of the requests.
            evidence: Sum of their log likelihood ratios.
            requests: Their number.

        Returns:
            The route on which a fault is detected, ALL_ROUTES, or None.
        """
        overall = tests.get(ALL_ROUTES)
        if overall is None:
            overall = tests[ALL_ROUTES] = SequentialTest(alphas[0])
        detected = overall.add(evidence, requests)
        if self._routes == 1:
            return ALL_ROUTES if detected else None
        route_test = tests.get(route)
        if route_test is None:
            alpha = alphas[1] / self._routes
            route_test = tests[route] = SequentialTest(alpha)
        if route_test.add(evidence, requests):
            return route
        return ALL_ROUTES if detected else None

    def _add_unsent(
        self, route: str, index: int, evidence: float, requests: int
    ) -> None:
        """Adds evidence that `pop_evidence` will return.

        Args:
            route: Route of the requests.
            index: Position of the sum: 0 for errors, 2 for latency. The number
                of requests follows it.
            evidence: Sum of the log likelihood ratios.
            requests: Number of requests behind it.
        """
        sums = self._unsent.setdefault(route, [0.0, 0.0, 0.0, 0.0])
        sums[index] += evidence
        sums[index + 1] += requests

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


def _describe_route(route: str) -> str:
    return "on all routes" if route == ALL_ROUTES else f"on route {route!r}"
