"""Responses of the pipelined server and their serialization."""

from __future__ import annotations

import http

Headers = list[tuple[str, str]]


class Response:
    """A response to a caller.

    Attributes:
        status: HTTP status.
        headers: Names and values, without Content-Length and Connection.
        body: The complete body.
        closes: Whether the connection is closed after the response.
    """

    __slots__ = ("body", "closes", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: bytes = b"",
        closes: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes = closes


_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_BODYLESS = frozenset({204, 304})

# Responses to rejected requests by reason. Each closes the connection.
INVALID_REQUESTS = {
    reason: Response(status, [], f"{reason}\n".encode(), closes=True)
    for reason, status in (
        ("malformed_request", 400),
        ("request_too_slow", 408),
        ("upload_given_up", 408),
        ("body_not_taken", 413),
        ("body_too_large", 413),
        ("header_too_large", 431),
        ("memory_full", 503),
        ("requests_full", 503),
    )
}


def render_head(response: Response, closes: bool) -> bytes:
    """Returns the status line and headers, with the empty line after them.

    Args:
        response: The response.
        closes: Whether to announce that the connection is closed.
    """
    phrase = _PHRASES.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if response.status not in _BODYLESS:
        lines.append(f"Content-Length: {len(response.body)}")
    if closes:
        lines.append("Connection: close")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")
