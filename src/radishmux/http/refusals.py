"""Creates refusals of the request path and encodes them as JSON."""

from __future__ import annotations

import msgspec

from radishmux.verdict import Refusal, Verdict


class TicketRefusal(Refusal, frozen=True, kw_only=True):
    """A refusal that carries a new ticket.

    Attributes:
        ticket: Ticket with which the caller forms the request id of its next
            attempt.
    """

    ticket: str


def not_run(
    reason: str,
    message: str,
    status: int = 503,
    retry_after_s: float | None = None,
    next_instances: tuple[str, ...] = (),
) -> Refusal:
    """Returns a refusal with the verdict "not run"."""
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
        next_instances=next_instances,
    )


def may_have_run(reason: str, message: str, status: int = 502) -> Refusal:
    """Returns a refusal with the verdict "may have run"."""
    return Refusal(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        message=message,
        status=status,
    )


def with_verdict(refusal: Refusal, verdict: Verdict) -> Refusal:
    """Returns a copy of the refusal with the given verdict."""
    if refusal.verdict is verdict:
        return refusal
    return msgspec.structs.replace(refusal, verdict=verdict)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Refusal)
_ticket_decoder = msgspec.json.Decoder(TicketRefusal)


def encode(refusal: Refusal) -> bytes:
    """Returns the refusal as JSON; docs/design.md 2.1 defines the format."""
    return _encoder.encode(refusal)


def decode(body: bytes, status: int) -> Refusal:
    """Decodes a refusal received from a peer.

    Args:
        body: JSON as returned by `encode`.
        status: HTTP status of the response.

    Raises:
        msgspec.DecodeError: The body is not an encoded refusal.
    """
    decoder = _ticket_decoder if b'"ticket"' in body else _decoder
    return msgspec.structs.replace(decoder.decode(body), status=status)
