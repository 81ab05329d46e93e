"""Newest known loads of the backend servers, shared by a region; no I/O.

A member reports what responses told it. A hub merges the reports of its
members and answers with the newest row of each server. Hubs of other regions
get what the members of the own region have learned.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

from radishmux.steer.load_rows import (
    MAX_BODY_BYTES,
    MAX_ROW_AGE_S,
    LoadRow,
    add_header,
    decode_body,
    encode_rows,
    server_hash,
)

# Bytes a second that an instance may spend on rows in all of its reports: half
# of what control traffic may cost a node.
ROW_BYTES_PER_S = 8_192
# Encodings of the rows for one audience in a report period. One encoding serves
# all that ask within that part of the period, since processor time at a hub is
# scarce.
ENCODINGS_PER_PERIOD = 4
# Age of the rows that are sent, in report periods. Each row is in at least two
# reports, so that one of them may be lost.
_ROW_PERIODS = 2.4
# Rows of servers of other regions are passed on to members while an instance
# of the own region has used the server within this time.
USED_S = 10.0
# Two rows of the same load whose ages differ by less are the same response: the
# age lacks the time on the way, up to 55 ms between regions.
_SAME_RESPONSE_S = 0.1


class Source(enum.IntEnum):
    """Where a row was learned; the lower the nearer."""

    OWN = 0
    REGION = 1
    OTHER_REGION = 2


class _Known:
    """The newest row of a server, with its source."""

    __slots__ = ("row", "source")

    def __init__(self, row: LoadRow, source: Source) -> None:
        self.row = row
        self.source = source


class _Encoding:
    """Encoded rows for one audience."""

    __slots__ = ("at", "rows")

    def __init__(self, rows: bytes, at: float) -> None:
        self.rows = rows
        self.at = at


class SharedLoads:
    """Merges rows and encodes them for other instances.

    Args:
        apply: Called with the name of a server and each row of it that is
            newer than the known one.
    """

    def __init__(self, apply: Callable[[str, LoadRow], None]) -> None:
        self._apply = apply
        # Name of each server by its hash. Servers whose hashes are equal are
        # left out.
        self._names: dict[int, str] = {}
        self._hashes: dict[str, int] = {}
        self._own_region: frozenset[str] = frozenset()
        # The newest load and the newest rejection of each server.
        self._known: dict[tuple[int, bool], _Known] = {}
        self._used_at: dict[int, float] = {}
        self._encodings: dict[Source, _Encoding] = {}
        self._sent_at = 0.0
        self._reports_per_s = 0.0

    def set_servers(self, names: Iterable[str], own_region: set[str]) -> None:
        """Sets the servers whose rows are used.

        Args:
            names: Names of all servers.
            own_region: Names of those in the region of this instance.
        """
        self._own_region = frozenset(own_region)
        self._names = {}
        ambiguous = set()
        for name in names:
            key = server_hash(name)
            if key in self._names:
                ambiguous.add(key)
            self._names[key] = name
        for key in ambiguous:
            del self._names[key]
        self._hashes = {name: key for key, name in self._names.items()}
        for known in list(self._known):
            if known[0] not in self._names:
                del self._known[known]
        for key in self._used_at.keys() - self._names.keys():
            del self._used_at[key]

    def record_response(
        self,
        name: str,
        load: int,
        slots: int,
        is_rejection: bool,
        now: float,
    ) -> None:
        """Records the load that a server told this instance.

        Args:
            name: Name of the server.
            load: Requests running and waiting there.
            slots: Requests that it can run concurrently.
            is_rejection: Whether it rejected a request for lack of room.
            now: Monotonic seconds.
        """
        key = self._hashes.get(name)
        if key is None:
            return
        row = LoadRow(key, load, slots, now, is_rejection)
        if row.is_plausible:
            self._used_at[key] = now
            self._known[(key, is_rejection)] = _Known(row, Source.OWN)

    def merge(self, body: bytes, source: Source, now: float) -> int:
        """Merges the rows of a report.

        Args:
            body: The rows, from another instance.
            source: Whether the instance is one of the own region.
            now: Monotonic seconds.

        Returns:
            The number of rows that were newer than the known ones.
        """
        merged = 0
        for row in decode_body(body, now):
            name = self._names.get(row.server)
            if name is None:
                continue
            if source is Source.REGION:
                self._used_at[row.server] = max(
                    row.at, self._used_at.get(row.server, row.at)
                )
            key = (row.server, row.is_rejection)
            known = self._known.get(key)
            if known is not None and not _is_newer(row, known.row):
                continue
            self._known[key] = _Known(row, source)
            self._apply(name, row)
            merged += 1
        return merged

    def body_for(
        self, farthest: Source, period_s: float, now: float
    ) -> bytes | None:
        """Returns the rows for a report; None if there are none.

        Rows of remote servers that nobody in the region uses are left out.

        Args:
            farthest: Sources whose rows are sent: this one and nearer ones.
            period_s: Time between two reports to an instance.
            now: Monotonic seconds.
        """
        self._count_report(now)
        encoding = self._encodings.get(farthest)
        if (
            encoding is None
            or now - encoding.at >= period_s / ENCODINGS_PER_PERIOD
        ):
            rows = self._rows_for(farthest, period_s, now)
            max_bytes = min(
                MAX_BODY_BYTES,
                int(ROW_BYTES_PER_S / max(1.0, self._reports_per_s)),
            )
            encoding = _Encoding(encode_rows(rows, max_bytes, now), now)
            self._encodings[farthest] = encoding
        if not encoding.rows:
            return None
        return add_header(encoding.rows, now - encoding.at)

    def known_count(self, now: float) -> int:
        """Returns the number of servers whose load is known."""
        return len(
            {
                server
                for (server, _), known in self._known.items()
                if now - known.row.at <= MAX_ROW_AGE_S
            }
        )

    def _count_report(self, now: float) -> None:
        """Estimates the reports a second, over about the latest second."""
        gap_s = max(0.0, now - self._sent_at)
        self._reports_per_s *= max(0.0, 1.0 - gap_s)
        self._reports_per_s += 1.0
        self._sent_at = now

    def _rows_for(
        self, farthest: Source, period_s: float, now: float
    ) -> list[LoadRow]:
        """Returns the rows to send, rejections and full servers first."""
        max_age_s = min(MAX_ROW_AGE_S, _ROW_PERIODS * period_s)
        rows = [
            known.row
            for known in self._known.values()
            if known.source <= farthest
            and now - known.row.at <= max_age_s
            and self._is_used(known.row.server, now)
        ]
        rows.sort(
            key=lambda row: (
                not row.is_rejection,
                -row.load / row.slots,
                -row.at,
            )
        )
        return rows

    def _is_used(self, key: int, now: float) -> bool:
        if self._names.get(key) in self._own_region:
            return True
        used_at = self._used_at.get(key)
        return used_at is not None and now - used_at <= USED_S


def _is_newer(row: LoadRow, known: LoadRow) -> bool:
    if row.load == known.load and row.slots == known.slots:
        return row.at > known.at + _SAME_RESPONSE_S
    return row.at > known.at
