"""Entries of backend servers: starts, old ones, and lapses in outages."""

from __future__ import annotations

from radishmux.steer.servers import RETURN_GRACE_S, ServerTable
from tests.gateway.parts import REGIONS, entry


def names(table):
    return {server.name for server in table.of_service("s")}


def test_draining_server_gets_nothing():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.put(entry("b"), 0.0)
    table.put(entry("a", draining=True), 1.0)
    assert names(table) == {"b"}
    assert table.get("a") is not None


def test_late_entry_of_an_earlier_time_is_dropped():
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=5, started_ms=10, draining=True), 0.0)
    assert not table.put(entry("a", sequence=4, started_ms=10), 1.0)
    assert not table.put(entry("a", sequence=9, started_ms=9), 1.0)
    assert names(table) == set()


def test_new_start_under_the_same_name_counts_anew():
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=50, started_ms=10, draining=True), 0.0)
    table.put(entry("a", sequence=1, started_ms=11, cold_remaining_s=3.0), 1.0)
    assert names(table) == {"a"}
    assert table.get("a").is_cold(2.0)
    assert not table.get("a").is_cold(4.1)


def test_known_entry_read_again_does_not_warm_a_server_that_broke():
    """A server that broke may have started again, cold; only news tell."""
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=5, started_ms=10), 0.0)
    table.get("a").cold_until = 9.0
    table.put(entry("a", sequence=5, started_ms=10), 1.0)
    assert table.get("a").is_cold(2.0)
    table.put(entry("a", sequence=6, started_ms=10), 3.0)
    assert not table.get("a").is_cold(4.0)


def test_gone_entry_ends_at_once():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.remove("a", 1.0)
    assert names(table) == set()


def test_entry_that_lapsed_in_an_outage_may_return():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.put(entry("b"), 0.0)
    table.list_returned(10.0)
    table.replace([], 10.1)
    assert names(table) == {"a", "b"}
    table.put(entry("a", sequence=3), 11.0)
    assert table.expire(10.0 + RETURN_GRACE_S - 0.1) == ()
    assert table.expire(10.0 + RETURN_GRACE_S + 0.1) == ("b",)
    assert names(table) == {"a"}


def test_list_in_calm_times_is_taken_as_it_is():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.replace([entry("b")], 1.0)
    assert names(table) == {"b"}
