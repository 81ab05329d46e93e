"""Logs one line for each request that has ended."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from radishmux.gateway.call import Call
from radishmux.gateway.request_state import RequestState
from radishmux.telemetry.log_stream import BoundedLogStream
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal

# Value of the label `status` of requests that were not answered.
_NO_ANSWER = 0

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """Logs and counts the requests that have ended.

    Args:
        stream: Receives the lines, one JSON object each.
        instance: Name of this instance, a field of each line.
        config_version: Returns the version of the configuration in force.
        metrics: Receives the counts and durations of requests.
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

    def record_answer(
        self, state: RequestState, status: int, now: float
    ) -> None:
        """Records a request that a backend server answered."""
        self._count(state.call, state, "answered", status, now)
        self._write(state.call, state, f"answered {status}", "", now)

    def record_refusal(
        self,
        call: Call | None,
        state: RequestState | None,
        refusal: Refusal,
        now: float,
    ) -> None:
        """Records a request that the gateway itself answered."""
        self._count(call, state, refusal.reason, refusal.status, now)
        outcome = f"{refusal.reason} {refusal.status}"
        self._write(call, state, outcome, refusal.message, now)

    def record_cancellation(
        self,
        call: Call,
        state: RequestState | None,
        reason: str,
        now: float,
    ) -> None:
        """Records a request that ended without an answer.

        Args:
            call: The request.
            state: Its state; None if it had not been admitted.
            reason: Why it ended, such as `caller_left`.
            now: Monotonic seconds.
        """
        self._count(call, state, reason, _NO_ANSWER, now)
        detail = "not admitted"
        if state is not None:
            in_flight = len(state.tried_servers) - state.ended_attempts
            detail = f"{in_flight} attempts in flight"
        self._write(call, state, reason, detail, now)

    def record_hedge(self, state: RequestState, is_early: bool) -> None:
        """Counts a second attempt at a request beside the first one.

        Args:
            state: The request.
            is_early: Whether the durations of the route showed that the first
                attempt takes long, before the usual delay passed.
        """
        self._metrics.count(
            "gateway_hedges_total",
            service=state.service,
            kind="early" if is_early else "usual",
        )

    def record_relayed(
        self, state: RequestState, peer: str, result: str, now: float
    ) -> None:
        """Records an attempt at a server that was made for a peer.

        Args:
            state: The request.
            peer: Instance that has passed the request on.
            result: Status of the server, or why there is none.
            now: Monotonic seconds.
        """
        self._metrics.count("gateway_relayed_total", outcome=result)
        self._write(state.call, state, "relayed", f"{result} for {peer}", now)

    def _count(
        self,
        call: Call | None,
        state: RequestState | None,
        outcome: str,
        status: int,
        now: float,
    ) -> None:
        route = state.route.name if state is not None else ""
        self._metrics.count(
            "gateway_requests_total",
            route=route,
            outcome=outcome,
            status=status,
        )
        if call is not None:
            duration_s = now - call.received_at
            self._metrics.observe(
                "gateway_request_seconds", duration_s, route=route
            )

    def _write(
        self,
        call: Call | None,
        state: RequestState | None,
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
        if state is not None:
            line["route"] = state.route.name
            line["service"] = state.service
            line["priority"] = state.priority
            if state.refused_for:
                line["no_room"] = state.refused_for
            if state.customer is not None:
                line["customer"] = state.customer.name
            line["attempts"] = [
                {
                    "server": choice.server.name,
                    "expected_ms": round(choice.expected_s * 1000),
                    "work_ms": round(choice.work_s * 1000),
                    "warm": choice.known_warm,
                    "home": choice.is_home,
                    "load": round(choice.load, 1),
                }
                | ({"pace": round(choice.pace, 2)} if choice.pace != 1 else {})
                for choice in state.choices
            ]
            if state.broken_servers:
                line["broken"] = state.broken_servers
            if state.broken_servers or state.is_withheld:
                line["digest"] = state.digest
            if state.relayed_via:
                line["relayed_via"] = state.relayed_via
            if state.failure_reason:
                line["last_failure"] = state.failure_reason
        if detail:
            line["detail"] = detail
        self._stream.write_bytes(_encoder.encode(line) + b"\n")
