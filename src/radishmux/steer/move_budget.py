"""Bounds how fast requests move between regions; pure.

A sudden move meets cold caches and may overload the region that it goes to.
Operators bound the part of a region's requests that may change the region in
which they run from one window of 2 s to the next.
"""

from __future__ import annotations

# Part of the requests that may move per second, for moves of objects and for
# requests that find no room, each. The operators' bound is 15% in 2 s; both and
# the moves saved up make 13.5%, the rest is for chance.
RATE_PER_S = 0.03
# Moves saved up in a quiet time, in seconds of the rate.
_BURST_S = 0.5
# Time over which the part of requests without room is averaged.
_WANTED_S = 0.5


class MoveBudget:
    """Moves of objects to another region.

    Args:
        now: Monotonic seconds.
    """

    __slots__ = ("_at", "_tokens")

    def __init__(self, now: float) -> None:
        self._at = now
        self._tokens = 0.0

    def take(self, part: float, now: float) -> bool:
        """Takes a move, if it is allowed now.

        Args:
            part: Part of all requests that the move concerns.
            now: Monotonic seconds.
        """
        elapsed_s = max(0.0, now - self._at)
        self._at = max(self._at, now)
        limit = max(part, RATE_PER_S * _BURST_S)
        self._tokens = min(limit, self._tokens + RATE_PER_S * elapsed_s)
        if self._tokens < part:
            return False
        self._tokens -= part
        return True


class SpillGate:
    """Requests that run elsewhere because their region is short of room.

    The allowed part follows the wanted one at a bounded rate, both ways.

    Args:
        now: Monotonic seconds.
    """

    __slots__ = ("_allowed", "_at", "_credit", "_wanted")

    def __init__(self, now: float) -> None:
        self._at = now
        self._allowed = 0.0
        self._wanted = 0.0
        self._credit = 0.0

    @property
    def allowed(self) -> float:
        """Part of the requests that may run elsewhere."""
        return self._allowed

    def allow(self, wanted: bool, now: float) -> bool:
        """Counts a request and returns whether it runs elsewhere.

        Args:
            wanted: Whether another region is expected to serve it sooner.
            now: Monotonic seconds.
        """
        elapsed_s = min(_WANTED_S, max(0.0, now - self._at))
        self._at = max(self._at, now)
        self._wanted += (elapsed_s / _WANTED_S) * (wanted - self._wanted)
        step = RATE_PER_S * elapsed_s
        gap = self._wanted - self._allowed
        self._allowed += max(-step, min(step, gap))
        self._credit = min(2.0, self._credit + self._allowed)
        if self._credit < 1.0 or not wanted:
            return False
        self._credit -= 1.0
        return True
