"""Runs the store client against a real process of the stand-in.

Guards the sentinels: a write that may have taken effect is never reported
as not having done so, and no fault of the store raises or hangs a call.
"""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.etcd import EtcdStore
from radishmux.store.interface import Entry, store_drivers
from tests.fakes import FakeMetrics, until
from tests.standin_processes import standin

_KEY = "radishmux/config"


def test_driver_is_registered():
    assert store_drivers["etcd"] is EtcdStore


async def test_swap_read_and_conflict():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        assert isinstance(await store.get(_KEY, 2), NotFound)
        first = await store.compare_and_swap(_KEY, 0, b"one", 2)
        assert isinstance(first, Entry)
        again = await store.compare_and_swap(_KEY, 0, b"two", 2)
        assert isinstance(again, Conflict)
        second = await store.compare_and_swap(_KEY, first.revision, b"", 2)
        assert second == await store.get(_KEY, 2) == Entry(b"", 3)


async def test_lease_lapses_with_its_key_and_the_watch_says_so():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        lease = await store.grant_lease(60, 2)
        assert isinstance(lease, int)
        assert await store.keep_lease(lease, 2) == 60
        entry = await store.compare_and_swap("c", 0, b"x", 2, lease)
        assert isinstance(entry, Entry)
        watch = store.watch("c", entry.revision)
        assert await anext(watch) == entry
        await server.control(lapse_leases=True)
        assert await anext(watch) == Entry(b"", 0)
        assert await store.keep_lease(lease, 2) == 0
        assert await store.revoke_lease(lease, 2) is False
        late = await store.compare_and_swap("c", 0, b"y", 2, lease)
        assert isinstance(late, Unavailable)
        assert not isinstance(late, Unknown)
        await watch.aclose()


@pytest.mark.parametrize("how", ["reset", "hang"])
async def test_lost_answer_of_a_write_is_unknown(how: str):
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await server.control(lose_answers=1, lost_answer=how)
        lost = await store.compare_and_swap(_KEY, 0, b"one", 0.3)
        assert isinstance(lost, Unknown)
        found = await store.get(_KEY, 2)
        assert isinstance(found, Entry) and found.value == b"one"


async def test_write_is_sent_once_even_with_a_second_address():
    """A retry at another address would turn a success into a conflict."""
    async with (
        standin("store", ["127.0.0.1:0", "127.0.0.1:0"]) as server,
        EtcdStore(server.addresses, FakeMetrics()) as store,
    ):
        await server.control(lose_answers=1)
        lost = await store.compare_and_swap(_KEY, 0, b"one", 1)
        assert isinstance(lost, Unknown)
        assert (await server.show())["calls"]["txn"] == 1


async def test_reads_go_on_at_the_second_address():
    async with (
        standin("store", ["127.0.0.1:0", "127.0.0.1:0"]) as server,
        EtcdStore(server.addresses, FakeMetrics()) as store,
    ):
        await store.compare_and_swap(_KEY, 0, b"one", 2)
        for down in ("hang", "refuse"):
            await server.control(listener=server.addresses[0], down=down)
            assert isinstance(await store.get(_KEY, 1), Entry)


async def test_frozen_store_ends_calls_at_their_timeout():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await store.compare_and_swap(_KEY, 0, b"one", 2)
        os.kill(server.process.pid, signal.SIGSTOP)
        async with asyncio.timeout(5):
            read = await store.get(_KEY, 0.2)
            write = await store.compare_and_swap(_KEY, 2, b"two", 0.2)
        assert isinstance(read, Unavailable)
        assert isinstance(write, Unknown)
        os.kill(server.process.pid, signal.SIGCONT)

        async def written() -> bool:
            entry = await store.get(_KEY, 2)
            return isinstance(entry, Entry) and entry.value == b"two"

        await until(written)


async def test_slow_store_ends_calls_at_their_timeout_and_then_writes():
    """The write takes effect although its caller has given up."""
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await server.control(latency_ms=400)
        lost = await store.compare_and_swap(_KEY, 0, b"one", 0.1)
        assert isinstance(lost, Unknown)
        assert isinstance(await store.get(_KEY, 0.1), Unavailable)

        async def written() -> bool:
            entry = await store.get(_KEY, 2)
            return isinstance(entry, Entry) and entry.value == b"one"

        await until(written)


async def test_killed_store_did_not_run_a_write():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await store.get(_KEY, 2)
        server.process.kill()
        await server.process.wait()
        write = await store.compare_and_swap(_KEY, 0, b"one", 1)
        assert isinstance(write, Unavailable)
        later = await store.compare_and_swap(_KEY, 0, b"one", 1)
        assert isinstance(later, Unavailable)
        assert not isinstance(later, Unknown)
        watched = [entry async for entry in store.watch(_KEY, 1)]
        assert watched == []


async def test_watch_passes_on_large_values_and_ends_with_the_store():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        watch = store.watch(_KEY, 1)
        waiting = asyncio.create_task(anext(watch))
        value = os.urandom(1_000_000)
        entry = await store.compare_and_swap(_KEY, 0, value, 5)
        assert await waiting == entry
        assert (await server.show())["open_watches"] == 1
        server.process.kill()
        assert [later async for later in watch] == []


async def test_stale_reads_show_the_past():
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await store.compare_and_swap(_KEY, 0, b"one", 2)
        await server.control(stale_reads=True)
        await store.compare_and_swap(_KEY, 2, b"two", 2)
        assert await store.get(_KEY, 2) == Entry(b"one", 2)
        await server.control(stale_reads=False)
        assert await store.get(_KEY, 2) == Entry(b"two", 3)
