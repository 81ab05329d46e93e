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
    table.on_list_recovered(10.0)
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


def test_return_of_a_hub_gives_missing_entries_no_more_time():
    """Hubs that were cut off come back one after the other.

    Grown mistpole-gh scale-2: a server that had drained was used 4.1 s after
    the cut had ended, since each hub's return began the doubt anew.
    """
    table = ServerTable(REGIONS)
    for name in ("a", "b"):
        table.put(entry(name), 0.0)
    table.on_list_recovered(10.0)
    table.replace([entry("a")], 10.1)
    for returned_at in (10.7, 11.4, 12.1):
        table.on_list_recovered(returned_at, is_own=False)
    assert table.expire(10.0 + RETURN_GRACE_S + 0.1) == ("b",)


def test_entry_that_is_missing_at_a_second_return_may_come_back_again():
    table = ServerTable(REGIONS)
    for name in ("a", "b"):
        table.put(entry(name), 0.0)
    table.on_list_recovered(10.0)
    table.replace([entry("a")], 10.1)
    # The list is away until 20, and nobody asks for what has expired.
    table.on_list_recovered(20.0)
    assert table.expire(20.0 + RETURN_GRACE_S - 0.1) == ()
    table.put(entry("b"), 21.0)
    assert table.expire(30.0) == ()
    assert names(table) == {"a", "b"}
