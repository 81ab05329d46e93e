"""Guards the rules of the usage report under many faults at a time."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.duties.fleet import LATE_S, WINDOW_S, Fleet
from tests.gateway.virtual_loop import run

NAMES = tuple(f"n{n}" for n in range(6))
FAULTY_S = 120.0


class Chaos:
    """Faults that start and end at random."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.faults = (
            self.freeze,
            self.restart,
            self.cut_from_store,
            self.isolate,
            self.store_down,
            self.lose_writes,
            self.restore,
            self.slow_api,
            self.late_calls,
            self.give_up,
        )

    async def run(self):
        loop = self.fleet.loop
        until = loop.time() + FAULTY_S
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 4.0))
            asyncio.create_task(self.rng.choice(self.faults)())

    def node(self):
        alive = [n for n in self.fleet.nodes.values() if not n.is_dead]
        held = [n for n in alive if n.duty.token]
        return self.rng.choice(
            held if held and self.rng.random() < 0.6 else alive
        )

    async def wait(self, longest=8.0):
        await asyncio.sleep(self.rng.uniform(0.2, longest))

    async def freeze(self):
        node = self.node()
        if node.is_frozen:
            return
        node.freeze()
        await self.wait(12.0)
        node.thaw()

    async def restart(self):
        node = self.node()
        if node.is_frozen or node.is_dead:
            return
        await node.kill()
        await self.wait(5.0)
        if self.fleet.nodes[node.name] is node:
            await self.fleet.add(node.name)

    async def cut_from_store(self):
        node = self.node()
        node.is_cut_from_store = True
        await self.wait()
        node.is_cut_from_store = False
        node.list_store()

    async def isolate(self):
        node = self.node()
        node.is_isolated = True
        await self.wait()
        node.is_isolated = False

    async def store_down(self):
        self.fleet.store.is_down = True
        await self.wait()
        self.fleet.store.is_down = False

    async def lose_writes(self):
        self.fleet.store.lost = self.rng.randint(1, 4)
        self.fleet.store.lost_delay_s = self.rng.choice((0.0, 1.0, 3.0, 6.0))

    async def restore(self):
        if self.rng.random() < 0.6:
            return
        self.fleet.store.copy()
        await self.wait(12.0)
        self.fleet.store.restore()

    async def slow_api(self):
        self.fleet.api.delay_s = self.rng.uniform(0.5, 8.0)
        await self.wait()
        self.fleet.api.delay_s = 0.0

    async def late_calls(self):
        self.fleet.api.delay_s = self.rng.uniform(0.5, 8.0)
        self.fleet.api.is_answer_lost = True
        await self.wait(4.0)
        self.fleet.api.is_answer_lost = False
        self.fleet.api.delay_s = 0.0

    async def give_up(self):
        """Makes the holder stop as after an answer that fences it."""
        node = self.node()
        if node.duty.token and not node.is_frozen:
            node.duty._tenure.on_fenced(node.duty.token)


@pytest.mark.parametrize("full_mesh_max", [16, 4])
# With 111, a holder acted that had not noticed a restoration of the store. With
# 100, the end of a hub stopped the members that waited for it.
@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 100, 111])
def test_no_second_counts_and_no_shared_token(seed, full_mesh_max):
    """Guards against two counts of a window and one token of two holders."""

    async def main(loop):
        fleet = Fleet(loop, full_mesh_max)
        await fleet.add(*NAMES)
        await fleet.add(*(f"b{n}" for n in range(4)), region="b")
        await fleet.run(2 * WINDOW_S)
        chaos = asyncio.create_task(Chaos(fleet, seed).run())
        await fleet.run(FAULTY_S + 15.0)
        await chaos
        fleet.check_rules()
        fleet.store.lost = 0
        healed_at = loop.time()
        await fleet.run(2 * LATE_S + 4 * WINDOW_S)
        # The duty goes on once the faults are over.
        fleet.check(since=healed_at + WINDOW_S)
        assert len(fleet.holders) == 1

    run(main)


def test_two_processes_started_at_once_do_not_both_hold_the_duty():
    """Guards against a second machine under the same name."""

    async def main(loop):
        fleet = Fleet(loop)
        await fleet.add("n0")
        first = fleet.nodes["n0"]
        await fleet.add("n0")
        second = fleet.nodes["n0"]
        assert first.incarnation == second.incarnation
        await fleet.run(30)
        tokens = [node.duty.token for node in (first, second)]
        assert sorted(map(bool, tokens)) == [False, True]
        fleet.check_rules()

    run(main)
