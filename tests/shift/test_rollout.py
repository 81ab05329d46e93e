"""Tests that rollouts and rollbacks stay within the operators' limits."""

from __future__ import annotations

import random

import pytest

from radishmux.shift.orders import RolloutOrder, RolloutState, RolloutStatus
from radishmux.shift.rollout import Phase, Rollout

DURATION_S = 15.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
RATE_PER_S = 300


class SimulatedRollout:
    """Runs one order on several instances that share their evidence."""

    def __init__(
        self,
        outcome_of,
        instances=5,
        seed=1,
        routes=("r",),
        rate_per_s=RATE_PER_S,
    ):
        self.outcome_of = outcome_of
        self.rng = random.Random(seed)
        self.routes = routes
        self.rate_per_s = rate_per_s
        order = RolloutOrder("s", "v2", DURATION_S)
        self.rollouts = [
            Rollout(
                order,
                EXPOSURE_SHARE,
                0.3 * n / instances,
                f"i{n}",
                0.5 * EXPOSURE_SLACK / instances,
            )
            for n in range(instances)
        ]
        self.new_requests = self.total_requests = self.bad_requests = 0
        self.failed_after_stop = 0
        self.state = RolloutState.RUNNING
        self.now = 0.5

    def run(self):
        step = 1 / self.rate_per_s
        next_report = self.now
        while self.now < DURATION_S and self.state is RolloutState.RUNNING:
            self._send_request(self.rng.choice(self.rollouts))
            if self.now >= next_report:
                next_report += 0.5
                self._exchange_reports()
            self.now += step
        return self

    def _send_request(self, rollout):
        route = self.rng.choice(self.routes)
        rule = rollout.next_rule(route, self.now)
        version = "v2" if rule.only == "v2" else "v1"
        failed = slow = False
        if version == "v2":
            failed, slow = self.outcome_of(self, route)
            self.new_requests += 1
            self.bad_requests += failed or slow
            if any(each.fault for each in self.rollouts):
                self.failed_after_stop += failed
        self.total_requests += 1
        rollout.evidence.record_outcome(version, route, failed, slow)
        rollout.evaluate(self.now)

    def _exchange_reports(self):
        for n, rollout in enumerate(self.rollouts):
            for m, other in enumerate(self.rollouts):
                if n != m:
                    rollout.evidence.set_tallies(str(m), other.evidence.own)
                    if other.fault:
                        rollout.report_fault(other.fault)
        state = self.rollouts[0].state_to_report(self.now)
        if state is not RolloutState.RUNNING:
            self.state = state


# Outcomes (failed, slow) of a request on the new version.


def good(run, route):
    return False, False


def errors(run, route):
    return run.rng.random() < 0.36, False


def slow(run, route):
    return False, run.rng.random() < 0.5


def errors_on_one_route(run, route):
    return route == "r2" and run.rng.random() < 0.4, False


def errors_later(run, route):
    return run.now > 3.0 and run.rng.random() < 0.5, False


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_completed_in_time(seed):
    run = SimulatedRollout(good, seed=seed, routes=("r", "r2")).run()
    assert run.state is RolloutState.COMPLETED


@pytest.mark.parametrize("seed", range(5))
def test_rarely_used_routes_do_not_delay_a_good_version(seed):
    """Fails when routes with few requests must be judged before completion.

    In incident inc-46a6, seven routes had only a few requests each.
    """
    routes = ("r",) * 1000 + tuple(f"idle{n}" for n in range(7))
    run = SimulatedRollout(good, seed=seed, routes=routes).run()
    assert run.state is RolloutState.COMPLETED


@pytest.mark.parametrize(
    "outcome_of", [errors, slow, errors_on_one_route, errors_later]
)
@pytest.mark.parametrize("seed", range(5))
def test_bad_version_is_rolled_back_within_the_limit(outcome_of, seed):
    run = SimulatedRollout(
        outcome_of, seed=seed, routes=("r", "r", "r", "r2")
    ).run()
    assert run.state is RolloutState.ROLLED_BACK
    expected_total = RATE_PER_S * DURATION_S
    assert run.new_requests <= EXPOSURE_SHARE * expected_total + EXPOSURE_SLACK
    # Operators limit the time after the 50th bad response.
    assert run.bad_requests <= 50


@pytest.mark.parametrize("seed", range(3))
def test_good_version_of_a_rare_service_is_completed_in_a_large_fleet(seed):
    """Fails when each of 60 instances must see enough requests by itself.

    Each instance gets one request every two seconds.
    """
    run = SimulatedRollout(good, instances=60, seed=seed, rate_per_s=30).run()
    assert run.state is RolloutState.COMPLETED


@pytest.mark.parametrize("seed", range(10))
def test_bad_version_in_a_large_fleet_stays_within_the_limit(seed):
    run = SimulatedRollout(errors, instances=60, seed=seed, rate_per_s=30).run()
    assert run.state is RolloutState.ROLLED_BACK
    assert (
        run.new_requests <= EXPOSURE_SHARE * run.total_requests + EXPOSURE_SLACK
    )


@pytest.mark.parametrize("seed", range(5))
def test_fault_that_no_single_instance_can_detect_is_found(seed):
    run = SimulatedRollout(errors, instances=60, seed=seed).run()
    assert run.state is RolloutState.ROLLED_BACK
    assert run.bad_requests <= 50


@pytest.mark.parametrize("seed", range(3))
def test_fault_on_a_rare_route_prevents_completion(seed):
    routes = ("r",) * 49 + ("r2",)
    run = SimulatedRollout(errors_on_one_route, seed=seed, routes=routes).run()
    assert run.state is not RolloutState.COMPLETED
    assert (
        run.new_requests
        <= EXPOSURE_SHARE * RATE_PER_S * DURATION_S + EXPOSURE_SLACK
    )


def test_stopped_version_gets_no_requests():
    rollout = Rollout(RolloutOrder("s", "v2", 15.0), EXPOSURE_SHARE, 0.0)
    rollout.report_fault("found by a peer")
    assert not any(
        rollout.next_rule("r", 1.0).allows("v2") for _ in range(1000)
    )


def test_recorded_state_is_applied_after_a_restart():
    rollout = Rollout(RolloutOrder("s", "v2", 15.0), EXPOSURE_SHARE, 100.0)
    rollout.apply_status(RolloutStatus("v2", RolloutState.COMPLETED))
    assert rollout.phase(100.0) is Phase.DONE
    assert rollout.next_rule("r", 100.0).only == "v2"
    rollout.apply_status(RolloutStatus("v2", RolloutState.ROLLED_BACK))
    assert rollout.next_rule("r", 100.0).never == "v2"


def test_recorded_state_of_another_version_is_ignored():
    rollout = Rollout(RolloutOrder("s", "v3", 15.0), EXPOSURE_SHARE, 0.0)
    rollout.apply_status(RolloutStatus("v2", RolloutState.COMPLETED))
    assert rollout.phase(1.0) is Phase.CANARY


def test_elapsed_time_of_a_peer_is_adopted_after_a_restart():
    rollout = Rollout(RolloutOrder("s", "v2", 10.0), EXPOSURE_SHARE, 100.0)
    rollout.merge_elapsed(6.0, 100.0)
    assert rollout.phase(100.0) is Phase.RAMP


def test_version_without_requests_is_not_completed():
    rollout = Rollout(RolloutOrder("s", "v2", 10.0), EXPOSURE_SHARE, 0.0)
    assert rollout.phase(9.9) is Phase.RAMP
    assert rollout.state_to_report(9.9) is RolloutState.RUNNING
