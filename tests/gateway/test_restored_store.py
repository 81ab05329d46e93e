"""The store comes back from an older copy and hands out revisions again."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from radishmux.clock import SystemClock
from radishmux.gateway.app import HOUSEKEEPING_PERIOD_S
from radishmux.gateway.events import StatusPut, StoreListed
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.rollouts import Rollouts
from radishmux.membership.registrar import Registrar
from radishmux.outcome import Conflict, Unavailable, Unknown
from radishmux.platform import keys
from radishmux.platform.store import PlatformStore
from radishmux.settings.gateway import Bounds
from radishmux.store.interface import Entry
from radishmux.store.mirror import StoreMirror
from radishmux.store.revision import era_of, number_of
from tests.gateway.fleet import (
    Fleet,
    config,
    run_fleet,
    send_request,
    server_entry,
)
from tests.gateway.parts import REGIONS

TIMEOUT_S = 1.0
ORDER = {"Service": "s", "TargetVersion": "v2", "DurationS": 60.0}
# Until what the operators wrote must be in force again: the users' ContactS
# and ConfigApplyS, which begin with the store's return.
IN_FORCE_S = 4.0


async def put(process, **documents):
    return await Fleet(process, {}, None).put(**documents)


async def copy(process):
    await process.control(copy=True)


async def go_back(process, **how):
    """Restores the store from the copy, in which later writes are lost."""
    await process.control(restore_s=0.0, **how)


async def eventually(condition, seconds=IN_FORCE_S):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class Follower:
    """The state of the fleet as one instance knows it from the store."""

    def __init__(self, address):
        clock = SystemClock()
        self.store = PlatformStore(address, clock)
        self.fleet = FleetState(keys.decode_event, REGIONS)
        self.mirror = StoreMirror(
            self.store, keys.WATCHED_PREFIX, self.fleet, clock
        )
        self.rollouts = Rollouts(
            self.store,
            keys.status_key,
            keys.encode_status,
            Bounds(),
            "i1",
            lambda: ["i1"],
            clock,
        )
        self.events = []
        self.fleet.add_listener(self.rollouts.on_event)
        self.fleet.add_listener(lambda event, now: self.events.append(event))

    async def run_housekeeping(self):
        """Does what the daemon's housekeeping does with the state."""
        clock = SystemClock()
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            if not self.mirror.is_store_unreachable(clock.now()):
                self.fleet.expire(clock.now())

    @property
    def routes(self):
        routes = self.fleet.routes
        return {one.path_prefix for one in routes.configuration.routes}


@contextlib.asynccontextmanager
async def following(process):
    follower = Follower(process.address)
    async with follower.store, follower.mirror:
        await eventually(lambda: follower.mirror.is_loaded)
        housekeeping = asyncio.create_task(follower.run_housekeeping())
        yield follower
        housekeeping.cancel()


def with_route(version, prefix):
    return config(version, [("safe", "/safe/"), ("safe", prefix)])


