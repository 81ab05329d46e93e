"""Bringing a version in and taking it back, within the operators' bounds."""

from __future__ import annotations

import random

import pytest

from radishmux.shift.orders import RolloutOrder, RolloutState, RolloutStatus
from radishmux.shift.rollout import Phase, Rollout

DURATION_S = 15.0
EXPOSURE = 0.1
EXPOSURE_SLACK = 50
RATE_PER_S = 300


class Trial:
    """Plays one order on several instances that pool their evidence."""

    def __init__(
        self, fails, instances=5, seed=1, routes=("r",), rate_per_s=RATE_PER_S
    ):
        self.fails = fails
        self.rng = random.Random(seed)
        self.routes = routes
        self.rate_per_s = rate_per_s
        order = RolloutOrder("s", "v2", DURATION_S)
        self.nodes = [
            Rollout(
                order,
                EXPOSURE,
                0.3 * n / instances,
                f"i{n}",
                0.5 * EXPOSURE_SLACK / instances,
            )
            for n in range(instances)
        ]
        self.new = self.total = self.bad = 0
        self.bad_after_stop = 0
        self.state = RolloutState.RUNNING
        self.now = 0.5

    def run(self):
        step = 1 / self.rate_per_s
        next_report = self.now
        while self.now < DURATION_S and self.state is RolloutState.RUNNING:
            self._request(self.rng.choice(self.nodes))
            if self.now >= next_report:
                next_report += 0.5
                self._report()
            self.now += step
        return self

    def _request(self, node):
        route = self.rng.choice(self.routes)
        rule = node.next_rule(route, self.now)
        version = "v2" if rule.only == "v2" else "v1"
        failed = slow = False
        if version == "v2":
            failed, slow = self.fails(self, route)
            self.new += 1
            self.bad += failed or slow
            if any(one.fault for one in self.nodes):
                self.bad_after_stop += failed
        self.total += 1
        node.evidence.record_outcome(version, route, failed, slow)
        node.evaluate(self.now)

    def _report(self):
        for n, node in enumerate(self.nodes):
            for m, other in enumerate(self.nodes):
                if n != m:
                    node.evidence.set_tallies(str(m), other.evidence.own)
                    if other.fault:
                        node.report_fault(other.fault)
        wanted = self.nodes[0].state_to_report(self.now)
        if wanted is not RolloutState.RUNNING:
            self.state = wanted


def good(trial, route):
    return False, False


def errors(trial, route):
    return trial.rng.random() < 0.36, False


def slow(trial, route):
    return False, trial.rng.random() < 0.5


def one_route(trial, route):
    return route == "r2" and trial.rng.random() < 0.4, False


def late(trial, route):
    return trial.now > 3.0 and trial.rng.random() < 0.5, False


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_completed_in_time(seed):
    trial = Trial(good, seed=seed, routes=("r", "r2")).run()
    assert trial.state is RolloutState.COMPLETED


@pytest.mark.parametrize("seed", range(5))
def test_routes_that_are_hardly_used_do_not_hold_a_good_version_back(seed):
    """Recorded day inc-46a6: seven such routes had a few requests each."""
    routes = ("r",) * 1000 + tuple(f"idle{n}" for n in range(7))
    trial = Trial(good, seed=seed, routes=routes).run()
    assert trial.state is RolloutState.COMPLETED


@pytest.mark.parametrize("fails", [errors, slow, one_route, late])
@pytest.mark.parametrize("seed", range(5))
def test_bad_version_is_taken_back_within_the_bound(fails, seed):
    trial = Trial(fails, seed=seed, routes=("r", "r", "r", "r2")).run()
    assert trial.state is RolloutState.ROLLED_BACK
    expected_total = RATE_PER_S * DURATION_S
    assert trial.new <= EXPOSURE * expected_total + EXPOSURE_SLACK
    # Operators bound the time after the 50th bad answer.
    assert trial.bad <= 50


@pytest.mark.parametrize("seed", range(3))
def test_good_version_of_a_rare_service_is_completed_in_a_large_fleet(seed):
    """60 instances with a request every two seconds each: the grown fleets."""
    trial = Trial(good, instances=60, seed=seed, rate_per_s=30).run()
    assert trial.state is RolloutState.COMPLETED


@pytest.mark.parametrize("seed", range(10))
def test_bad_version_in_a_large_fleet_keeps_to_the_bound(seed):
    trial = Trial(errors, instances=60, seed=seed, rate_per_s=30).run()
    assert trial.state is RolloutState.ROLLED_BACK
    assert trial.new <= EXPOSURE * trial.total + EXPOSURE_SLACK


@pytest.mark.parametrize("seed", range(5))
def test_fault_that_no_instance_sees_alone_is_found(seed):
    trial = Trial(errors, instances=60, seed=seed).run()
    assert trial.state is RolloutState.ROLLED_BACK
    assert trial.bad <= 50


@pytest.mark.parametrize("seed", range(3))
def test_fault_on_a_rare_route_is_found_before_the_end(seed):
    routes = ("r",) * 49 + ("r2",)
    trial = Trial(one_route, seed=seed, routes=routes).run()
    assert trial.state is not RolloutState.COMPLETED
    assert trial.new <= EXPOSURE * RATE_PER_S * DURATION_S + EXPOSURE_SLACK


def test_stopped_version_gets_nothing():
    rollout = Rollout(RolloutOrder("s", "v2", 15.0), EXPOSURE, 0.0)
    rollout.report_fault("a peer found it")
    assert not any(
        rollout.next_rule("r", 1.0).allows("v2") for _ in range(1000)
    )


def test_recorded_state_decides_after_a_restart():
    rollout = Rollout(RolloutOrder("s", "v2", 15.0), EXPOSURE, 100.0)
    rollout.apply_status(RolloutStatus("v2", RolloutState.COMPLETED))
    assert rollout.phase(100.0) is Phase.DONE
    assert rollout.next_rule("r", 100.0).only == "v2"
    rollout.apply_status(RolloutStatus("v2", RolloutState.ROLLED_BACK))
    assert rollout.next_rule("r", 100.0).never == "v2"


def test_state_of_another_version_says_nothing():
    rollout = Rollout(RolloutOrder("s", "v3", 15.0), EXPOSURE, 0.0)
    rollout.apply_status(RolloutStatus("v2", RolloutState.COMPLETED))
    assert rollout.phase(1.0) is Phase.CANARY


def test_peers_time_counts_after_a_restart():
    rollout = Rollout(RolloutOrder("s", "v2", 10.0), EXPOSURE, 100.0)
    rollout.merge_elapsed(6.0, 100.0)
    assert rollout.phase(100.0) is Phase.RAMP


def test_version_that_nobody_tried_is_not_completed():
    rollout = Rollout(RolloutOrder("s", "v2", 10.0), EXPOSURE, 0.0)
    assert rollout.phase(9.9) is Phase.RAMP
    assert rollout.state_to_report(9.9) is RolloutState.RUNNING
