"""Guards single rules of the detector of bad versions."""

from __future__ import annotations

import math
import random

import pytest

from radishmux.shift.detector import Detector
from radishmux.shift.observation import Observation
from radishmux.shift.sequential import SequentialTest


def outcome(version, route="status", latency_s=0.02, failed=False):
    return Observation(
        service="poles",
        version=version,
        route=route,
        failed=failed,
        latency_s=latency_s,
        backend_server=version,
        region="accra",
    )


def test_the_chance_of_a_false_alarm_is_bounded_however_long_it_runs():
    """Fails when starting points are not weighted."""
    alpha, old, new = 0.05, 0.01, 0.11
    rng = random.Random(11)
    print("seed 11")
    alarms = 0
    for _ in range(200):
        test = SequentialTest(alpha)
        for _ in range(2000):
            if rng.random() < old:
                evidence = math.log(new / old)
            else:
                evidence = math.log((1 - new) / (1 - old))
            if test.add(evidence):
                alarms += 1
                break
    # The bound is alpha x 200 = 10 runs; 20 has a chance below 0.3%.
    assert alarms <= 20


@pytest.mark.parametrize("slower", [1, 3])
def test_a_change_of_load_at_one_moment_is_no_fault(slower):
    """Fails when requests are compared only with earlier ones."""
    detector = Detector("poles", "v2", 60)
    rng = random.Random(5)
    routes = [f"route{n}" for n in range(60)]
    now = 0.0

    def serve(version, route, factor):
        nonlocal now
        now += 0.001
        latency_s = 0.02 * factor * math.exp(rng.gauss(0, 0.3))
        request = outcome(version, route, latency_s)
        assert detector.observe(request, version == "v2", now) is None

    for _ in range(20):
        for route in routes:
            serve("v1", route, 1)
    for route in routes:
        serve("v2", route, slower)
    for _ in range(10):
        for route in routes:
            serve("v1", route, slower)


def test_attempts_that_say_nothing_about_the_version_are_not_judged():
    """Fails when crash marks or refusals count."""
    detector = Detector("poles", "v2", 1)
    crash = Observation(
        service="poles",
        version="v2",
        route="status",
        failed=True,
        latency_s=9.0,
        counted=False,
    )
    for n in range(200):
        assert detector.observe(crash, True, n * 0.01) is None
        assert detector.observe(outcome("v1"), False, n * 0.01) is None
    assert detector.requests == 0


def test_evidence_against_a_version_never_goes_without_that_for_it():
    """Fails when failures are sent to the peers before successes."""
    detector = Detector("poles", "v2", 1)
    for n in range(20):
        detector.observe(outcome("v2", failed=n == 3), True, n * 0.01)
        for _ in range(3):
            detector.observe(outcome("v1"), False, n * 0.01)
        if n == 3:
            (evidence,) = detector.pop_evidence()
            assert evidence.error_requests == 4
    assert detector.pop_evidence()
    assert detector.pop_evidence() == ()
