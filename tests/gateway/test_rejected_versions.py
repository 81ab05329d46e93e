"""Versions that were rolled back, and what happens after it.

The failure is described in docs/incidents/exposure-next-order.md.
"""

from __future__ import annotations

import contextlib

import pytest

from radishmux.clock import SystemClock
from radishmux.gateway.verdict_archive import VerdictArchive
from radishmux.platform import keys
from radishmux.shift.orders import RolloutState
from radishmux.shift.verdicts import VersionVerdict
from tests.gateway.fleet import config, server_entry
from tests.gateway.test_restored_store import (
    IN_FORCE_S,
    copy,
    eventually,
    following,
    go_back,
    put,
)

STATUS, VERDICTS = "status/rollout/s", "radishmux/verdicts/s"
BAD, NEXT = "v2", "v3"


def order(version):
    return {"Service": "s", "TargetVersion": version, "DurationS": 30.0}


@contextlib.asynccontextmanager
async def instance(process):
    """Yields the rollouts of an instance that also records verdicts."""
    async with following(process) as follower:
        archive = VerdictArchive(
            follower.store,
            keys.verdicts_key,
            follower.rollouts.verdicts,
            lambda: 0,
            SystemClock(),
        )
        follower.fleet.add_listener(archive.on_event)
        async with archive, follower.rollouts:
            yield follower


def allows(rollouts, version):
    """Whether any of many requests may go to a version."""
    now = SystemClock().now()
    return any(
        rollouts.next_rule("s", "r", now).allows(version) for _ in range(200)
    )


async def roll_back(process, follower):
    """Orders a version, which is found bad."""
    await put(process, **{"op/config": config(1), "op/rollout/s": order(BAD)})
    rollouts = follower.rollouts
    await eventually(lambda: "s" in rollouts.active)
    rollouts.active["s"].report_fault("it fails")

    def is_rolled_back():
        return BAD in rollouts.verdicts.rejected("s")

    await eventually(is_rolled_back)


async def order_next(process, follower, version=NEXT):
    await put(process, **{"op/rollout/s": order(version)})
    rollouts = follower.rollouts
    await eventually(
        lambda: (
            "s" in rollouts.active
            and rollouts.active["s"].order.version == version
            and rollouts.active["s"].fault is None
        )
    )


async def wait_recorded(process):
    async with following(process) as follower:
        await eventually(
            lambda: BAD in follower.rollouts.verdicts.rejected("s")
        )


# EXPOSURE: the order of the next version let requests go to the bad one again.
async def test_next_order_keeps_a_rolled_back_version_out_of_use(
    platform_store,
):
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        assert not allows(follower.rollouts, BAD)
        assert allows(follower.rollouts, NEXT)
        assert allows(follower.rollouts, "v1")


async def test_withdrawn_next_order_keeps_it_out_of_use(platform_store):
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        await put(platform_store, **{"op/rollout/s": None})
        await eventually(lambda: not follower.rollouts.active)
        assert not allows(follower.rollouts, BAD)
        assert allows(follower.rollouts, "v1")


async def test_fault_that_was_not_recorded_outlives_its_order(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1), "op/rollout/s": order(BAD)})
    # Its rollouts are not entered, so that nothing is recorded.
    async with following(process) as follower:
        await eventually(lambda: "s" in follower.rollouts.active)
        follower.rollouts.active["s"].report_fault("it fails")
        await order_next(process, follower)
        assert not allows(follower.rollouts, BAD)


async def test_instance_that_starts_after_the_next_order_knows_it(
    platform_store,
):
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        await wait_recorded(platform_store)
    async with instance(platform_store) as started:
        await eventually(lambda: "s" in started.rollouts.active)
        assert started.rollouts.active["s"].order.version == NEXT
        assert not allows(started.rollouts, BAD)


async def test_verdict_that_the_store_has_lost_is_recorded_again(
    platform_store,
):
    await copy(platform_store)
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        await wait_recorded(platform_store)
        await go_back(platform_store, rewrite=False)
        await wait_recorded(platform_store)


# An operator may order a version once more when it has been mended.
async def test_version_that_is_ordered_again_is_tried_again(platform_store):
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        await wait_recorded(platform_store)
        await order_next(platform_store, follower, BAD)
        assert allows(follower.rollouts, BAD)
        # It serves all requests when it is completed, also after the next
        # order, and at an instance that starts then.
        completed = {"State": "completed", "TargetVersion": BAD}
        await put(platform_store, **{STATUS: completed})
        rollout = follower.rollouts.active["s"]
        await eventually(
            lambda: rollout.state_to_report(0.0) is RolloutState.COMPLETED
        )
        await order_next(platform_store, follower, "v4")
        assert allows(follower.rollouts, BAD)
        await eventually(
            lambda: not follower.rollouts.verdicts.unrecorded({"s": {}})
        )
    async with instance(platform_store) as started:
        await eventually(lambda: "s" in started.rollouts.active, IN_FORCE_S)
        assert allows(started.rollouts, BAD)


# The operator may go back by an order of the version that serves. Most of its
# requests went to the bad one, the only other version.
async def test_order_of_the_version_that_serves_leaves_it_in_use(
    platform_store,
):
    servers = {
        f"servers/i-{version}": server_entry(
            "127.0.0.1:9", Version=version, Service="s"
        )
        for version in ("v1", BAD)
    }
    await put(platform_store, **servers)
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower, "v1")
        now = SystemClock().now()
        rules = [follower.rollouts.next_rule("s", "r", now) for _ in range(100)]
        assert all(rule.allows("v1") for rule in rules)
        assert not any(rule.allows(BAD) for rule in rules)


async def test_new_version_gets_few_requests_beside_the_one_that_serves(
    platform_store,
):
    servers = {
        f"servers/i-{version}": server_entry(
            "127.0.0.1:9", Version=version, Service="s"
        )
        for version in ("v1", NEXT)
    }
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await order_next(platform_store, follower)
        # Its servers and those before it become known after the order.
        await put(platform_store, **servers)
        rollouts = follower.rollouts
        await eventually(
            lambda: rollouts.active["s"].seen_versions == {"v1", NEXT}
        )
        now = SystemClock().now()
        rules = [rollouts.next_rule("s", "r", now) for _ in range(100)]
        assert 0 < sum(rule.allows(NEXT) for rule in rules) < 20
        assert not any(rule.allows(BAD) for rule in rules)


# An instance that was cut off from the store still carried out the order.
async def test_verdict_of_a_peer_ends_the_own_rollout(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1), "op/rollout/s": order(BAD)})
    async with following(process) as follower:
        rollouts = follower.rollouts
        await eventually(lambda: "s" in rollouts.active)
        assert allows(rollouts, BAD)
        rollouts.record_verdict("s", BAD, VersionVerdict(2**62, True))
        assert not allows(rollouts, BAD)


@pytest.mark.parametrize("document", ["text", {"v2": 1}, {"v2": {}}])
async def test_unreadable_verdicts_are_written_over(platform_store, document):
    await put(platform_store, **{VERDICTS: document})
    async with instance(platform_store) as follower:
        await roll_back(platform_store, follower)
        await wait_recorded(platform_store)
