"""Sums the counts of a region's members into one message to the holder."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.duties.usage_collector import Sources

Counts = dict[str, int]


class WindowUsage:
    """The sum of some sources in one window.

    Attributes:
        window: The window.
        counts: Requests by customer.
        sources: The processes that the sum contains.
    """

    __slots__ = ("counts", "sources", "window")

    def __init__(self, window: int, counts: Counts, sources: Sources) -> None:
        self.window = window
        self.counts = counts
        self.sources = sources


class HubBatch:
    """Counts that members have sent to a hub, by window and source."""

    def __init__(self) -> None:
        self._parts: dict[int, dict[int, Counts]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether the holder has acknowledged everything."""
        return not self._parts

    def add(self, source: int, usages: Iterable[WindowUsage]) -> None:
        """Adds what a member has sent; the same counts again do not matter."""
        for usage in usages:
            parts = self._parts.setdefault(usage.window, {})
            parts[source] = usage.counts

    def sums(self) -> list[WindowUsage]:
        """Returns what the holder has not acknowledged yet."""
        sums = []
        for window, parts in sorted(self._parts.items()):
            total: Counts = {}
            for counts in parts.values():
                for customer, count in counts.items():
                    total[customer] = total.get(customer, 0) + count
            sums.append(WindowUsage(window, total, frozenset(parts)))
        return sums

    def on_receipt(self, known: dict[int, Sources]) -> None:
        """Takes the holder's answer.

        Args:
            known: For each window whose sum it has not added, the sources that
                it has already. The sum of the others must be sent again.
        """
        for window, parts in list(self._parts.items()):
            rest = {
                source: counts
                for source, counts in parts.items()
                if source not in known.get(window, parts)
            }
            if rest:
                self._parts[window] = rest
            else:
                del self._parts[window]
