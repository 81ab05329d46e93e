"""Checks what the sender learns from a response of a server with a pace."""

from __future__ import annotations

import types

import pytest

from radishmux.dispatch.server_response import ServerResponse
from radishmux.gateway.sender import ServerSender
from radishmux.platform import dialect
from radishmux.steer.placement import Placement, PlacementRequest
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.server_state import LoadReport
from radishmux.telemetry.metrics import Metrics
from tests.gateway import parts

OK = ServerResponse(200, [], b"")


class Clock:
    """Stands still."""

    def now(self):
        return 100.0


class NoRollouts:
    """Collects the durations relative to the expected ones."""

    def __init__(self):
        self.ratios = []

    def record_outcome(self, service, version, route, failed, ratio):
        self.ratios.append(ratio)


def make_sender(**fields):
    placement, rollouts = Placement("a", "a-1"), NoRollouts()
    sender = ServerSender(
        None,
        placement,
        None,
        ServerContact(),
        None,
        rollouts,
        dialect,
        Clock(),
        Metrics(),
        **fields,
    )
    return sender, placement, rollouts


def start(placement, pace, now=100.0):
    """Returns an attempt at a server that has just reported a pace."""
    one = parts.server("x")
    state = placement.state("x")
    state.apply_load_report(LoadReport(0, 0, 4, pace), now)
    request = PlacementRequest("s", "r", None, frozenset())
    choice = placement.choose(request, [one], lambda _: True, now)
    return types.SimpleNamespace(
        choice=choice,
        route=parts.route(),
        call=types.SimpleNamespace(affinity=None),
        is_suspected=False,
    )


@pytest.mark.parametrize("pace", [None, 0.5, 2.0])
def test_paced_work_is_recorded_at_the_usual_pace(pace):
    """Guards against a pace that counts in work times and slowness, too."""
    sender, placement, rollouts = make_sender()
    work = placement.work_times("s", "r")
    for _ in range(200):
        attempt = start(placement, pace)
        duration_s = 0.0004 + 0.08 * (pace or 1.0)
        sender._record_response(attempt, OK, duration_s, 100.0)
    assert work.warm_s == pytest.approx(0.08, rel=0.01)
    assert placement.state("x").slowness(100.0) < 1.1
    assert work.durations(True, False).mean == pytest.approx(1.0, rel=0.1)


def test_pace_that_changes_during_the_work_counts_with_its_mean():
    """Guards against work times that follow the pace at one moment."""
    sender, placement, _ = make_sender()
    work = placement.work_times("s", "r")
    usual_s = work.warm_s
    attempt = start(placement, 2.0)
    # Half of the time at half of the usual speed, half of it at the usual one.
    start(placement, 1.0)
    sender._record_response(attempt, OK, 0.0004 + usual_s / 0.75, 100.0)
    assert work.warm_s == pytest.approx(usual_s, rel=0.01)


def test_cancelled_attempt_counts_as_longer_than_it_lasted():
    """Guards against a tail that is forgotten because it is hedged."""
    sender, placement, _ = make_sender()
    durations = placement.work_times("s", "r").durations(True, False)
    for ratio in [1.0] * 90 + [7.0] * 10:
        durations.record(ratio)
    before = durations.chance_beyond(3.0, 0.0)
    attempt = start(placement, None)
    sender._record_cancelled(attempt, 2.0 * attempt.choice.expected_s)
    assert durations.chance_beyond(3.0, 0.0) > before


@pytest.mark.parametrize("is_early", [True, False])
def test_slow_server_is_seen_although_its_requests_are_hedged(is_early):
    """Guards against a slow server or version that hides behind hedges."""
    sender, placement, rollouts = make_sender()
    durations = placement.work_times("s", "r").durations(True, False)
    for ratio in [1.0] * 190 + [7.0] * 10:
        durations.record(ratio)
    for _ in range(4):
        attempt = start(placement, None)
        attempt.choice.is_hedged_early = is_early
        sender._record_cancelled(attempt, 2.4 * attempt.choice.expected_s)
    assert (placement.state("x").slowness(100.0) > 2.5) == is_early
    assert len(rollouts.ratios) == (4 if is_early else 0)


def test_durations_that_nothing_uses_are_not_recorded():
    """Guards against work for each request that no decision needs."""
    sender, placement, _ = make_sender(records_durations=False)
    work = placement.work_times("s", "r")
    usual_s = work.warm_s
    for _ in range(20):
        attempt = start(placement, None)
        sender._record_response(attempt, OK, 0.0004 + 1.5 * usual_s, 100.0)
        sender._record_cancelled(start(placement, None), 0.5)
    assert work.durations(True, False).mean == 1.0
    assert work.warm_s > 1.2 * usual_s
