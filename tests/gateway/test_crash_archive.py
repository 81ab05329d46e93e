"""Records of withheld requests in the store."""

from __future__ import annotations

import asyncio

import pytest

from radishmux.clock import ManualClock
from radishmux.dispatch.crash_history import (
    CrashHistory,
    CrashMark,
    CrashVerdict,
)
from radishmux.gateway.crash_archive import MIN_WRITE_GAP_S, CrashArchive
from radishmux.gateway.events import CrashesPut
from radishmux.outcome import Conflict, Unavailable
from radishmux.platform import keys
from radishmux.store.interface import Entry, KeyChange


class Store:
    """A store with leases that keeps the latest value of each key."""

    def __init__(self, lease=7):
        self.lease = lease
        self.values = {}
        self.leases = []

    async def grant_lease(self, ttl_s, timeout_s):
        return self.lease

    async def get(self, key, timeout_s):
        return Entry(self.values[key], 3)

    async def compare_and_swap(
        self, key, expected_revision, value, timeout_s, lease_id=0
    ):
        if (key in self.values) != bool(expected_revision):
            return Conflict("newer revision")
        self.values[key] = value
        self.leases.append(lease_id)
        return Entry(value, 4)


def withheld(digest, clock):
    history = CrashHistory()
    for n in range(3):
        at = clock.now() - 3.0 + n
        mark = CrashMark(f"i-{n}/1", "v1", at, 0.1)
        history.mark(digest, "s c r", mark, at)
    return history.get(digest)


async def keep(archive, record):
    archive.keep(record)
    await asyncio.gather(*archive._writes)


# Monotonic clocks of two processes have nothing in common.
async def test_started_instance_withholds_what_the_store_kept():
    store, before, after = Store(), ManualClock(1000.0), ManualClock(5.0)
    archive = CrashArchive(store, keys.crashes_key, before)
    await keep(archive, withheld("d", before))
    ((key, value),) = store.values.items()
    event = keys.decode_event(KeyChange(key, value, 4))
    assert isinstance(event, CrashesPut)
    assert event.digest == "d"
    marks = CrashArchive(store, keys.crashes_key, after).decode(event.crashes)
    history = CrashHistory()
    history.merge("d", event.crashes.subject, marks, (), after.now())
    assert history.decide("d", "v1", after.now()) is CrashVerdict.WITHHELD
    assert max(mark.at for mark in marks) == pytest.approx(4.0, abs=0.2)
    assert store.leases == [7]


async def test_record_of_another_instance_is_replaced():
    clock = ManualClock(1000.0)
    store = Store()
    store.values[keys.crashes_key("d")] = b"older"
    archive = CrashArchive(store, keys.crashes_key, clock)
    await keep(archive, withheld("d", clock))
    assert store.values[keys.crashes_key("d")] != b"older"


# A customer may make up crashing requests; the store's calls are few.
async def test_records_are_written_at_a_bounded_rate():
    clock, store = ManualClock(1000.0), Store()
    archive = CrashArchive(store, keys.crashes_key, clock)
    for n in range(10):
        await keep(archive, withheld(f"d{n}", clock))
    assert len(store.values) == 1
    clock.advance(MIN_WRITE_GAP_S)
    await keep(archive, withheld("late", clock))
    assert len(store.values) == 2


async def test_store_that_grants_no_lease_gets_no_record():
    clock = ManualClock(1000.0)
    store = Store(lease=Unavailable("down"))
    archive = CrashArchive(store, keys.crashes_key, clock)
    await keep(archive, withheld("d", clock))
    assert store.values == {}


@pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"marks": 1}', None])
def test_unreadable_record_is_no_event(value):
    change = KeyChange(keys.crashes_key("d"), value, 4)
    assert keys.decode_event(change) is None
