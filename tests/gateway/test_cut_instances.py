"""Instances that are cut off from all backend servers."""

from __future__ import annotations

import asyncio
import re
from collections import Counter

import aiohttp
import pytest

from radishmux.peer import messages, relay_codec
from tests.departing_caller import LEAVE, DepartingCaller
from tests.gateway.cut_fleet import (
    CONTACT_S,
    DEADLINE_MS,
    GATEWAYS,
    Link,
    run_cut_fleet,
    served_share,
)
from tests.gateway.fleet import HOST, config
from tests.gateway.test_departed_callers_daemon import BOUND_S, request_bytes

# The users' bound: first tries at cut instances are served less than two thirds
# as often as at the others.
MIN_RATIO = 2 / 3
ONE = ("g0",)
REGION = ("g0", "g1", "g2")
# Few connections are open at the begin of the cut, many are needed later.
QUIET_PER_S, BUSY_PER_S = 5, 40
WORK_MS = 150.0


async def start_all(cut_fleet):
    gateways = cut_fleet.fleet.gateways
    await asyncio.gather(*(gateway.start() for gateway in gateways))
    await cut_fleet.set_servers(work_ms=WORK_MS)
    await cut_fleet.load(QUIET_PER_S, 1.0)


# RECOVER: instances that no server answered served 5 of 278 first tries, while
# the others served 2975 of 2984.
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
@pytest.mark.parametrize(
    ("link", "cut"),
    [
        pytest.param(Link.CUT_SILENT, ONE, id="silent-one"),
        pytest.param(Link.CUT_SILENT, REGION, id="silent-region"),
        pytest.param(Link.CUT_RESET, REGION, id="reset-region"),
        pytest.param(Link.CUT_NEW, ONE, id="new-one"),
        pytest.param(Link.CUT_NEW, REGION, id="new-region"),
    ],
)
async def test_cut_instances_serve_as_the_others_do(tmp_path, link, cut, path):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(cut, link)
        await cut_fleet.load(BUSY_PER_S, CONTACT_S, path)
        calls = await cut_fleet.load(BUSY_PER_S, 2.0, path)
        runs = Counter(run["id"] for run in await cut_fleet.runs())
    others = served_share(calls, GATEWAYS.keys() - set(cut))
    assert served_share(calls, cut) >= MIN_RATIO * others
    assert path == "/safe/1" or max(runs.values()) == 1


# RECOVER: behind something that accepts connections in the servers' place, as
# a forwarder does, contact counted as kept while no server answered.
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
@pytest.mark.parametrize("cut", [ONE, REGION], ids=["one", "region"])
async def test_instances_with_silent_connections_serve_as_the_others_do(
    tmp_path, cut, path
):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(cut, Link.SILENT)
        await cut_fleet.load(BUSY_PER_S, CONTACT_S, path)
        calls = await cut_fleet.load(BUSY_PER_S, 2.0, path)
        runs = Counter(run["id"] for run in await cut_fleet.runs())
    others = served_share(calls, GATEWAYS.keys() - set(cut))
    assert served_share(calls, cut) >= MIN_RATIO * others
    assert path == "/safe/1" or max(runs.values()) == 1


# RECOVER: in a large fleet members learn through hubs who reaches servers.
async def test_cut_members_and_hubs_of_a_large_fleet_serve(tmp_path):
    async with run_cut_fleet(tmp_path, full_mesh_max=2) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(REGION, Link.CUT_SILENT)
        await cut_fleet.load(BUSY_PER_S, CONTACT_S)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
    assert served_share(calls, REGION) == 1.0


# A request that is known not to be servable was held until its deadline.
# Nothing is taken off for an eighth of the target latency, which is 1 s.
@pytest.mark.parametrize("link", [Link.CUT_SILENT, Link.CUT_RESET])
async def test_requests_that_no_instance_can_send_are_refused_at_once(
    tmp_path, link
):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(GATEWAYS, link)
        await cut_fleet.load(BUSY_PER_S, CONTACT_S)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
        cut_fleet.set_links(GATEWAYS, Link.SOUND)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        later = await cut_fleet.load(BUSY_PER_S, 1.0)
        held_ms = cut_fleet.held_ms()
    assert {call.status for call in calls} == {503}
    assert max(held_ms[call.id] for call in calls) < 1000 / 8
    assert served_share(later, GATEWAYS) == 1.0


# RECOVER: an instance that starts behind a cut has never reached a server.
async def test_instance_that_starts_behind_a_cut_serves(tmp_path):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        cut_fleet.set_links(ONE, Link.CUT_SILENT)
        await start_all(cut_fleet)
        await cut_fleet.load(QUIET_PER_S, CONTACT_S)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
    assert served_share(calls, ONE) == 1.0


