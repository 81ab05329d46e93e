"""Requests received by the pipelined server."""

from __future__ import annotations

from collections.abc import Callable

Headers = list[tuple[str, str]]

# Why a handler is cancelled: messages of its CancelledError.
CALLER_LEFT = "caller_left"
# The connection ends with the response to an earlier request. The caller sends
# this one again, since it was not answered.
CONNECTION_ENDS = "connection_ends"
# The server stops, or no reason is known.
CANCELLED = "cancelled"


def _no() -> bool:
    return False


class IncomingRequest:
    """A completely received request.

    Attributes:
        method: HTTP method.
        target: Path and query, not decoded.
        headers: Names in lower case, and values.
        body: The complete body, which must not be changed; large ones are a
            bytearray, since a copy as bytes would take as much memory again.
        received_at: Monotonic time at which the header was complete, in s.
        has_caller_left: Whether the caller has closed the connection. Asks the
            kernel, so that it holds also before the event loop has read the
            end of input. The handler is cancelled if it has.
        holds_up_others: Whether the responses to later requests on the
            connection wait for the one to this request.
        remote_host: Address of the other end, without the port.
    """

    __slots__ = (
        "body",
        "has_caller_left",
        "headers",
        "holds_up_others",
        "method",
        "received_at",
        "remote_host",
        "target",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | bytearray,
        received_at: float,
        has_caller_left: Callable[[], bool] = _no,
        remote_host: str = "",
    ) -> None:
        self.holds_up_others: Callable[[], bool] = _no
        self.remote_host = remote_host
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.has_caller_left = has_caller_left

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None.

        Args:
            name: Name of the header in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None
