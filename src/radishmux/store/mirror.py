"""Watches a prefix of the store and passes every change to a listener.

While a hub sends an instance the changes that the hub has read (a feed), the
instance does not poll the store itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from typing import Protocol

from loguru import logger

from radishmux.clock import Clock
from radishmux.outcome import Unavailable
from radishmux.store.feed import ChangeLog, Feed
from radishmux.store.interface import (
    Changes,
    HistoryLost,
    KeyChange,
    ObservableStore,
)
from radishmux.store.revision import era_of
from radishmux.tasks import BackgroundTask
from radishmux.telemetry.logs import state_change

# Shortest time between two watch calls, so that a store whose entries change
# all the time is polled about once a second.
MIN_INTERVAL_S = 0.8
# Longest time that a watch waits for a change. A watch that was sent while the
# store or its connection stopped responding gets no response after they
# recover, so this bounds the delay until changes arrive again.
MAX_WAIT_S = 2.4
# Longest wait of a hub's watch. Its members get changes no earlier than the
# hub, and detect that the hub has lost the store only by the age of the store's
# latest response to it.
HUB_WAIT_S = 1.2
CALL_TIMEOUT_S = 0.7
LIST_TIMEOUT_S = 1.5
# A feed replaces the instance's own watch for this long: two report periods,
# so that one report may be lost.
FEED_VALID_S = 1.3
# A feed is ignored if the store has not answered the hub for longer than this:
# the longest wait of a hub's watch plus a round trip between regions. Together
# with the time between two reports it stays below the users' bound on the age
# of a configuration.
MAX_FEED_AGE_S = 1.6
# Two feeds refer to the same recovery of the store if their times of it differ
# by less than this.
_RECOVERY_TOLERANCE_S = 0.5
# Shortest pause after a failed call. Up to as much again is added at random, so
# that instances do not retry at the same time.
RETRY_PAUSE_S = 0.15


WatchAnswer = Changes | HistoryLost | Unavailable


class MirrorListener(Protocol):
    """Receives the keys and changes that the mirror reads."""

    def on_list(self, changes: tuple[KeyChange, ...], now: float) -> None:
        """Replaces all keys; a key that is not listed does not exist."""

    def on_change(self, change: KeyChange, now: float) -> bool:
        """Applies a change; returns False if it only renews an entry."""

    def on_store_restored(self, now: float) -> None:
        """Called before the first list of a store restored from a copy.

        The copy may lack what other parties have written and will write again,
        and may contain what they have deleted since.
        """

    def on_store_recovered(self, now: float, is_own: bool) -> None:
        """Called when the store answers again after an outage.

        Args:
            now: Monotonic seconds of the recovery.
            is_own: Whether this instance itself could not reach the store;
                False if only its hub could not.
        """


class StoreMirror(BackgroundTask):
    """Keeps a listener up to date with one prefix of the store.

    An async context manager that runs the watch in the background.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        listener: Receives the changes in the order in which they were made.
        clock: Monotonic time.
    """

    def __init__(
        self,
        store: ObservableStore,
        prefix: str,
        listener: MirrorListener,
        clock: Clock,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._revision = -1
        # Latest era that was listed here, and that a peer knows.
        self._listed_era = 0
        self._heard_era = 0
        self._watch: asyncio.Task[WatchAnswer] | None = None
        self._contact_at = -math.inf
        self._is_unreachable = False
        self._recovered_at: float | None = None
        self._change_log = ChangeLog()
        self._fed_until = -math.inf
        self._feed_ended = asyncio.Event()
        self._max_wait_s = MAX_WAIT_S
        self._loaded = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether all keys have been read once."""
        return self._loaded.is_set()

    @property
    def revision(self) -> int:
        """Revision up to which the listener has received all changes."""
        return self._revision

    def is_store_unreachable(self, now: float) -> bool:
        """Whether the latest call failed and no hub sends a feed."""
        return self._is_unreachable and not self.is_fed(now)

    def contact_age_s(self, now: float) -> float:
        """Returns the age of the store's latest response, also via a hub."""
        return now - self._contact_at

    def is_fed(self, now: float) -> bool:
        """Whether a hub's feed replaces this instance's own watch."""
        return now < self._fed_until

    def set_hub(self, is_hub: bool) -> None:
        """Sets whether this instance sends feeds to members of its region."""
        self._max_wait_s = HUB_WAIT_S if is_hub else MAX_WAIT_S

    def end_feed(self, reason: str) -> None:
        """Stops relying on a feed and resumes this instance's own watch."""
        if self._fed_until > -math.inf:
            state_change("store feed", "ended", reason=reason)
        self._fed_until = -math.inf
        self._feed_ended.set()

    def on_peer_revision(self, revision: int) -> None:
        """Lists all keys again if a peer has read a later era of the store.

        The own watch may hang, or the hub that sends a feed may not know yet.
        """
        era = era_of(revision)
        if era <= max(self._listed_era, self._heard_era):
            return
        self._heard_era = era
        if self._revision < 0:
            return
        state_change("store history", "outdated", era=era)
        self._revision = -1
        self.end_feed("a peer has read a later era")
        if self._watch is not None:
            self._watch.cancel()

    def feed_after(self, revision: int, now: float) -> Feed | None:
        """Returns a feed for a member, or None if it cannot be complete.

        Args:
            revision: Revision up to which the member has all changes.
            now: Monotonic seconds.
        """
        age_s = self.contact_age_s(now)
        if self._revision < 0 or age_s > MAX_FEED_AGE_S:
            return None
        if era_of(revision) != era_of(self._revision):
            return None
        changes = self._change_log.after(revision)
        if changes is None:
            return None
        recovered_at = self._recovered_at
        ago_s = None if recovered_at is None else now - recovered_at
        return Feed(changes, self._revision, age_s, ago_s)

    def apply_feed(
        self, feed: Feed, now: float, period_factor: float = 1.0
    ) -> None:
        """Applies the changes of a hub; a feed that is too old ends the feed.

        Args:
            feed: Changes that the hub has read.
            now: Monotonic seconds.
            period_factor: Factor by which the time until the next feed is
                longer than usual.
        """
        if self._revision < 0 or era_of(feed.as_of) != era_of(self._revision):
            return
        if feed.contact_age_s > MAX_FEED_AGE_S:
            self.end_feed(
                f"store answered the hub {feed.contact_age_s:.1f} s ago"
            )
            return
        self._apply_recovery(feed, now)
        self._contact_at = max(self._contact_at, now - feed.contact_age_s)
        if self._fed_until == -math.inf:
            state_change("store feed", "begun", revision=feed.as_of)
        self._fed_until = now + FEED_VALID_S * period_factor
        self._apply(feed.changes, feed.as_of, now)

    def _apply_recovery(self, feed: Feed, now: float) -> None:
        """Notifies the listener if the store has recovered at the hub."""
        if feed.recovered_ago_s is None:
            return
        recovered_at = now - feed.recovered_ago_s
        known = self._recovered_at
        # Each feed gives a slightly later time for the same recovery.
        if known is None or recovered_at > known + _RECOVERY_TOLERANCE_S:
            self._recovered_at = recovered_at
            self._listener.on_store_recovered(recovered_at, is_own=False)

    async def _run(self) -> None:
        while True:
            try:
                pause_s = await self._step()
            except Exception:
                logger.exception(
                    "mirror of prefix {!r} failed; listing its keys again",
                    self._prefix,
                )
                pause_s = RETRY_PAUSE_S
                self._revision = -1
            await self._pause(pause_s)

    async def _pause(self, seconds: float) -> None:
        """Waits, but returns early if a feed ends."""
        if self._fed_until == -math.inf:
            await asyncio.sleep(seconds)
            return
        self._feed_ended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._feed_ended.wait(), seconds)

    async def _step(self) -> float:
        """Makes one call and returns the pause before the next one."""
        called_at = self._clock.now()
        if self._revision >= 0 and self.is_fed(called_at):
            return self._fed_until - called_at
        if self._fed_until > -math.inf:
            self.end_feed("no report from the hub in time")
        is_list = self._revision < 0
        if is_list:
            answer = await self._store.list_keys(self._prefix, LIST_TIMEOUT_S)
        else:
            answer = await self._await_changes()
        now = self._clock.now()
        if isinstance(answer, HistoryLost):
            state_change("store history", "lost", reason=answer.reason)
            self._revision = -1
            return 0.0
        if isinstance(answer, Unavailable):
            return self._on_failure(answer)
        self._on_response(now)
        if is_list:
            self._deliver_list(answer, now)
        elif self._revision >= 0:
            self._apply(answer.changes, answer.as_of, now)
        return max(0.0, MIN_INTERVAL_S - (now - called_at))

    async def _await_changes(self) -> WatchAnswer:
        """Waits for changes; ends early if the own revision is outdated."""
        self._watch = watch = asyncio.create_task(
            self._store.changes_after(
                self._prefix, self._revision, self._max_wait_s, CALL_TIMEOUT_S
            )
        )
        try:
            await asyncio.wait((watch,))
        finally:
            watch.cancel()
            self._watch = None
        if watch.cancelled():
            return HistoryLost("a peer has read a later era")
        return watch.result()

    def _deliver_list(self, answer: Changes, now: float) -> None:
        era = era_of(answer.as_of)
        if self._loaded.is_set() and era > self._listed_era:
            self._listener.on_store_restored(now)
        self._listed_era = era
        self._listener.on_list(answer.changes, now)
        self._change_log.reset(answer.changes, answer.as_of)
        self._revision = answer.as_of
        self._loaded.set()

    def _apply(
        self, changes: tuple[KeyChange, ...], as_of: int, now: float
    ) -> None:
        """Passes on the changes that are newer than the current revision.

        A feed and the response to a watch may overlap.
        """
        for change in changes:
            if change.revision <= self._revision:
                continue
            is_meaningful = self._listener.on_change(change, now)
            if is_meaningful or not self._change_log.has(change.key):
                self._change_log.record(change)
        self._revision = max(self._revision, as_of)

    def _on_response(self, now: float) -> None:
        self._contact_at = now
        if self._is_unreachable:
            self._is_unreachable = False
            self._recovered_at = now
            state_change("store", "reachable")
            self._listener.on_store_recovered(now, is_own=True)

    def _on_failure(self, answer: Unavailable) -> float:
        if not self._is_unreachable:
            self._is_unreachable = True
            state_change(
                "store", "unreachable", "WARNING", reason=answer.reason
            )
        return RETRY_PAUSE_S * (1.0 + random.random())
