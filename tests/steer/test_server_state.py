"""Checks the estimates of load, pace and slowness of a server."""

from __future__ import annotations

import pytest

from radishmux.steer.server_state import (
    MEAN_LOAD_HALF_LIFE_S,
    MEAN_PACE_HALF_LIFE_S,
    PACE_VALID_S,
    REPORT_VALID_S,
    LoadReport,
    ServerState,
)


def busy_server(seconds, running=4, waiting=3, every_s=0.5):
    state = ServerState()
    now = 100.0
    while now < 100.0 + seconds:
        state.apply_load_report(LoadReport(running, waiting, 4), now)
        now += every_s
    return state, now


def test_constantly_busy_server_counts_as_busy_between_reports():
    """In a large fleet, an instance rarely gets a report from a server.

    The latest report is then older than the requests that it counted.
    """
    state, now = busy_server(6.0)
    assert state.load(now + REPORT_VALID_S) >= 4.0


def test_single_report_of_a_queue_expires():
    state = ServerState()
    state.apply_load_report(LoadReport(0, 0, 4), 100.0)
    state.apply_load_report(LoadReport(4, 3, 4), 100.1)
    assert state.load(100.1) == 7.0
    assert state.load(100.1 + REPORT_VALID_S) < 1.0


def test_average_decays_without_reports():
    """Guards against servers that are never used again after being busy."""
    state, now = busy_server(6.0)
    assert state.load(now + 4 * MEAN_LOAD_HALF_LIFE_S) < 1.0


def test_server_that_became_idle_counts_as_idle():
    state, now = busy_server(6.0)
    for n in range(12):
        state.apply_load_report(LoadReport(0, 0, 4), now + 0.5 * n)
    assert state.load(now + 6.0 + REPORT_VALID_S) < 1.0


def paced_server(*reports):
    """Returns a server that reported pairs of a time and a pace."""
    state = ServerState()
    for at, pace in reports:
        state.apply_load_report(LoadReport(0, 0, 4, pace), at)
    return state


def test_server_without_a_pace_works_at_the_usual_one():
    """Guards fleets without the fourth figure against any change."""
    state = paced_server((100.0, None))
    assert not state.reports_pace
    assert state.paced_s(0.1234, 100.0) == 0.1234


def test_latest_pace_counts_for_a_short_time_only():
    """Guards against a pace that is kept although it has long changed."""
    # A machine whose pace alternates between 50 and 150 percent.
    alternating = [(100.0 + 0.5 * n, 0.5 + n % 2) for n in range(60)]
    state = paced_server(*alternating, (130.0, 8.0))
    assert state.paced_s(0.02, 130.0) == pytest.approx(0.16)
    # Work that outlasts the latest pace goes on at the mean.
    assert state.paced_s(1.0, 130.0) < 2.5
    later = state.paced_s(0.02, 130.0 + PACE_VALID_S)
    assert 0.02 <= later < 0.06


def test_mean_pace_of_a_rarely_used_server_is_learned_and_forgotten():
    """Guards against a slow machine that is tried again with each request.

    And against one that is never tried again.
    """
    state = paced_server(*((100.0 + 5.0 * n, 3.0) for n in range(12)))
    assert state.paced_s(0.1, 156.0) > 0.25
    assert state.paced_s(0.1, 155.0 + 6 * MEAN_PACE_HALF_LIFE_S) < 0.11


def test_report_without_a_pace_keeps_the_last_one():
    state = paced_server((100.0, 4.0), (100.1, None))
    assert state.paced_s(0.01, 100.1) == pytest.approx(0.04)


def test_one_long_request_does_not_make_a_server_slow():
    """Guards against heavy tails: 3 in 100 requests take 7 times as long."""
    state = ServerState()
    for n in range(200):
        state.record_response(7.0 if n % 33 == 5 else 0.9, None, 0.1 * n)
        assert state.slowness(0.1 * n) <= 1.25


def test_server_that_is_slow_for_all_requests_counts_as_slow():
    """Guards against a slow server that passes for one with a heavy tail."""
    state = ServerState()
    for n in range(4):
        state.record_response(10.0, None, 0.1 * n)
    assert state.slowness(0.3) > 6.0


# RECOVER: servers stayed paused, and their objects unknown, after a cut.
def test_connection_failures_are_forgotten_if_they_were_not_the_servers():
    state = ServerState()
    state.record_response(1.0, 7, 100.0)
    for n in range(3):
        state.record_connection_failure(101.0 + n)
    assert not state.is_available(103.1)
    assert not state.is_warm(7)
    state.undo_connection_failures()
    assert state.is_available(103.1)
    assert state.is_warm(7)
    assert state.failure_share(103.1) == 0.0


def test_connection_failures_before_a_response_are_the_servers():
    state = ServerState()
    state.record_connection_failure(100.0)
    state.record_response(1.0, 7, 101.0)
    share = state.failure_share(101.0)
    state.undo_connection_failures()
    assert state.failure_share(101.0) == share > 0.0
