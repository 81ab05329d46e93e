"""Remembers which instances lived in which window."""

from __future__ import annotations

from collections.abc import Mapping

from radishmux.duties.usage_collector import Sources, source_id
from radishmux.duties.windows import WindowTerms


class ExpectedSources:
    """The processes whose counts belong to a window.

    Args:
        terms: Times of the windows.
    """

    def __init__(self, terms: WindowTerms) -> None:
        self._terms = terms
        # By source: Unix time of its start and of when it was last registered.
        self._lives: dict[int, tuple[float, float]] = {}
        self._ids: dict[tuple[str, int], int] = {}
        self._present: Sources = frozenset()

    def update(self, incarnations: Mapping[str, int], unix_s: float) -> None:
        """Takes the registered instances.

        Args:
            incarnations: Incarnation of each, which is the Unix time of its
                start in milliseconds.
            unix_s: The present Unix time.
        """
        ids: dict[tuple[str, int], int] = {}
        oldest = unix_s - 2 * self._terms.late_s
        for key in incarnations.items():
            source = self._ids.get(key) or source_id(*key)
            ids[key] = source
            known = self._lives.get(source)
            started = min(unix_s, max(oldest, key[1] / 1000))
            self._lives[source] = (known[0] if known else started, unix_s)
        self._ids = ids
        self._present = frozenset(ids.values())
        for source in [
            one for one, (_, last) in self._lives.items() if last < oldest
        ]:
            del self._lives[source]

    def expected(self, window: int) -> Sources:
        """Returns the sources that lived in a window."""
        end = self._terms.end_of(window)
        start = end - self._terms.window_s
        return frozenset(
            source
            for source, (first, last) in self._lives.items()
            if first < end and last >= start
        )

    def awaited(self, window: int) -> Sources:
        """Returns those that are still registered."""
        return self.expected(window) & self._present
