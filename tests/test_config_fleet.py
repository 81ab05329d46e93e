"""Proof of I11 and I3 with connected instances and a store process.

Guards against versions that do not arrive or that revert, and against revoked
keys that keep working. The faults are an instance without a connection to the
store, a store that is slow, stale, stopped or without its data, and an instance
that starts during an outage of the store.
"""

from __future__ import annotations

import contextlib
import os
import signal

import msgspec

from radishmux.config.document import ConfigWriter
from radishmux.config.model import Configuration, Customer
from radishmux.keys.check import key_digest
from radishmux.store.etcd import EtcdStore
from tests.config_nodes import PUBLIC, Fleet, Node, run_fleet
from tests.fakes import FakeMetrics, instance, until
from tests.standin_processes import standin

# I11 and I3: a version is in force, and a key revoked, everywhere within 5 s.
_PROPAGATION_LIMIT_S = 5.0
_START_TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def _run_operated_fleet():
    """Runs a fleet whose customer "clinic" has the keys k1 and k2."""
    async with (
        run_fleet() as fleet,
        EtcdStore([fleet.server.address], FakeMetrics()) as store,
    ):
        writer = ConfigWriter(store, "operator")
        await _set_keys(writer, "k1", "k2")
        await until(
            lambda: all(
                node.distribution.ready and node.check_key("k1") == "clinic"
                for node in fleet.nodes
            ),
            _START_TIMEOUT_S,
        )
        yield fleet, writer


async def _set_keys(writer: ConfigWriter, *keys: str) -> int:
    customer = Customer(
        name="clinic",
        rate_per_s=1,
        burst=1,
        key_digests=[key_digest(key) for key in keys],
    )
    result = await writer.update(
        lambda old: msgspec.structs.replace(old, customers=[customer])
    )
    assert isinstance(result, Configuration), result
    return result.version


async def _await_version(fleet: Fleet, version: int) -> None:
    await until(
        lambda: all(node.version == version for node in fleet.nodes),
        _PROPAGATION_LIMIT_S,
    )


async def test_version_is_in_force_everywhere_with_one_cut_off_the_store():
    async with _run_operated_fleet() as (fleet, writer):
        for cut in fleet.nodes:
            await fleet.set_store_fault(cut)
            version = await _set_keys(writer, "k2", f"x{cut.own.instance}")
            await _await_version(fleet, version)
            for node in fleet.nodes:
                assert node.check_key("k1") == "unknown_key"
                assert node.check_key("k2") == "clinic"
            await fleet.set_store_fault(cut, "no")


async def test_revoked_key_stops_on_a_partitioned_instance():
    async with _run_operated_fleet() as (fleet, writer):
        cut, *others = fleet.nodes
        await fleet.set_store_fault(cut)
        cut.bus.is_partitioned = True
        version = await _set_keys(writer, "k2")
        await until(
            lambda: cut.check_key("k1") == "not_fresh", _PROPAGATION_LIMIT_S
        )
        assert all(node.check_key("k1") == "unknown_key" for node in others)
        assert cut.check_key("", PUBLIC) == "public"
        assert cut.check_key("k2") == "not_fresh"
        cut.bus.is_partitioned = False
        await until(
            lambda: cut.check_key("k2") == "clinic", _PROPAGATION_LIMIT_S
        )
        assert cut.version == version


async def test_revoked_key_stops_while_the_store_is_slow():
    """Calls take 1.5 s, which is within a writer's timeout of 2 s.

    Watches lag by more than that, so that only reads deliver the version.
    """
    async with _run_operated_fleet() as (fleet, writer):
        fleet.set_roster()
        await fleet.server.control(latency_ms=1_500, hold_watches=True)
        await _set_keys(writer, "k2")
        await until(
            lambda: all(
                node.check_key("k1") in ("unknown_key", "not_fresh")
                for node in fleet.nodes
            ),
            _PROPAGATION_LIMIT_S,
        )
        await until(
            lambda: all(n.check_key("k2") == "clinic" for n in fleet.nodes),
            _PROPAGATION_LIMIT_S,
        )


