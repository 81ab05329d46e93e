"""One line for each decision that ends a request."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from radishmux.gateway.call import Call
from radishmux.gateway.journey import Journey
from radishmux.telemetry.log_stream import BoundedLogStream
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """Writes structured lines about requests, and counts them.

    Args:
        stream: Takes the lines.
        instance: Recorded with each line.
        config_version: Returns the version of the configuration in force.
        metrics: Takes counters and latencies.
    """

    def __init__(
        self,
        stream: BoundedLogStream,
        instance: str,
        config_version: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._stream = stream
        self._instance = instance
        self._config_version = config_version
        self._metrics = metrics

    def answered(self, journey: Journey, status: int, now: float) -> None:
        """Records an answer of a backend server."""
        self._count(journey.call, journey, "answered", status, now)
        self._write(journey.call, journey, f"answered {status}", "", now)

    def refused(
        self,
        call: Call | None,
        journey: Journey | None,
        refusal: Refusal,
        now: float,
    ) -> None:
        """Records an answer of the system itself."""
        self._count(call, journey, refusal.reason, refusal.status, now)
        outcome = f"{refusal.reason} {refusal.status}"
        self._write(call, journey, outcome, refusal.message, now)

    def _count(
        self,
        call: Call | None,
        journey: Journey | None,
        outcome: str,
        status: int,
        now: float,
    ) -> None:
        route = journey.route.name if journey is not None else ""
        self._metrics.count(
            "gateway_requests_total",
            route=route,
            outcome=outcome,
            status=status,
        )
        if call is not None:
            took_s = now - call.received_at
            self._metrics.observe(
                "gateway_request_seconds", took_s, route=route
            )

    def _write(
        self,
        call: Call | None,
        journey: Journey | None,
        outcome: str,
        detail: str,
        now: float,
    ) -> None:
        line: dict[str, Any] = {
            "time": round(time.time(), 3),
            "instance": self._instance,
            "event": "request",
            "outcome": outcome,
            "config_version": self._config_version(),
        }
        if call is not None:
            line["request"] = call.request_id
            line["ms"] = round((now - call.received_at) * 1000)
        if journey is not None:
            line["route"] = journey.route.name
            line["service"] = journey.service
            if journey.customer is not None:
                line["customer"] = journey.customer.name
            line["attempts"] = [
                {
                    "server": choice.server.name,
                    "expected_ms": round(choice.expected_s * 1000),
                    "work_ms": round(choice.work_s * 1000),
                    "warm": choice.known_warm,
                    "home": choice.is_home,
                    "load": round(choice.load, 1),
                }
                for choice in journey.choices
            ]
            if journey.reason:
                line["last_failure"] = journey.reason
        if detail:
            line["detail"] = detail
        self._stream.write_bytes(_encoder.encode(line) + b"\n")
