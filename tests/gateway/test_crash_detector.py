"""Tells the end of a server from a broken connection and from a cut link."""

from __future__ import annotations

import asyncio

import pytest

from radishmux.clock import ManualClock
from radishmux.gateway.crash_detector import CrashDetector
from radishmux.gateway.events import ServerPut
from radishmux.gateway.fleet_state import FleetState
from tests.gateway import parts

BROKEN_AT = 10.0


class Connections:
    """Servers in `refusing` refuse connections; those in `up` accept them."""

    def __init__(self, refusing, up):
        self.refusing = refusing
        self.up = up
        self.asked = []

    async def is_refused(self, server):
        self.asked.append(server.name)
        await asyncio.sleep(0)
        return server.name in self.refusing

    async def probe(self, server):
        self.asked.append(server.name)
        return server.name in self.up


def make(refusing, up, responded_at=0.0):
    fleet = FleetState(lambda change: change, parts.REGIONS)
    for n in range(3):
        entry = parts.entry(f"s{n}", f"{'abc'[n]}-1")
        fleet.on_change(ServerPut(f"s{n}", entry), 0.0)
    connections = Connections(refusing, up)
    detector = CrashDetector(
        parts.OWN,
        fleet,
        connections,
        lambda now: now - responded_at,
        ManualClock(BROKEN_AT + 0.1),
    )
    return detector, connections, fleet.servers.get("s0")


@pytest.mark.parametrize(
    ("refusing", "up", "responded_at", "has_ended"),
    [
        pytest.param({"s0"}, {"s1", "s2"}, 0.0, True, id="others-accept"),
        pytest.param({"s0"}, set(), BROKEN_AT + 0.05, True, id="others-answer"),
        pytest.param({"s0", "s1", "s2"}, set(), 0.0, False, id="cut-link"),
        pytest.param(set(), {"s0", "s1"}, 0.0, False, id="server-lives"),
        pytest.param(set(), {"s1"}, 0.0, False, id="no-answer"),
    ],
)
async def test_server_has_ended_if_it_refuses_while_others_are_reached(
    refusing, up, responded_at, has_ended
):
    detector, _, server = make(refusing, up, responded_at)
    assert await detector.has_ended(server, BROKEN_AT) is has_ended


# All requests of a server lose their connections at the same moment.
async def test_requests_of_one_server_share_a_check():
    detector, connections, server = make({"s0"}, {"s1"})
    outcomes = await asyncio.gather(
        *(detector.has_ended(server, BROKEN_AT) for _ in range(8))
    )
    assert outcomes == [True] * 8
    assert connections.asked.count("s0") == 1