# CONFIG: a route was never learned whose revision had been handed out before.
async def test_change_at_a_revision_handed_out_again_is_learned(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    for n in range(5):
        await put(process, **{f"op/note-{n}": n})
    async with following(process) as follower:
        lost = follower.mirror.revision
        await process.control(down="busy")
        await go_back(process, rewrite=False)
        await put(process, **{"op/config": with_route(2, "/new/")})
        revision = 0
        while revision <= number_of(lost) + 5:
            revision = await put(process, **{"op/later": revision})
        await process.control(down="no")
        await eventually(lambda: "/new/" in follower.routes)


# CONFIG: an instance kept what the store had lost.
async def test_roll_out_order_that_was_lost_is_withdrawn(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    await put(process, **{"op/rollout/s": ORDER})
    async with following(process) as follower:
        await eventually(lambda: follower.rollouts.active)
        await process.control(down="busy")
        await go_back(process, rewrite=False)
        for n in range(9):
            await put(process, **{"op/later": n})
        await process.control(down="no")
        # What operators wrote may be written again for some seconds.
        await eventually(lambda: not follower.rollouts.active, 2 * IN_FORCE_S)


# CONFIG: an instance renewed the lease of another one as its own.
async def test_lease_of_an_earlier_era_is_not_renewed(platform_store):
    process = platform_store
    clock = SystemClock()
    await copy(process)
    async with PlatformStore(process.address, clock) as first:
        async with PlatformStore(process.address, clock) as second:
            mine = await first.grant_lease(5, TIMEOUT_S)
            await go_back(process)
            other = await second.grant_lease(5, TIMEOUT_S)
            assert mine == other, "the stand-in has to hand out ids again"
            assert await first.keep_lease(mine, TIMEOUT_S) == 0


# CONFIG: the record of another instance was removed with a lease of the past.
async def test_withdrawal_does_not_end_the_lease_of_another(platform_store):
    process = platform_store
    clock = SystemClock()
    await copy(process)
    async with PlatformStore(process.address, clock) as store:
        async with PlatformStore(process.address, clock) as other_store:
            registrar = Registrar(
                store, "radishmux/instances/a", b"{}", clock, 5
            )
            async with registrar:
                await eventually(lambda: registrar.is_registered)
                await go_back(process)
                other = Registrar(
                    other_store, "radishmux/instances/b", b"{}", clock, 5
                )
                async with other:
                    await eventually(lambda: other.is_registered)
                    await registrar.withdraw()
                    known = (await process.show())["keys"]
                    assert "radishmux/instances/b" in known


# CONFIG: a write that expected a lost revision replaced another's document.
async def test_expected_revision_of_an_earlier_era_does_not_match(
    platform_store,
):
    process = platform_store
    clock = SystemClock()
    await copy(process)
    async with PlatformStore(process.address, clock) as store:
        written = await store.compare_and_swap("status/x", 0, b"1", TIMEOUT_S)
        assert isinstance(written, Entry)
        await go_back(process)
        async with PlatformStore(process.address, clock) as other:
            again = await other.compare_and_swap("status/x", 0, b"2", TIMEOUT_S)
            assert number_of(again.revision) == number_of(written.revision)
        await store.get("status/x", TIMEOUT_S)
        outdated = await store.compare_and_swap(
            "status/x", written.revision, b"3", TIMEOUT_S
        )
        assert isinstance(outdated, Conflict)


# CONFIG: the state of a roll-out was lost with the store's latest seconds.
async def test_final_state_that_was_lost_is_recorded_again(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1), "op/rollout/s": ORDER})
    await copy(process)
    async with following(process) as follower, follower.rollouts:
        await eventually(lambda: follower.rollouts.active)
        follower.rollouts.active["s"].report_fault("a fault")

        def is_rolled_back():
            states = [
                event.status.state.value
                for event in follower.events
                if isinstance(event, StatusPut) and event.status
            ]
            return states[-1:] == ["rolled_back"]

        await eventually(is_rolled_back)
        await process.control(down="busy")
        await go_back(process, rewrite=False)
        assert "status/rollout/s" not in (await process.show())["keys"]
        follower.events.clear()
        await process.control(down="no")
        await eventually(is_rolled_back)
        rule = follower.rollouts.next_rule("s", "r", SystemClock().now())
        assert rule.never == "v2"


