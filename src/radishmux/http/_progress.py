"""Measures how fast a connection receives."""

from __future__ import annotations

import math

_WINDOW_S = 1.0
# A request is not measured over less than this.
_MIN_SPAN_S = 0.1


class Progress:
    """Counts the bytes of the current and the previous window."""

    __slots__ = ("_bytes", "_previous_bytes", "_started_at", "_window_at")

    def __init__(self) -> None:
        self._bytes = self._previous_bytes = 0
        self._started_at = self._window_at = -math.inf

    def start(self, now: float, size: int = 0) -> None:
        """Begins with a new request of which some bytes were received."""
        self._started_at = self._window_at = now
        self._bytes = size
        self._previous_bytes = 0

    def add(self, size: int, now: float) -> None:
        """Adds received bytes."""
        self._roll(now)
        self._bytes += size

    def rate(self, now: float) -> float:
        """Returns bytes/s over up to two windows."""
        self._roll(now)
        span_s = min(
            now - self._window_at + _WINDOW_S,
            max(now - self._started_at, _MIN_SPAN_S),
        )
        return (self._bytes + self._previous_bytes) / span_s

    def _roll(self, now: float) -> None:
        age_s = now - self._window_at
        if age_s < _WINDOW_S:
            return
        self._previous_bytes = self._bytes if age_s < 2 * _WINDOW_S else 0
        self._bytes = 0
        self._window_at = now
