"""One instance's share of one customer's rate: bucket, loans and demand."""

from __future__ import annotations

import math

from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter
from radishmux.share.loan_terms import (
    DECLINED,
    Ask,
    GiveBack,
    Grant,
    LoanIds,
)
from radishmux.share.loans import (
    CLOCK_MARGIN_S,
    LOAN_S,
    URGENT_LOAN_S,
    Borrowed,
    BorrowerBook,
    LenderBook,
)

# Demand fluctuates; without a margin the bucket would run empty half the
# time and every second request would wait for a loan.
NEED_MARGIN = 1.2
# A loan is prolonged when less than this is left; it covers a lost message
# and the round trip between regions.
EXTEND_BEFORE_S = 1.0
# Smaller loans are not worth their message.
MIN_FRACTION = 1e-4
# Smallest fraction asked of a peer in the background; it bounds the number of
# loans that have to be prolonged.
MIN_PART = 0.01
# Time without requests to peers after they had nothing to lend.
DRY_S = 0.2
BACKGROUND_DRY_S = 1.0
# A round of urgent requests ends after this, answered or not: the round trip
# between regions and a margin.
PATIENCE_S = 0.15


class CustomerShare:
    """Pure state; all methods take `now`, monotonic seconds.

    Args:
        name: The customer.
        rate_per_s: The customer's rate over the whole fleet.
        burst: The customer's burst over the whole fleet.
        now: Monotonic seconds.
    """

    def __init__(
        self, name: str, rate_per_s: float, burst: float, now: float
    ) -> None:
        self._name = name
        self._bucket = FractionBucket(rate_per_s, burst, now)
        self._lent = LenderBook()
        self._borrowed = BorrowerBook()
        self._demand = DemandMeter(now)
        self._base = 0.0
        self._next_end = math.inf
        self._dry_until = -math.inf
        self._background_dry_until = -math.inf
        self._round_gain = 0.0
        self._dry_rounds = 0
        self._last_lender = ""

    @property
    def name(self) -> str:
        """The customer."""
        return self._name

    @property
    def bucket(self) -> FractionBucket:
        """The tokens."""
        return self._bucket

    @property
    def lent(self) -> float:
        """Fraction that is lent to peers."""
        return self._lent.total

    @property
    def borrowed(self) -> BorrowerBook:
        """Loans taken."""
        return self._borrowed

    def is_asking(self, now: float) -> bool:
        """Whether an answer to an urgent request may still arrive soon."""
        return any(
            asked.duration_s < LOAN_S and now - asked.sent_at < PATIENCE_S
            for asked in self._borrowed.asked.values()
        )

    def is_dry(self, now: float) -> bool:
        """Whether the peers had no tokens a moment ago."""
        return now < self._dry_until

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Sets the customer's rate and burst."""
        self.settle(now)
        self._bucket.set_rate(rate_per_s, burst, now)

    def set_base(self, base: float, now: float) -> None:
        """Sets the fraction that the roster assigns."""
        self.settle(now)
        self._base = base
        self._apply(now)

    def settle(self, now: float) -> None:
        """Ends due loans, each at its own time."""
        while self._next_end <= now:
            at = self._next_end
            self._bucket.advance(at)
            self._borrowed.end_due(at)
            self._lent.end_due(at)
            self._apply(at)

    def note_demand(self, now: float) -> None:
        """Counts a request of the customer, whether admitted or not."""
        self._demand.record(now)

    def take(self, now: float) -> bool:
        """Takes one token, if there is one."""
        if self._next_end <= now:
            self.settle(now)
        return self._bucket.take(now)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Seconds until a token accrues without a loan."""
        self.settle(now)
        return self._bucket.wait_s(now, ahead)

    def need(self, now: float) -> float:
        """Fraction that the recent demand needs here."""
        demand = self._demand.rate_per_s(now) * NEED_MARGIN
        return min(1.0, demand / self._bucket.rate_per_s)

    # Lender.

    def lend(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> Grant:
        """Grants, prolongs or declines a loan."""
        self.settle(now)
        own = self._base - self._lent.total
        spare = own - self.need(now)
        held = self._lent.get(borrower, loan_id)
        if held is not None:
            reduced = min(fraction, held.fraction + min(0.0, spare))
            if reduced < MIN_FRACTION:
                return DECLINED
            reduced = self._lent.extend(
                borrower, loan_id, reduced, duration_s, now
            )
            self._note_ends()
            return Grant(reduced, 0.0)
        urgent = duration_s < LOAN_S
        lendable = self._lendable(duration_s, now) if urgent else spare
        granted = min(fraction, lendable)
        if granted < MIN_FRACTION:
            return DECLINED
        tokens = self._tokens_for(granted, urgent)
        wanted = min(1.0, fraction * self._bucket.burst)
        if urgent and granted > spare and tokens < wanted / 2:
            return DECLINED
        tokens = self._bucket.withdraw(tokens, now)
        self._lent.lend(borrower, loan_id, granted, duration_s, now)
        self._apply(now)
        return Grant(granted, tokens)

    def take_back(
        self, borrower: str, loan_id: str, tokens: float, now: float
    ) -> bool:
        """Takes back a loan that the borrower returned early."""
        self.settle(now)
        if self._lent.end(borrower, loan_id) is None:
            return False
        self._apply(now)
        self._bucket.put(tokens, now)
        return True

    def end_loans_to(self, borrower: str, incarnation: int, now: float) -> None:
        """Ends the loans to a process that is gone for certain.

        What it lent on may still be in use, but only for an urgent loan.
        """
        self.settle(now)
        end = now + URGENT_LOAN_S + 2 * CLOCK_MARGIN_S
        self._lent.shorten(borrower, incarnation, end)
        self._note_ends()

    def _lendable(self, duration_s: float, now: float) -> float:
        # Borrowed fractions may be lent on if they outlast the new loan, so
        # that the base and they always cover everything that is lent.
        end = now + duration_s + 2 * CLOCK_MARGIN_S
        return self._base + self._borrowed.lasting(end) - self._lent.total

    def _may_return(self, loan: Borrowed) -> bool:
        if self._lent.total <= self._base:
            return True
        others = self._borrowed.lasting(self._lent.last_end)
        if loan.until >= self._lent.last_end:
            others -= loan.fraction
        return self._base + others >= self._lent.total

    def _tokens_for(self, fraction: float, urgent: bool) -> float:
        tokens = self._bucket.tokens
        part = tokens * min(1.0, fraction / max(self._bucket.fraction, 1e-9))
        if urgent:
            part = max(part, min(fraction * self._bucket.burst, tokens))
        return part

    # Borrower.

    def plan(
        self, peers: tuple[str, ...], loan_ids: LoanIds, now: float
    ) -> tuple[list[Ask], list[GiveBack]]:
        """Returns the requests and returns that the recent demand calls for.

        Args:
            peers: Live peers that may lend.
            loan_ids: Source of new loan ids.
            now: Monotonic seconds.
        """
        self.settle(now)
        need = self.need(now)
        returns = self._return_unneeded(need, now)
        asks = self._extend(now)
        held = self._base - self._lent.total + self._background_total()
        deficit = need - held
        if deficit < max(MIN_FRACTION, 0.02 * need) or not peers:
            return asks, returns
        if now < self._background_dry_until:
            return asks, returns
        outstanding = len(self._borrowed.asked)
        if outstanding > 2 * len(peers):
            return asks, returns
        self._background_dry_until = now + BACKGROUND_DRY_S
        part = min(deficit, max(2 * deficit / len(peers), MIN_PART))
        asks += [
            self._ask(peer, loan_ids.next(), part, LOAN_S, now)
            for peer in peers
        ]
        return asks, returns

    def ask_urgently(
        self,
        peers: tuple[str, ...],
        waiting: int,
        loan_ids: LoanIds,
        now: float,
    ) -> list[Ask]:
        """Returns requests for callers that wait for a token.

        The first round goes to the peers that borrowed most from here, since
        the customer's tokens are where its demand is, and to the one that
        last had tokens; the second to all, so that one token does not collect
        the shares of the whole fleet.
        """
        self.settle(now)
        if not peers or now < self._dry_until or self.is_asking(now):
            return []
        missing = max(1.0, waiting - self._bucket.tokens)
        # Slightly more than the missing tokens, against rounding.
        fraction = min(1.0, 1.05 * missing / self._bucket.burst)
        held = self._lent.by_borrower()
        order = sorted(
            peers,
            key=lambda peer: (-held.get(peer, 0.0), peer != self._last_lender),
        )
        chosen = order[:2] if self._dry_rounds == 0 else order
        self._round_gain = 0.0
        return [
            self._ask(peer, loan_ids.next(), fraction, URGENT_LOAN_S, now)
            for peer in chosen
        ]

    def take_grant(
        self, loan_id: str, lender: str, grant: Grant, now: float
    ) -> bool:
        """Enters a lender's answer and returns whether tokens came."""
        self.settle(now)
        asked = self._borrowed.asked.get(loan_id)
        urgent = asked is not None and asked.duration_s < LOAN_S
        if self._borrowed.grant(loan_id, lender, grant.fraction, now):
            self._apply(now)
            self._bucket.put(grant.tokens, now)
            self._note_gain(lender, grant, urgent)
        if urgent:
            self._end_round(now)
        return grant.tokens > 0.0

    def fail(self, loan_id: str, now: float) -> None:
        """Notes that a request for a loan got no answer."""
        asked = self._borrowed.asked.get(loan_id)
        self._borrowed.fail(loan_id)
        if asked is not None and asked.duration_s < LOAN_S:
            self._end_round(now)

    def return_all(self, now: float) -> list[GiveBack]:
        """Returns loans to their lenders, for a shutdown.

        Those that were lent on end by themselves.
        """
        self.settle(now)
        return [
            self._give_back(loan_id, now)
            for loan_id, loan in list(self._borrowed.loans.items())
            if self._may_return(loan)
        ]

    def _note_gain(self, lender: str, grant: Grant, urgent: bool) -> None:
        if not urgent:
            self._background_dry_until = -math.inf
            return
        self._round_gain += grant.tokens
        if grant.tokens > 0.0:
            self._last_lender = lender

    def _end_round(self, now: float) -> None:
        if self.is_asking(now):
            return
        if self._round_gain > 0.0:
            self._dry_rounds = 0
            return
        self._dry_rounds += 1
        if self._dry_rounds > 1:
            self._dry_rounds = 0
            self._dry_until = now + DRY_S

    def _return_unneeded(self, need: float, now: float) -> list[GiveBack]:
        returns = []
        for loan_id, loan in list(self._borrowed.loans.items()):
            if loan_id in self._borrowed.asked or not self._may_return(loan):
                continue
            held = self._base - self._lent.total + self._background_total()
            if loan.urgent:
                age_s = now + URGENT_LOAN_S - loan.until
                unneeded = age_s > PATIENCE_S and not self.is_asking(now)
            else:
                unneeded = held - loan.fraction >= 1.1 * need
            if unneeded:
                returns.append(self._give_back(loan_id, now))
        return returns

    def _give_back(self, loan_id: str, now: float) -> GiveBack:
        loan = self._borrowed.loans[loan_id]
        part = min(1.0, loan.fraction / max(self._bucket.fraction, 1e-9))
        tokens = self._bucket.withdraw(self._bucket.tokens * part, now)
        self._borrowed.end(loan_id)
        self._apply(now)
        return GiveBack(loan.lender, loan_id, tokens)

    def _extend(self, now: float) -> list[Ask]:
        return [
            self._ask(loan.lender, loan_id, loan.fraction, LOAN_S, now)
            for loan_id, loan in self._borrowed.loans.items()
            if not loan.urgent
            and loan.until - now < EXTEND_BEFORE_S
            and loan_id not in self._borrowed.asked
        ]

    def _ask(
        self,
        lender: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> Ask:
        self._borrowed.ask(loan_id, lender, duration_s, now)
        return Ask(lender, self._name, loan_id, fraction, duration_s)

    def _background_total(self) -> float:
        loans = self._borrowed.loans.values()
        return math.fsum(x.fraction for x in loans if not x.urgent)

    def _apply(self, now: float) -> None:
        fraction = self._base - self._lent.total + self._borrowed.total
        self._bucket.set_fraction(fraction, now)
        self._note_ends()

    def _note_ends(self) -> None:
        self._next_end = min(self._lent.next_end, self._borrowed.next_end)
