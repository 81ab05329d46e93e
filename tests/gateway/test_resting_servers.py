"""Backend servers that turn instances away and ask them for rest.

The failure is described in docs/incidents/budget-aqrp-retours.md.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict

from tests.gateway.fleet import run_fleet
from tests.gateway.needy_fleet import Callers, set_up_servers, start_gateways

REST_S = 3.0
# The users' bound on the requests of an instance to a server that rests. It
# holds from this long after the server's response.
NOTICE_S = 0.5
MAX_DURING_REST = 2
RESTING = ("i-0", "i-1", "i-2")


def max_during_rest(arrived, gateways):
    """Returns the most requests of one gateway during a rest of a server."""
    by_gateway = defaultdict(list)
    for one in arrived:
        by_gateway[gateways[one["id"]]].append(one)
    return max(
        sum(
            one["at"] + NOTICE_S <= other["at"] <= one["at"] + one["rest_s"]
            for other in ones
        )
        for ones in by_gateway.values()
        for one in ones
        if one["rest_s"] is not None
    )


# Guards against instances that go on sending to a server that asks for rest.
async def test_resting_servers_are_left_alone_by_each_instance(tmp_path):
    async with run_fleet(tmp_path, servers=4) as fleet:
        await set_up_servers(fleet)
        await start_gateways(fleet, 6)
        callers = Callers(fleet)
        calls = asyncio.create_task(callers.call_for(4 * REST_S))
        await asyncio.sleep(REST_S / 2)
        resting_at = time.time()
        for name in RESTING:
            await fleet.servers[name].control(rest_s=REST_S)
        await calls
        arrived = {
            name: (await fleet.servers[name].show())["arrived"]
            for name in RESTING
        }
    most = {
        name: max_during_rest(ones, callers.gateways)
        for name, ones in arrived.items()
    }
    assert max(most.values()) <= MAX_DURING_REST, most
    # The fourth server has room for all requests. Only those that two servers
    # turn away as their first rest begins use up their attempts.
    assert {
        status
        for sent_at, status in callers.answers
        if not resting_at <= sent_at <= resting_at + NOTICE_S
    } == {200}
