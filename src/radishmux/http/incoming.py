"""A whole request of a caller."""

from __future__ import annotations

Headers = list[tuple[str, str]]


class IncomingRequest:
    """A whole request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query as the caller wrote them.
        headers: Names in lower case, and values.
        body: The whole body.
        received_at: Monotonic time when its head was complete.
    """

    __slots__ = ("body", "headers", "method", "received_at", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_at: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, given in lower case."""
        for one, value in self.headers:
            if one == name:
                return value
        return None
