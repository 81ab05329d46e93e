"""Writes of the configuration with lost responses and concurrent writers.

A differential test: whatever the store does to its responses, the result of
`update` must agree with the history of the store.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from radishmux.clock import ManualClock
from radishmux.config import document
from radishmux.config.document import (
    CONFIG_KEY,
    ConfigWriter,
    InvalidConfiguration,
    StoredDocument,
    decode_document,
)
from radishmux.config.model import Configuration, Customer, Region
from radishmux.outcome import Conflict, Unavailable, Unknown
from radishmux.store.etcd import EtcdStore
from tests.fakes import FakeMetrics, FakeStore
from tests.standin_processes import run_module, standin

_SEED = 20_261
_FAULTS = ["ok", "ok", "ok", "lost", "dropped", "late", "down", "stale"]


def _region_adder(name: str):
    def change(old: Configuration) -> Configuration:
        region = Region(name=name, failure_domains=[f"{name}-a"])
        return Configuration(
            regions=[*old.regions, region], customers=old.customers
        )

    return change


def _decode_history(store: FakeStore) -> list[Configuration]:
    return [decode_document(e.value).configuration for e in store.history]


class _SteppingClock(ManualClock):
    """Advances by 0.5 s per reading, so that retries end without waiting."""

    def now(self) -> float:
        self.advance(0.5)
        return super().now()


@seed(_SEED)
@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.sampled_from("ab"), max_size=12),
    st.lists(st.sampled_from(_FAULTS), max_size=60),
)
async def test_reported_outcome_agrees_with_the_store(
    operators: list[str], faults: list[str]
):
    """Guards against a change that is made twice or reported wrongly."""
    store = FakeStore(faults)
    writers = {
        name: ConfigWriter(store, name, _SteppingClock()) for name in "ab"
    }
    for number, operator in enumerate(operators):
        region = f"r{number}"
        result = await writers[operator].update(_region_adder(region))
        # A late write takes effect no later than the next write.
        accepted = [
            version
            for version in _decode_history(store)
            if version.regions and version.regions[-1].name == region
        ]
        assert len(accepted) <= 1
        if isinstance(result, Configuration):
            assert accepted == [result]
        elif not isinstance(result, Unknown):
            assert isinstance(result, Unavailable) and accepted == []
    versions = [stored.version for stored in _decode_history(store)]
    assert versions == list(range(1, len(versions) + 1))
    names = (
        [r.name for r in _decode_history(store)[-1].regions] if versions else []
    )
    assert len(set(names)) == len(names) == len(versions)


@pytest.fixture(autouse=True)
def _no_retry_pause(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(document, "_RETRY_PAUSE_S", 0.0)


async def test_lost_answer_is_found_below_another_writers_version():
    """The document keeps writer ids of past versions to find the write."""
    store = FakeStore(["ok", "lost"])
    first = ConfigWriter(store, "a", _SteppingClock())
    read = store.get
    other_wrote = False

    async def get(key: str, timeout_s: float):
        nonlocal other_wrote
        if store.history and not other_wrote:
            other_wrote = True
            result = await ConfigWriter(store, "b").update(_region_adder("b"))
            assert isinstance(result, Configuration)
        return await read(key, timeout_s)

    store.get = get
    result = await first.update(_region_adder("a"))
    assert isinstance(result, Configuration) and result.version == 1
    assert [stored.version for stored in _decode_history(store)] == [1, 2]


@pytest.mark.parametrize("fault", ["dropped", "late", "lost"])
async def test_write_without_an_answer_is_completed(fault: str):
    """A change must be completed when the store works again."""
    store = FakeStore(["ok", fault])
    writer = ConfigWriter(store, "a", _SteppingClock())
    written = []
    for name in ("r0", "r1"):
        written.append(await writer.update(_region_adder(name)))
        store.faults = iter(["ok", fault])
    assert _decode_history(store) == written


async def test_invalid_change_is_refused_before_any_write():
    store = FakeStore()
    bad = Customer(name="a", rate_per_s=-1, burst=2)
    result = await ConfigWriter(store, "a").update(
        lambda _: Configuration(customers=[bad])
    )
    assert isinstance(result, InvalidConfiguration)
    (problem,) = result.problems
    assert problem.path == "$.customers[0].rate_per_s"
    assert problem.value == -1 and "> 0" in problem.allowed
    assert "swap" not in store.calls


async def test_oversized_document_is_refused():
    regions = [
        Region(name=f"r{n}", failure_domains=[f"d{n}"], labels={"x": "y" * 99})
        for n in range(7_000)
    ]
    result = await ConfigWriter(FakeStore(), "a").update(
        lambda _: Configuration(regions=regions)
    )
    assert isinstance(result, InvalidConfiguration)
    assert "1000000 bytes" in result.problems[0].allowed


def test_unknown_writer_is_not_mistaken_for_a_lost_race():
    old = StoredDocument(configuration=Configuration(version=500), writes=[])
    assert old.wrote(3, "a") is None


async def test_racing_operators_against_a_store_process():
    """One of two writes on the same version wins; the other conflicts."""
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        a, b = ConfigWriter(store, "a"), ConfigWriter(store, "b")
        assert (await a.update(_region_adder("r0"))).version == 1

        # b writes between a's read and a's write.
        results = []

        class Racing:
            get = store.get

            async def compare_and_swap(self, *arguments):
                results.append(await b.update(_region_adder("r1")))
                return await store.compare_and_swap(*arguments)

        results.append(
            await ConfigWriter(Racing(), "c").update(_region_adder("r2"))
        )
        winner, loser = results
        assert isinstance(winner, Configuration) and winner.version == 2
        assert isinstance(loser, Conflict)
        assert "version 2 by b/" in loser.reason

        await server.control(lose_answers=2)
        found = await a.update(_region_adder("r3"))
        assert isinstance(found, Configuration) and found.version == 3
        entry = await store.get(CONFIG_KEY, 2)
        stored = decode_document(entry.value).configuration
        assert [r.name for r in stored.regions] == ["r0", "r1", "r3"]
        assert (await server.show())["calls"]["txn"] == 4


async def test_operator_processes_race_while_answers_are_lost():
    """Each change that was reported done is stored exactly once.

    Further stored changes may only be those reported as unknown.
    """
    async with (
        standin("store") as server,
        EtcdStore([server.address], FakeMetrics()) as store,
    ):
        await server.control(lose_answers=8, latency_ms=5)
        printed = await asyncio.gather(
            *(
                run_module("tests.operator_process", server.address, name, "8")
                for name in ("a", "b")
            )
        )
        outcomes = [json.loads(line) for line in printed]
        stored = decode_document((await store.get(CONFIG_KEY, 2)).value)
        names = [region.name for region in stored.configuration.regions]
        done = [name for outcome in outcomes for name in outcome["done"]]
        unknown = {name for outcome in outcomes for name in outcome["unknown"]}
        assert len(done) == 16
        assert len(set(names)) == len(names) == stored.configuration.version
        assert set(done) <= set(names) <= set(done) | unknown
        assert (await server.show())["faults"]["lose_answers"] == 0
