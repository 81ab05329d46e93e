"""What instances ask of each other and answer about loans."""

from __future__ import annotations

import sys

import msgspec


class LoanIds:
    """Source of loan ids that are unique over all instances and lives."""

    __slots__ = ("_count", "_prefix")

    def __init__(self, instance: str, incarnation: int) -> None:
        self._prefix = f"{instance}/{incarnation}/"
        self._count = 0

    def next(self) -> str:
        """Returns a new id."""
        self._count += 1
        return f"{self._prefix}{self._count}"


def incarnation_of(loan_id: str) -> int:
    """Returns the incarnation of the borrower that chose an id.

    Ids of another form count as never gone, so that their loans run to the
    agreed end.
    """
    parts = loan_id.split("/")
    if len(parts) != 3 or not parts[1].isdecimal():
        return sys.maxsize
    return int(parts[1])


class Ask(msgspec.Struct, frozen=True):
    """A LoanRequest to send.

    Attributes:
        duration_s: How long the loan lasts, counted from now.
    """

    lender: str
    customer: str
    loan_id: str
    fraction: float
    duration_s: float


class GiveBack(msgspec.Struct, frozen=True):
    """A LoanReturn to send."""

    lender: str
    loan_id: str
    tokens: float


class Grant(msgspec.Struct, frozen=True):
    """Answer to a LoanRequest; a fraction of 0 declines it."""

    fraction: float
    tokens: float


DECLINED = Grant(0.0, 0.0)
