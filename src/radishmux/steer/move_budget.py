"""Limits how fast requests move between regions; no I/O.

Requests that move suddenly find cold caches and may overload their new region.
Operators limit the share of a region's requests that may run in another region
in one window of 2 s than in the previous window.
"""

from __future__ import annotations

# Share of the requests that may move per second. The limit applies separately
# to moves of objects and to spillover. The operators' limit is 15% in 2 s; both
# together with the burst make 13.5%, which leaves a margin for random
# variation.
MOVE_RATE_PER_S = 0.03
# Burst of moves, in seconds of the rate.
_BURST_S = 0.5
# Time constant of the average share of requests that should spill over.
_AVERAGING_S = 0.5


class MoveBudget:
    """Token bucket for moves of objects to another region.

    Args:
        now: Monotonic seconds.
    """

    __slots__ = ("_updated_at", "_tokens")

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._tokens = 0.0

    def try_acquire(self, share: float, now: float) -> bool:
        """Consumes tokens for a move; returns False if too few are left.

        Args:
            share: Share of all requests that the move affects.
            now: Monotonic seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        limit = max(share, MOVE_RATE_PER_S * _BURST_S)
        self._tokens = min(limit, self._tokens + MOVE_RATE_PER_S * elapsed_s)
        if self._tokens < share:
            return False
        self._tokens -= share
        return True


class SpilloverLimiter:
    """Limits requests that run in another region for lack of capacity.

    The allowed share of requests rises and falls towards the wanted share at a
    limited rate.

    Args:
        now: Monotonic seconds.
    """

    __slots__ = ("_allowed", "_updated_at", "_credit", "_mean_wanted")

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._allowed = 0.0
        self._mean_wanted = 0.0
        self._credit = 0.0

    @property
    def allowed(self) -> float:
        """Share of the requests that may run in another region."""
        return self._allowed

    def allow(self, wanted: bool, now: float) -> bool:
        """Counts a request; returns whether it may run in another region.

        Args:
            wanted: Whether another region is expected to respond sooner.
            now: Monotonic seconds.
        """
        elapsed_s = min(_AVERAGING_S, max(0.0, now - self._updated_at))
        self._updated_at = max(self._updated_at, now)
        self._mean_wanted += (elapsed_s / _AVERAGING_S) * (
            wanted - self._mean_wanted
        )
        step = MOVE_RATE_PER_S * elapsed_s
        gap = self._mean_wanted - self._allowed
        self._allowed += max(-step, min(step, gap))
        self._credit = min(2.0, self._credit + self._allowed)
        if self._credit < 1.0 or not wanted:
            return False
        self._credit -= 1.0
        return True
