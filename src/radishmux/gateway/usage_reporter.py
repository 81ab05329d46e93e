"""Stores and sends the reports of the windows while the duty is held."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from radishmux.clock import Clock
from radishmux.duties.report_queue import Outcome, ReportQueue, Result, Work
from radishmux.duties.stored_bodies import StoredBodies
from radishmux.duties.windows import WindowTerms
from radishmux.gateway.duty_tenure import CALL_TIMEOUT_S, DutyStore, DutyTenure
from radishmux.outcome import Conflict, Unavailable
from radishmux.platform.duties_api import CallOutcome
from radishmux.store.interface import Entry
from radishmux.store.revision import era_of
from radishmux.tasks import repeat
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

PERIOD_S = 0.1
# Pause after a store call that failed.
_RETRY_S = 0.3
# Part of the accepted rate of calls that one holder uses, since calls of an
# earlier holder may be executed meanwhile.
_RATE_SHARE = 0.5
_WARNINGS = frozenset(
    {Outcome.LATE, Outcome.INCOMPLETE, Outcome.MISSED, Outcome.REFUSED}
)


class UsageApi(Protocol):
    """The API that takes the reports; see `platform.duties_api`."""

    async def report(
        self,
        body: bytes,
        token: int,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Sends a report once, if `may_send` allows it at the last moment."""

    def close(self) -> None:
        """Closes the connections."""


class UsageReporter:
    """Two loops of the holder; an async context manager.

    Args:
        tenure: Tells whether the duty is held.
        queue: Decides which window is next.
        bodies: Bodies that the store has confirmed.
        terms: Times of the windows.
        usage_key: Returns the key of a window's report.
        store: The store.
        api: Takes the reports.
        calls_per_s: Calls per second that the API accepts from the fleet.
        unix_s: Returns the true time.
        clock: Monotonic time.
        metrics: Counts windows and calls.
    """

    def __init__(
        self,
        tenure: DutyTenure,
        queue: ReportQueue,
        bodies: StoredBodies,
        terms: WindowTerms,
        usage_key: Callable[[int], str],
        store: DutyStore,
        api: UsageApi,
        calls_per_s: float,
        unix_s: Callable[[], float],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._tenure = tenure
        self._queue = queue
        self._bodies = bodies
        self._terms = terms
        self._usage_key = usage_key
        self._store = store
        self._api = api
        self._gap_s = 1.0 / (_RATE_SHARE * calls_per_s)
        self._next_call_at = clock.now()
        self._unix_s = unix_s
        self._clock = clock
        self._metrics = metrics
        # Old keys that the next write removes.
        self._old: set[int] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> UsageReporter:
        self._tasks = [
            asyncio.create_task(repeat(step, PERIOD_S, name))
            for step, name in (
                (self.store_next, "usage store"),
                (self.send_next, "usage report"),
            )
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._api.close()

    def on_stored(self, window: int, body: bytes) -> None:
        """Takes a report that the store's watch delivers."""
        self._bodies.put(window, body)
        self._old.add(window)

    async def store_next(self) -> None:
        """Writes one window to the store, if one is due."""
        if not self._tenure.may_act():
            return
        work = self._queue.next_store(self._unix_s())
        self._report_results()
        if work is None:
            return
        token = self._tenure.token
        key = self._usage_key(work.window)
        written = await self._store.transact(
            {self._tenure.key: token, key: 0},
            {key: work.body},
            tuple(self._usage_key(window) for window in self._removable()),
            CALL_TIMEOUT_S,
        )
        if isinstance(written, int):
            self._on_stored(work.window, work.body, token, written)
            return
        await self._read_back(work, token, isinstance(written, Conflict))

    async def send_next(self) -> None:
        """Sends one report, if one is due."""
        if not self._tenure.may_act() or self._clock.now() < self._next_call_at:
            return
        work = self._queue.next_send(self._unix_s())
        self._report_results()
        if work is None:
            return
        token = self._tenure.token
        self._next_call_at = self._clock.now() + self._gap_s
        outcome = await self._api.report(
            work.body,
            token,
            work.timeout_s,
            lambda: self._tenure.may_act() and self._tenure.token == token,
        )
        self._metrics.count("gateway_duty_calls_total", outcome=outcome.value)
        now = self._unix_s()
        if outcome is CallOutcome.ACCEPTED:
            self._queue.on_sent(work.window, now)
        else:
            state_change(
                f"usage window {work.window}",
                "not accepted",
                "WARNING",
                outcome=outcome.value,
                token=token,
            )
            self._queue.on_not_sent(work.window, now)
        if outcome is CallOutcome.FENCED:
            self._queue.on_fenced(work.window, now)
            self._tenure.on_fenced(token)
        self._report_results()

    async def _read_back(
        self, work: Work, token: int, is_conflict: bool
    ) -> None:
        """Finds out what the store has after a write that did not succeed.

        A window that is there was written by an earlier holder, or by this one
        in a call whose response was lost.
        """
        if not is_conflict:
            await asyncio.sleep(_RETRY_S)
        found = await self._store.get(
            self._usage_key(work.window), CALL_TIMEOUT_S
        )
        if isinstance(found, Entry):
            self._on_stored(work.window, found.value, token, found.revision)
        elif isinstance(found, Unavailable):
            await asyncio.sleep(_RETRY_S)

    def _on_stored(
        self, window: int, body: bytes, token: int, revision: int
    ) -> None:
        """Continues with a stored window, unless the duty was lost since."""
        if not self._tenure.may_act() or self._tenure.token != token:
            return
        if era_of(revision) != era_of(token):
            return
        self._queue.on_stored(window, body, self._unix_s())
        self._old.add(window)
        self._report_results()

    def _removable(self) -> list[int]:
        """Returns windows whose keys are too old to be needed."""
        now = self._unix_s()
        old = [
            window
            for window in self._old
            if self._terms.age_s(window, now) > self._terms.keep_s
        ]
        self._old.difference_update(old)
        return old

    def _report_results(self) -> None:
        for result in self._queue.take_results():
            self._report(result)

    def _report(self, result: Result) -> None:
        outcome = result.outcome
        self._metrics.count(
            "gateway_usage_windows_total", outcome=outcome.value
        )
        if result.missing:
            self._metrics.count(
                "gateway_usage_sources_missing_total", result.missing
            )
        state_change(
            f"usage window {result.window}",
            outcome.value,
            "WARNING" if outcome in _WARNINGS else "INFO",
            age_s=round(result.age_s, 3),
            token=self._tenure.token,
            reported=result.reported,
            missing=result.missing,
            reason=result.reason,
        )
