"""All customers' shares at one instance; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.config.model import Customer
from radishmux.membership.roster_document import TOTAL_WEIGHT
from radishmux.share.customer_share import CustomerShare
from radishmux.share.loan_messages import (
    DECLINED,
    LoanDecision,
    LoanIds,
    OutgoingRequest,
    OutgoingReturn,
)
from radishmux.share.loans import MAX_LOAN_S

MAX_REMEMBERED_LOANS = 20_000


class ShareTable:
    """Shares by customer.

    Args:
        instance: Name of this instance.
        incarnation: Incarnation number of this process.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self._loan_ids = LoanIds(instance, incarnation)
        self._shares: dict[str, CustomerShare] = {}
        # Customers of the loans to peers, by loan id.
        self._customer_of_loan: dict[str, str] = {}
        self._weight = 0
        self._rotation = 0
        self._is_closing = False

    @property
    def weight(self) -> int:
        """Weight in force for the buckets."""
        return self._weight

    def get(self, customer: str) -> CustomerShare | None:
        """Returns the share of a customer, or None if it is unknown."""
        return self._shares.get(customer)

    def shares(self) -> tuple[CustomerShare, ...]:
        """Returns the shares of all customers, including removed ones."""
        return tuple(self._shares.values())

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Applies rates and bursts; the fractions stay."""
        configured = {customer.name: customer for customer in customers}
        for name in set(self._shares) - set(configured):
            # A removed customer has no rate. Its loans are still recorded, so
            # that a customer added again later starts from true fractions.
            self._shares[name].set_rate(1e-9, 1e-9, now)
        for name, customer in configured.items():
            share = self._shares.get(name)
            if share is not None:
                share.set_rate(customer.rate_per_s, customer.burst, now)
                continue
            share = CustomerShare(
                name, customer.rate_per_s, customer.burst, now
            )
            share.set_assigned_fraction(self._weight / TOTAL_WEIGHT, now)
            self._shares[name] = share

    def lower_weight(self, weight: int, now: float) -> int:
        """Lowers the weight as far as loans given to peers allow.

        Returns:
            The weight in force, at least `weight`.
        """
        lent = 0.0
        for share in self._shares.values():
            share.expire_loans(now)
            lent = max(lent, share.lent_fraction)
        # Rounded up, so that the weight still covers what is lent.
        min_weight = -int(-lent * TOTAL_WEIGHT // 1)
        self.set_weight(min(self._weight, max(weight, min_weight)), now)
        return self._weight

    def set_weight(self, weight: int, now: float) -> None:
        """Sets the weight that the roster assigns."""
        if weight == self._weight:
            return
        self._weight = weight
        for share in self._shares.values():
            share.set_assigned_fraction(weight / TOTAL_WEIGHT, now)

    def stop_lending(self) -> None:
        """Declines all loan requests from now on, for a shutdown."""
        self._is_closing = True

    def nothing_lent(self, now: float) -> bool:
        """Whether no fraction is lent to a peer any more."""
        for share in self._shares.values():
            share.expire_loans(now)
        return all(
            share.lent_fraction == 0.0 for share in self._shares.values()
        )

    def plan_loans(
        self, peers: tuple[str, ...], now: float
    ) -> tuple[list[OutgoingRequest], list[OutgoingReturn]]:
        """Returns the background requests and returns; call periodically."""
        requests: list[OutgoingRequest] = []
        returns: list[OutgoingReturn] = []
        order = self._rotate(peers)
        for share in self._shares.values():
            share_requests, share_returns = share.plan_loans(
                order, self._loan_ids, now
            )
            requests += share_requests
            returns += share_returns
        return requests, returns

    def request_urgent_loans(
        self, customer: str, peers: tuple[str, ...], waiting: int, now: float
    ) -> list[OutgoingRequest]:
        """Returns loan requests for `waiting` callers without a token."""
        share = self._shares[customer]
        order = self._rotate(peers)
        return share.request_urgent_loans(order, waiting, self._loan_ids, now)

    def handle_loan_request(
        self,
        borrower: str,
        customer: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> LoanDecision:
        """Answers a LoanRequest; call only with a lease that covers it."""
        share = self._shares.get(customer)
        valid = 0.0 < fraction <= 1.0 and 0.0 < duration_s <= MAX_LOAN_S
        if share is None or self._is_closing or not valid:
            return DECLINED
        self._customer_of_loan[loan_id] = customer
        self._drop_oldest_loans()
        return share.handle_loan_request(
            borrower, loan_id, fraction, duration_s, now
        )

    def handle_loan_return(
        self, borrower: str, loan_id: str, tokens: float, now: float
    ) -> bool:
        """Handles a LoanReturn; False if the loan had already ended."""
        share = self._shares.get(self._customer_of_loan.get(loan_id, ""))
        if share is None or tokens < 0.0:
            return False
        return share.handle_loan_return(borrower, loan_id, tokens, now)

    def end_loans_to(self, borrower: str, incarnation: int, now: float) -> None:
        """Ends the loans to a process that is certainly dead."""
        for share in self._shares.values():
            share.end_loans_to(borrower, incarnation, now)

    def apply_decision(
        self,
        request: OutgoingRequest,
        lender: str,
        decision: LoanDecision,
        now: float,
    ) -> bool:
        """Applies the answer to `request`; returns whether tokens came."""
        share = self._shares[request.customer]
        return share.apply_decision(request.loan_id, lender, decision, now)

    def record_no_answer(self, request: OutgoingRequest, now: float) -> None:
        """Removes a request that got no answer."""
        self._shares[request.customer].record_no_answer(request.loan_id, now)

    def return_all_loans(self, now: float) -> list[OutgoingReturn]:
        """Returns all borrowed fractions, for a shutdown."""
        return [
            loan_return
            for share in self._shares.values()
            for loan_return in share.return_all_loans(now)
        ]

    def _rotate(self, peers: tuple[str, ...]) -> tuple[str, ...]:
        # Spreads the first requests of a round over the peers.
        if not peers:
            return peers
        self._rotation = (self._rotation + 1) % len(peers)
        return peers[self._rotation :] + peers[: self._rotation]

    def _drop_oldest_loans(self) -> None:
        # Loans last a few seconds and only current ones can be returned. The
        # ids are in the order of their first request.
        while len(self._customer_of_loan) > MAX_REMEMBERED_LOANS:
            oldest = next(iter(self._customer_of_loan))
            del self._customer_of_loan[oldest]
