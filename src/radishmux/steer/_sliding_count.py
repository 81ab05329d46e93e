"""Counts of events in a sliding window; no I/O."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable

# Parts of a window. The oldest part is dropped as a whole.
_PARTS = 10


class SlidingCount:
    """Counts events by kind over the latest seconds.

    Args:
        window_s: Length of the window in seconds.
    """

    __slots__ = ("_counts", "_parts", "_step_s", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._step_s = window_s / _PARTS
        self._counts: Counter[Hashable] = Counter()
        # Start and counts of each part, the oldest first.
        self._parts: deque[tuple[float, Counter[Hashable]]] = deque()

    def add(self, kind: Hashable, now: float) -> None:
        """Counts one event."""
        self._expire(now)
        if not self._parts or now >= self._parts[-1][0] + self._step_s:
            self._parts.append((now, Counter()))
        self._parts[-1][1][kind] += 1
        self._counts[kind] += 1

    def counts(self, now: float) -> Counter[Hashable]:
        """Returns the events in the window by kind; not to be changed."""
        self._expire(now)
        return self._counts

    def covered_s(self, now: float) -> float:
        """Returns how many seconds the counts cover, up to the window."""
        return (
            min(self._window_s, now - self._parts[0][0]) if self._parts else 0
        )

    def _expire(self, now: float) -> None:
        while self._parts and self._parts[0][0] <= now - self._window_s:
            self._counts -= self._parts.popleft()[1]
