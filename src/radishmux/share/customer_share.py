"""One instance's share of one customer's rate: bucket, loans and demand."""

from __future__ import annotations

import math

from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter
from radishmux.share.loan_messages import (
    DECLINED,
    LoanDecision,
    LoanIds,
    OutgoingRequest,
    OutgoingReturn,
)
from radishmux.share.loans import (
    CLOCK_MARGIN_S,
    LOAN_S,
    URGENT_LOAN_S,
    BorrowedLoan,
    BorrowedLoans,
    LentLoans,
)

# Factor on the measured demand. Demand fluctuates: without a margin the bucket
# would be empty half the time and every second request would wait for a loan.
DEMAND_MARGIN = 1.2
# A loan is extended when less than this is left; it covers a lost message and
# the round trip between regions.
EXTEND_BEFORE_S = 1.0
# Smaller loans are not worth their message.
MIN_FRACTION = 1e-4
# Smallest fraction requested from one peer in the background; it bounds the
# number of loans that have to be extended.
MIN_BACKGROUND_FRACTION = 0.01
# Pause in urgent requests after two rounds in which no peer had tokens.
URGENT_BACKOFF_S = 0.2
# Pause in background requests after a round, unless a peer has lent something.
BACKGROUND_BACKOFF_S = 1.0
# A round of urgent requests ends after this, answered or not: the round trip
# between regions and a margin.
URGENT_ROUND_S = 0.15