async def test_stale_reads_never_revert_a_version():
    """One instance's store address keeps returning the old version."""
    async with _run_operated_fleet() as (fleet, writer):
        stale = fleet.nodes[1]  # Only instance of its region: the watcher.
        await fleet.server.control(
            listener=fleet.server.addresses[2], stale_reads=True
        )
        version = await _set_keys(writer, "k2")
        await _await_version(fleet, version)
        rejected = ("config_rejected_total", (("reason", "not_higher"),))
        before = stale.metrics.counts[rejected]
        await until(lambda: stale.metrics.counts[rejected] > before + 5)
        assert stale.version == version
        assert stale.check_key("k1") == "unknown_key"
        assert stale.check_key("k2") == "clinic"


async def test_instance_that_starts_in_an_outage_gets_its_peers_version():
    async with _run_operated_fleet() as (fleet, writer):
        fleet.set_roster()
        version = await _set_keys(writer, "k2")
        await _await_version(fleet, version)
        os.kill(fleet.server.process.pid, signal.SIGSTOP)
        try:
            await until(
                lambda: all(
                    node.view.store_out_for_all(node.clock.now())
                    for node in fleet.nodes
                ),
                _START_TIMEOUT_S,
            )
            # Nobody can revoke a key in the outage, so that keys keep working.
            assert all(n.check_key("k2") == "clinic" for n in fleet.nodes)
            first = fleet.nodes[0]
            late = Node(
                instance("n9"), fleet.server.addresses[1], first.instance_list
            )
            async with late.stack:
                await late.listen()
                first.instance_list.instances += (late.own,)
                await late.start()
                assert not late.distribution.ready
                await until(lambda: late.distribution.ready, _START_TIMEOUT_S)
                assert late.version == version
        finally:
            os.kill(fleet.server.process.pid, signal.SIGCONT)
        version = await _set_keys(writer, "k1")
        await _await_version(fleet, version)
        await until(
            lambda: all(n.check_key("k1") == "clinic" for n in fleet.nodes),
            _PROPAGATION_LIMIT_S,
        )


async def test_store_that_lost_its_data_reverts_no_version():
    """The store starts empty and old version numbers are reused."""
    async with _run_operated_fleet() as (fleet, writer):
        version = await _set_keys(writer, "k2")
        await _await_version(fleet, version)
        fleet.server.process.kill()
        await fleet.server.process.wait()
        async with standin("store", fleet.server.addresses):
            assert await _set_keys(writer, "k1") == version - 1
            assert await _set_keys(writer, "k1") == version
            rejected = ("config_rejected_total", (("reason", "not_higher"),))
            await until(
                lambda: all(
                    node.metrics.counts[rejected] > 3 for node in fleet.nodes
                )
            )
            # Reads no longer confirm the version in force.
            await until(
                lambda: all(
                    n.check_key("k2") == "not_fresh" for n in fleet.nodes
                )
            )
            assert all(node.version == version for node in fleet.nodes)
            assert await _set_keys(writer, "k1") == version + 1
            await _await_version(fleet, version + 1)
            await until(
                lambda: all(n.check_key("k1") == "clinic" for n in fleet.nodes),
                _PROPAGATION_LIMIT_S,
            )


async def test_store_calls_stay_a_tenth_of_the_capacity():
    """Counts calls over several read periods of an idle fleet."""
    async with _run_operated_fleet() as (fleet, writer):
        await fleet.server.control(reset_counts=True)
        start = fleet.nodes[0].clock.now()

        async def reads() -> int:
            return (await fleet.server.show())["reads"]

        await until(lambda: _at_least(reads, 20), _START_TIMEOUT_S)
        elapsed = fleet.nodes[0].clock.now() - start
        shown = await fleet.server.show()
        # Three instances; a tenth of 2,000 reads for ten.
        assert shown["reads"] / elapsed <= 200 * 3 / 10
        assert shown["writes"] == 0
        assert shown["open_watches"] <= 3


async def _at_least(read, amount: int) -> bool:
    return await read() >= amount
