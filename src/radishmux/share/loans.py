"""Loans that an instance has given and taken for one customer.

The lender counts a loan's duration from after it removed the fraction from
its own bucket, and the borrower from before it sent the request, so that the
loan always ends first at the borrower. A lost or late message therefore loses
capacity for at most the loan's duration and never creates any.
"""

from __future__ import annotations

import math

import msgspec

from radishmux.share.loan_messages import incarnation_of

LOAN_S = 2.0
# Duration of loans for requests that already wait for a token. They are short,
# so that a fraction borrowed for one token soon returns to the instance that
# needs its rate.
URGENT_LOAN_S = 0.35
MAX_LOAN_S = LOAN_S
# Covers the difference in speed of the two clocks during one loan.
CLOCK_MARGIN_S = 0.1


class LentLoan(msgspec.Struct):
    """A loan as the lender records it.

    Attributes:
        fraction: Lent fraction of the customer's rate and burst.
        until: Monotonic seconds when the loan ends.
        reduced_fraction: Fraction with which the loan continues after
            `until`, if it was extended with a smaller one. The lender counts
            the larger fraction until the borrower has certainly reduced its
            own; 0 if the loan does not continue.
        reduced_until: Monotonic seconds when the continued loan ends.
    """

    fraction: float
    until: float
    reduced_fraction: float = 0.0
    reduced_until: float = -math.inf


class BorrowedLoan(msgspec.Struct):
    """A loan as the borrower records it."""

    lender: str
    fraction: float
    until: float
    urgent: bool


class PendingRequest(msgspec.Struct):
    """A loan request that has not been answered yet."""

    lender: str
    sent_at: float
    duration_s: float


class LentLoans:
    """Loans of one customer's share given to peers."""

    __slots__ = ("_loans", "_total")

    def __init__(self) -> None:
        self._loans: dict[tuple[str, str], LentLoan] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Sum of the fractions that are lent now."""
        return self._total

    @property
    def next_end(self) -> float:
        """When the next loan ends or is reduced; inf if there is none."""
        return min(
            (loan.until for loan in self._loans.values()), default=math.inf
        )

    @property
    def last_end(self) -> float:
        """When the last loan ends; -inf if there is none."""
        ends = (
            max(loan.until, loan.reduced_until) for loan in self._loans.values()
        )
        return max(ends, default=-math.inf)

    def by_borrower(self) -> dict[str, float]:
        """Returns the fraction that each borrower has."""
        borrowed: dict[str, float] = {}
        for (borrower, _), loan in self._loans.items():
            borrowed[borrower] = borrowed.get(borrower, 0.0) + loan.fraction
        return borrowed

    def get(self, borrower: str, loan_id: str) -> LentLoan | None:
        """Returns a loan, or None if it is unknown or has ended."""
        return self._loans.get((borrower, loan_id))

    def add(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> None:
        """Records a loan; call after the bucket was reduced."""
        until = now + duration_s + CLOCK_MARGIN_S
        self._loans[borrower, loan_id] = LentLoan(fraction, until)
        self._update_total()

    def extend(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> float:
        """Extends a loan with at most `fraction` and returns its fraction.

        The fraction never grows again, since the borrower uses the smallest of
        all answers.
        """
        loan = self._loans[borrower, loan_id]
        until = now + duration_s + CLOCK_MARGIN_S
        if loan.reduced_fraction > 0.0:
            fraction = min(fraction, loan.reduced_fraction)
        if fraction >= loan.fraction:
            loan.until = max(loan.until, until)
            return loan.fraction
        loan.reduced_fraction = fraction
        loan.reduced_until = max(loan.reduced_until, until)
        return fraction

    def remove(self, borrower: str, loan_id: str) -> LentLoan | None:
        """Removes a loan that the borrower returned."""
        loan = self._loans.pop((borrower, loan_id), None)
        self._update_total()
        return loan

    def shorten(self, borrower: str, incarnation: int, until: float) -> None:
        """Ends the loans to a process that is gone at `until` at the latest.

        Args:
            borrower: Name of the instance.
            incarnation: Latest incarnation of it that is gone.
            until: Monotonic seconds.
        """
        for (name, loan_id), loan in self._loans.items():
            if name == borrower and incarnation_of(loan_id) <= incarnation:
                loan.until = min(loan.until, until)
                loan.reduced_until = min(loan.reduced_until, until)

    def remove_expired(self, now: float) -> None:
        """Removes the loans that have ended and reduces those that continue."""
        kept = {}
        for key, loan in self._loans.items():
            if loan.until > now:
                kept[key] = loan
            elif loan.reduced_until > now:
                kept[key] = LentLoan(loan.reduced_fraction, loan.reduced_until)
        self._loans = kept
        self._update_total()

    def _update_total(self) -> None:
        self._total = math.fsum(loan.fraction for loan in self._loans.values())


class BorrowedLoans:
    """Loans of one customer's share taken from peers."""

    __slots__ = ("_loans", "_pending", "_total")

    def __init__(self) -> None:
        self._pending: dict[str, PendingRequest] = {}
        self._loans: dict[str, BorrowedLoan] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Sum of the fractions that are borrowed now."""
        return self._total

    @property
    def next_end(self) -> float:
        """When the next loan ends; inf if there is none."""
        return min(
            (loan.until for loan in self._loans.values()), default=math.inf
        )

    @property
    def loans(self) -> dict[str, BorrowedLoan]:
        """The loans by id."""
        return self._loans

    @property
    def pending(self) -> dict[str, PendingRequest]:
        """The unanswered requests by loan id."""
        return self._pending

    def total_until(self, until: float) -> float:
        """Returns the sum of the fractions borrowed at least until a time."""
        loans = self._loans.values()
        return math.fsum(loan.fraction for loan in loans if loan.until >= until)

    def add_request(
        self, loan_id: str, lender: str, duration_s: float, now: float
    ) -> None:
        """Records a request; call before it is sent."""
        self._pending[loan_id] = PendingRequest(lender, now, duration_s)

    def remove_request(self, loan_id: str) -> None:
        """Removes a request that got no answer."""
        self._pending.pop(loan_id, None)

    def apply_answer(
        self, loan_id: str, lender: str, fraction: float, now: float
    ) -> bool:
        """Records the loan that a lender's answer grants.

        Returns:
            Whether the loan counts. A second answer to the same request, an
            answer from another instance and an answer after the loan's end do
            not count.
        """
        request = self._pending.get(loan_id)
        if request is None or request.lender != lender:
            return False
        del self._pending[loan_id]
        until = request.sent_at + request.duration_s
        if fraction <= 0.0 or now >= until:
            return False
        existing = self._loans.get(loan_id)
        if existing is not None:
            fraction = min(fraction, existing.fraction)
        urgent = request.duration_s < LOAN_S
        self._loans[loan_id] = BorrowedLoan(lender, fraction, until, urgent)
        self._update_total()
        return True

    def remove(self, loan_id: str) -> BorrowedLoan | None:
        """Removes a loan that is returned early."""
        loan = self._loans.pop(loan_id, None)
        self._pending.pop(loan_id, None)
        self._update_total()
        return loan

    def remove_expired(self, now: float) -> None:
        """Removes the loans that have ended."""
        self._loans = {
            loan_id: loan
            for loan_id, loan in self._loans.items()
            if loan.until > now
        }
        self._update_total()

    def _update_total(self) -> None:
        self._total = math.fsum(loan.fraction for loan in self._loans.values())
