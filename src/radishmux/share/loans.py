"""Books of the loans that an instance has given and taken.

The lender counts a loan's duration from after it removed the fraction from
its own bucket, and the borrower from before it asked, so that the borrower
always ends first. A lost or late message loses capacity for at most the
loan's duration and never creates any.
"""

from __future__ import annotations

import math

import msgspec

from radishmux.share.loan_terms import incarnation_of

LOAN_S = 2.0
# Loans for requests that already wait. They are short, so that a fraction
# borrowed for one token is soon back with the instance that needs its rate.
URGENT_LOAN_S = 0.5
MAX_LOAN_S = LOAN_S
# Covers the difference in speed of the two clocks during one loan.
CLOCK_MARGIN_S = 0.1


class Lent(msgspec.Struct):
    """A loan in the lender's book.

    Attributes:
        then_fraction: What the loan continues with after `until`, when it was
            prolonged with a smaller fraction. The lender counts the larger
            one until the borrower has certainly reduced its own.
        then_until: End of the continued loan.
    """

    fraction: float
    until: float
    then_fraction: float = 0.0
    then_until: float = -math.inf


class Borrowed(msgspec.Struct):
    """A loan in the borrower's book."""

    lender: str
    fraction: float
    until: float
    urgent: bool


class Asked(msgspec.Struct):
    """A request for a loan whose answer is outstanding."""

    lender: str
    sent_at: float
    duration_s: float


class LenderBook:
    """Loans of one customer's share given to peers."""

    __slots__ = ("_loans", "_total")

    def __init__(self) -> None:
        self._loans: dict[tuple[str, str], Lent] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Sum of the fractions that are lent now."""
        return self._total

    @property
    def next_end(self) -> float:
        """When the next loan ends; inf if there is none."""
        return min((x.until for x in self._loans.values()), default=math.inf)

    @property
    def last_end(self) -> float:
        """When the last loan ends; -inf if there is none."""
        ends = (max(x.until, x.then_until) for x in self._loans.values())
        return max(ends, default=-math.inf)

    def by_borrower(self) -> dict[str, float]:
        """Returns the fraction that each borrower holds."""
        held: dict[str, float] = {}
        for (borrower, _), loan in self._loans.items():
            held[borrower] = held.get(borrower, 0.0) + loan.fraction
        return held

    def get(self, borrower: str, loan_id: str) -> Lent | None:
        """Returns a loan that has not ended."""
        return self._loans.get((borrower, loan_id))

    def lend(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> None:
        """Enters a loan; call after the bucket was reduced."""
        until = now + duration_s + CLOCK_MARGIN_S
        self._loans[borrower, loan_id] = Lent(fraction, until)
        self._sum()

    def extend(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> float:
        """Prolongs a loan, with at most `fraction`, and returns its fraction.

        The fraction never grows again, since the borrower takes the smallest
        of all answers.
        """
        loan = self._loans[borrower, loan_id]
        until = now + duration_s + CLOCK_MARGIN_S
        if loan.then_fraction > 0.0:
            fraction = min(fraction, loan.then_fraction)
        if fraction >= loan.fraction:
            loan.until = max(loan.until, until)
            return loan.fraction
        loan.then_fraction = fraction
        loan.then_until = max(loan.then_until, until)
        return fraction

    def end(self, borrower: str, loan_id: str) -> Lent | None:
        """Removes a loan that the borrower returned."""
        loan = self._loans.pop((borrower, loan_id), None)
        self._sum()
        return loan

    def shorten(self, borrower: str, incarnation: int, until: float) -> None:
        """Makes loans end early whose borrower's process is gone."""
        for (name, loan_id), loan in self._loans.items():
            if name == borrower and incarnation_of(loan_id) <= incarnation:
                loan.until = min(loan.until, until)
                loan.then_until = min(loan.then_until, until)

    def end_due(self, now: float) -> None:
        """Removes the loans that have ended."""
        kept = {}
        for key, loan in self._loans.items():
            if loan.until > now:
                kept[key] = loan
            elif loan.then_until > now:
                kept[key] = Lent(loan.then_fraction, loan.then_until)
        self._loans = kept
        self._sum()

    def _sum(self) -> None:
        self._total = math.fsum(x.fraction for x in self._loans.values())


class BorrowerBook:
    """Loans of one customer's share taken from peers."""

    __slots__ = ("_asked", "_loans", "_total")

    def __init__(self) -> None:
        self._asked: dict[str, Asked] = {}
        self._loans: dict[str, Borrowed] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Sum of the fractions that are borrowed now."""
        return self._total

    @property
    def next_end(self) -> float:
        """When the next loan ends; inf if there is none."""
        return min((x.until for x in self._loans.values()), default=math.inf)

    @property
    def loans(self) -> dict[str, Borrowed]:
        """The loans by id."""
        return self._loans

    @property
    def asked(self) -> dict[str, Asked]:
        """The outstanding requests by loan id."""
        return self._asked

    def lasting(self, until: float) -> float:
        """Returns the sum of the fractions held at least until a time."""
        loans = self._loans.values()
        return math.fsum(x.fraction for x in loans if x.until >= until)

    def ask(
        self, loan_id: str, lender: str, duration_s: float, now: float
    ) -> None:
        """Notes a request; call before it is sent."""
        self._asked[loan_id] = Asked(lender, now, duration_s)

    def fail(self, loan_id: str) -> None:
        """Forgets a request that got no answer."""
        self._asked.pop(loan_id, None)

    def grant(
        self, loan_id: str, lender: str, fraction: float, now: float
    ) -> bool:
        """Enters the answer to a request.

        Returns:
            Whether the loan counts. A second answer to the same request, one
            from another instance and one after the loan's end do not.
        """
        asked = self._asked.get(loan_id)
        if asked is None or asked.lender != lender:
            return False
        del self._asked[loan_id]
        until = asked.sent_at + asked.duration_s
        if fraction <= 0.0 or now >= until:
            return False
        held = self._loans.get(loan_id)
        if held is not None:
            fraction = min(fraction, held.fraction)
        urgent = asked.duration_s < LOAN_S
        self._loans[loan_id] = Borrowed(lender, fraction, until, urgent)
        self._sum()
        return True

    def end(self, loan_id: str) -> Borrowed | None:
        """Removes a loan that goes back early."""
        loan = self._loans.pop(loan_id, None)
        self._asked.pop(loan_id, None)
        self._sum()
        return loan

    def end_due(self, now: float) -> None:
        """Removes the loans that have ended."""
        self._loans = {k: x for k, x in self._loans.items() if x.until > now}
        self._sum()

    def _sum(self) -> None:
        self._total = math.fsum(x.fraction for x in self._loans.values())
