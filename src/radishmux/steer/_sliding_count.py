"""Counts of events in a sliding window; no I/O."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Hashable

# Parts of a window. The oldest part is dropped as a whole.
_PARTS = 10
# Parts are looked at this long before the oldest one expires, which is above
# the rounding error of the sum of a time and the window.
_ROUNDING_S = 1e-6


class SlidingCount:
    """Counts events by kind over the latest seconds.

    Args:
        window_s: Length of the window in seconds.
    """

    __slots__ = (
        "_counts",
        "_newest",
        "_parts",
        "_step_s",
        "_unchanged_until",
        "_window_s",
    )

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._step_s = window_s / _PARTS
        self._counts: Counter[Hashable] = Counter()
        # Start and counts of each part, the oldest first.
        self._parts: deque[tuple[float, Counter[Hashable]]] = deque()
        # Counts of the latest part, and the time until which no part expires
        # and no further one begins.
        self._newest: Counter[Hashable] = Counter()
        self._unchanged_until = -math.inf

    def add(self, kind: Hashable, now: float) -> None:
        """Counts one event."""
        if now >= self._unchanged_until:
            self._begin_part(now)
        self._newest[kind] += 1
        self._counts[kind] += 1

    def counts(self, now: float) -> Counter[Hashable]:
        """Returns the events in the window by kind; not to be changed."""
        if self._parts and now >= self._unchanged_until:
            self._expire(now)
        return self._counts

    def covered_s(self, now: float) -> float:
        """Returns how many seconds the counts cover, up to the window."""
        return (
            min(self._window_s, now - self._parts[0][0]) if self._parts else 0
        )

    def _begin_part(self, now: float) -> None:
        """Drops the parts that have expired and begins one if it is due."""
        self._expire(now)
        parts = self._parts
        if not parts or now >= parts[-1][0] + self._step_s:
            self._newest = Counter()
            parts.append((now, self._newest))
        self._unchanged_until = min(
            parts[-1][0] + self._step_s,
            parts[0][0] + self._window_s - _ROUNDING_S,
        )

    def _expire(self, now: float) -> None:
        while self._parts and self._parts[0][0] <= now - self._window_s:
            self._counts -= self._parts.popleft()[1]
