"""Gateway daemons that report the usage to the platform's API."""

from __future__ import annotations

import asyncio
import collections

from typer.testing import CliRunner

from radishmux.cli.main import app
from tests.gateway.fleet import run_fleet, send_request
from tests.gateway.test_daemon import eventually
from tests.standin_processes import standin

WINDOW_S, LATE_S = 1.0, 8.0
# Time until the windows of all requests are reported, also after the death of
# the holder, on a machine that is busy.
REPORTED_S = 30.0


def settings(api):
    """Returns the settings of daemons that report to a stand-in."""
    return {
        "duties": {
            "address": api.address,
            "names": ["usage_report"],
            "calls_per_s": 20,
            "require_fence": True,
            "lease_s": 2,
            "thaw_slack_s": 0.3,
            "report_window_s": WINDOW_S,
            "usage_tolerance": 0.05,
            "usage_late_s": LATE_S,
        }
    }


async def reported(api):
    """Returns the requests of all reported windows by customer."""
    total = collections.Counter()
    for counts in (await api.show())["accepted"].values():
        total.update(counts)
    return total


def holder_of(gateways):
    """Returns the gateway that has acquired the duty and not lost it."""
    held = [
        gateway
        for gateway in gateways
        if gateway.log_text().count('"duty usage_report is held"')
        > gateway.log_text().count('"duty usage_report is lost"')
    ]
    return held[0] if held else None


async def send_some(gateways, count):
    for n in range(count):
        answer = await send_request(gateways[n % len(gateways)], f"/safe/{n}")
        assert answer[0] == 200


async def send_refused(fleet, gateways):
    """Sends requests that no server runs.

    Returns:
        The number of requests that were served after that.
    """
    for server in fleet.servers.values():
        await server.control(rest_s=0.3)
    for gateway in gateways:
        assert (await send_request(gateway))[0] != 200
    for server in fleet.servers.values():
        await server.control(rest_s=None)
    served = 0

    async def is_served():
        nonlocal served
        answer = await send_request(gateways[0])
        served += answer[0] == 200
        return served > 0

    await eventually(is_served, REPORTED_S)
    return served


async def check_reported(fleet, api, sent):
    """Waits until all requests that servers have run are reported."""

    async def is_complete():
        return (await reported(api))["t1"] >= sent

    await eventually(is_complete, REPORTED_S)
    ran = sum(len(one) for one in (await fleet.executed()).values())
    assert ran == sent
    assert (await reported(api))["t1"] == sent
    assert (await api.show())["violations"] == []


async def test_usage_is_reported_through_changes_of_holders(tmp_path):
    """Guards against lost, doubled and different counts of real processes.

    Instances leave within a window, the holder dies, and the store loses
    responses and is restored.
    """
    async with run_fleet(tmp_path) as fleet, standin("duties_api") as api:
        gateways = await asyncio.gather(
            *(fleet.add(f"g{n}", **settings(api)) for n in range(4))
        )
        await send_some(gateways, 11)
        # Counts of requests that were sent and refused are taken back.
        assert await send_refused(fleet, gateways) == 1
        await check_reported(fleet, api, 12)
        holder = holder_of(gateways)
        assert holder is not None

        leaving = next(one for one in gateways if one is not holder)
        await send_some([leaving], 5)
        await leaving.stop()
        await check_reported(fleet, api, 17)

        # Everything is reported, so that the death loses no counts.
        holder.kill()
        await holder.process.wait()
        rest = [one for one in gateways if one not in (holder, leaving)]
        await fleet.store.control(lose_answers=3)

        async def has_next():
            return holder_of(rest) is not None

        await eventually(has_next, REPORTED_S)
        await send_some(rest, 10)
        await check_reported(fleet, api, 27)

        await fleet.store.control(copy=True)
        await fleet.store.control(restore_s=0)
        lost = '"the store was restored"'

        async def has_lost():
            return any(lost in one.log_text() for one in rest)

        await eventually(has_lost, REPORTED_S)
        await eventually(has_next, REPORTED_S)
        show = await api.show()
        logs = [f"--log={one.path.with_suffix('.log')}" for one in gateways]
        result = CliRunner().invoke(app, ["duties", *logs])
    assert show["violations"] == []
    assert len(show["holders"]) >= 2
    assert result.exit_code == 0, result.output
    assert f"usage_report  {holder_of(rest).name} since" in result.output
    assert "last window sent: none" not in result.output


async def test_counts_of_hub_fleets_are_reported(tmp_path):
    """Guards against counts that are lost or doubled on the way over hubs."""
    async with run_fleet(tmp_path) as fleet, standin("duties_api") as api:
        gateways = await asyncio.gather(
            *(
                fleet.add(
                    f"g{n}",
                    f"a-{1 + n % 2}",
                    full_mesh_max=2,
                    **settings(api),
                )
                for n in range(5)
            )
        )
        await send_some(gateways, 25)
        await check_reported(fleet, api, 25)
