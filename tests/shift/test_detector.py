"""Tests single rules of the detector of bad versions."""

from __future__ import annotations

import math
import random

import pytest

from radishmux.shift.detector import Detector
from radishmux.shift.observation import Observation
from radishmux.shift.sequential import SequentialTest


def observation(version, route="status", latency_s=0.02, failed=False):
    return Observation(
        service="poles",
        version=version,
        route=route,
        failed=failed,
        latency_s=latency_s,
        backend_server=version,
        region="accra",
    )


def test_the_probability_of_a_false_alarm_is_bounded_in_long_runs():
    """Fails when the starting points of the test are not weighted."""
    alpha, old_rate, new_rate = 0.05, 0.01, 0.11
    rng = random.Random(11)
    print("seed 11")
    alarms = 0
    for _ in range(200):
        test = SequentialTest(alpha)
        for _ in range(2000):
            if rng.random() < old_rate:
                evidence = math.log(new_rate / old_rate)
            else:
                evidence = math.log((1 - new_rate) / (1 - old_rate))
            if test.add(evidence):
                alarms += 1
                break
    # The expected number is at most alpha x 200 = 10 runs; more than 20 have a
    # probability below 0.3%.
    assert alarms <= 20


@pytest.mark.parametrize("slower", [1, 3])
def test_a_sudden_change_of_load_is_no_fault(slower):
    """Fails when requests are compared with earlier requests only."""
    detector = Detector("poles", "v2", 60)
    rng = random.Random(5)
    routes = [f"route{n}" for n in range(60)]
    now = 0.0

    def serve(version, route, factor):
        nonlocal now
        now += 0.001
        latency_s = 0.02 * factor * math.exp(rng.gauss(0, 0.3))
        outcome = observation(version, route, latency_s)
        assert detector.observe(outcome, version == "v2", now) is None

    for _ in range(20):
        for route in routes:
            serve("v1", route, 1)
    for route in routes:
        serve("v2", route, slower)
    for _ in range(10):
        for route in routes:
            serve("v1", route, slower)


def test_attempts_that_do_not_count_are_not_judged():
    """Fails when attempts that left a crash mark or did not run are judged."""
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
        assert detector.observe(observation("v1"), False, n * 0.01) is None
    assert detector.requests == 0


def test_failures_are_sent_to_peers_together_with_successes():
    """Fails when failures are sent to the peers before successes."""
    detector = Detector("poles", "v2", 1)
    for n in range(20):
        detector.observe(observation("v2", failed=n == 3), True, n * 0.01)
        for _ in range(3):
            detector.observe(observation("v1"), False, n * 0.01)
        if n == 3:
            (evidence,) = detector.pop_evidence()
            assert evidence.error_requests == 4
    assert detector.pop_evidence()
    assert detector.pop_evidence() == ()
