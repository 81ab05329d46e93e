"""A caller's request and what a response says, free of wire names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from radishmux.dispatch.server_response import ServerResponse
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.outcome import Unavailable
from radishmux.steer.server_state import LoadReport
from radishmux.verdict import Refusal, Verdict

Headers = list[tuple[str, str]]


class Call:
    """One request of a caller.

    Attributes:
        host: Host without a port, in lower case.
        path: Path without the query, as the caller wrote it.
        method: HTTP method.
        target: Path and query.
        headers: All headers, names in lower case.
        body: The whole body.
        request_id: Id of this attempt of the caller; may be empty.
        key: The key that it shows, or None.
        affinity: Name of the object that it concerns, or None.
        patience_s: Time that the caller waits from then on, or None.
        received_at: Monotonic time when its head was complete.
    """

    __slots__ = (
        "affinity",
        "body",
        "headers",
        "host",
        "key",
        "method",
        "path",
        "remaining_s",
        "received_at",
        "request_id",
        "target",
    )

    def __init__(
        self,
        *,
        host: str,
        path: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        request_id: str,
        key: str | None,
        affinity: str | None,
        remaining_s: float | None,
        received_at: float,
    ) -> None:
        self.host = host
        self.path = path
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.key = key
        self.affinity = affinity
        self.remaining_s = remaining_s
        self.received_at = received_at


class ExecutionReport:
    """What a backend server's response says about the run.

    Attributes:
        verdict: NOT_RUN when the server says that it did not run it.
        misdirected: Whether another server has the address now.
        genuine: Whether the response bears the server's signature and the id
            of a request, and is not altered on the way.
        load: Load that the server reports, or None.
    """

    __slots__ = ("is_authentic", "load", "misdirected", "verdict")

    def __init__(
        self,
        verdict: Verdict,
        misdirected: bool,
        is_authentic: bool,
        load: LoadReport | None,
    ) -> None:
        self.verdict = verdict
        self.misdirected = misdirected
        self.is_authentic = is_authentic
        self.load = load


class Dialect(Protocol):
    """The headers that callers and backend servers speak; a module."""

    read_call: Callable[[IncomingRequest], Call | Unavailable]
    encode_request: Callable[[Call, str, str, float], list[bytes]]
    is_response_to: Callable[[Call, Headers], bool]
    read_report: Callable[[ServerResponse], ExecutionReport]
    encode_answer: Callable[[ServerResponse], Response]
    encode_refusal: Callable[[Call | None, Refusal], Response]
