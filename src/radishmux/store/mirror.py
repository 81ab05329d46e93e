"""Follows a prefix of the store and hands every change to a listener.

While a hub feeds an instance the changes that the hub has read, the instance
does not ask the store itself.
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
from radishmux.tasks import BackgroundTask
from radishmux.telemetry.logs import state_change

# A watch that is answered is not asked again before this time has passed, so
# that a store whose entries change all the time is asked about once a second.
MIN_INTERVAL_S = 0.8
# Longest time that a watch waits for a change. A watch that was sent as the
# store or its connection went silent hears nothing when they are back, so
# that this bounds the time without news after their return.
MAX_WAIT_S = 2.4
# The same for a hub. Its members hear as late as it, and find out only by the
# age of its latest answer that it has lost the store.
HUB_WAIT_S = 1.2
CALL_TIMEOUT_S = 0.7
LIST_TIMEOUT_S = 1.5
# A feed replaces the own watch for this long: two reports, so that one may be
# lost.
FEED_VALID_S = 1.3
# A feed from a hub that has not heard the store for longer than this says
# nothing: a hub's longest wait and a round trip between regions. With the time
# between two reports it stays below the users' bound on a configuration.
MAX_FEED_AGE_S = 1.6
# Two feeds tell of the same return of the store if they date it this close.
_RETURN_TOLERANCE_S = 0.5
# Pause after a failed call, with as much again at random, so that instances
# do not return together.
RETRY_PAUSE_S = 0.15


class MirrorListener(Protocol):
    """Takes what the mirror reads."""

    def on_list(self, changes: tuple[KeyChange, ...], now: float) -> None:
        """Takes the state of all keys; what is missing does not exist."""

    def on_change(self, change: KeyChange, now: float) -> bool:
        """Takes one change; tells whether it says more than a renewal."""

    def on_store_recovered(self, now: float, is_own: bool) -> None:
        """Takes the news that the store answers again after an outage.

        Args:
            now: Monotonic seconds of the return.
            is_own: False: it was a hub that could not reach the store.
        """


class StoreMirror(BackgroundTask):
    """Owns the watch of one prefix; an async context manager.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        listener: Takes the changes in the order in which they were made.
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
        self._contact_at = -math.inf
        self._is_out = False
        self._returned_at: float | None = None
        self._log = ChangeLog()
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
        """Everything up to this revision was handed over."""
        return self._revision

    def is_store_unreachable(self, now: float) -> bool:
        """Whether the store could not be reached when it was last asked."""
        return self._is_out and not self.is_fed(now)

    def contact_age_s(self, now: float) -> float:
        """Returns the age of the latest answer of the store."""
        return now - self._contact_at

    def is_fed(self, now: float) -> bool:
        """Whether a hub's feed replaces the own watch."""
        return now < self._fed_until

    def set_hub(self, is_hub: bool) -> None:
        """Sets whether members of the region are fed from here."""
        self._max_wait_s = HUB_WAIT_S if is_hub else MAX_WAIT_S

    def end_feed(self, reason: str) -> None:
        """Takes that the hub has nothing to feed: the own watch begins."""
        if self._fed_until > -math.inf:
            state_change("store feed", "ended", reason=reason)
        self._fed_until = -math.inf
        self._feed_ended.set()

    def feed_after(self, revision: int, now: float) -> Feed | None:
        """Returns what is new after a revision; None: it is not known here.

        Args:
            revision: What the member that asks knows.
            now: Monotonic seconds.
        """
        age_s = self.contact_age_s(now)
        if self._revision < 0 or age_s > MAX_FEED_AGE_S:
            return None
        changes = self._log.after(revision)
        if changes is None:
            return None
        returned = self._returned_at
        ago_s = None if returned is None else now - returned
        return Feed(changes, self._revision, age_s, ago_s)

    def apply_feed(self, feed: Feed, now: float, pace: float = 1.0) -> None:
        """Takes what a hub has read; an old feed counts as none.

        Args:
            feed: What is new there.
            now: Monotonic seconds.
            pace: How many times longer than usual it is until the next feed.
        """
        if self._revision < 0:
            return
        if feed.contact_age_s > MAX_FEED_AGE_S:
            self.end_feed("the hub has not heard the store lately")
            return
        self._take_return(feed, now)
        self._contact_at = max(self._contact_at, now - feed.contact_age_s)
        if self._fed_until == -math.inf:
            state_change("store feed", "begun", revision=feed.as_of)
        self._fed_until = now + FEED_VALID_S * pace
        self._apply(feed.changes, feed.as_of, now)

    def _take_return(self, feed: Feed, now: float) -> None:
        """Takes the end of an outage that the hub saw."""
        if feed.recovered_ago_s is None:
            return
        returned_at = now - feed.recovered_ago_s
        known = self._returned_at
        # Each feed dates the same return a little later.
        if known is None or returned_at > known + _RETURN_TOLERANCE_S:
            self._returned_at = returned_at
            self._listener.on_store_recovered(returned_at, is_own=False)

    async def _run(self) -> None:
        while True:
            try:
                pause_s = await self._step()
            except Exception:
                logger.exception("mirror of {!r} failed", self._prefix)
                pause_s = RETRY_PAUSE_S
                self._revision = -1
            await self._pause(pause_s)

    async def _pause(self, seconds: float) -> None:
        """Waits, less long if a feed ends meanwhile."""
        if self._fed_until == -math.inf:
            await asyncio.sleep(seconds)
            return
        self._feed_ended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._feed_ended.wait(), seconds)

    async def _step(self) -> float:
        """Makes one call and returns the pause before the next one."""
        asked_at = self._clock.now()
        if self._revision >= 0 and self.is_fed(asked_at):
            return self._fed_until - asked_at
        if self._fed_until > -math.inf:
            self.end_feed("no report of the hub in time")
        if self._revision < 0:
            answer = await self._store.list_keys(self._prefix, LIST_TIMEOUT_S)
        else:
            answer = await self._store.changes_after(
                self._prefix, self._revision, self._max_wait_s, CALL_TIMEOUT_S
            )
        now = self._clock.now()
        if isinstance(answer, HistoryLost):
            state_change("store history", "lost", reason=answer.reason)
            self._revision = -1
            return 0.0
        if isinstance(answer, Unavailable):
            return self._on_failure(answer)
        self._on_contact(now)
        self._hand_over(answer, now)
        return max(0.0, MIN_INTERVAL_S - (now - asked_at))

    def _hand_over(self, answer: Changes, now: float) -> None:
        if self._revision >= 0:
            self._apply(answer.changes, answer.as_of, now)
            return
        self._listener.on_list(answer.changes, now)
        self._log.reset(answer.changes, answer.as_of)
        self._revision = answer.as_of
        self._loaded.set()

    def _apply(
        self, changes: tuple[KeyChange, ...], as_of: int, now: float
    ) -> None:
        """Hands over what is newer than what is known.

        A feed and the answer of a watch may cross.
        """
        for change in changes:
            if change.revision <= self._revision:
                continue
            says_more = self._listener.on_change(change, now)
            if says_more or not self._log.has(change.key):
                self._log.record(change)
        self._revision = max(self._revision, as_of)

    def _on_contact(self, now: float) -> None:
        self._contact_at = now
        if self._is_out:
            self._is_out = False
            self._returned_at = now
            state_change("store", "reachable")
            self._listener.on_store_recovered(now, is_own=True)

    def _on_failure(self, answer: Unavailable) -> float:
        if not self._is_out:
            self._is_out = True
            state_change(
                "store", "unreachable", "WARNING", reason=answer.reason
            )
        return RETRY_PAUSE_S * (1.0 + random.random())