# GONE: servers must not go on for a caller whose request a peer has sent.
@pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
async def test_servers_are_told_that_a_caller_of_a_cut_instance_has_left(
    tmp_path, leave
):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(ONE, Link.CUT_RESET)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        await cut_fleet.set_servers(work_ms=1_800)
        callers = [
            DepartingCaller(cut_fleet.fleet.gateways[0].caller)
            for _ in range(8)
        ]
        for number, caller in enumerate(callers):
            caller.send(request_bytes(number))
        async with asyncio.timeout(1):
            while await cut_fleet.running() < len(callers):
                await asyncio.sleep(0.02)
        for caller in callers:
            leave(caller)
        async with asyncio.timeout(BOUND_S):
            while await cut_fleet.running():
                await asyncio.sleep(0.02)


# QUOTA, BUDGET: a helper takes no second token and gives no more time.
async def test_relayed_requests_keep_to_rate_and_deadline(tmp_path):
    rate_per_s = 20
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await cut_fleet.fleet.put(
            **{"op/config": config(2, RatePerS=rate_per_s, Burst=rate_per_s)}
        )
        await start_all(cut_fleet)
        cut_fleet.set_links(REGION, Link.CUT_RESET)
        begin = len(await cut_fleet.runs())
        calls = await cut_fleet.load(BUSY_PER_S, CONTACT_S)
        runs = (await cut_fleet.runs())[begin:]
    # The users' bound, with the slack of the settings.
    assert len(runs) <= 1.1 * rate_per_s * (CONTACT_S + 1) + 20
    # Each token serves a request: none is taken by the helper as well.
    assert len(runs) >= 0.8 * rate_per_s * CONTACT_S
    assert {call.status for call in calls} <= {200, 429, 502, 503}
    assert max(int(run["deadline"]) for run in runs) <= DEADLINE_MS


# HOME: a body must reach no instance outside its home regions.
async def test_requests_are_relayed_in_their_home_regions_only(tmp_path):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await cut_fleet.fleet.put(**{"op/config": config(2, HomeRegions=["a"])})
        await start_all(cut_fleet)
        cut_fleet.set_links(("g0",), Link.CUT_RESET)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
        assert served_share(calls, ("g0",)) == 1.0
        cut_fleet.set_links(REGION, Link.CUT_RESET)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
        far = cut_fleet.fleet.gateways[3].log_text()
    assert served_share(calls, REGION) == 0.0
    assert '"relayed"' not in far


# DRAIN: an instance did not learn from responses that a peer passed to it, and
# sent requests to a leaving server after the cut (soak, seed 2012).
async def test_leaving_server_is_known_through_a_helper(tmp_path):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        cut_fleet.set_links(ONE, Link.CUT_RESET)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        leaving = cut_fleet.fleet.servers["i-0"]
        await leaving.control(leaving=True)
        await cut_fleet.load(BUSY_PER_S, 1.0)
        cut_fleet.set_links(ONE, Link.SOUND)
        calls = await cut_fleet.load(BUSY_PER_S, 1.0)
        arrived = {one["id"] for one in (await leaving.show())["arrived"]}
    assert "backend server i-0 is leaving" in (
        cut_fleet.fleet.gateways[0].log_text()
    )
    assert not arrived & {one.id for one in calls if one.gateway in ONE}


# Nobody but the other instances may pass requests on, past keys and rates.
async def test_requests_of_outsiders_are_not_relayed(tmp_path):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        ran = len(await cut_fleet.runs())
        gateway = cut_fleet.fleet.gateways[0]
        request = messages.RelayRequest(
            method="GET",
            target="/safe/1",
            headers=relay_codec.encode_headers(
                [("host", HOST), ("api-key", "key"), ("request-id", "id")]
            ),
            service_name="s",
            remaining_ms=1000,
        )
        bodies = [b"", b"no message"]
        # The name and incarnation of an instance, from another address.
        started = re.search(r'"incarnation":(\d+)', gateway.log_text())
        for incarnation in (1, int(started[1])):
            bodies.append(
                relay_codec.encode_message("g0", incarnation, request)
            )
        host = gateway.settings["ip"]
        port = gateway.settings["listen"]["peer_ports"][1]
        async with aiohttp.ClientSession() as session:
            for body in bodies:
                url = f"http://{host}:{port}{relay_codec.RELAY_PATH}"
                async with session.post(url, data=body) as response:
                    assert response.status in (400, 403)
        assert len(await cut_fleet.runs()) == ran


# A cut link is no crash: requests that were on it must not be withheld.
@pytest.mark.parametrize("cut", [ONE, REGION], ids=["one", "region"])
async def test_cut_links_mark_no_request_as_crashing(tmp_path, cut):
    async with run_cut_fleet(tmp_path) as cut_fleet:
        await start_all(cut_fleet)
        for _ in range(3):
            calls = asyncio.create_task(cut_fleet.load(BUSY_PER_S, 2.0))
            await asyncio.sleep(0.5)
            cut_fleet.set_links(cut, Link.CUT_RESET)
            await calls
            cut_fleet.set_links(cut, Link.SOUND)
            await asyncio.sleep(0.5)
        logs = "".join(one.log_text() for one in cut_fleet.fleet.gateways)
    for state in ("marked", "suspected", "withheld"):
        assert f'"state":"{state}"' not in logs
