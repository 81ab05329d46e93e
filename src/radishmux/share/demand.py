"""Estimate of a customer's recent demand at one instance."""

from __future__ import annotations

import math

# Long enough to smooth the gaps between requests, short enough to follow
# callers that move between instances within a few seconds.
WINDOW_S = 2.0


class DemandMeter:
    """Requests per second, weighted exponentially over the last seconds."""

    __slots__ = ("_at", "_count")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._at = now

    def record(self, now: float, requests: int = 1) -> None:
        """Counts requests."""
        self._decay(now)
        self._count += requests

    def add(self, rate_per_s: float, now: float) -> None:
        """Adds the estimate of another meter."""
        self._decay(now)
        self._count += rate_per_s * WINDOW_S

    def rate_per_s(self, now: float) -> float:
        """Returns the estimate."""
        self._decay(now)
        return self._count / WINDOW_S

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._count *= math.exp((self._at - now) / WINDOW_S)
            self._at = now
