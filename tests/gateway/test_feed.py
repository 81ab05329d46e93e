"""Changes of the store that a hub passes on to the members of its region."""

from __future__ import annotations

import asyncio
import random

import pytest

import radishmux.store.mirror as mirror_module
from radishmux.clock import SystemClock
from radishmux.store.feed import MAX_REMOVED, ChangeLog, Feed
from radishmux.store.interface import KeyChange
from radishmux.store.mirror import StoreMirror
from tests.gateway.test_mirror import Listener, ScriptedStore, changes


def random_changes(rng, count, first=1):
    """Returns changes of a few keys with growing revisions."""
    return [
        KeyChange(
            f"k{rng.randrange(12)}",
            None if rng.random() < 0.3 else f"v{revision}".encode(),
            revision,
        )
        for revision in range(first, first + count)
    ]


def state_after(made):
    """Returns the keys that exist, as a plain dictionary tells."""
    state = {}
    for change in made:
        if change.value is None:
            state.pop(change.key, None)
        else:
            state[change.key] = change.value
    return state


@pytest.mark.parametrize("seed", range(30))
def test_member_that_missed_any_number_of_changes_has_the_hubs_state(seed):
    rng = random.Random(seed)
    made = random_changes(rng, 80)
    log = ChangeLog()
    log.reset((), 0)
    for change in made:
        log.record(change)
    for known in range(len(made) + 1):
        state = state_after(made[:known])
        for change in log.after(known):
            if change.value is None:
                state.pop(change.key, None)
            else:
                state[change.key] = change.value
        assert state == state_after(made)


def test_member_that_knows_less_than_the_hub_remembers_reads_the_store():
    log = ChangeLog()
    log.reset((KeyChange("a", b"1", 3),), 5)
    assert log.after(4) is None
    assert log.after(5) == ()
    for revision in range(6, 7 + MAX_REMOVED):
        log.record(KeyChange(f"gone-{revision}", None, revision))
    assert log.after(5) is None
    assert log.after(6) is not None


class Member:
    """A mirror with a scripted store."""

    def __init__(self, store):
        self.listener = Listener()
        self.store = store
        self.mirror = StoreMirror(store, "", self.listener, SystemClock())

    async def loaded(self):
        async with asyncio.timeout(5):
            while not self.mirror.is_loaded:
                await asyncio.sleep(0.005)

    def take(self, feed):
        self.mirror.apply_feed(feed, SystemClock().now())


def fed(as_of, *names, age_s=0.1, recovered_ago_s=None):
    made = changes(as_of, *names)
    return Feed(made.changes, as_of, age_s, recovered_ago_s)


async def test_member_that_is_fed_does_not_ask_the_store(monkeypatch):
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.05)
    store = ScriptedStore([changes(5, "a")], [])
    member = Member(store)
    async with member.mirror:
        await member.loaded()
        member.take(fed(7, "b"))
        await asyncio.sleep(0.2)
    assert store.asked == ["list"]
    assert member.listener.calls == [("list", ["a"]), ("change", "b")]
    assert member.mirror.revision == 7


async def test_member_asks_the_store_when_its_feed_stops(monkeypatch):
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.05)
    monkeypatch.setattr(mirror_module, "FEED_VALID_S", 0.1)
    store = ScriptedStore([changes(5, "a")], [changes(9, "c")])
    member = Member(store)
    async with member.mirror:
        await member.loaded()
        member.take(fed(7, "b"))
        async with asyncio.timeout(5):
            while ("change", "c") not in member.listener.calls:
                await asyncio.sleep(0.01)
    # It goes on from where the feed was.
    assert store.asked[1][0] == 7


async def test_member_asks_the_store_at_once_when_its_hub_has_nothing(
    monkeypatch,
):
    """Its hub has lost the store; the users' bound on news goes on."""
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.05)
    monkeypatch.setattr(mirror_module, "FEED_VALID_S", 60.0)
    member = Member(ScriptedStore([changes(5, "a")], [changes(9, "c")]))
    async with member.mirror:
        await member.loaded()
        member.take(fed(7, "b"))
        await asyncio.sleep(0.1)
        assert member.store.asked == ["list"]
        member.mirror.end_feed("a test")
        async with asyncio.timeout(5):
            while ("change", "c") not in member.listener.calls:
                await asyncio.sleep(0.01)


async def test_hub_that_has_lost_the_store_feeds_nobody():
    member = Member(ScriptedStore([changes(5, "a")], []))
    async with member.mirror:
        await member.loaded()
        member.take(fed(7, "b", age_s=mirror_module.MAX_FEED_AGE_S + 0.1))
        assert not member.mirror.is_fed(SystemClock().now())
        now = SystemClock().now() + mirror_module.MAX_FEED_AGE_S + 1.0
        assert member.mirror.feed_after(5, now) is None


async def test_outage_that_only_the_hub_saw_is_told_before_the_changes():
    """Entries that lapsed in it may return; the member must not drop them."""
    member = Member(ScriptedStore([changes(5, "a")], []))
    async with member.mirror:
        await member.loaded()
        member.take(fed(7, "b", recovered_ago_s=0.2))
        member.take(fed(8, "c", recovered_ago_s=0.7))
    assert member.listener.calls[1:] == [
        ("returned",),
        ("change", "b"),
        ("change", "c"),
    ]


async def test_old_feed_takes_nothing_back():
    member = Member(ScriptedStore([changes(5, "a")], []))
    async with member.mirror:
        await member.loaded()
        member.take(fed(9, "b"))
        member.take(fed(7, "b"))
    assert member.mirror.revision == 9
    assert member.listener.calls == [("list", ["a"]), ("change", "b")]
