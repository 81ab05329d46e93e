"""Loads of servers that instances share, without a network."""

from __future__ import annotations

import struct

import pytest

from radishmux.steer.load_rows import (
    MAX_BODY_BYTES,
    MAX_ROW_AGE_S,
    add_header,
    server_hash,
)
from radishmux.steer.server_state import LoadReport, ServerState
from radishmux.steer.shared_loads import ROW_BYTES_PER_S, SharedLoads, Source

PERIOD_S = 0.5


class Node:
    """The shared loads of one instance, with what they were applied to."""

    def __init__(self, servers=40, remote=0):
        self.applied = {}
        self.loads = SharedLoads(
            lambda name, row: self.applied.__setitem__(name, row)
        )
        names = [f"s{n}" for n in range(servers)]
        self.loads.set_servers(names, set(names[remote:]))

    def told(self, name, load, now, is_rejection=False):
        self.loads.record_response(name, load, 3, is_rejection, now)

    def sends(self, other, farthest, now, source=Source.REGION):
        body = self.loads.body_for(farthest, PERIOD_S, now)
        if body is None:
            return 0
        assert len(body) <= MAX_BODY_BYTES
        return other.loads.merge(body, source, now)


def test_load_reaches_the_other_members_over_a_hub_with_its_age():
    """Guards against a full server that each member has to try itself."""
    member, hub, other = Node(), Node(), Node()
    member.told("s1", 12, 10.0, is_rejection=True)
    assert member.sends(hub, Source.OWN, 10.3) == 1
    assert hub.sends(other, Source.OTHER_REGION, 10.5) == 1
    row = other.applied["s1"]
    assert (row.load, row.slots, row.is_rejection) == (12, 3, True)
    assert row.at == pytest.approx(10.0, abs=0.002)


def test_newest_row_of_a_server_wins_in_any_order():
    """Guards against old loads that arrive late on the path of a slow hub."""
    hub, first, second = Node(), Node(), Node()
    first.told("s1", 12, 10.0)
    second.told("s1", 2, 10.4)
    assert second.sends(hub, Source.OWN, 10.5) == 1
    assert first.sends(hub, Source.OWN, 10.6) == 0
    assert hub.applied["s1"].load == 2


def test_row_is_not_renewed_by_the_way_back():
    """Guards against a load that two hubs keep alive between them."""
    one, two = Node(), Node()
    one.told("s1", 12, 10.0)
    now = 10.0
    while now < 10.0 + MAX_ROW_AGE_S + 1.0:
        # The way takes 20 ms, which the ages lack.
        body = one.loads.body_for(Source.REGION, PERIOD_S, now)
        now += 0.02
        if body:
            two.loads.merge(body, Source.REGION, now)
        one, two = two, one
        now += 0.23
    assert one.loads.known_count(now) == 0
    assert two.loads.known_count(now) == 0


def test_lost_report_is_made_up_for_by_the_next_one():
    member, hub = Node(), Node()
    member.told("s1", 5, 10.0)
    assert member.loads.body_for(Source.OWN, PERIOD_S, 10.1)
    assert member.sends(hub, Source.OWN, 10.1 + PERIOD_S) == 1


def test_hub_encodes_rows_a_few_times_a_period_for_all_members():
    """Guards against a hub whose core is used up by its members' reports."""
    hub = Node()
    hub.told("s1", 5, 10.0)
    bodies = [
        hub.loads.body_for(Source.OTHER_REGION, PERIOD_S, 10.0 + 0.001 * n)
        for n in range(100)
    ]
    assert len({body[3:] for body in bodies}) == 1
    other = Node()
    other.loads.merge(bodies[-1], Source.REGION, 10.099)
    assert other.applied["s1"].at == pytest.approx(10.0, abs=0.002)


def test_bytes_are_bounded_and_full_servers_come_first():
    """Guards against a hub of a large region that exceeds its bytes."""
    hub = Node(servers=2_000)
    sent = 0
    for n in range(800):
        now = 10.0 + n / 200
        if n % 100 == 0:
            for server in range(2_000):
                hub.told(f"s{server}", server % 3, now)
            hub.told("s7", 12, now, is_rejection=True)
            hub.told("s8", 11, now)
        body = hub.loads.body_for(Source.OTHER_REGION, PERIOD_S, now)
        assert len(body) <= MAX_BODY_BYTES
        if n >= 600:
            sent += len(body)
    assert sent <= 1.2 * ROW_BYTES_PER_S
    other = Node()
    other.loads.merge(body, Source.REGION, now)
    assert {"s7", "s8"} <= other.applied.keys()


def test_rows_of_remote_servers_reach_only_regions_that_use_them():
    """Guards against reports that grow with the number of regions."""
    remote_hub, hub, member = Node(remote=2), Node(remote=2), Node()
    remote_hub.told("s0", 9, 10.0)
    remote_hub.told("s1", 9, 10.0)
    user = Node(remote=2)
    user.told("s1", 4, 9.0)
    assert user.sends(hub, Source.OWN, 9.1) == 1
    assert remote_hub.sends(hub, Source.REGION, 10.2, Source.OTHER_REGION) == 2
    hub.sends(member, Source.OTHER_REGION, 10.3)
    assert member.applied.keys() == {"s1"}
    assert hub.loads.body_for(Source.REGION, PERIOD_S, 10.3) is None


def _body(*rows, layout=1, age_ms=0):
    packed = b"".join(struct.pack("<IBBH", *row) for row in rows)
    return struct.pack("<BH", layout, age_ms) + packed


S1 = server_hash("s1")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x01",
        _body((S1, 3, 3, 0), layout=2),
        _body((S1, 3, 3, 0))[:-1],
        _body((server_hash("unknown"), 3, 3, 0)),
        _body((S1, 3, 0, 0)),
        _body((S1, 255, 3, 0)),
        _body((S1, 1, 3, 0x8000)),
        _body((S1, 3, 3, 3_001)),
        _body((S1, 3, 3, 2_000), age_ms=1_500),
        add_header(b"\0" * 8 * 1_000, 0.0),
    ],
)
def test_unusable_rows_are_left_out(body):
    """Guards against peers of other builds and damaged reports."""
    node = Node()
    assert node.loads.merge(body, Source.REGION, 10.0) == 0


def test_own_requests_in_a_peers_report_count_once():
    """Guards against a server that seems full of this instance's requests."""
    state = ServerState()
    state.record_sent(9.0)
    state.record_sent(9.5)
    assert state.apply_peer_report(5, 9.2)
    # One of the five is the own one of 9.0; that of 9.5 came later.
    assert state.load(9.2) == 6.0


def test_newer_own_response_wins_over_a_peers_report():
    state = ServerState()
    state.apply_load_report(LoadReport(1, 0, 3), 10.0)
    assert not state.apply_peer_report(12, 9.9)
    assert state.load(10.0) == 1.0
    assert state.apply_peer_report(12, 10.1)
    assert state.load(10.1) == 12.0
