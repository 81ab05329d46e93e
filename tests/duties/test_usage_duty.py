"""Guards the usage report against faults of instances, store and API."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from radishmux.duties.holder import Change
from radishmux.peer import messages
from tests.duties.fleet import (
    DUTY_KEY,
    LATE_S,
    LEASE_S,
    START_UNIX_S,
    WINDOW_S,
    Fleet,
)
from tests.gateway.virtual_loop import run

NAMES = ("n0", "n1", "n2", "n3", "n4")


def in_fleet(scenario, **options):
    """Runs a scenario with a started fleet that has a holder."""

    async def main(loop):
        fleet = Fleet(loop, **options)
        await fleet.add(*NAMES)
        await fleet.run(3 * WINDOW_S)
        await scenario(fleet)

    run(main)


def test_each_window_is_reported_once_with_the_true_counts():
    """Guards against lost, doubled and late counts without any fault."""

    async def scenario(fleet):
        await fleet.run(30)
        fleet.check()
        assert len(fleet.api.calls) == len(fleet.api.accepted)
        assert len({token for _, _, token in fleet.api.calls}) == 1

    in_fleet(scenario)


def test_next_holder_continues_after_the_death_of_a_holder():
    """Guards against lost windows; only counts of the dead one are lost."""

    async def scenario(fleet):
        dead = fleet.holder
        died_at = fleet.loop.time()
        await dead.kill()
        await fleet.run(45)
        assert fleet.holder is not dead
        fleet.check(since=died_at + WINDOW_S)
        lost = [
            window
            for window in fleet.ended()
            if fleet.api.accepted.get(window) != fleet.true_counts[window]
        ]
        assert len(lost) <= 2
        missing = sum(
            node.metrics.value("gateway_usage_sources_missing_total")
            for node in fleet.nodes.values()
        )
        assert missing >= 1

    in_fleet(scenario)


@pytest.mark.parametrize("frozen_s", [1.0, 2.0, 4.0, 12.0])
def test_frozen_holder_does_not_act_after_its_lease(frozen_s):
    """Guards against a holder that trusts the clock that stood still."""

    async def scenario(fleet):
        frozen = fleet.holder
        token = frozen.duty.token
        # Over the end of a window, when it has a report to send.
        await fleet.run(0.9)
        frozen.freeze()
        await fleet.run(frozen_s)
        frozen.thaw()
        thawed_at = fleet.loop.time()
        await fleet.run(45)
        fleet.check_rules()
        if frozen_s > LEASE_S:
            assert fleet.holder.duty.token != token
            assert all(
                at < thawed_at
                for at, _, used in fleet.api.calls
                if used == token
            )
        fleet.check(since=thawed_at + WINDOW_S)

    in_fleet(scenario)


def test_holder_cut_off_from_the_store_stops_and_another_one_takes_over():
    """Guards against two holders when one cannot renew its lease."""

    async def scenario(fleet):
        cut = fleet.holder
        cut.is_cut_from_store = True
        cut_at = fleet.loop.time()
        await fleet.run(25)
        assert fleet.holders == [fleet.holder]
        assert fleet.holder is not cut
        last = max(at for at, name, _ in fleet.api.calls if name == cut.name)
        assert last < cut_at + LEASE_S
        fleet.check_rules()

    in_fleet(scenario)


def test_counts_reach_the_holder_after_a_partition():
    """Guards against counts that are dropped before they are stored."""

    async def scenario(fleet):
        away = next(n for n in fleet.nodes.values() if n is not fleet.holder)
        await asyncio.sleep(0.5)
        away.is_isolated = True
        await fleet.run(4.5)
        away.is_isolated = False
        await fleet.run(25)
        fleet.check()

    in_fleet(scenario)


def test_windows_are_sent_once_the_store_is_back():
    """Guards against a window that is sent before it is stored."""

    async def scenario(fleet):
        fleet.store.is_down = True
        down_at = fleet.loop.time()
        await fleet.run(8)
        assert not [
            at for at, _, _ in fleet.api.calls if at > down_at + LEASE_S
        ]
        fleet.store.is_down = False
        await fleet.run(40)
        fleet.check()

    in_fleet(scenario)


def test_windows_older_than_the_limit_are_not_stored():
    """Guards against reports after a long outage of the store."""

    async def scenario(fleet):
        down_at = fleet.loop.time()
        fleet.store.is_down = True
        await fleet.run(30)
        fleet.store.is_down = False
        up_at = fleet.loop.time()
        await fleet.run(30)
        fleet.check(since=up_at)
        skipped = set(fleet.ended(since=down_at)) - set(fleet.api.accepted)
        assert skipped
        for window, at in fleet.api.accepted_at.items():
            end = (window + 1) * WINDOW_S - START_UNIX_S
            assert at <= end + LATE_S + 1.0

    in_fleet(scenario)


@pytest.mark.parametrize("executed_after_s", [0.0, 2.0])
def test_lost_response_of_a_write_changes_no_count(executed_after_s):
    """Guards against a second body when the first write took effect."""

    async def scenario(fleet):
        for _ in range(6):
            fleet.store.lost = 2
            fleet.store.lost_delay_s = executed_after_s
            await fleet.run(WINDOW_S)
        fleet.store.lost = 0
        await fleet.run(30)
        fleet.check()

    in_fleet(scenario)


@pytest.mark.parametrize("executed_after_s", [0.0, 2.0, 4.0])
def test_lost_response_of_an_acquisition(executed_after_s):
    """Guards against two holders, or none, after an uncertain write."""

    async def scenario(fleet):
        holder = fleet.holder
        fleet.store.lost, fleet.store.lost_delay_s = 3, executed_after_s
        holder.duty.leave()
        await fleet.run(4 * LEASE_S)
        fleet.store.lost = 0
        await fleet.run(25)
        assert len(fleet.holders) == 1
        fleet.check_rules()

    in_fleet(scenario)


def test_lost_response_of_an_acquisition_is_read_back():
    """Guards against a record that its own writer does not know of."""

    async def scenario(fleet):
        writes = fleet.store.writes
        before = writes[DUTY_KEY]
        await fleet.holder.kill()
        fleet.store.lost = 1
        await fleet.run(3 * LEASE_S)
        assert writes[DUTY_KEY] == before + 1
        assert fleet.holder.duty.token

    in_fleet(scenario)


def test_restored_store_gives_a_later_token_and_no_second_counts():
    """Guards against windows that the restored store has lost."""

    async def scenario(fleet):
        fleet.store.copy()
        await fleet.run(2 * WINDOW_S + 1.2)
        before = dict(fleet.api.accepted)
        highest = fleet.api.highest
        restored_at = fleet.loop.time()
        fleet.store.restore()
        await fleet.run(45)
        fleet.check_rules()
        assert fleet.holder.duty.token > highest
        assert before.items() <= fleet.api.accepted.items()
        fleet.check(since=restored_at + 1.0)
        assert not fleet.api.fenced

    in_fleet(scenario)


@pytest.mark.parametrize("delay_s", [3.0, 6.0])
def test_slow_api_gets_equal_repeats_at_a_low_rate(delay_s):
    """Guards against different counts, and calls without an end."""

    async def scenario(fleet):
        fleet.api.delay_s = delay_s
        before = len(fleet.api.calls)
        await fleet.run(30)
        assert len(fleet.api.calls) - before <= 30
        fleet.api.delay_s = 0.0
        await fleet.run(40)
        fleet.check_rules()
        assert set(fleet.ended()) <= set(fleet.api.accepted)

    in_fleet(scenario)


def test_windows_are_repeated_while_the_api_is_down():
    """Guards against giving up, and against calls over the accepted rate."""

    async def scenario(fleet):
        fleet.api.is_down = True
        down_at = fleet.loop.time()
        await fleet.run(15)
        calls = [at for at, _, _ in fleet.api.calls if at >= down_at]
        assert calls
        assert all(b - a >= 0.199 for a, b in itertools.pairwise(calls))
        fleet.api.is_down = False
        await fleet.run(30)
        fleet.check_rules()
        assert set(fleet.ended()) <= set(fleet.api.accepted)

    in_fleet(scenario)


def test_calls_executed_after_those_of_the_next_holder_are_harmless():
    """Guards against counts of an old holder that arrive late."""

    async def scenario(fleet):
        fleet.api.delay_s, fleet.api.is_answer_lost = 6.0, True
        await fleet.run(WINDOW_S)
        old = fleet.holder
        await old.kill()
        await fleet.run(4.0)
        fleet.api.delay_s, fleet.api.is_answer_lost = 0.0, False
        await fleet.run(40)
        fleet.check_rules()
        assert set(fleet.ended()) <= set(fleet.api.accepted)

    in_fleet(scenario)


def test_fenced_holder_stops_at_once_and_a_higher_token_follows():
    """Guards against a holder that repeats a refused call."""

    async def scenario(fleet):
        holder = fleet.holder
        token = holder.duty.token
        fleet.api.highest = token + 1
        await fleet.run(2 * WINDOW_S)
        assert fleet.api.fenced.count(token) == 1
        await fleet.run(30)
        assert fleet.holder.duty.token > token
        fleet.check_rules()
        assert set(fleet.ended()) <= set(fleet.api.accepted)

    in_fleet(scenario)


def test_leaving_instances_hand_over_the_open_window():
    """Guards against the loss of counts at a planned shutdown."""

    async def scenario(fleet):
        await fleet.run(1.0)
        for name in NAMES[:3]:
            asyncio.create_task(fleet.nodes[name].leave())
            await fleet.run(6.0)
        await fleet.run(25)
        fleet.check()

    in_fleet(scenario)


def test_hubs_send_few_messages_and_no_source_counts_twice():
    """Guards against doubled counts by two paths, and against the load."""

    async def scenario(fleet):
        await fleet.add(*(f"b{n}" for n in range(12)), region="b")
        await fleet.run(2 * WINDOW_S)
        holder = fleet.holder
        holder.bus.received.clear()
        await fleet.run(4 * WINDOW_S)
        direct = [
            one
            for one in holder.bus.received
            if isinstance(one, messages.UsageReport) and not one.via_hub
        ]
        # Two regions with two hubs each; stragglers need another message.
        assert len(direct) <= 4 * 5 * 2
        fleet.lost_receipts = 6
        await fleet.run(2 * WINDOW_S)
        fleet.lost_receipts = 0
        await fleet.run(30)
        fleet.check(since=3 * WINDOW_S)

    in_fleet(scenario, full_mesh_max=4)


def test_holder_changes_while_counts_are_under_way():
    """Guards against counts that only the dead holder has acknowledged."""

    async def scenario(fleet):
        for _ in range(3):
            await fleet.run(WINDOW_S - fleet.loop.time() % WINDOW_S + 1.05)
            old = fleet.holder
            old.duty.leave()
            await fleet.run(3 * WINDOW_S)
        await fleet.run(20)
        fleet.check()

    in_fleet(scenario)


def test_isolated_holder_gives_the_duty_up():
    """Guards against reports without the counts of most instances."""

    async def scenario(fleet):
        isolated = fleet.holder
        isolated.is_isolated = True
        await fleet.run(30)
        assert fleet.holder is not isolated
        isolated.is_isolated = False
        healed_at = fleet.loop.time()
        await fleet.run(30)
        fleet.check(since=healed_at)

    in_fleet(scenario)


def test_wrong_clocks_move_no_request_to_another_window():
    """Guards against one machine's clock that is far off."""

    async def main(loop):
        fleet = Fleet(loop)
        await fleet.add(*NAMES)
        await fleet.add("ahead", wall_error_s=3.0)
        await fleet.add("behind", wall_error_s=-40.0)
        await fleet.run(10 * WINDOW_S)
        for node in fleet.nodes.values():
            assert abs(node.clock.now() - START_UNIX_S - loop.time()) < 0.01
        fleet.check(since=WINDOW_S)

    run(main)


def test_changes_are_reported_with_their_reason():
    """Guards against a silent loss of the duty."""

    async def scenario(fleet):
        holder = fleet.holder
        changes = []
        holder.duty._tenure._on_change = changes.append
        holder.duty.leave()
        assert changes == [Change.LOST]
        assert not holder.duty.token

    in_fleet(scenario)
