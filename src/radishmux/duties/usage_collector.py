"""Sums the counts of all instances; each source counts once."""

from __future__ import annotations

import xxhash

Sources = frozenset[int]


def source_id(instance: str, incarnation: int) -> int:
    """Returns a number that stands for one process of an instance."""
    return xxhash.xxh3_64_intdigest(f"{instance}/{incarnation}".encode())


class _WindowSum:
    __slots__ = ("counts", "sources")

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.sources: set[int] = set()


class UsageCollector:
    """Counts of the windows that the holder has not stored yet."""

    def __init__(self) -> None:
        self._sums: dict[int, _WindowSum] = {}
        self._closed: set[int] = set()

    @property
    def windows(self) -> list[int]:
        """Windows with counts that are not closed, the earliest first."""
        return sorted(self._sums.keys() - self._closed)

    def add(
        self, window: int, sources: Sources, counts: dict[str, int]
    ) -> Sources:
        """Adds the sum of some sources, unless it has one of them already.

        Returns:
            The sources that it has already; nothing is added unless empty. A
            closed window has all sources, since nothing can be added.
        """
        if window in self._closed:
            return sources
        total = self._sums.setdefault(window, _WindowSum())
        known = frozenset(sources & total.sources)
        if known:
            return known
        total.sources |= sources
        for customer, count in counts.items():
            total.counts[customer] = total.counts.get(customer, 0) + count
        return frozenset()

    def sources(self, window: int) -> Sources:
        """Returns the sources that a window's sum contains."""
        total = self._sums.get(window)
        return frozenset(total.sources) if total else frozenset()

    def close(self, window: int) -> dict[str, int]:
        """Returns the sum of a window, which no longer changes."""
        self._closed.add(window)
        total = self._sums.get(window)
        return dict(total.counts) if total else {}

    def forget_before(self, window: int) -> None:
        """Drops the windows before one."""
        self._closed = {one for one in self._closed if one >= window}
        for old in [one for one in self._sums if one < window]:
            del self._sums[old]
