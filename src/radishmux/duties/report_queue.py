"""Decides which window the holder stores and which report it sends next.

A window is stored once before it is sent, and what is stored is what is sent.
The class performs no I/O; times are the true Unix time in seconds.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

import msgspec

from radishmux.duties.expected_sources import ExpectedSources
from radishmux.duties.stored_bodies import StoredBodies
from radishmux.duties.usage_collector import UsageCollector
from radishmux.duties.windows import WindowTerms

# Time for the instances to send a new holder their counts: two periods of the
# exchange, over a hub.
NEW_HOLDER_S = 2.0
# First pause between two equal calls, and the longest one, which still leaves
# several calls before a report is due.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Time limit of the first call of a report, which doubles with each repeat up to
# the longest one: an API that is slow gets no more calls than it answers.
FIRST_TIMEOUT_S = 2.0
MAX_TIMEOUT_S = 8.0

Encode = Callable[[int, dict[str, int]], bytes]


class Outcome(enum.Enum):
    """What became of a window, as counted in the metrics."""

    STORED = "stored"
    INCOMPLETE = "incomplete"
    SENT = "sent"
    LATE = "late"
    REPEATED = "repeated"
    MISSED = "missed"
    REFUSED = "refused"


class Work(msgspec.Struct, frozen=True):
    """One call to make for a window.

    Attributes:
        window: The window.
        body: Body of its report.
        timeout_s: Time limit of a call to the API.
    """

    window: int
    body: bytes
    timeout_s: float = 0.0


class Result(msgspec.Struct, frozen=True):
    """What became of a window, for logs and metrics."""

    window: int
    outcome: Outcome
    age_s: float
    reported: int = 0
    missing: int = 0
    reason: str = ""


class _Sending:
    __slots__ = ("attempts", "is_repeat", "next_at")

    def __init__(self, now: float, is_repeat: bool) -> None:
        self.attempts = 0
        # Whether an earlier holder stored it, and may have sent it.
        self.is_repeat = is_repeat
        self.next_at = now


class ReportQueue:
    """Windows of one holder.

    Args:
        terms: Times of the windows.
        expected: The sources that belong to each window.
        bodies: Bodies that the store has confirmed.
        encode: Encodes the report of a window.
    """

    def __init__(
        self,
        terms: WindowTerms,
        expected: ExpectedSources,
        bodies: StoredBodies,
        encode: Encode,
    ) -> None:
        self._terms = terms
        self._expected = expected
        self._bodies = bodies
        self._encode = encode
        self._collector = UsageCollector()
        self._began_at = -math.inf
        self._restored_at = -math.inf
        # Bodies that the store may contain, and those known to be in it.
        self._sealed: dict[int, bytes] = {}
        self._sending: dict[int, _Sending] = {}
        # Windows that need nothing more from this process.
        self._done: set[int] = set()
        self._results: list[Result] = []

    @property
    def collector(self) -> UsageCollector:
        """Counts that the instances have sent to this holder."""
        return self._collector

    def take_results(self) -> list[Result]:
        """Returns what became of windows since the last call."""
        taken, self._results = self._results, []
        return taken

    def begin(self, now: float, restored_at: float) -> None:
        """Starts anew after the duty was acquired.

        Bodies whose storing was not confirmed are dropped: the store refuses
        them now, since the own record has another revision.

        Args:
            now: The present time.
            restored_at: Time until which the store may have been restored. An
                earlier window may have been sent with counts that are lost.
        """
        self._collector = UsageCollector()
        self._sealed.clear()
        self._sending.clear()
        self._began_at = now
        self._restored_at = restored_at

    def next_store(self, now: float) -> Work | None:
        """Returns a window to write to the store now."""
        self._forget(now)
        windows = {
            *self._collector.windows,
            *self._bodies.windows,
            *self._sealed,
        }
        for window in sorted(windows - self._done - self._sending.keys()):
            body = self._body_to_store(window, now)
            if body is not None:
                return Work(window, body)
        return None

    def on_stored(self, window: int, body: bytes, now: float) -> None:
        """Takes the confirmation that the store has a body for a window.

        It may be that of an earlier holder.
        """
        self._sealed.pop(window, None)
        self._collector.close(window)
        if not self._bodies.put(window, body):
            self._finish(window, Outcome.REFUSED, now, "stored differently")
            return
        self._sending[window] = _Sending(now, is_repeat=False)
        self._note(window, Outcome.STORED, now)

    def next_send(self, now: float) -> Work | None:
        """Returns a report to send now, the earliest window first."""
        for window, sending in sorted(self._sending.items()):
            if self._terms.age_s(window, now) > self._terms.repeat_s:
                self._finish(window, Outcome.MISSED, now, "not accepted")
                continue
            body = self._bodies.get(window)
            if now >= sending.next_at and body is not None:
                timeout_s = FIRST_TIMEOUT_S * 2.0**sending.attempts
                return Work(window, body, min(MAX_TIMEOUT_S, timeout_s))
        return None

    def on_sent(self, window: int, now: float) -> None:
        """Takes the answer that a report was accepted."""
        sending = self._sending.get(window)
        if sending is None:
            return
        is_late = self._terms.age_s(window, now) > self._terms.late_s
        outcome = Outcome.LATE if is_late else Outcome.SENT
        if sending.is_repeat:
            outcome = Outcome.REPEATED
        self._finish(window, outcome, now)

    def on_not_sent(self, window: int, now: float) -> None:
        """Takes a call without a usable response; it may be executed."""
        sending = self._sending.get(window)
        if sending is not None:
            pause_s = FIRST_BACKOFF_S * 2.0**sending.attempts
            sending.attempts += 1
            sending.next_at = now + min(MAX_BACKOFF_S, pause_s)

    def on_fenced(self, window: int, now: float) -> None:
        """Takes the answer that a higher token was seen."""
        self._note(window, Outcome.REFUSED, now, "a higher token was seen")

    def _body_to_store(self, window: int, now: float) -> bytes | None:
        terms = self._terms
        age_s = terms.age_s(window, now)
        if age_s < terms.settle_s:
            return None
        is_old = terms.end_of(window) <= self._restored_at
        known = self._bodies.get(window)
        if known is not None and not is_old:
            # Stored by an earlier holder, and not since restored away.
            self._collector.close(window)
            if age_s > terms.repeat_s:
                self._done.add(window)
            else:
                self._sending[window] = _Sending(now, is_repeat=True)
            return None
        if age_s > terms.late_s and known is not None:
            # It was stored in time, and the store has lost it since.
            self._done.add(window)
            return None
        if age_s > terms.late_s:
            # A sealed body may have been stored by a call without a response;
            # then the next holder sends it.
            self._finish(window, Outcome.MISSED, now, "not stored in time")
            return None
        if is_old:
            if known is None:
                self._finish(window, Outcome.MISSED, now, "store restored")
            return known
        return self._sealed.get(window) or self._seal(window, age_s, now)

    def _seal(self, window: int, age_s: float, now: float) -> bytes | None:
        """Returns the body of a window if its counts are complete enough."""
        terms = self._terms
        sources = self._collector.sources(window)
        lacking = self._expected.awaited(window) - sources
        until = max(
            terms.gather_s,
            terms.age_s(window, self._began_at) + NEW_HOLDER_S,
        )
        if lacking and age_s < until:
            return None
        body = self._encode(window, self._collector.close(window))
        self._sealed[window] = body
        missing = len(self._expected.expected(window) - sources)
        if missing:
            self._note(
                window, Outcome.INCOMPLETE, now, "", len(sources), missing
            )
        return body

    def _finish(
        self, window: int, outcome: Outcome, now: float, reason: str = ""
    ) -> None:
        self._done.add(window)
        self._sending.pop(window, None)
        self._sealed.pop(window, None)
        self._collector.close(window)
        self._note(window, outcome, now, reason)

    def _note(
        self,
        window: int,
        outcome: Outcome,
        now: float,
        reason: str = "",
        reported: int = 0,
        missing: int = 0,
    ) -> None:
        age_s = self._terms.age_s(window, now)
        self._results.append(
            Result(window, outcome, age_s, reported, missing, reason)
        )

    def _forget(self, now: float) -> None:
        oldest = self._terms.window_at(now - self._terms.keep_s)
        self._collector.forget_before(oldest)
        self._bodies.forget_before(oldest)
        self._done = {window for window in self._done if window >= oldest}
