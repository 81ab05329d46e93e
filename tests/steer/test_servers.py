"""Checks restarts, outdated entries and outages of the server list."""

from __future__ import annotations

from radishmux.steer.servers import (
    LEAVING_VALID_S,
    RETURN_GRACE_S,
    ServerTable,
)
from tests.gateway.parts import REGIONS, entry


def names(table):
    return {server.name for server in table.of_service("s")}


def test_draining_server_gets_no_requests():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.put(entry("b"), 0.0)
    table.put(entry("a", draining=True), 1.0)
    assert names(table) == {"b"}
    assert table.get("a") is not None


# Guards against a leaving server that its entry, which says ready, brings back.
def test_leaving_server_gets_no_requests_until_its_next_start():
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=5, started_ms=10), 0.0)
    table.put(entry("b"), 0.0)
    assert names(table) == {"a", "b"}
    assert table.mark_leaving(table.get("a"))
    assert not table.mark_leaving(table.get("a"))
    table.put(entry("a", sequence=6, started_ms=10), 1.0)
    assert names(table) == {"b"}
    table.put(entry("a", sequence=1, started_ms=20), 2.0)
    assert names(table) == {"a", "b"}


# Guards against news of a server that count for its next start.
def test_news_of_an_unknown_leaving_server_is_valid_for_a_short_time():
    table = ServerTable(REGIONS)
    table.record_unknown_leaving("a", 0.0)
    table.record_unknown_leaving("b", 0.0)
    table.put(entry("a"), 0.9 * LEAVING_VALID_S)
    table.put(entry("b"), 1.1 * LEAVING_VALID_S)
    assert names(table) == {"b"}
    table.put(entry("a", started_ms=20), 1.2 * LEAVING_VALID_S)
    assert names(table) == {"a", "b"}


def test_outdated_entry_is_dropped():
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=5, started_ms=10, draining=True), 0.0)
    assert not table.put(entry("a", sequence=4, started_ms=10), 1.0)
    assert not table.put(entry("a", sequence=9, started_ms=9), 1.0)
    assert names(table) == set()


def test_restart_under_the_same_name_replaces_the_server():
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=50, started_ms=10, draining=True), 0.0)
    table.put(entry("a", sequence=1, started_ms=11, cold_remaining_s=3.0), 1.0)
    assert names(table) == {"a"}
    assert table.get("a").is_cold(2.0)
    assert not table.get("a").is_cold(4.1)


def test_entry_read_again_does_not_end_a_cold_period():
    """A broken connection makes a server count as cold: it may have restarted.

    Only a new entry shows that the server is warm.
    """
    table = ServerTable(REGIONS)
    table.put(entry("a", sequence=5, started_ms=10), 0.0)
    table.get("a").cold_until = 9.0
    table.put(entry("a", sequence=5, started_ms=10), 1.0)
    assert table.get("a").is_cold(2.0)
    table.put(entry("a", sequence=6, started_ms=10), 3.0)
    assert not table.get("a").is_cold(4.0)


def test_deleted_entry_removes_the_server_at_once():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.remove("a", 1.0)
    assert names(table) == set()


def test_entry_that_expired_in_an_outage_may_return():
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


def test_list_is_applied_at_once_without_an_outage():
    table = ServerTable(REGIONS)
    table.put(entry("a"), 0.0)
    table.replace([entry("b")], 1.0)
    assert names(table) == {"b"}


def test_recovery_of_a_hub_does_not_extend_the_grace_period():
    """Hubs that were cut off recover one after the other.

    Each recovery used to restart the grace period, and a server that had
    drained was still used 4.1 s after the end of the partition (mistpole-gh,
    scale-2, with a grown fleet).
    """
    table = ServerTable(REGIONS)
    for name in ("a", "b"):
        table.put(entry(name), 0.0)
    table.on_list_recovered(10.0)
    table.replace([entry("a")], 10.1)
    for recovered_at in (10.7, 11.4, 12.1):
        table.on_list_recovered(recovered_at, is_own=False)
    assert table.expire(10.0 + RETURN_GRACE_S + 0.1) == ("b",)


def test_second_outage_restarts_the_grace_period_of_missing_entries():
    table = ServerTable(REGIONS)
    for name in ("a", "b"):
        table.put(entry(name), 0.0)
    table.on_list_recovered(10.0)
    table.replace([entry("a")], 10.1)
    # The list is unreadable until 20 s, and `expire` is not called meanwhile.
    table.on_list_recovered(20.0)
    assert table.expire(20.0 + RETURN_GRACE_S - 0.1) == ()
    table.put(entry("b"), 21.0)
    assert table.expire(30.0) == ()
    assert names(table) == {"a", "b"}
