"""Outcomes of one request to a backend server."""

from __future__ import annotations

from radishmux.outcome import Unavailable
from radishmux.verdict import Verdict

Headers = list[tuple[str, str]]

# Statuses that HTTP defines; parsers accept any three digits.
MIN_STATUS = 100
MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Returns whether a number is an HTTP status, final or interim."""
    return MIN_STATUS <= status <= MAX_STATUS


class ServerResponse:
    """A complete response of a backend server.

    Attributes:
        status: HTTP status.
        headers: Pairs of a name in lower case and a value.
        body: The whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None if it is absent.

        Args:
            name: Name of the header in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class NoResponse(Unavailable):
    """A request that got no usable response; `reason` says why.

    Attributes:
        verdict: Whether the request may have run.
        connection_failed: Whether the connection could not be opened, or broke
            before the headers of a response.
    """

    __slots__ = ("connection_failed", "verdict")

    def __init__(
        self, reason: str, verdict: Verdict, connection_failed: bool = False
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict
        self.connection_failed = connection_failed


class NotSent(NoResponse):
    """A request of which no byte was sent to the server.

    The server must not get it now, or no connection could be opened.
    """

    __slots__ = ()

    def __init__(self, reason: str, connection_failed: bool = False) -> None:
        super().__init__(reason, Verdict.NOT_RUN, connection_failed)
