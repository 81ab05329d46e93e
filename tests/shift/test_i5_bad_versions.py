"""I5: bad versions are stopped, and good versions are shifted in time.

Fleets of choosers and detectors run with one planner in virtual time
(bench/version_traffic.py). The naive model to compare with uses a fixed
threshold on each instance.
"""

from __future__ import annotations

import concurrent.futures

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from bench.policy_versions import InstanceHealth, Timetable
from bench.version_traffic import Fleet, Outcome, Scenario
from radishmux.shift.plan import Pace

# Short runs, so that the test suite has time for a thousand of them.
QUICK = {
    "rate_per_s": 150.0,
    "cap": 0.3,
    "canary": 0.05,
    "deadline_s": 45.0,
    "limit_s": 50.0,
    "pace": Pace(min_step_s=3.0, verify_s=5.0),
}
GOOD_WITH_LOAD = Scenario(
    loaded_region=True, cold_requests=15, crashing_share=0.003, **QUICK
)
GOOD_WITH_COMMON_ERRORS = Scenario(common_errors=0.5, **QUICK)
BAD = [
    Scenario(error_rate=0.1, **QUICK),
    Scenario(error_rate=0.1, after_requests=150, **QUICK),
    Scenario(error_rate=0.2, from_share=0.1, **QUICK),
    Scenario(error_rate=0.2, route="refill", **QUICK),
    Scenario(slowdown=2.0, **QUICK),
    Scenario(slowdown=2.0, after_requests=150, **QUICK),
    Scenario(slowdown=2.0, from_share=0.1, **QUICK),
    Scenario(slowdown=2.0, route="refill", **QUICK),
]
RUNS = 1000
# The runs are split so that each test stays below the time limit of one test.
PARTS = 5
# A stop must reach all instances within this time.
FLEET_STOP_S = 2.0


def run_good(seed) -> Outcome:
    return Fleet(GOOD_WITH_LOAD, seed).run()


def run_common_errors(seed) -> Outcome:
    return Fleet(GOOD_WITH_COMMON_ERRORS, seed).run()


def run_naive(seed) -> Outcome:
    return Fleet(GOOD_WITH_LOAD, seed, InstanceHealth, Timetable()).run()


@pytest.mark.parametrize("part", range(PARTS))
def test_no_good_version_is_stopped_in_a_thousand_seeded_runs(part):
    per_part = RUNS // PARTS
    seeds = range(1 + part * per_part, 1 + (part + 1) * per_part)
    print(f"seeds {seeds}")
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        outcomes = list(pool.map(run_good, seeds, chunksize=10))
    assert stopped(seeds, outcomes) == []
    done = [outcome.done_at_s for outcome in outcomes]
    assert all(
        at is not None and at <= GOOD_WITH_LOAD.deadline_s for at in done
    )


def test_errors_of_both_versions_do_not_stop_the_new_one():
    seeds = range(1, 61)
    print(f"seeds {seeds}")
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        outcomes = list(pool.map(run_common_errors, seeds, chunksize=10))
    assert stopped(seeds, outcomes) == []


def stopped(seeds, outcomes):
    return [
        (seed, outcome.reason)
        for seed, outcome in zip(seeds, outcomes, strict=True)
        if outcome.stopped_at_s is not None
    ]


def test_the_naive_policy_stops_good_versions():
    outcomes = [run_naive(seed) for seed in range(1, 11)]
    assert any(outcome.stopped_at_s is not None for outcome in outcomes)


@pytest.mark.parametrize("scenario", BAD, ids=range(len(BAD)))
def test_each_bad_version_is_stopped_on_all_instances_in_time(scenario):
    for seed in range(1, 26):
        print(f"seed {seed}")
        outcome = Fleet(scenario, seed).run()
        assert outcome.stopped_at_s is not None
        assert outcome.late_on_detector == 0
        assert outcome.last_new_s <= outcome.stopped_at_s + FLEET_STOP_S
        assert outcome.over_share == 0


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    error_rate=st.floats(0.05, 1.0),
    after_requests=st.integers(0, 100),
    instances=st.integers(1, 12),
)
def test_no_run_exceeds_the_cap_or_sends_requests_after_detection(
    seed, error_rate, after_requests, instances
):
    scenario = Scenario(
        error_rate=error_rate,
        after_requests=after_requests,
        instances=instances,
        **(QUICK | {"limit_s": 20.0}),
    )
    outcome = Fleet(scenario, seed).run()
    assert outcome.over_share == 0
    assert outcome.late_on_detector == 0
    if outcome.stopped_at_s is not None:
        assert outcome.last_new_s <= outcome.stopped_at_s + FLEET_STOP_S
