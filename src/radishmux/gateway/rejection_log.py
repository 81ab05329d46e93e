"""Log lines of requests and connections that a listener has rejected."""

from __future__ import annotations

from radishmux.clock import Clock
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

# Shortest time between two lines of the same reason.
_PERIOD_S = 1.0


class RejectionLog:
    """Counts rejections, and logs each reason at most once per second.

    Args:
        clock: Monotonic time.
        metrics: Counts the rejections.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._logged_at: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, reason: str) -> None:
        """Records one rejection."""
        self._metrics.count("gateway_unreadable_total", reason=reason)
        now = self._clock.now()
        count = self._unlogged.get(reason, 0) + 1
        if now - self._logged_at.get(reason, -_PERIOD_S) < _PERIOD_S:
            self._unlogged[reason] = count
            return
        self._logged_at[reason] = now
        self._unlogged[reason] = 0
        state_change(
            "request", "unreadable", "WARNING", reason=reason, count=count
        )