# CONFIG: a failure domain was in use although its evacuation was in force.
async def test_lost_evacuation_holds_until_it_is_written_again(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    await put(process, **{"op/evacuate/a-1": {}})
    async with following(process) as follower:
        await eventually(lambda: "a-1" in follower.fleet.evacuated)
        before = follower.mirror.revision
        await go_back(process, rewrite=False)
        await put(process, **{"op/later": 1})
        follower.events.clear()
        await eventually(lambda: follower.mirror.revision != before)
        assert "a-1" in follower.fleet.evacuated
        await put(process, **{"op/evacuate/a-1": {}})
        await asyncio.sleep(IN_FORCE_S)
        assert "a-1" in follower.fleet.evacuated


# CONFIG: a server that had left was in use again, from the copy.
async def test_server_that_has_left_does_not_come_back_with_the_copy(
    platform_store,
):
    process = platform_store
    entry = server_entry("127.0.0.1:9")
    await put(process, **{"op/config": config(1), "servers/i-1": entry})
    await copy(process)
    async with following(process) as follower:
        servers = follower.fleet.servers
        assert servers.get("i-1") is not None
        await put(process, **{"servers/i-1": None})
        await eventually(lambda: servers.get("i-1") is None)
        await go_back(process, rewrite=False)
        await put(process, **{"op/later": 1})
        assert "servers/i-1" in (await process.show())["keys"]
        await asyncio.sleep(IN_FORCE_S)
        assert servers.get("i-1") is None
        # It is in use again once it writes itself.
        await put(process, **{"servers/i-1": entry | {"Sequence": 2}})
        await eventually(lambda: servers.get("i-1") is not None)


# CONFIG: servers were dropped that had registered in the lost seconds.
async def test_server_that_was_lost_stays_until_it_registers_again(
    platform_store,
):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    await put(process, **{"servers/i-1": server_entry("127.0.0.1:9")})
    async with following(process) as follower:
        servers = follower.fleet.servers
        before = follower.mirror.revision
        assert servers.get("i-1") is not None
        await go_back(process, rewrite=False)
        await put(process, **{"op/later": 1})
        await eventually(lambda: follower.mirror.revision != before)
        assert servers.get("i-1") is not None


# CONFIG: a change was not in force in time, or came back older.
async def test_daemons_follow_a_restored_store(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateways = [await fleet.add(f"g{n}") for n in range(2)]
        await asyncio.sleep(0.5)
        await fleet.put(**{"op/config": with_route(3, "/kept/")})
        await asyncio.sleep(1.5)
        for round_number in range(2):
            version = 4 + 2 * round_number
            await fleet.store.control(down="reset")
            await fleet.store.control(restore_s=1.0)
            await asyncio.sleep(0.5)
            await fleet.store.control(down="no")
            for gateway in gateways:
                assert (await send_request(gateway, "/kept/1"))[0] == 200
            rules = [("safe", "/kept/"), ("safe", f"/v{version}/")]
            await fleet.put(**{"op/config": config(version, rules)})
            await asyncio.sleep(IN_FORCE_S)
            for gateway in gateways:
                status, _, _ = await send_request(gateway, f"/v{version}/1")
                assert status == 200
        for gateway in gateways:
            assert "store is restored" in gateway.log_text()


# CONFIG: a version was tried anew since its order had been written again.
async def test_order_that_is_written_again_goes_on(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    await put(process, **{"op/rollout/s": ORDER})
    async with following(process) as follower:
        await eventually(lambda: follower.rollouts.active)
        rollout = follower.rollouts.active["s"]
        await go_back(process, rewrite=False)
        follower.events.clear()
        await eventually(lambda: StoreListed() in follower.events)
        assert follower.rollouts.active["s"] is rollout
        await put(process, **{"op/rollout/s": ORDER})
        await asyncio.sleep(IN_FORCE_S)
        assert follower.rollouts.active["s"] is rollout
        # The same order once more in this era is a new one.
        await put(process, **{"op/rollout/s": ORDER})
        await eventually(lambda: follower.rollouts.active["s"] is not rollout)


# CONFIG: a state of a withdrawn order was lost, and its bad version served.
async def test_version_that_was_rolled_back_stays_out_of_use(platform_store):
    process = platform_store
    await put(process, **{"op/config": config(1)})
    await copy(process)
    state = {"State": "rolled_back", "TargetVersion": "v2"}
    await put(process, **{"status/rollout/s": state})
    async with following(process) as follower, follower.rollouts:
        rollouts = follower.rollouts
        assert rollouts.next_rule("s", "r", 0.0).never == "v2"
        await go_back(process, rewrite=False)
        follower.events.clear()
        await eventually(lambda: StoreListed() in follower.events)
        assert rollouts.next_rule("s", "r", 0.0).never == "v2"

        async def is_recorded():
            return "status/rollout/s" in (await process.show())["keys"]

        async with asyncio.timeout(IN_FORCE_S):
            while not await is_recorded():
                await asyncio.sleep(0.05)


class EraServer:
    """Answers each call with the next of the scripted eras and bodies."""

    def __init__(self, *answers):
        self.answers = list(answers)

    @contextlib.asynccontextmanager
    async def serving(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        async with server:
            yield "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError),
        ):
            while self.answers:
                await reader.readuntil(b"\r\n\r\n")
                era, document = self.answers.pop(0)
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 200 OK\r\nStore-Era: {era}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )


def page(key, has_more):
    return {"items": [{"Key": key}], "HasMore": has_more, "AsOf": 5}


# CONFIG: a list mixed keys of two histories.
async def test_list_whose_pages_are_of_two_eras_is_not_used():
    server = EraServer((1, page("a", True)), (2, page("b", False)))
    async with server.serving() as address:
        async with PlatformStore(address, SystemClock()) as store:
            listed = await store.list_keys("", TIMEOUT_S)
    assert isinstance(listed, Unavailable)


# CONFIG: a late answer of the lost history was applied.
@pytest.mark.parametrize("era", ["", "x", "-3", "9" * 30])
async def test_answer_of_an_earlier_era_is_not_used(era):
    item = {"Key": "a", "Value": "", "Revision": 7}
    server = EraServer((2, item), (1, item), (era, item))
    async with server.serving() as address:
        async with PlatformStore(address, SystemClock()) as store:
            first = await store.get("a", TIMEOUT_S)
            earlier = await store.get("a", TIMEOUT_S)
            # An unreadable era is taken for the latest one.
            unreadable = await store.get("a", TIMEOUT_S)
    assert isinstance(earlier, Unknown)
    assert first == unreadable
    assert number_of(first.revision) == 7


async def test_era_with_a_further_part_is_read():
    """Guards against a restored store that is not noticed."""
    item = {"Key": "a", "Value": "", "Revision": 7}
    server = EraServer(("1, 3", item), ("2, 17", item), ("1, 9", item))
    async with server.serving() as address:
        async with PlatformStore(address, SystemClock()) as store:
            first = await store.get("a", TIMEOUT_S)
            second = await store.get("a", TIMEOUT_S)
            earlier = await store.get("a", TIMEOUT_S)
    assert era_of(second.revision) > era_of(first.revision) > 0
    assert isinstance(earlier, Unknown)
