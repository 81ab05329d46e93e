"""Requests and responses inside the system, without types of HTTP libraries.

Bodies up to `BUFFER_BYTES` are kept in memory, so that an attempt can be
repeated. Longer bodies are streams, which can be read only once.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from radishmux.config.model import Route
from radishmux.dispatch.request_digest import request_digest
from radishmux.verdict import Verdict

# Largest part of a body that is kept in memory. The limit per direction is
# 256 KB, including the buffers of the HTTP libraries.
BUFFER_BYTES = 64 * 1024

Headers = list[tuple[str, str]]


class CallerBodyError(Exception):
    """The caller's body is truncated, malformed, too large or too slow.

    Attributes:
        reason: Machine-readable cause in snake_case.
        status: HTTP status of the refusal.
    """

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class RequestBody:
    """Body of a request: bytes in memory or a stream that is read once.

    Attributes:
        data: The whole body, or None if it is a stream.
        stream: The body in pieces, or None if it is in memory.
        length: Size in bytes, or None if the caller did not declare it.
        prefix: The part of the body that is in memory (all of `data`, or the
            first bytes of a stream); included in the request's digest.
        stream_opened: Whether `open` has returned the stream.
    """

    __slots__ = ("data", "prefix", "length", "stream_opened", "stream")

    def __init__(
        self,
        data: bytes | None = b"",
        stream: AsyncIterator[bytes] | None = None,
        length: int | None = None,
        prefix: bytes = b"",
    ) -> None:
        self.data = data
        self.stream = stream
        self.length = len(data) if data is not None else length
        self.prefix = data if data is not None else prefix
        self.stream_opened = False

    @property
    def can_be_sent(self) -> bool:
        """Whether the body can be sent: a stream only before `open`."""
        return self.data is not None or not self.stream_opened

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body to send, or None if it is empty.

        A stream can be opened only once; see `can_be_sent`.
        """
        if self.data is not None:
            return self.data or None
        self.stream_opened = True
        return self.stream


EMPTY_BODY = RequestBody()


class Credential:
    """The API key that a request was admitted with.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        config_version: Version of the configuration that has the key.
    """

    __slots__ = ("config_version", "digest")

    def __init__(self, digest: str, config_version: int) -> None:
        self.digest = digest
        self.config_version = config_version


class Exchange:
    """One request that is routed to a backend server, and its state.

    Attributes:
        service: Name of the service.
        route: Route of the service that the path belongs to.
        method: HTTP method.
        target: Path and query after the service name, as the caller wrote it.
        headers: Headers for the backend server, without hop-by-hop headers
            and those of this system.
        body: Body of the request.
        customer: Name of the customer; empty on public routes.
        request_id: `<ticket>/<suffix>`, or empty.
        idempotent: Whether the request may run more than once.
        deadline: Monotonic time in seconds until which a response is useful.
        region: Region of the cell; set by the request flow.
        cell: Name of the cell; set by the request flow.
        attempts: Number of attempts at backend servers so far, by any
            instance.
        verdict: Whether the request may have run in one of those attempts.
        traceparent: Trace context of the caller or of the previous hop, in
            the form of the W3C `traceparent` header.
        credential: The key that the request was admitted with, or None.
    """

    __slots__ = (
        "_digest",
        "attempts",
        "body",
        "cell",
        "credential",
        "customer",
        "deadline",
        "headers",
        "idempotent",
        "method",
        "region",
        "request_id",
        "route",
        "service",
        "target",
        "traceparent",
        "verdict",
    )

    def __init__(
        self,
        service: str,
        route: Route,
        method: str,
        target: str,
        headers: Headers,
        body: RequestBody,
        customer: str,
        request_id: str,
        idempotent: bool,
        deadline: float,
        traceparent: str = "",
    ) -> None:
        self.service = service
        self.route = route
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.customer = customer
        self.request_id = request_id
        self.idempotent = idempotent
        self.deadline = deadline
        self.traceparent = traceparent
        self.region = ""
        self.cell = ""
        self.attempts = 0
        self.verdict = Verdict.NOT_RUN
        self.credential: Credential | None = None
        self._digest = ""

    @property
    def digest(self) -> str:
        """Digest of customer, service, method, target and body.

        It identifies the same request when it is sent again, for crash marks.
        """
        if not self._digest:
            self._digest = request_digest(
                self.customer,
                self.service,
                self.method,
                self.target,
                self.body.prefix,
                self.body.length,
            )
        return self._digest


class ResponseBodyStream(Protocol):
    """Body of a response in pieces.

    Iteration raises IncompleteResponseError if the body is truncated. The
    receiver of the stream must close it, whether or not it has been read.
    """

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterates over the pieces of the body."""

    async def aclose(self) -> None:
        """Releases the connection; may be called more than once."""


class BackendResponse:
    """A response of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller, without hop-by-hop headers.
        body: The whole body, or None if it is streamed.
        stream: The body in pieces, or None if `body` holds it.
        length: Size in bytes of a streamed body, or None if unknown.
        served_by: Name of the backend server that responded.
        attempts: Number of attempts at backend servers, including this one.
        verdict: RAN, or the verdict of a recorded outcome or of the instance
            that the request was forwarded to.
    """

    __slots__ = (
        "attempts",
        "body",
        "headers",
        "length",
        "served_by",
        "status",
        "stream",
        "verdict",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: bytes | None,
        stream: ResponseBodyStream | None = None,
        length: int | None = None,
        served_by: str = "",
        attempts: int = 1,
        verdict: Verdict = Verdict.RAN,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.stream = stream
        self.length = length
        self.served_by = served_by
        self.attempts = attempts
        self.verdict = verdict


class IncompleteResponseError(Exception):
    """A streamed response ended before its body was complete."""


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Returns the verdict of a request that was attempted twice.

    It is the more severe of the two verdicts; RAN is the most severe.
    """
    return first if _SEVERITY[first] >= _SEVERITY[second] else second