class CustomerShare:
    """Pure state; all methods take `now`, monotonic seconds.

    The fraction in use is the one that the roster assigns, minus what is lent
    to peers, plus what is borrowed from them. An instance borrows in two ways:
    background loans cover its recent demand and are extended while it lasts,
    urgent loans are short and cover requests that already wait.

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
        self._lent = LentLoans()
        self._borrowed = BorrowedLoans()
        self._demand = DemandMeter(now)
        self._assigned = 0.0
        self._next_end = math.inf
        self._backoff_until = -math.inf
        self._background_backoff_until = -math.inf
        self._round_tokens = 0.0
        self._empty_rounds = 0
        self._last_lender = ""

    @property
    def name(self) -> str:
        """Name of the customer."""
        return self._name

    @property
    def bucket(self) -> FractionBucket:
        """Bucket over the fraction in use."""
        return self._bucket

    @property
    def lent_fraction(self) -> float:
        """Fraction that is lent to peers."""
        return self._lent.total

    @property
    def borrowed(self) -> BorrowedLoans:
        """Loans taken from peers and requests for them."""
        return self._borrowed

    def awaits_urgent_answer(self, now: float) -> bool:
        """Whether an answer to an urgent request may still arrive soon."""
        return any(
            request.duration_s < LOAN_S
            and now - request.sent_at < URGENT_ROUND_S
            for request in self._borrowed.pending.values()
        )

    def is_backing_off(self, now: float) -> bool:
        """Whether urgent requests pause because the peers had no tokens."""
        return now < self._backoff_until

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Sets the customer's rate and burst."""
        self.expire_loans(now)
        self._bucket.set_rate(rate_per_s, burst, now)

    def set_assigned_fraction(self, fraction: float, now: float) -> None:
        """Sets the fraction that the roster assigns."""
        self.expire_loans(now)
        self._assigned = fraction
        self._update_fraction(now)

    def expire_loans(self, now: float) -> None:
        """Ends the loans that are due, each at its own end time."""
        while self._next_end <= now:
            at = self._next_end
            self._bucket.advance(at)
            self._borrowed.remove_expired(at)
            self._lent.remove_expired(at)
            self._update_fraction(at)

    def record_request(self, now: float) -> None:
        """Counts a request of the customer, whether admitted or not."""
        self._demand.record(now)

    def try_acquire(self, now: float) -> bool:
        """Takes one token if there is one."""
        if self._next_end <= now:
            self.expire_loans(now)
        return self._bucket.try_acquire(now)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Returns the seconds until a token accrues without a new loan.

        Args:
            now: Monotonic seconds.
            ahead: Number of other requests that take a token first.
        """
        self.expire_loans(now)
        return self._bucket.wait_s(now, ahead)

    def needed_fraction(self, now: float) -> float:
        """Returns the fraction that the recent demand needs here."""
        demand = self._demand.rate_per_s(now) * DEMAND_MARGIN
        return min(1.0, demand / self._bucket.rate_per_s)

    # Lender.

    def handle_loan_request(
        self,
        borrower: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> LoanDecision:
        """Grants, extends or declines a loan.

        An urgent loan may use all that can be lent. A background loan gets
        only what the own demand does not need.
        """
        self.expire_loans(now)
        own = self._assigned - self._lent.total
        spare = own - self.needed_fraction(now)
        existing = self._lent.get(borrower, loan_id)
        if existing is not None:
            reduced = min(fraction, existing.fraction + min(0.0, spare))
            if reduced < MIN_FRACTION:
                return DECLINED
            reduced = self._lent.extend(
                borrower, loan_id, reduced, duration_s, now
            )
            self._update_next_end()
            return LoanDecision(reduced, 0.0)
        urgent = duration_s < LOAN_S
        lendable = self._lendable(duration_s, now) if urgent else spare
        granted = min(fraction, lendable)
        if granted < MIN_FRACTION:
            return DECLINED
        tokens = self._tokens_for(granted, urgent)
        wanted = min(1.0, fraction * self._bucket.burst)
        if urgent and granted > spare and tokens < wanted / 2:
            return DECLINED
        tokens = self._bucket.remove_tokens(tokens, now)
        self._lent.add(borrower, loan_id, granted, duration_s, now)
        self._update_fraction(now)
        return LoanDecision(granted, tokens)

    def handle_loan_return(
        self, borrower: str, loan_id: str, tokens: float, now: float
    ) -> bool:
        """Ends a loan early and adds the tokens that the borrower returned.

        Returns:
            False if the loan had already ended.
        """
        self.expire_loans(now)
        if self._lent.remove(borrower, loan_id) is None:
            return False
        self._update_fraction(now)
        self._bucket.add_tokens(tokens, now)
        return True

    def end_loans_to(self, borrower: str, incarnation: int, now: float) -> None:
        """Ends the loans to a process that is certainly dead.

        The process may have lent the fraction to a third instance, which may
        still use it. That was an urgent loan, so that the loans here last for
        the duration of one.
        """
        self.expire_loans(now)
        end = now + URGENT_LOAN_S + 2 * CLOCK_MARGIN_S
        self._lent.shorten(borrower, incarnation, end)
        self._update_next_end()

    def _lendable(self, duration_s: float, now: float) -> float:
        # Borrowed fractions may be lent on if they outlast the new loan, so
        # that the assigned fraction and they always cover everything lent.
        end = now + duration_s + 2 * CLOCK_MARGIN_S
        return (
            self._assigned + self._borrowed.total_until(end) - self._lent.total
        )

    def _may_return(self, loan: BorrowedLoan) -> bool:
        """Whether everything lent stays covered without a borrowed loan."""
        if self._lent.total <= self._assigned:
            return True
        other_loans = self._borrowed.total_until(self._lent.last_end)
        if loan.until >= self._lent.last_end:
            other_loans -= loan.fraction
        return self._assigned + other_loans >= self._lent.total

    def _tokens_for(self, fraction: float, urgent: bool) -> float:
        """Returns the tokens to lend with a fraction.

        A background loan gets its proportion of the bucket; an urgent one up
        to its whole capacity.
        """
        tokens = self._bucket.tokens
        part = tokens * min(1.0, fraction / max(self._bucket.fraction, 1e-9))
        if urgent:
            part = max(part, min(fraction * self._bucket.burst, tokens))
        return part

    # Borrower.

    def plan_loans(
        self, peers: tuple[str, ...], loan_ids: LoanIds, now: float
    ) -> tuple[list[OutgoingRequest], list[OutgoingReturn]]:
        """Returns the requests and returns that the recent demand calls for.

        Args:
            peers: Live peers that may lend.
            loan_ids: Source of new loan ids.
            now: Monotonic seconds.
        """
        self.expire_loans(now)
        need = self.needed_fraction(now)
        returns = self._return_unneeded(need, now)
        requests = self._extend_loans(now)
        held = self._assigned - self._lent.total + self._background_fraction()
        deficit = need - held
        if deficit < max(MIN_FRACTION, 0.02 * need) or not peers:
            return requests, returns
        if now < self._background_backoff_until:
            return requests, returns
        pending_count = len(self._borrowed.pending)
        if pending_count > 2 * len(peers):
            return requests, returns
        self._background_backoff_until = now + BACKGROUND_BACKOFF_S
        part = min(
            deficit, max(2 * deficit / len(peers), MIN_BACKGROUND_FRACTION)
        )
        requests += [
            self._request_loan(peer, loan_ids.next(), part, LOAN_S, now)
            for peer in peers
        ]
        return requests, returns

    def request_urgent_loans(
        self,
        peers: tuple[str, ...],
        waiting: int,
        loan_ids: LoanIds,
        now: float,
    ) -> list[OutgoingRequest]:
        """Returns loan requests for callers that wait for a token.

        The first round goes to two peers only, so that one token does not
        collect the shares of the whole fleet: those that borrowed most from
        here, since the customer's tokens are where its demand is, and then
        the one that last had tokens. If it brings no tokens, the second round
        goes to all peers.

        Args:
            peers: Live peers that may lend.
            waiting: Number of callers that wait.
            loan_ids: Source of new loan ids.
            now: Monotonic seconds.
        """
        self.expire_loans(now)
        if (
            not peers
            or now < self._backoff_until
            or self.awaits_urgent_answer(now)
        ):
            return []
        missing = max(1.0, waiting - self._bucket.tokens)
        # Slightly more than the missing tokens, against rounding.
        fraction = min(1.0, 1.05 * missing / self._bucket.burst)
        lent = self._lent.by_borrower()
        order = sorted(
            peers,
            key=lambda peer: (-lent.get(peer, 0.0), peer != self._last_lender),
        )
        chosen = order[:2] if self._empty_rounds == 0 else order
        self._round_tokens = 0.0
        return [
            self._request_loan(
                peer, loan_ids.next(), fraction, URGENT_LOAN_S, now
            )
            for peer in chosen
        ]

    def apply_decision(
        self, loan_id: str, lender: str, decision: LoanDecision, now: float
    ) -> bool:
        """Applies a lender's answer and returns whether it came with tokens."""
        self.expire_loans(now)
        request = self._borrowed.pending.get(loan_id)
        urgent = request is not None and request.duration_s < LOAN_S
        if self._borrowed.apply_answer(loan_id, lender, decision.fraction, now):
            self._update_fraction(now)
            self._bucket.add_tokens(decision.tokens, now)
            self._record_gain(lender, decision, urgent)
        if urgent:
            self._finish_round(now)
        return decision.tokens > 0.0

    def record_no_answer(self, loan_id: str, now: float) -> None:
        """Removes a loan request that got no answer."""
        request = self._borrowed.pending.get(loan_id)
        self._borrowed.remove_request(loan_id)
        if request is not None and request.duration_s < LOAN_S:
            self._finish_round(now)

    def return_all_loans(self, now: float) -> list[OutgoingReturn]:
        """Returns loans to their lenders, for a shutdown.

        Loans that were lent on are not returned; they end by themselves.
        """
        self.expire_loans(now)
        return [
            self._return_loan(loan_id, now)
            for loan_id, loan in list(self._borrowed.loans.items())
            if self._may_return(loan)
        ]

    def _record_gain(
        self, lender: str, decision: LoanDecision, urgent: bool
    ) -> None:
        if not urgent:
            self._background_backoff_until = -math.inf
            return
        self._round_tokens += decision.tokens
        if decision.tokens > 0.0:
            self._last_lender = lender

    def _finish_round(self, now: float) -> None:
        """Ends a round of urgent requests unless answers are outstanding."""
        if self.awaits_urgent_answer(now):
            return
        if self._round_tokens > 0.0:
            self._empty_rounds = 0
            return
        self._empty_rounds += 1
        if self._empty_rounds > 1:
            self._empty_rounds = 0
            self._backoff_until = now + URGENT_BACKOFF_S

    def _return_unneeded(self, need: float, now: float) -> list[OutgoingReturn]:
        returns = []
        for loan_id, loan in list(self._borrowed.loans.items()):
            if loan_id in self._borrowed.pending or not self._may_return(loan):
                continue
            held = (
                self._assigned - self._lent.total + self._background_fraction()
            )
            if loan.urgent:
                age_s = now + URGENT_LOAN_S - loan.until
                unneeded = (
                    age_s > URGENT_ROUND_S
                    and not self.awaits_urgent_answer(now)
                )
            else:
                unneeded = held - loan.fraction >= 1.1 * need
            if unneeded:
                returns.append(self._return_loan(loan_id, now))
        return returns

    def _return_loan(self, loan_id: str, now: float) -> OutgoingReturn:
        loan = self._borrowed.loans[loan_id]
        part = min(1.0, loan.fraction / max(self._bucket.fraction, 1e-9))
        tokens = self._bucket.remove_tokens(self._bucket.tokens * part, now)
        self._borrowed.remove(loan_id)
        self._update_fraction(now)
        return OutgoingReturn(loan.lender, loan_id, tokens)

    def _extend_loans(self, now: float) -> list[OutgoingRequest]:
        return [
            self._request_loan(loan.lender, loan_id, loan.fraction, LOAN_S, now)
            for loan_id, loan in self._borrowed.loans.items()
            if not loan.urgent
            and loan.until - now < EXTEND_BEFORE_S
            and loan_id not in self._borrowed.pending
        ]

    def _request_loan(
        self,
        lender: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> OutgoingRequest:
        self._borrowed.add_request(loan_id, lender, duration_s, now)
        return OutgoingRequest(
            lender, self._name, loan_id, fraction, duration_s
        )

    def _background_fraction(self) -> float:
        loans = self._borrowed.loans.values()
        return math.fsum(loan.fraction for loan in loans if not loan.urgent)

    def _update_fraction(self, now: float) -> None:
        fraction = self._assigned - self._lent.total + self._borrowed.total
        self._bucket.set_fraction(fraction, now)
        self._update_next_end()

    def _update_next_end(self) -> None:
        self._next_end = min(self._lent.next_end, self._borrowed.next_end)
