"""Client of the platform's API for duties, which speaks HTTP with JSON."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.server_response import NoResponse, NotSent

USAGE_REPORT = "usage_report"
_CONNECT_TIMEOUT_S = 1.0


class CallOutcome(enum.Enum):
    """Outcome of one call."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    FAILED = "failed"
    NO_RESPONSE = "no_response"
    NOT_SENT = "not_sent"


_OUTCOMES = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.FENCED,
    429: CallOutcome.BUSY,
}


class _Report(msgspec.Struct, rename="pascal"):
    window_id: int
    counts: dict[str, int]


def encode_report(window: int, counts: dict[str, int]) -> bytes:
    """Returns the body of a window's report; equal for equal counts."""
    kept = {name: count for name, count in sorted(counts.items()) if count > 0}
    return msgspec.json.encode(_Report(window, kept))


class DutiesApi:
    """Client of the API at one address; `close` ends its connections.

    Args:
        address: `ip:port`.
        holder: Name of this instance.
        clock: Monotonic time.
    """

    def __init__(self, address: str, holder: str, clock: Clock) -> None:
        self._address = address
        self._holder = holder
        self._clock = clock
        self._connections = ServerConnectionPool(
            address, clock, connect_timeout_s=_CONNECT_TIMEOUT_S
        )

    async def report(
        self,
        body: bytes,
        token: int,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Sends the report of a window once.

        Args:
            body: From `encode_report`.
            token: The fencing token.
            timeout_s: Time limit.
            may_send: Called right before the first byte is written; nothing is
                sent if it returns False.
        """
        head = (
            "POST /usage HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            f"Duty-Holder: {self._holder}\r\n"
            f"Fencing-Token: {token}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        reply = await self._connections.send(
            [head.encode(), body],
            self._clock.now() + timeout_s,
            before_send=lambda: "" if may_send() else "duty not held",
        )
        if isinstance(reply, NotSent):
            return CallOutcome.NOT_SENT
        if isinstance(reply, NoResponse):
            return CallOutcome.NO_RESPONSE
        return _OUTCOMES.get(reply.status, CallOutcome.FAILED)

    def close(self) -> None:
        """Closes the idle connections."""
        self._connections.close()
