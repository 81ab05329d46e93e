"""Remembers which instances lived in which window."""

from __future__ import annotations

import math
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
        self._incarnations: dict[str, int] = {}
        self._seen_at = -math.inf
        # By registered source: Unix time of its start.
        self._present: dict[int, float] = {}
        # By source that is gone: Unix times of its start and its end.
        self._gone: dict[int, tuple[float, float]] = {}
        # Sources of windows since the last change of the fleet.
        self._found: dict[int, tuple[Sources, Sources]] = {}

    def update(self, incarnations: Mapping[str, int], unix_s: float) -> None:
        """Takes the registered instances.

        In a large fleet most calls bring no change and cost little.

        Args:
            incarnations: Incarnation of each, which is the Unix time of its
                start in milliseconds.
            unix_s: The present Unix time.
        """
        oldest = unix_s - 2 * self._terms.late_s
        if incarnations != self._incarnations:
            before = self._incarnations.items()
            after = incarnations.items()
            for name, incarnation in before - after:
                source = source_id(name, incarnation)
                started = self._present.pop(source, self._seen_at)
                self._gone[source] = (started, self._seen_at)
            for name, incarnation in after - before:
                source = source_id(name, incarnation)
                started = min(unix_s, max(oldest, incarnation / 1000))
                known = self._gone.pop(source, (started, started))
                self._present[source] = known[0]
            self._incarnations = dict(incarnations)
        self._seen_at = unix_s
        self._found.clear()
        for source in [
            one for one, (_, end) in self._gone.items() if end < oldest
        ]:
            del self._gone[source]

    def expected(self, window: int) -> Sources:
        """Returns the sources that lived in a window."""
        present, gone = self._sources(window)
        return present | gone

    def awaited(self, window: int) -> Sources:
        """Returns those that are still registered."""
        return self._sources(window)[0]

    def _sources(self, window: int) -> tuple[Sources, Sources]:
        """Returns the sources that are registered, and those that are gone."""
        found = self._found.get(window)
        if found is not None:
            return found
        end = self._terms.end_of(window)
        start = end - self._terms.window_s
        present = frozenset(
            source
            for source, first in self._present.items()
            if first < end and self._seen_at >= start
        )
        gone = frozenset(
            source
            for source, (first, last) in self._gone.items()
            if first < end and last >= start
        )
        self._found[window] = (present, gone)
        return present, gone
