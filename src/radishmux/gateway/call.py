"""Callers' requests and servers' reports, independent of header names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from radishmux.dispatch.server_response import ServerResponse
from radishmux.duties.usage_counter import RequestUsage
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.outcome import Unavailable
from radishmux.steer.server_state import LoadReport
from radishmux.verdict import Refusal, Verdict

Headers = list[tuple[str, str]]


class Call:
    """A parsed request of a caller.

    Attributes:
        host: Host without the port, in lower case.
        path: Path without the query, as the caller sent it.
        method: HTTP method.
        target: Path and query.
        headers: All headers; their names are in lower case.
        body: The complete body.
        request_id: Id of this attempt of the caller; empty if it sent none.
        key: API key of the customer, or None.
        affinity: Name of the object that the request concerns, or None. A
            server that has recently handled the object is faster.
        remaining_s: Seconds after `received_at` for which the caller waits
            for the answer; None if the caller did not say.
        received_at: Monotonic time at which the head was complete.
        has_caller_left: Whether nobody waits for the answer any more.
        holds_up_others: Whether the answers to later requests of the caller
            wait for this one.
        usage: Attempts that count in the usage report; None: none yet.
        is_counted_elsewhere: Whether a peer has counted the request.
    """

    __slots__ = (
        "affinity",
        "body",
        "has_caller_left",
        "headers",
        "holds_up_others",
        "host",
        "is_counted_elsewhere",
        "key",
        "method",
        "path",
        "remaining_s",
        "received_at",
        "request_id",
        "target",
        "usage",
    )

    def __init__(
        self,
        *,
        host: str,
        path: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | bytearray,
        request_id: str,
        key: str | None,
        affinity: str | None,
        remaining_s: float | None,
        received_at: float,
        has_caller_left: Callable[[], bool],
        holds_up_others: Callable[[], bool] = lambda: False,
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
        self.has_caller_left = has_caller_left
        self.holds_up_others = holds_up_others
        self.usage: RequestUsage | None = None
        self.is_counted_elsewhere = False


class ExecutionReport:
    """What a backend server's response says about the request's execution.

    Attributes:
        verdict: NOT_RUN if the server says that it did not run the request.
        misdirected: Whether the address now belongs to another server.
        is_authentic: Whether the response has the server's signature and a
            request id, and was not altered on the way.
        load: Load that the server reports, or None.
        limit_per_s: Requests per second that the server accepts from all
            instances together; inf if it names no limit, None if the limit
            cannot be read.
        rest_s: Seconds for which the server, which turned the request away,
            accepts nothing from this instance; 0 if it did not say so.
        is_leaving: Whether the server says that it is about to leave.
    """

    __slots__ = (
        "is_authentic",
        "is_leaving",
        "limit_per_s",
        "load",
        "misdirected",
        "rest_s",
        "verdict",
    )

    def __init__(
        self,
        *,
        verdict: Verdict,
        misdirected: bool,
        is_authentic: bool,
        load: LoadReport | None,
        limit_per_s: float | None,
        rest_s: float,
        is_leaving: bool,
    ) -> None:
        self.verdict = verdict
        self.misdirected = misdirected
        self.is_authentic = is_authentic
        self.load = load
        self.limit_per_s = limit_per_s
        self.rest_s = rest_s
        self.is_leaving = is_leaving


class Dialect(Protocol):
    """Translates between headers and the gateway's types.

    It is implemented by a module, such as `radishmux.platform.dialect`.

    Attributes:
        read_call: Parses a caller's request, or returns why it is malformed.
        encode_request: Returns the bytes of a request for a backend server,
            given the call, the names of the server and of the customer, and
            the seconds until the deadline.
        is_response_to: Whether a response's headers do not name another
            request than the call.
        read_report: Returns what a response says about the execution.
        encode_answer: Returns a server's response in the form for callers.
        encode_refusal: Returns a refusal in the form for callers.
    """

    read_call: Callable[[IncomingRequest], Call | Unavailable]
    encode_request: Callable[[Call, str, str, float], list[bytes]]
    is_response_to: Callable[[Call, Headers], bool]
    read_report: Callable[[ServerResponse], ExecutionReport]
    encode_answer: Callable[[ServerResponse], Response]
    encode_refusal: Callable[[Call | None, Refusal], Response]
