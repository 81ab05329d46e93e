"""Requests, returns and answers that instances exchange about loans."""

from __future__ import annotations

import sys

import msgspec


class LoanIds:
    """Source of loan ids, unique over all instances and incarnations."""

    __slots__ = ("_count", "_prefix")

    def __init__(self, instance: str, incarnation: int) -> None:
        self._prefix = f"{instance}/{incarnation}/"
        self._count = 0

    def next(self) -> str:
        """Returns a new id."""
        self._count += 1
        return f"{self._prefix}{self._count}"


def incarnation_of(loan_id: str) -> int:
    """Returns the incarnation of the borrower that generated an id.

    An id of another form gives `sys.maxsize`: its borrower never counts as
    gone, so that the loan runs to the agreed end.
    """
    parts = loan_id.split("/")
    if len(parts) != 3 or not parts[1].isdecimal():
        return sys.maxsize
    return int(parts[1])


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A LoanRequest to send.

    Attributes:
        lender: Instance that is asked.
        customer: Name of the customer.
        loan_id: Id of the new loan, or of the loan to extend.
        fraction: Fraction of the customer's rate and burst to borrow.
        duration_s: Duration of the loan in seconds, counted from now.
    """

    lender: str
    customer: str
    loan_id: str
    fraction: float
    duration_s: float


class OutgoingReturn(msgspec.Struct, frozen=True):
    """A LoanReturn to send."""

    lender: str
    loan_id: str
    tokens: float


class LoanDecision(msgspec.Struct, frozen=True):
    """A lender's answer to a LoanRequest; a fraction of 0 declines it."""

    fraction: float
    tokens: float


DECLINED = LoanDecision(0.0, 0.0)
