"""Requests of callers, with their deadline and idempotency headers."""

from __future__ import annotations

from radishmux.config.model import Route, Service
from radishmux.dispatch.exchange import Headers, RequestBody
from radishmux.http.refusals import not_run
from radishmux.verdict import Refusal

MAX_DEADLINE_MS = 3_600_000


class CallerRequest:
    """A request as received from a caller.

    Attributes:
        headers: Headers that may be passed to the backend server.
        body: Body, empty until it has been read.
        key: Value of the key header, or None.
        request_id: Value of the request id header, or None.
        deadline_ms: Value of the deadline header, or None.
        idempotent: Value of the idempotency header, or None.
        received_at: Monotonic time at which the header was received, in s.
        attempts: Number of attempts at backend servers, set by the request
            flow.
        customer: Name of the customer, set by the flow for metrics.
        service: Name of the service, set by the flow for metrics.
        route: Name of the route, set by the flow for metrics.
    """

    __slots__ = (
        "attempts",
        "body",
        "customer",
        "deadline_ms",
        "headers",
        "idempotent",
        "key",
        "method",
        "received_at",
        "request_id",
        "route",
        "service",
        "target",
        "traceparent",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: RequestBody,
        key: str | None = None,
        request_id: str | None = None,
        deadline_ms: str | None = None,
        idempotent: str | None = None,
        traceparent: str = "",
        received_at: float = 0.0,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.key = key
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent
        self.traceparent = traceparent
        self.received_at = received_at
        self.attempts = 0
        self.customer = ""
        self.service = ""
        self.route = ""


def parse_deadline(
    header: str | None, service: Service, now: float
) -> float | Refusal:
    """Converts the value of a deadline header to a monotonic time in s.

    Args:
        header: Remaining time in ms, or None for the service's default.
        service: Service of the request.
        now: Monotonic time at which the header was received.

    Returns:
        A refusal if the value is not a number or no time remains.
    """
    if header is None:
        return now + service.default_deadline_ms / 1000.0
    if not header.isascii() or not header.isdigit():
        return not_run(
            "bad_deadline",
            "X-Radishmux-Deadline-Ms must be a number of milliseconds.",
            400,
        )
    milliseconds = min(int(header[:12]), MAX_DEADLINE_MS)
    if milliseconds == 0:
        return not_run("deadline_passed", "No time is left.", 504)
    return now + milliseconds / 1000.0


def is_idempotent(route: Route, header: str | None) -> bool:
    """Whether a request may run more than once.

    The caller's header can restrict what the route allows but not extend it.
    """
    if not (route.idempotent or route.upload):
        return False
    return header is None or header.strip().lower() != "false"
