"""Requests and responses inside the system, without types of HTTP libraries.

Bodies up to `BUFFER_BYTES` are held in memory, so that an attempt can be
repeated; longer ones are streams that can be read once.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from radishmux.config.model import Route
from radishmux.verdict import Verdict

# Part of a body that is held in memory; the limit per direction is 256 KB
# including the buffers of the HTTP libraries.
BUFFER_BYTES = 64 * 1024

Headers = list[tuple[str, str]]


class CallerBodyError(Exception):
    """The caller's body broke off or is malformed.

    Attributes:
        reason: Machine-readable cause.
        status: HTTP status of the refusal.
    """

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class RequestBody:
    """Body of a request: bytes in memory or a stream that is read once.

    Attributes:
        data: The whole body, or None when it is a stream.
        stream: The body in pieces, or None when it is in memory.
        length: Size in bytes, or None when the caller did not say.
        head: First bytes of the body; part of the request's digest.
        started: Whether the stream has been given away.
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
        """Whether the body can (still) be sent."""
        return self.data is not None or not self.stream_opened

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what to send; a stream can be had once only."""
        if self.data is not None:
            return self.data or None
        self.stream_opened = True
        return self.stream


EMPTY_BODY = RequestBody()


class Credential:
    """The key that a request was admitted with.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        config_version: Version of the configuration that knew the key.
    """

    __slots__ = ("config_version", "digest")

    def __init__(self, digest: str, config_version: int) -> None:
        self.digest = digest
        self.config_version = config_version


class Exchange:
    """One request on its way to a backend server.

    Attributes:
        service: Name of the service.
        route: Route of the service that the path belongs to.
        method: HTTP method.
        target: Path and query after the service name, as the caller wrote it.
        headers: Headers for the backend server, cleaned.
        body: Body of the request.
        customer: Name of the customer; empty on public routes.
        request_id: `<ticket>/<suffix>`, or empty.
        idempotent: Whether the request may run more than once.
        deadline: Monotonic time until which an answer is useful.
        region: Region of the cell; set by the request flow.
        cell: Name of the cell; set by the request flow.
        attempts: Attempts at backend servers so far, on any instance.
        verdict: What is known from those attempts.
        traceparent: Trace context of the caller or of the previous hop.
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
        """Digest of customer, service, method, path and content."""
        if not self._digest:
            from radishmux.dispatch.crashes import request_digest

            self._digest = request_digest(self)
        return self._digest


class ResponseBodyStream(Protocol):
    """Body of a response in pieces.

    Iteration raises IncompleteResponseError when the body breaks off. Whoever
    holds the stream closes it, whether or not it has been read.
    """

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the pieces."""

    async def aclose(self) -> None:
        """Frees the connection; may be called more than once."""


class BackendResponse:
    """A response of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller, cleaned.
        body: The whole body, or None when `stream` has it.
        stream: The body in pieces; raises when it ends incomplete.
        length: Size in bytes of a streamed body, None when unknown.
        served_by: Backend server that answered.
        attempts: Attempts at backend servers, this one included.
        verdict: RAN, or what a recorded outcome says.
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
    """A streamed response ended before its end."""


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine_verdicts(one: Verdict, other: Verdict) -> Verdict:
    """Returns the verdict for two attempts at the same request."""
    return one if _SEVERITY[one] >= _SEVERITY[other] else other
