"""Backend servers in need that name a limit for all instances together.

The failure is described in docs/incidents/limit-aqrp-retours.md.
"""

from __future__ import annotations

import bisect
import time

from tests.gateway.fleet import run_fleet
from tests.gateway.needy_fleet import Callers, set_up_servers, start_gateways

# The users' bound on the requests to a server that names a limit: in any
# window, from some time after it first named one.
WINDOW_S = 4.0
CONTACT_S = 4.0
OVERRUN = 1.5
SLACK = 5.0
LIMITS_PER_S = {"i-0": 4.4, "i-1": 4.4, "i-2": 1.0}


def allowed(limit_per_s):
    return OVERRUN * limit_per_s * WINDOW_S + SLACK


def max_in_window(times):
    """Returns the largest number of times within one window."""
    times = sorted(times)
    return max(
        (n + 1 - bisect.bisect(times, at - WINDOW_S))
        for n, at in enumerate(times)
    )


# Guards against instances that do not know or do not share the limit that a
# server names: it gets several times what it can take.
async def test_limited_servers_get_at_most_their_limit_from_all_instances(
    tmp_path,
):
    async with run_fleet(tmp_path, servers=4) as fleet:
        await set_up_servers(fleet)
        await start_gateways(fleet, 6)
        for name, limit_per_s in LIMITS_PER_S.items():
            await fleet.servers[name].control(limit_per_s=limit_per_s)
        limited_at = time.time()
        callers = Callers(fleet)
        await callers.call_for(CONTACT_S + 2 * WINDOW_S)
        arrived = {
            name: (await fleet.servers[name].show())["arrived"]
            for name in LIMITS_PER_S
        }
    most = {
        name: max_in_window(
            [one["at"] for one in ones if one["at"] >= limited_at + CONTACT_S]
        )
        for name, ones in arrived.items()
    }
    assert all(
        most[name] <= allowed(limit_per_s)
        for name, limit_per_s in LIMITS_PER_S.items()
    ), most
    assert {status for _, status in callers.answers} == {200}
