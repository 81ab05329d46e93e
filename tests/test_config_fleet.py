"""Proof of I11 and I3 with connected instances and a store process.

Guards against versions that do not arrive, that revert, and against revoked
keys that go on working, with one instance cut off, the store slow, stale,
frozen or out, and an instance that starts during the outage.
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
from tests.config_nodes import PUBLIC, Fleet, Node, fleet
from tests.fakes import FakeMetrics, instance, until
from tests.standin_processes import standin

# I11 and I3: in force everywhere, and revoked everywhere, within 5 s.
_BOUND_S = 5.0
_START_S = 20.0


@contextlib.asynccontextmanager
async def _operated():
    """A fleet whose customer "clinic" has the keys k1 and k2."""
    async with (
        fleet() as running,
        EtcdStore([running.server.address], FakeMetrics()) as store,
    ):
        writer = ConfigWriter(store, "operator")
        await _set_keys(writer, "k1", "k2")
        await until(
            lambda: all(
                node.distribution.ready and node.answer("k1") == "clinic"
                for node in running.nodes
            ),
            _START_S,
        )
        yield running, writer


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


async def _all_have(running: Fleet, version: int) -> None:
    await until(
        lambda: all(node.version == version for node in running.nodes),
        _BOUND_S,
    )


async def test_version_is_in_force_everywhere_with_one_cut_off_the_store():
    async with _operated() as (running, writer):
        for cut in running.nodes:
            await running.cut_store(cut)
            version = await _set_keys(writer, "k2", f"x{cut.own.instance}")
            await _all_have(running, version)
            for node in running.nodes:
                assert node.answer("k1") == "unknown_key"
                assert node.answer("k2") == "clinic"
            await running.cut_store(cut, "no")


async def test_revoked_key_stops_on_a_partitioned_instance():
    async with _operated() as (running, writer):
        cut, *others = running.nodes
        await running.cut_store(cut)
        cut.bus.is_cut = True
        version = await _set_keys(writer, "k2")
        await until(lambda: cut.answer("k1") == "not_fresh", _BOUND_S)
        assert all(node.answer("k1") == "unknown_key" for node in others)
        assert cut.answer("", PUBLIC) == "public"
        assert cut.answer("k2") == "not_fresh"
        cut.bus.is_cut = False
        await until(lambda: cut.answer("k2") == "clinic", _BOUND_S)
        assert cut.version == version


async def test_revoked_key_stops_while_the_store_is_slow():
    """Calls take 1.5 s, which a writer's timeout of 2 s still allows.

    Watches lag by more than that, so that only reads bring the version.
    """
    async with _operated() as (running, writer):
        running.set_roster()
        await running.server.control(latency_ms=1_500, hold_watches=True)
        await _set_keys(writer, "k2")
        await until(
            lambda: all(
                node.answer("k1") in ("unknown_key", "not_fresh")
                for node in running.nodes
            ),
            _BOUND_S,
        )
        await until(
            lambda: all(n.answer("k2") == "clinic" for n in running.nodes),
            _BOUND_S,
        )


async def test_stale_reads_never_take_a_version_back():
    """One instance's store address goes on answering the old version."""
    async with _operated() as (running, writer):
        stale = running.nodes[1]  # Alone in its region, so that it watches.
        await running.server.control(
            listener=running.server.addresses[2], stale_reads=True
        )
        version = await _set_keys(writer, "k2")
        await _all_have(running, version)
        rejected = ("config_rejected_total", (("reason", "not_higher"),))
        before = stale.metrics.counts[rejected]
        await until(lambda: stale.metrics.counts[rejected] > before + 5)
        assert stale.version == version
        assert stale.answer("k1") == "unknown_key"
        assert stale.answer("k2") == "clinic"


async def test_instance_that_starts_in_an_outage_takes_the_peers_version():
    async with _operated() as (running, writer):
        running.set_roster()
        version = await _set_keys(writer, "k2")
        await _all_have(running, version)
        os.kill(running.server.process.pid, signal.SIGSTOP)
        try:
            await until(
                lambda: all(
                    node.view.store_out_for_all(node.clock.now())
                    for node in running.nodes
                ),
                _START_S,
            )
            # Nobody can revoke now, so that keys go on working.
            assert all(n.answer("k2") == "clinic" for n in running.nodes)
            first = running.nodes[0]
            late = Node(
                instance("n9"), running.server.addresses[1], first.listed
            )
            async with late.stack:
                await late.listen()
                first.listed.instances += (late.own,)
                await late.start()
                assert not late.distribution.ready
                await until(lambda: late.distribution.ready, _START_S)
                assert late.version == version
        finally:
            os.kill(running.server.process.pid, signal.SIGCONT)
        version = await _set_keys(writer, "k1")
        await _all_have(running, version)
        await until(
            lambda: all(n.answer("k1") == "clinic" for n in running.nodes),
            _BOUND_S,
        )


async def test_store_that_lost_its_data_takes_no_version_back():
    """The store starts empty and is written with the old numbers again."""
    async with _operated() as (running, writer):
        version = await _set_keys(writer, "k2")
        await _all_have(running, version)
        running.server.process.kill()
        await running.server.process.wait()
        async with standin("store", running.server.addresses):
            assert await _set_keys(writer, "k1") == version - 1
            assert await _set_keys(writer, "k1") == version
            rejected = ("config_rejected_total", (("reason", "not_higher"),))
            await until(
                lambda: all(
                    node.metrics.counts[rejected] > 3 for node in running.nodes
                )
            )
            # No read confirms the version in force any more.
            await until(
                lambda: all(
                    n.answer("k2") == "not_fresh" for n in running.nodes
                )
            )
            assert all(node.version == version for node in running.nodes)
            assert await _set_keys(writer, "k1") == version + 1
            await _all_have(running, version + 1)
            await until(
                lambda: all(n.answer("k1") == "clinic" for n in running.nodes),
                _BOUND_S,
            )


async def test_store_calls_stay_a_tenth_of_the_capacity():
    """Counts calls over several read periods of an idle fleet."""
    async with _operated() as (running, writer):
        await running.server.control(reset_counts=True)
        start = running.nodes[0].clock.now()

        async def reads() -> int:
            return (await running.server.show())["reads"]

        await until(lambda: _at_least(reads, 20), _START_S)
        elapsed = running.nodes[0].clock.now() - start
        shown = await running.server.show()
        # Three instances; a tenth of 2,000 reads for ten.
        assert shown["reads"] / elapsed <= 200 * 3 / 10
        assert shown["writes"] == 0
        assert shown["open_watches"] <= 3


async def _at_least(read, amount: int) -> bool:
    return await read() >= amount
