"""Verdicts: whether a request may have run on a backend server."""

from __future__ import annotations

import enum

import msgspec


class Verdict(enum.Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def retriable(self) -> bool:
        """Whether a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An error response of the system itself, instead of a backend server's.

    Attributes:
        verdict: Whether the request may have run.
        reason: Machine-readable cause, snake_case, listed in the docs.
        message: One human-readable sentence.
        status: HTTP status code.
        retry_after_s: Seconds after which a retry is useful.
        next_instances: Addresses (`ip:port`) to try next, in order.
    """

    verdict: Verdict
    reason: str
    message: str
    status: int = 503
    retry_after_s: float | None = None
    next_instances: tuple[str, ...] = ()
