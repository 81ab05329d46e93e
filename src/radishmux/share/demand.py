"""Estimate of a customer's recent demand at one instance."""

from __future__ import annotations

import math

# Long enough to smooth the gaps between requests, short enough to follow
# callers that move between instances within a few seconds.
WINDOW_S = 2.0


class DemandMeter:
    """Exponentially decaying average of the requests per second."""

    __slots__ = ("_count", "_updated_at")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_at = now

    def record(self, now: float, requests: int = 1) -> None:
        """Counts requests that arrived at `now`."""
        self._decay(now)
        self._count += requests

    def add_rate(self, rate_per_s: float, now: float) -> None:
        """Adds the rate that another meter has estimated."""
        self._decay(now)
        self._count += rate_per_s * WINDOW_S

    def rate_per_s(self, now: float) -> float:
        """Returns the estimated requests per second."""
        self._decay(now)
        return self._count / WINDOW_S

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / WINDOW_S)
            self._updated_at = now
