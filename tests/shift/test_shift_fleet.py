"""Tests controllers and choosers with the real store client and control links.

Covers what the tests in virtual time cannot: stops, evidence, steps and leases
that are exchanged over the network.
"""

from __future__ import annotations

import contextlib
import time

from radishmux.clock import SystemClock
from radishmux.config.model import Shift
from radishmux.peer.bus import PeerBus
from radishmux.shift.chooser import VersionChooser
from radishmux.shift.controller import Controller
from radishmux.shift.detector import Detector
from radishmux.shift.document import SHIFTS_KEY, ShiftState, decode
from radishmux.shift.observation import Observation
from radishmux.shift.plan import Pace, Planner
from radishmux.shift.report import build_report
from radishmux.shift.sync import ShiftSync
from radishmux.store.etcd import EtcdStore
from radishmux.store.interface import Entry
from tests.fakes import FakeMetrics, until
from tests.shift.test_i1_shares import LowLoads, fleet_configuration
from tests.standin_processes import standin
from tests.steer.fakes import FakeConfig

# A stop must reach all instances within this time.
FLEET_STOP_S = 2.0
# A step must reach all instances within this time.
APPLIED_S = 5.0


class SkippingClock:
    """The machine's clock plus a simulated suspension."""

    def __init__(self):
        self.suspended_s = 0.0

    def now(self):
        return SystemClock().now() + self.suspended_s


class Node:
    """The components of one instance that handle shifts."""

    def __init__(self, name, store, bus):
        self.name = name
        self.store = store
        self.bus = bus
        self.clock = SkippingClock()
        shift = Shift(
            name="s1",
            service="poles",
            from_version="v1",
            to_version="v2",
            cap=0.5,
            canary=0.5,
            deadline=time.time() + 20,
        )
        config = FakeConfig(fleet_configuration(shift))
        metrics = FakeMetrics()
        self.chooser = VersionChooser(config, Detector)
        self.controller = Controller(
            instance=name,
            incarnation=1,
            store=store,
            config=config,
            chooser=self.chooser,
            loads=LowLoads(),
            clock=self.clock,
            metrics=metrics,
            planner=Planner(Pace(min_step_s=1.0, verify_s=1.0)),
        )
        self.sync = ShiftSync(
            store=store,
            bus=bus,
            config=config,
            chooser=self.chooser,
            metrics=metrics,
        )

    def uses_new_version(self):
        chosen = [self.chooser.choose("poles", "status", 0) for _ in range(9)]
        return "v2" in chosen

    def observe(self, version, failed):
        self.chooser.observe(
            Observation(
                service="poles",
                version=version,
                route="status",
                failed=failed,
                latency_s=0.01,
                backend_server=version,
                region="accra",
            ),
            self.clock.now(),
        )

    def observe_both(self, new_fails):
        """Observes ten requests of each version."""
        for _ in range(10):
            self.observe("v1", False)
            self.observe("v2", new_fails)


@contextlib.asynccontextmanager
async def fleet(size=3):
    async with contextlib.AsyncExitStack() as stack:
        server = await stack.enter_async_context(standin("store"))
        nodes = []
        for n in range(size):
            store = EtcdStore([server.address], FakeMetrics())
            await stack.enter_async_context(store)
            bus = PeerBus(f"n{n}", 1, "127.0.0.1:0")
            await stack.enter_async_context(bus)
            nodes.append(Node(f"n{n}", store, bus))
        for node in nodes:
            for peer in nodes:
                if node is not peer:
                    port = peer.bus._server.sockets[0].getsockname()[1]
                    address = f"127.0.0.1:{port}"
                    await node.bus.set_address(peer.name, address)
        for node in nodes:
            await stack.enter_async_context(node.sync)
        yield server, nodes


async def record_in(store):
    entry = await store.get(SHIFTS_KEY, 2.0)
    if not isinstance(entry, Entry):
        return None
    return decode(entry.value).shifts[0]


async def test_steps_and_stops_reach_all_instances_and_the_report():
    async with fleet() as (_, nodes):
        controller = nodes[0].controller
        assert await controller.step()
        await until(lambda: all(n.uses_new_version() for n in nodes), APPLIED_S)
        detecting = nodes[2]
        while detecting.uses_new_version():
            detecting.observe_both(new_fails=True)
        began = time.monotonic()
        await until(
            lambda: not any(n.uses_new_version() for n in nodes), FLEET_STOP_S
        )
        assert time.monotonic() - began < FLEET_STOP_S
        await controller.step()
        record = await record_in(nodes[1].store)
        assert record.state is ShiftState.TAKEN_BACK
        report = build_report(record, time.time())
        assert "fails more often" in report.sentences
        assert "was taken back" in report.sentences
        assert report.moved_percent == 0
        assert report.largest_percent == 50


async def test_a_stop_is_sent_until_an_unreachable_peer_acknowledges_it():
    """Fails when a stop is sent only once."""
    async with fleet() as (_, nodes):
        await nodes[0].controller.step()
        await until(lambda: all(n.uses_new_version() for n in nodes), APPLIED_S)
        address = nodes[2].bus._addresses["n1"]
        await nodes[2].bus.set_address("n1", "127.0.0.1:1")
        while nodes[2].uses_new_version():
            nodes[2].observe_both(new_fails=True)
        await until(lambda: not nodes[0].uses_new_version(), FLEET_STOP_S)
        assert nodes[1].uses_new_version()
        await nodes[2].bus.set_address("n1", address)
        await until(lambda: not nodes[1].uses_new_version(), FLEET_STOP_S)


async def test_evidence_of_all_instances_together_stops_the_version():
    """Fails without pooled evidence, since each instance sees one failure."""
    async with fleet(5) as (_, nodes):
        await nodes[0].controller.step()
        await until(lambda: all(n.uses_new_version() for n in nodes), APPLIED_S)
        for node in nodes:
            node.observe("v2", True)
            for _ in range(4):
                node.observe("v1", False)
        await until(
            lambda: not any(n.uses_new_version() for n in nodes), FLEET_STOP_S
        )


async def test_after_a_takeover_the_former_lease_holder_is_fenced():
    async with fleet(2) as (server, (first, second)):
        assert await first.controller.step()
        assert not await second.controller.step()
        epoch = decode((await first.store.get(SHIFTS_KEY, 2.0)).value).epoch
        # The first holder no longer renews its lease, as if it were suspended;
        # the store ends the lease after 5 s.
        taken_over = await until(second.controller.step, 10.0)
        assert taken_over
        assert not await first.controller.step()
        assert (
            decode((await first.store.get(SHIFTS_KEY, 2.0)).value).epoch > epoch
        )
        await server.control(lose_answers=1)
        before = (await second.store.get(SHIFTS_KEY, 2.0)).revision

        for _ in range(11):
            second.observe_both(new_fails=False)

        async def finished():
            await second.controller.step()
            record = await record_in(second.store)
            return record.state is ShiftState.DONE

        await until(finished, 20.0)
        after = await second.store.get(SHIFTS_KEY, 2.0)
        assert after.revision > before
        assert decode(after.value).epoch == epoch + 1, "raised its own epoch"
        report = build_report(decode(after.value).shifts[0], time.time())
        assert report.in_time
        assert "is done" in report.sentences
