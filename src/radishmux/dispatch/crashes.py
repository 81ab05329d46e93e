"""Crash marks: records of requests during which a backend server crashed.

Does no I/O and reads no clock; callers pass the time, check the servers and
notify the peers.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

# Servers that one request may crash before it is refused.
MAX_MARKS = 2
# Lifetime of a mark that no exclusive run clears. Two marks last longer, since
# each expiry allows the request to crash two more servers.
ONE_MARK_S = 600.0
TWO_MARKS_S = 3600.0
MAX_RECORDS = 10_000


class CrashDecision(enum.Enum):
    """How a request may be dispatched, given its crash marks.

    Attributes:
        UNMARKED: Has no mark and is dispatched as usual.
        EXCLUSIVE: Has one mark and needs a server without other requests.
        IN_PROGRESS: Is refused for now, since an equal request is running
            exclusively.
        OTHER_CELL: Is refused here, since only the cell of its first mark may
            run it.
        REFUSED: Has crashed the maximum number of servers.
    """

    UNMARKED = "free"
    EXCLUSIVE = "alone"
    IN_PROGRESS = "busy"
    OTHER_CELL = "elsewhere"
    REFUSED = "refused"


class _Record:
    """Marks of the requests with one digest."""

    __slots__ = ("cell", "is_running", "marked_at", "servers")

    def __init__(self, cell: str) -> None:
        self.cell = cell
        self.servers: set[str] = set()
        self.marked_at = 0.0
        self.is_running = False


class CrashMarks:
    """Crash marks of requests, by digest.

    Holds at most `MAX_RECORDS` digests and evicts the oldest one.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._records)

    def mark(self, digest: str, server: str, cell: str, now: float) -> bool:
        """Adds a mark to a request.

        From then on only the cell of its first mark may run the request.

        Args:
            digest: From `request_digest`.
            server: Backend server that crashed.
            cell: Cell of that server.
            now: Monotonic time.

        Returns:
            Whether the request had no mark for this server before.
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
        """Decides how a request may be dispatched in a cell.

        Discards its marks if they have expired.

        Args:
            digest: From `request_digest`.
            cell: Cell that is to run the request.
            now: Monotonic time.
        """
        record = self._records.get(digest)
        if record is None:
            return CrashDecision.UNMARKED
        is_at_limit = len(record.servers) >= MAX_MARKS
        lifetime_s = TWO_MARKS_S if is_at_limit else ONE_MARK_S
        if now - record.marked_at >= lifetime_s:
            del self._records[digest]
            return CrashDecision.UNMARKED
        if is_at_limit:
            return CrashDecision.REFUSED
        if record.cell != cell:
            return CrashDecision.OTHER_CELL
        return (
            CrashDecision.IN_PROGRESS
            if record.is_running
            else CrashDecision.EXCLUSIVE
        )

    def begin_exclusive_run(self, digest: str) -> None:
        """Records the start of a marked request's exclusive run."""
        record = self._records.get(digest)
        if record is not None:
            record.is_running = True

    def end_exclusive_run(self, digest: str, is_harmless: bool) -> bool:
        """Records the end of a marked request's exclusive run.

        A harmless run clears the mark.

        Args:
            digest: From `request_digest`.
            is_harmless: Whether the attempt ended without a crash of the
                server.

        Returns:
            Whether a mark was cleared.
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
        """Clears a mark after a peer reported a harmless run.

        Requests with the maximum number of marks keep them.
        """
        record = self._records.get(digest)
        if record is not None and len(record.servers) < MAX_MARKS:
            del self._records[digest]
