"""Encodes relayed requests and their outcomes: thrift in bodies of HTTP.

A message on the control connection would be held up behind a large body, and
could not be cancelled by closing the connection.
"""

from __future__ import annotations

from typing import Any

from radishmux.dispatch.server_response import (
    Headers,
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.peer import messages
from radishmux.verdict import Verdict

RELAY_PATH = "/relay"
_RESPONSE = "response"
_NOT_SENT = "not_sent"
# Outcome of a request without a response, by its verdict.
_VERDICTS = {
    Verdict.NOT_RUN.value: Verdict.NOT_RUN,
    Verdict.MAY_HAVE_RUN.value: Verdict.MAY_HAVE_RUN,
    Verdict.RAN.value: Verdict.RAN,
}


def encode_headers(headers: Headers) -> list[Any]:
    """Returns the headers as thrift structs."""
    return [messages.Header(name=name, value=value) for name, value in headers]


def decode_headers(headers: list[Any] | None) -> Headers:
    """Returns the headers of thrift structs."""
    return [(header.name or "", header.value or "") for header in headers or ()]


def encode_request(sender: str, incarnation: int, request: Any) -> list[bytes]:
    """Returns the HTTP request that carries a RelayRequest."""
    body = encode_message(sender, incarnation, request)
    head = (
        f"POST {RELAY_PATH} HTTP/1.1\r\nHost: relay\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return [head.encode(), body]


def encode_message(sender: str, incarnation: int, message: Any) -> bytes:
    """Returns an Envelope with a RelayRequest or a RelayOutcome."""
    return messages.encode(
        messages.Envelope(
            correlation=0,
            is_reply=isinstance(message, messages.RelayOutcome),
            sender=sender,
            sender_incarnation=incarnation,
            body=messages.wrap(message),
        )
    )


def encode_outcome(outcome: ServerResponse | NoResponse, server: str) -> Any:
    """Returns the RelayOutcome of an attempt at a server."""
    if isinstance(outcome, ServerResponse):
        return messages.RelayOutcome(
            outcome=_RESPONSE,
            server=server,
            status=outcome.status,
            headers=encode_headers(outcome.headers),
            body=outcome.body,
        )
    is_sent = not isinstance(outcome, NotSent)
    return messages.RelayOutcome(
        outcome=outcome.verdict.value if is_sent else _NOT_SENT,
        reason=outcome.reason,
        server=server,
    )


def decode_outcome(message: Any) -> ServerResponse | NoResponse:
    """Returns the outcome in a RelayOutcome.

    An outcome that cannot be understood may mean that the request has run.
    """
    if message.outcome == _RESPONSE and message.status:
        headers = decode_headers(message.headers)
        return ServerResponse(message.status, headers, message.body or b"")
    reason = message.reason or "unknown"
    if message.outcome == _NOT_SENT:
        return NotSent(reason)
    verdict = _VERDICTS.get(message.outcome, Verdict.MAY_HAVE_RUN)
    return NoResponse(reason, verdict)
