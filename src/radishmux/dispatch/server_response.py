"""What comes of one request to a server."""

from __future__ import annotations

from radishmux.outcome import Unavailable
from radishmux.verdict import Verdict

Headers = list[tuple[str, str]]


class ServerResponse:
    """A complete response of a backend server.

    Attributes:
        status: HTTP status.
        headers: Names in lower case, and values.
        body: The whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, given in lower case."""
        for one, value in self.headers:
            if one == name:
                return value
        return None


class NoResponse(Unavailable):
    """No usable response came.

    Attributes:
        verdict: Whether the request may have run.
        unreachable: Whether the connection could not be opened or broke.
    """

    __slots__ = ("connection_failed", "verdict")

    def __init__(
        self, reason: str, verdict: Verdict, connection_failed: bool = False
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict
        self.connection_failed = connection_failed
