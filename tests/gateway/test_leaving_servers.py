"""Backend servers that say in their answers that they are about to leave."""

from __future__ import annotations

import asyncio

from tests.gateway.fleet import run_fleet
from tests.gateway.needy_fleet import Callers, set_up_servers, start_gateways

# The users' bound: requests sent later than this after an instance passed on
# such an answer do not reach the server from that instance.
DRAIN_S = 2.5
LEAVING = ("i-0", "i-1", "i-2")


# Guards against requests to servers that have said that they are leaving while
# their entry in the store still says that they are ready.
async def test_leaving_servers_get_no_new_requests(tmp_path):
    async with run_fleet(tmp_path, servers=4) as fleet:
        await set_up_servers(fleet)
        await start_gateways(fleet, 6)
        callers = Callers(fleet)
        calls = asyncio.create_task(callers.call_for(3 * DRAIN_S))
        await asyncio.sleep(1.0)
        for name in LEAVING:
            await fleet.servers[name].control(leaving=True)
        await calls
        arrived = {
            name: (await fleet.servers[name].show())["arrived"]
            for name in LEAVING
        }
    late = {name: 0 for name in LEAVING}
    for name, ones in arrived.items():
        told_at = {}
        for one in ones:
            gateway = callers.gateways[one["id"]]
            first = told_at.get(gateway)
            if first and callers.sent_at[one["id"]] > first + DRAIN_S:
                late[name] += 1
            elif one["leaving"] and not first:
                told_at[gateway] = one["at"]
    assert late == dict.fromkeys(LEAVING, 0)
    assert {status for _, status in callers.answers} == {200}
