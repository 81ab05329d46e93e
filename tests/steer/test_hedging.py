"""Checks when second attempts start, for the durations of several routes."""

from __future__ import annotations

import random

import pytest

from radishmux.steer.duration_histogram import MAX_SAMPLES, DurationHistogram
from radishmux.steer.hedging import HedgePlan, usual_delay_s
from radishmux.steer.placement import Choice
from radishmux.steer.work_times import WorkTimes
from tests.gateway.parts import server

WORK_S = 0.1
TARGET_S = 0.25
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


def choice(**fields):
    values = {
        "server": server("x"),
        "expected_s": WORK_S,
        "expected_cold_s": WORK_S,
        "work_s": WORK_S,
        "known_warm": True,
        "is_home": True,
        "is_queued": False,
        "load": 1.0,
        "cost": WORK_S,
    }
    return Choice(**(values | fields))


def body(rng):
    return rng.lognormvariate(0.0, 0.1)


def heavy_tail(rng):
    """Returns the ratio of a request; 3 in 100 inherently take long."""
    return body(rng) * (TAIL_FACTOR if rng.random() < TAIL_SHARE else 1.0)


def measured(ratios):
    work = WorkTimes()
    for ratio in ratios:
        work.durations(True, True).record(ratio)
    return work


def plan(work, first=None, target_s=TARGET_S):
    return HedgePlan(first or choice(), work, False, target_s, 0.0)


def due_at(hedge_plan, holds_up_others=False):
    while not hedge_plan.is_due(holds_up_others, hedge_plan.check_at):
        pass
    return hedge_plan.check_at


class Route:
    """Plays requests of a route; what it measures decides on its hedges."""

    def __init__(self, draw, target_s=TARGET_S):
        self.draw = draw
        self.rng = random.Random(5)
        self.work = WorkTimes()
        self.target_s = target_s
        self.early = 0
        self.durations_s = []

    def play(self, requests):
        durations = self.work.durations(True, True)
        for _ in range(requests):
            first_s = WORK_S * self.draw(self.rng)
            hedge_plan = plan(self.work, target_s=self.target_s)
            hedge_s = first_s
            while hedge_plan.check_at < first_s:
                now = hedge_plan.check_at
                if hedge_plan.is_due(False, now):
                    if hedge_plan.saves_time(choice(), now):
                        hedge_s = now
                        break
                    hedge_plan.give_up_early()
            self.early += hedge_s < first_s and hedge_plan.is_early
            second_s = hedge_s + WORK_S * self.draw(self.rng)
            if hedge_s < first_s and second_s < first_s:
                durations.record_cancelled(second_s / WORK_S)
                durations.record((second_s - hedge_s) / WORK_S)
            else:
                durations.record(first_s / WORK_S)
            self.durations_s.append(min(first_s, second_s))


def test_heavy_tail_is_hedged_at_the_cost_of_few_attempts():
    """Guards against 3 in 100 requests that miss their target.

    And against forgetting the tail, since hedged requests do not show it.
    """
    route = Route(heavy_tail)
    route.play(1000)
    for _ in range(4):
        route.early, route.durations_s = 0, []
        route.play(1000)
        late = sum(one > 2 * TARGET_S for one in route.durations_s)
        assert late <= 5
        assert 10 <= route.early <= 60


def test_light_tail_is_hedged_as_without_measurements():
    """Guards against the retry budget being spent without saving time."""
    route = Route(body)
    route.play(4000)
    assert route.early == 0
    expected = usual_delay_s(WORK_S)
    assert due_at(plan(route.work)) == pytest.approx(expected)


def test_tail_that_meets_the_target_is_not_hedged_early():
    route = Route(heavy_tail, target_s=2 * TAIL_FACTOR * WORK_S)
    route.play(2000)
    assert route.early == 0


def test_request_that_holds_up_others_is_hedged_within_its_own_target():
    """Guards against later responses of a connection that wait for it."""
    rng = random.Random(1)
    work = measured(heavy_tail(rng) for _ in range(400))
    target_s = 2 * TAIL_FACTOR * WORK_S
    alone = due_at(plan(work, target_s=target_s))
    assert due_at(plan(work, target_s=target_s), True) < 2 * WORK_S < alone


def test_without_measurements_the_usual_delay_applies():
    assert plan(WorkTimes()).check_at == usual_delay_s(WORK_S)
    few = measured([7.0] * 3 + [1.0] * 90)
    assert plan(few).check_at == usual_delay_s(WORK_S)


def test_route_whose_requests_often_outlast_the_usual_delay_is_hedged_later():
    """Guards against a multiple that suits no route with long requests."""
    work = measured(0.25 + 0.01 * n for n in range(400))
    usual = usual_delay_s(WORK_S)
    assert usual < due_at(plan(work)) < 2 * usual


@pytest.mark.parametrize(
    "second",
    [choice(is_queued=True), choice(expected_s=8 * WORK_S)],
    ids=["queued", "slow"],
)
def test_second_server_without_room_saves_no_time(second):
    """Guards against hedges that load a fleet which has no capacity left."""
    rng = random.Random(2)
    hedge_plan = plan(measured(heavy_tail(rng) for _ in range(400)))
    now = due_at(hedge_plan)
    assert hedge_plan.is_early
    assert hedge_plan.saves_time(choice(), now)
    assert not hedge_plan.saves_time(second, now)
    hedge_plan.give_up_early()
    assert hedge_plan.check_at == usual_delay_s(WORK_S)
    assert hedge_plan.saves_time(second, hedge_plan.check_at)


def test_queued_request_is_hedged_as_without_measurements():
    """Guards against a burst that looks like a heavy tail."""
    rng = random.Random(3)
    work = measured(heavy_tail(rng) for _ in range(400))
    queued = plan(work, choice(is_queued=True))
    assert queued.check_at == usual_delay_s(WORK_S)


def test_distribution_follows_a_change_and_stays_bounded():
    histogram = DurationHistogram()
    for ratio in [1.0] * 5000 + [4.0] * 3000:
        histogram.record(ratio)
    assert histogram.mean == pytest.approx(4.0, rel=0.1)
    assert histogram._total <= MAX_SAMPLES
    for ratio in (0.0, 1e-9, 1e9):
        histogram.record(ratio)
        histogram.record_cancelled(ratio)


def ratio_by_definition(ratios, start, whole):
    """Returns what `first_ratio` does, by a new histogram."""
    fresh = DurationHistogram()
    for ratio in ratios:
        fresh.record(ratio)
    return fresh.first_ratio(start, whole)


# Guards against sums of buckets that are kept after a count has changed.
def test_every_record_counts_in_the_next_decision():
    rng = random.Random(4)
    durations = DurationHistogram()
    ratios = []
    results = set()
    for _ in range(int(MAX_SAMPLES) + 100):
        ratios.append(heavy_tail(rng))
        durations.record(ratios[-1])
        result = durations.first_ratio(1.0, 1.5)
        assert result == ratio_by_definition(ratios, 1.0, 1.5)
        results.add(result)
    assert len(results) > 1


def test_cancelled_requests_count_in_the_next_decision():
    durations = DurationHistogram()
    for ratio in [1.0] * 100 + [8.0] * 3:
        durations.record(ratio)
    assert durations.first_ratio(1.5, 2.0) is None
    for _ in range(2):
        durations.record_cancelled(2.0)
    assert durations.first_ratio(1.5, 2.0) is not None
