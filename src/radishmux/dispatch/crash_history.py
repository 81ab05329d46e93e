"""Decides which requests may run, given the servers that crashed under them.

A server that ends breaks the connections of all requests that it has, most of
which are innocent. A request that crashes servers differs from these in that
no server ever completes it. So each request on a server that crashed gets a
mark, and a completed run voids the marks. With two marks it runs on trial: on
one server at a time in the whole fleet. It is withheld when three servers have
crashed one after the other, each under a run that began after the crash before.

Instances exchange their records and merge them. The class performs no I/O;
times are seconds of a monotonic clock.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections import OrderedDict
from collections.abc import Iterable

# Marks from which on a request runs on trial only.
MAX_FREE_MARKS = 2
# Crashes one after the other from which on it is withheld, and for how long;
# multiplied with each further one.
MAX_CRASHES = 3
# Further crashes until it is also withheld from servers whose software it has
# not crashed: those of other services of its route, or of another version.
MAX_OTHER_CRASHES = 2
FIRST_WITHHOLD_S = 60.0
WITHHOLD_FACTOR = 4.0
MAX_WITHHOLD_S = 3600.0
# A mark seems later by the time that it was on the way between instances.
ORDER_SLACK_S = 0.06
# Lifetime of a mark that no completed run has voided.
MARK_LIFETIME_S = 4 * 3600.0
# A request that was completed this shortly before a crash gets no mark: it
# is popular, and on many servers that crash for other reasons.
PROVEN_S = 2.0
MAX_PROVEN = 2048
# Time for which a void mark is kept, until all instances have heard that it is.
VOID_KEPT_S = 30.0
MAX_RECORDS = 2000
MAX_MARKS = 16


class CrashVerdict(enum.Enum):
    """How a request may be sent to servers of a version."""

    FREE = "as any other"
    CAREFUL = "as any other, but not hedged"
    TRIAL = "to one server at a time in the whole fleet"
    WITHHELD = "to none"


class CrashMark:
    """A server that crashed while it had a request.

    Attributes:
        server: Name and start of the server.
        version: Service and version of the server.
        at: Monotonic time of the crash.
        run_s: Time from the sending of the request until the crash.
        is_void: Whether a server of the version has completed the request
            since.
    """

    __slots__ = ("at", "is_void", "run_s", "server", "version")

    def __init__(
        self,
        server: str,
        version: str,
        at: float,
        run_s: float = 0.0,
        is_void: bool = False,
    ) -> None:
        self.server = server
        self.version = version
        self.at = at
        self.run_s = run_s
        self.is_void = is_void


class CrashRecord:
    """What is known of the requests with one digest.

    Attributes:
        digest: From `request_digest`.
        subject: Service, customer and route, for the logs.
        marks: By server.
        cleared_versions: Services and versions whose servers have completed the
            request since it had marks. Other marks do not count for them.
        changed_at: Monotonic time of the latest change.
    """

    __slots__ = ("changed_at", "cleared_versions", "digest", "marks", "subject")

    def __init__(self, digest: str, subject: str, now: float) -> None:
        self.digest = digest
        self.subject = subject
        self.marks: dict[str, CrashMark] = {}
        self.cleared_versions: set[str] = set()
        self.changed_at = now

    def marks_for(self, version: str) -> list[CrashMark]:
        """Returns the marks that count for servers of a version."""
        is_cleared = version in self.cleared_versions
        return [
            mark
            for mark in self.marks.values()
            if not mark.is_void and (mark.version == version or not is_cleared)
        ]

    def withheld_until(self, version: str) -> float:
        """Returns the end of the time without runs; -inf if there is none."""
        crashes, last_at = self._crashes_in_turn(version)
        has_crashed = any(
            mark.version == version for mark in self.marks_for(version)
        )
        others = 0 if has_crashed else MAX_OTHER_CRASHES
        if crashes < MAX_CRASHES + others:
            return -math.inf
        factor = WITHHOLD_FACTOR ** (crashes - MAX_CRASHES)
        return last_at + min(MAX_WITHHOLD_S, FIRST_WITHHOLD_S * factor)

    def trial_gap_s(self, version: str) -> float:
        """Returns the shortest time between two runs on trial.

        A run may be turned away before it shows anything.
        """
        crashes, _ = self._crashes_in_turn(version)
        return FIRST_WITHHOLD_S if crashes >= MAX_CRASHES else 0.0

    def _crashes_in_turn(self, version: str) -> tuple[int, float]:
        """Returns how many servers crashed in turn, and when the last one."""
        marks = self.marks_for(version)
        crashes = 0
        last_at = -math.inf
        for mark in sorted(marks, key=lambda mark: mark.at):
            if mark.at - mark.run_s >= last_at - ORDER_SLACK_S:
                crashes += 1
                last_at = mark.at
        return crashes, last_at


class CrashHistory:
    """Marks of requests, by digest; bounded, the oldest records go first."""

    def __init__(self) -> None:
        # In the order of their latest changes, and those of them that run on
        # trial or not at all.
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        self._suspected: OrderedDict[str, CrashRecord] = OrderedDict()
        # Time at which each request was last completed, by digest and version.
        self._completed: OrderedDict[tuple[str, str], float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, digest: str) -> CrashRecord | None:
        """Returns the record of a request, or None if it has no marks."""
        return self._records.get(digest)

    def decide(self, digest: str, version: str, now: float) -> CrashVerdict:
        """Returns how a request may be sent to servers of a version."""
        record = self._records.get(digest)
        if record is None:
            return CrashVerdict.FREE
        marks = record.marks_for(version)
        if not marks:
            return CrashVerdict.FREE
        if len(marks) < MAX_FREE_MARKS:
            return CrashVerdict.CAREFUL
        if now < record.withheld_until(version):
            return CrashVerdict.WITHHELD
        return CrashVerdict.TRIAL

    def mark(
        self, digest: str, subject: str, mark: CrashMark, now: float
    ) -> bool:
        """Adds a mark after a server crashed that had the request.

        Returns:
            Whether the mark is new and counts.
        """
        if self._is_refuted(digest, mark):
            return False
        return self._merge_mark(self._record(digest, subject, now), mark, now)

    def record_completed(self, digest: str, version: str, now: float) -> bool:
        """Voids the marks of a request that a server has completed.

        Returns:
            Whether it had marks that counted.
        """
        key = (digest, version)
        self._completed[key] = now
        self._completed.move_to_end(key)
        if len(self._completed) > MAX_PROVEN:
            self._completed.popitem(last=False)
        record = self._records.get(digest)
        if record is None or not record.marks_for(version):
            return False
        for mark in record.marks.values():
            mark.is_void |= mark.version == version
        record.cleared_versions.add(version)
        self._record_change(record, now)
        return True

    def merge(
        self,
        digest: str,
        subject: str,
        marks: Iterable[CrashMark],
        cleared_versions: Iterable[str],
        now: float,
    ) -> None:
        """Merges the record of another instance into the own one."""
        marks = list(marks)
        if not marks:
            return
        record = self._record(digest, subject, now)
        for mark in marks:
            mark.is_void |= self._is_refuted(digest, mark)
            self._merge_mark(record, mark, now)
        cleared = set(cleared_versions) - record.cleared_versions
        if cleared:
            record.cleared_versions |= cleared
            self._record_change(record, now)

    def recent(self, max_age_s: float, now: float) -> list[CrashRecord]:
        """Returns the records that have changed lately, the latest first."""
        return list(
            itertools.takewhile(
                lambda record: now - record.changed_at <= max_age_s,
                reversed(self._records.values()),
            )
        )

    def suspected(self) -> list[CrashRecord]:
        """Returns the records of requests that run on trial or not at all."""
        return list(self._suspected.values())

    def expire(self, now: float) -> None:
        """Removes marks at the end of their lifetime."""
        for digest, record in list(self._records.items()):
            kept = {
                server: mark
                for server, mark in record.marks.items()
                if now - mark.at < MARK_LIFETIME_S
            }
            is_over = all(mark.is_void for mark in kept.values())
            if not kept or (is_over and now - record.changed_at > VOID_KEPT_S):
                self._remove(digest)
            elif len(kept) < len(record.marks):
                record.marks = kept
                self._index(record)

    def _is_refuted(self, digest: str, mark: CrashMark) -> bool:
        """Whether a run was completed here near a crash."""
        completed_at = self._completed.get((digest, mark.version), -math.inf)
        return mark.at - completed_at <= PROVEN_S

    def _record(self, digest: str, subject: str, now: float) -> CrashRecord:
        record = self._records.get(digest)
        if record is None:
            while len(self._records) >= MAX_RECORDS:
                self._evict()
            record = CrashRecord(digest, subject, now)
            self._records[digest] = record
        return record

    def _evict(self) -> None:
        """Removes the record that has not changed for longest.

        Suspected requests stay as long as there are others: somebody may send
        many requests to servers that are about to crash.
        """
        unsuspected = (
            one for one in self._records if one not in self._suspected
        )
        self._remove(next(unsuspected, next(iter(self._records))))

    def _remove(self, digest: str) -> None:
        del self._records[digest]
        self._suspected.pop(digest, None)

    def _record_change(self, record: CrashRecord, now: float) -> None:
        record.changed_at = now
        self._records.move_to_end(record.digest)
        self._index(record)

    def _index(self, record: CrashRecord) -> None:
        """Adds a record to the suspected ones, or removes it from them."""
        counting = sum(not mark.is_void for mark in record.marks.values())
        if counting >= MAX_FREE_MARKS:
            self._suspected[record.digest] = record
            self._suspected.move_to_end(record.digest)
        else:
            self._suspected.pop(record.digest, None)

    def _merge_mark(
        self, record: CrashRecord, mark: CrashMark, now: float
    ) -> bool:
        """Adds a mark, or what is new in it; returns whether it is new.

        A mark that was passed on seems later by the time that this took, so
        that the earliest time is the best.
        """
        known = record.marks.get(mark.server)
        if known is None:
            if len(record.marks) >= MAX_MARKS:
                return False
            record.marks[mark.server] = mark
            self._record_change(record, now)
            return not mark.is_void
        known.at = min(known.at, mark.at)
        # The latest run that it crashed tells most.
        known.run_s = min(known.run_s, mark.run_s)
        if mark.is_void and not known.is_void:
            known.is_void = True
            self._record_change(record, now)
        return False
