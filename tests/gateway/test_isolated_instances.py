"""Instances of large fleets that were cut off and return."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from tests.gateway import virtual_fleet, virtual_loop
from tests.gateway.parts import customer

SIZES = (14, 13, 13)
# The users count an instance as in touch this long after the end of a cut, so
# it has to know its peers by then.
REJOIN_S = 4.0


async def _cut(loop, names, seconds):
    terms = customer(rate_per_s=150.0, burst=150.0)
    fleet = virtual_fleet.VirtualFleet(loop, terms, 1, SIZES)
    await fleet.start_all()
    await asyncio.sleep(5.0)
    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(fleet.network.cut(name, seconds))
    await asyncio.sleep(REJOIN_S)
    now = loop.time()
    return [
        (node.record.instance, name)
        for node in fleet.network.running.values()
        for name, record in node.peers.records.items()
        if record.region == node.record.region
        and not node.peers.is_heard(name, now)
    ]


# Guards against an instance that hears nobody after a cut, regards itself as
# the only hub of its region, and asks none of its peers any more.
@pytest.mark.parametrize("seconds", [2.5, 5.0])
@pytest.mark.parametrize("names", [("b-6",), ("b-6", "b-8"), ("b-11", "b-12")])
def test_instance_that_was_cut_off_is_heard_again(names, seconds):
    unheard = virtual_loop.run(partial(_cut, names=names, seconds=seconds))
    assert unheard == []
