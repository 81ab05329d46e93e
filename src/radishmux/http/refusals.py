"""Refusals of the request path, and their form in JSON."""

from __future__ import annotations

import msgspec

from radishmux.verdict import Refusal, Verdict


class TicketRefusal(Refusal, frozen=True, kw_only=True):
    """A refusal that comes with a fresh ticket.

    Attributes:
        ticket: First part of a request id for the next attempt.
    """

    ticket: str


def not_run(
    reason: str,
    message: str,
    status: int = 503,
    retry_after_s: float | None = None,
    next_instances: tuple[str, ...] = (),
) -> Refusal:
    """Returns a refusal of a request that did not run."""
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
        next_instances=next_instances,
    )


def may_have_run(reason: str, message: str, status: int = 502) -> Refusal:
    """Returns a refusal of a request whose fate is unknown."""
    return Refusal(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        message=message,
        status=status,
    )


def with_verdict(refusal: Refusal, verdict: Verdict) -> Refusal:
    """Returns the refusal with another verdict."""
    if refusal.verdict is verdict:
        return refusal
    return msgspec.structs.replace(refusal, verdict=verdict)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Refusal)
_ticket_decoder = msgspec.json.Decoder(TicketRefusal)


def encode(refusal: Refusal) -> bytes:
    """Returns the JSON form, which docs/design.md names in section 2.1."""
    return _encoder.encode(refusal)


def decode(body: bytes, status: int) -> Refusal:
    """Returns the refusal of a peer.

    Raises:
        msgspec.DecodeError: The body is no refusal.
    """
    decoder = _ticket_decoder if b'"ticket"' in body else _decoder
    return msgspec.structs.replace(decoder.decode(body), status=status)
