"""Following the store through outages, silence and lost history."""

from __future__ import annotations

import asyncio

import radishmux.store.mirror as mirror_module
from radishmux.clock import SystemClock
from radishmux.gateway.app import HOUSEKEEPING_PERIOD_S
from radishmux.outcome import Unknown
from radishmux.platform.store import CONNECT_TIMEOUT_S
from radishmux.steer.placement import ROUND_TRIP_S
from radishmux.steer.servers import RETURN_GRACE_S
from radishmux.store.feed import Feed
from radishmux.store.interface import Changes, HistoryLost, KeyChange
from radishmux.store.mirror import StoreMirror
from radishmux.store.revision import in_era

# The users' ContactS.
CONTACT_S = 4.0


class ScriptedStore:
    """Gives the scripted answers; then waits for ever."""

    def __init__(self, lists, watches):
        self.lists = list(lists)
        self.watches = list(watches)
        self.asked = []

    async def list_keys(self, prefix, timeout_s):
        self.asked.append("list")
        return self.lists.pop(0)

    async def changes_after(self, prefix, revision, wait_s, timeout_s):
        self.asked.append((revision, wait_s + timeout_s))
        if not self.watches:
            await asyncio.sleep(60)
        return self.watches.pop(0)


class Listener:
    """Records what it is told."""

    def __init__(self):
        self.calls = []

    def on_list(self, changes, now):
        self.calls.append(("list", [one.key for one in changes]))

    def on_change(self, change, now):
        self.calls.append(("change", change.key))

    def on_store_recovered(self, now, is_own):
        self.calls.append(("returned",))


def changes(as_of, *names):
    return Changes(tuple(KeyChange(name, b"", as_of) for name in names), as_of)


async def follow(store, monkeypatch, until):
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.0)
    monkeypatch.setattr(mirror_module, "RETRY_PAUSE_S", 0.01)
    listener = Listener()
    async with StoreMirror(store, "", listener, SystemClock()) as mirror:
        async with asyncio.timeout(5):
            while len(listener.calls) < until:
                await asyncio.sleep(0.01)
    return listener.calls, mirror


async def test_changes_follow_the_list(monkeypatch):
    store = ScriptedStore([changes(5, "a")], [changes(7, "b", "c")])
    calls, mirror = await follow(store, monkeypatch, 3)
    assert calls == [("list", ["a"]), ("change", "b"), ("change", "c")]
    assert mirror.revision == 7


async def test_lost_history_is_read_anew(monkeypatch):
    store = ScriptedStore(
        [changes(5, "a"), changes(9, "z")], [HistoryLost("gone")]
    )
    calls, _ = await follow(store, monkeypatch, 2)
    assert calls == [("list", ["a"]), ("list", ["z"])]


async def test_return_after_an_outage_is_told_before_the_changes(monkeypatch):
    store = ScriptedStore(
        [changes(5, "a")], [Unknown("silent"), changes(6, "b")]
    )
    calls, _ = await follow(store, monkeypatch, 3)
    assert calls == [("list", ["a"]), ("returned",), ("change", "b")]


def test_instance_that_was_cut_off_drops_missing_servers_in_time():
    """Within the users' ContactS it is in touch again and bound by DRAIN.

    Its attempt to connect as the cut ends fails; the next one finds its
    history lost and reads the list, in two pages from another region.
    """
    round_trips = 4
    worst_s = (
        CONNECT_TIMEOUT_S
        + 2 * mirror_module.RETRY_PAUSE_S
        + round_trips * ROUND_TRIP_S["remote"]
        + RETURN_GRACE_S
        + HOUSEKEEPING_PERIOD_S
    )
    assert worst_s < CONTACT_S


async def test_silent_watch_ends_within_the_bound_on_news(monkeypatch):
    """A watch sent as the store went silent hears nothing when it is back.

    Instances count as in touch four seconds after its return.
    """
    store = ScriptedStore([changes(5)], [changes(6, "b")])
    await follow(store, monkeypatch, 2)
    longest_s = max(asked[1] for asked in store.asked if asked != "list")
    assert longest_s < 4.0


class BlockingStore(ScriptedStore):
    """Lets a watch wait until it is told to answer."""

    def __init__(self, lists):
        super().__init__(lists, [])
        self.answer = asyncio.get_running_loop().create_future()

    async def changes_after(self, prefix, revision, wait_s, timeout_s):
        self.asked.append(revision)
        return await asyncio.shield(self.answer)


class RestoredListener(Listener):
    """Also records that the store was restored."""

    def on_store_restored(self, now):
        self.calls.append(("restored",))


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


# CONFIG: an instance whose watch hung went on with a lost history.
async def test_peer_that_knows_a_later_era_lets_the_store_be_listed(
    monkeypatch,
):
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.0)
    store = BlockingStore(
        [changes(in_era(1, 9), "a"), changes(in_era(2, 5), "b")]
    )
    listener = RestoredListener()
    async with StoreMirror(store, "", listener, SystemClock()) as mirror:
        await until(lambda: store.asked == ["list", in_era(1, 9)])
        mirror.on_peer_revision(in_era(1, 12))
        await asyncio.sleep(0.05)
        assert store.asked == ["list", in_era(1, 9)]
        mirror.on_peer_revision(in_era(2, 3))
        await until(lambda: len(store.asked) == 4)
        assert mirror.revision == in_era(2, 5)
    assert listener.calls == [("list", ["a"]), ("restored",), ("list", ["b"])]


# CONFIG: the answer to a watch was taken for a list of all keys.
async def test_answer_to_an_outdated_watch_is_not_used(monkeypatch):
    monkeypatch.setattr(mirror_module, "MIN_INTERVAL_S", 0.0)
    store = BlockingStore(
        [changes(in_era(1, 9), "a", "b"), changes(in_era(2, 5), "a", "b")]
    )
    listener = RestoredListener()
    async with StoreMirror(store, "", listener, SystemClock()) as mirror:
        await until(lambda: store.asked == ["list", in_era(1, 9)])
        answer = store.answer
        store.answer = asyncio.get_running_loop().create_future()
        answer.set_result(changes(in_era(1, 10), "c"))
        mirror.on_peer_revision(in_era(2, 3))
        await until(lambda: mirror.revision == in_era(2, 5))
    assert listener.calls == [
        ("list", ["a", "b"]),
        ("restored",),
        ("list", ["a", "b"]),
    ]


# CONFIG: a hub passed on what the store had lost, or what a member had not.
async def test_feeds_do_not_cross_eras():
    store = BlockingStore([changes(in_era(2, 5), "a")])
    listener = RestoredListener()
    clock = SystemClock()
    async with StoreMirror(store, "", listener, clock) as mirror:
        await until(lambda: mirror.is_loaded)
        now = clock.now()
        assert mirror.feed_after(in_era(2, 5), now) is not None
        assert mirror.feed_after(in_era(1, 9), now) is None
        assert mirror.feed_after(in_era(3, 1), now) is None
        later = Feed((), in_era(3, 1), 0.0, None)
        mirror.apply_feed(later, now)
        assert not mirror.is_fed(now)
        assert mirror.revision == in_era(2, 5)
