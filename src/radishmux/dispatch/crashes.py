"""Marks of requests that broke a backend server.

Pure: the caller passes the time, probes the servers and tells the peers.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

import xxhash

from radishmux.dispatch.exchange import Exchange

MAX_MARKS = 2
# A mark that nothing settles ends after this time; two marks last longer,
# since each expiry may cost two more servers.
ONE_MARK_S = 600.0
TWO_MARKS_S = 3600.0
MAX_RECORDS = 10_000


def request_digest(exchange: Exchange) -> str:
    """Returns the digest of customer, service, method, path and content.

    Of a streamed body only the length and the part in memory count.
    """
    digest = xxhash.xxh3_128()
    for text in (
        exchange.customer,
        exchange.service,
        exchange.method,
        exchange.target,
        str(exchange.body.length),
    ):
        digest.update(text.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(exchange.body.prefix)
    return digest.hexdigest()


class CrashDecision(enum.Enum):
    """How a request may run."""

    UNMARKED = "free"
    EXCLUSIVE = "alone"
    IN_PROGRESS = "busy"
    OTHER_CELL = "elsewhere"
    REFUSED = "refused"


class _Record:
    __slots__ = ("cell", "is_running", "marked_at", "servers")

    def __init__(self, cell: str) -> None:
        self.cell = cell
        self.servers: set[str] = set()
        self.marked_at = 0.0
        self.is_running = False


class CrashMarks:
    """Crash marks by request digest."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._records)

    def mark(self, digest: str, server: str, cell: str, now: float) -> bool:
        """Marks a request; the cell of its first mark alone may run it.

        Args:
            digest: From `request_digest`.
            server: Backend server that broke.
            cell: Cell of that server.
            now: Monotonic time.

        Returns:
            Whether the mark is new.
        """
        record = self._records.get(digest)
        if record is None:
            while len(self._records) >= MAX_RECORDS:
                self._records.popitem(last=False)
            record = self._records[digest] = _Record(cell)
        is_new = server not in record.servers
        record.servers.add(server)
        record.marked_at = now
        return is_new

    def decide(self, digest: str, cell: str, now: float) -> CrashDecision:
        """Returns how a request may run in a cell now."""
        record = self._records.get(digest)
        if record is None:
            return CrashDecision.UNMARKED
        is_refused = len(record.servers) >= MAX_MARKS
        life_s = TWO_MARKS_S if is_refused else ONE_MARK_S
        if now - record.marked_at >= life_s:
            del self._records[digest]
            return CrashDecision.UNMARKED
        if is_refused:
            return CrashDecision.REFUSED
        if record.cell != cell:
            return CrashDecision.OTHER_CELL
        return (
            CrashDecision.IN_PROGRESS
            if record.is_running
            else CrashDecision.EXCLUSIVE
        )

    def begin_exclusive_run(self, digest: str) -> None:
        """Notes that a marked request runs alone."""
        record = self._records.get(digest)
        if record is not None:
            record.is_running = True

    def end_exclusive_run(self, digest: str, is_harmless: bool) -> bool:
        """Notes the end of a run alone.

        Args:
            digest: From `request_digest`.
            is_harmless: Whether the server answered, so that the request is
                innocent.

        Returns:
            Whether a mark was taken away.
        """
        record = self._records.get(digest)
        if record is None:
            return False
        record.is_running = False
        if not is_harmless or len(record.servers) >= MAX_MARKS:
            return False
        del self._records[digest]
        return True

    def clear(self, digest: str) -> None:
        """Takes a peer's word that a request was settled as innocent."""
        record = self._records.get(digest)
        if record is not None and len(record.servers) < MAX_MARKS:
            del self._records[digest]
