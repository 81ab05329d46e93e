"""Checks the load estimate for a server that is rarely used."""

from __future__ import annotations

from radishmux.steer.server_state import (
    MEAN_LOAD_HALF_LIFE_S,
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
