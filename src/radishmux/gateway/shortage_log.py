"""Log lines and metrics of services that lack capacity."""

from __future__ import annotations

from collections import Counter

from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

# Shortest time between two lines on the refusals of a service.
LINE_PERIOD_S = 5.0


class ShortageLog:
    """Logs when a shortage begins and ends, and what was refused meanwhile.

    Args:
        metrics: Counts the refusals by service, class and reason.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Time of the latest line of each service that is short.
        self._short: dict[str, float] = {}
        self._refused: dict[str, Counter[str]] = {}

    def count_refusal(self, service: str, priority: int, reason: str) -> None:
        """Counts a request that is refused for lack of room.

        Args:
            service: Its service.
            priority: Its priority class.
            reason: Why it was refused, one word.
        """
        self._metrics.count(
            "gateway_no_room_total",
            service=service,
            priority=priority,
            reason=reason,
        )
        refused = self._refused.setdefault(service, Counter())
        refused[f"class {priority} {reason}"] += 1

    def record(
        self, service: str, is_short: bool, waiting: int, now: float
    ) -> None:
        """Logs a change, and the refusals of a long shortage from time to time.

        Args:
            service: Name of the service.
            is_short: Whether it lacks capacity.
            waiting: Requests that wait for it.
            now: Monotonic seconds.
        """
        logged_at = self._short.get(service)
        if not is_short and logged_at is None:
            return
        if is_short:
            if logged_at is not None and now < logged_at + LINE_PERIOD_S:
                return
            self._short[service] = now
        else:
            del self._short[service]
        state_change(
            f"service {service}",
            "short of capacity" if is_short else "sufficient again",
            waiting=waiting,
            refused=dict(self._refused.pop(service, {})),
        )
