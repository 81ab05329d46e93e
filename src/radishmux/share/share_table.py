"""All customers' shares of one instance; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.config.model import Customer
from radishmux.membership.roster_document import TOTAL_WEIGHT
from radishmux.share.customer_share import CustomerShare
from radishmux.share.loan_terms import (
    DECLINED,
    Ask,
    GiveBack,
    Grant,
    LoanIds,
)
from radishmux.share.loans import MAX_LOAN_S

MAX_REMEMBERED_LOANS = 20_000


class ShareTable:
    """Shares by customer.

    Args:
        instance: This instance.
        incarnation: Number of this process's life.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self._loan_ids = LoanIds(instance, incarnation)
        self._shares: dict[str, CustomerShare] = {}
        self._customer_of_loan: dict[str, str] = {}
        self._weight = 0
        self._turn = 0
        self._closing = False

    @property
    def weight(self) -> int:
        """Weight in force for the buckets."""
        return self._weight

    def get(self, customer: str) -> CustomerShare | None:
        """Returns the share of a customer, or None if it is unknown."""
        return self._shares.get(customer)

    def shares(self) -> tuple[CustomerShare, ...]:
        """Returns all shares."""
        return tuple(self._shares.values())

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Applies rates and bursts; the fractions stay."""
        wanted = {customer.name: customer for customer in customers}
        for name in set(self._shares) - set(wanted):
            # A removed customer has no rate. Its loans stay in the books, so
            # that a customer added again later starts from true fractions.
            self._shares[name].set_rate(1e-9, 1e-9, now)
        for name, customer in wanted.items():
            share = self._shares.get(name)
            if share is not None:
                share.set_rate(customer.rate_per_s, customer.burst, now)
                continue
            share = CustomerShare(
                name, customer.rate_per_s, customer.burst, now
            )
            share.set_base(self._weight / TOTAL_WEIGHT, now)
            self._shares[name] = share

    def lower_weight(self, weight: int, now: float) -> int:
        """Lowers the weight as far as loans given to peers allow.

        Returns:
            The weight in force, at least `weight`.
        """
        lent = 0.0
        for share in self._shares.values():
            share.settle(now)
            lent = max(lent, share.lent)
        # Rounded up: what is lent must stay covered.
        floor = -int(-lent * TOTAL_WEIGHT // 1)
        self.set_weight(min(self._weight, max(weight, floor)), now)
        return self._weight

    def set_weight(self, weight: int, now: float) -> None:
        """Sets the weight that the roster assigns."""
        if weight == self._weight:
            return
        self._weight = weight
        for share in self._shares.values():
            share.set_base(weight / TOTAL_WEIGHT, now)

    def stop_lending(self) -> None:
        """Declines all requests from now on, for a shutdown."""
        self._closing = True

    def nothing_lent(self, now: float) -> bool:
        """Whether no share is lent to a peer any more."""
        for share in self._shares.values():
            share.settle(now)
        return all(share.lent == 0.0 for share in self._shares.values())

    def plan(
        self, peers: tuple[str, ...], now: float
    ) -> tuple[list[Ask], list[GiveBack]]:
        """Returns the background requests and returns; call periodically."""
        asks: list[Ask] = []
        returns: list[GiveBack] = []
        order = self._rotate(peers)
        for share in self._shares.values():
            more, back = share.plan(order, self._loan_ids, now)
            asks += more
            returns += back
        return asks, returns

    def ask_urgently(
        self, customer: str, peers: tuple[str, ...], waiting: int, now: float
    ) -> list[Ask]:
        """Returns requests for `waiting` callers without a token."""
        share = self._shares[customer]
        order = self._rotate(peers)
        return share.ask_urgently(order, waiting, self._loan_ids, now)

    def lend(
        self,
        borrower: str,
        customer: str,
        loan_id: str,
        fraction: float,
        duration_s: float,
        now: float,
    ) -> Grant:
        """Answers a LoanRequest; call only with a lease that covers it."""
        share = self._shares.get(customer)
        valid = 0.0 < fraction <= 1.0 and 0.0 < duration_s <= MAX_LOAN_S
        if share is None or self._closing or not valid:
            return DECLINED
        self._customer_of_loan[loan_id] = customer
        self._trim()
        return share.lend(borrower, loan_id, fraction, duration_s, now)

    def take_back(
        self, borrower: str, loan_id: str, tokens: float, now: float
    ) -> bool:
        """Handles a LoanReturn; False if the loan has already ended."""
        share = self._shares.get(self._customer_of_loan.get(loan_id, ""))
        if share is None or tokens < 0.0:
            return False
        return share.take_back(borrower, loan_id, tokens, now)

    def end_loans_to(self, borrower: str, incarnation: int, now: float) -> None:
        """Ends the loans to a process that is gone for certain."""
        for share in self._shares.values():
            share.end_loans_to(borrower, incarnation, now)

    def take_grant(
        self, ask: Ask, lender: str, grant: Grant, now: float
    ) -> bool:
        """Enters the answer to `ask`; returns whether tokens came."""
        share = self._shares[ask.customer]
        return share.take_grant(ask.loan_id, lender, grant, now)

    def fail(self, ask: Ask, now: float) -> None:
        """Notes that `ask` got no answer."""
        self._shares[ask.customer].fail(ask.loan_id, now)

    def return_all(self, now: float) -> list[GiveBack]:
        """Returns all borrowed fractions, for a shutdown."""
        return [
            back
            for share in self._shares.values()
            for back in share.return_all(now)
        ]

    def _rotate(self, peers: tuple[str, ...]) -> tuple[str, ...]:
        # Spreads the first requests of a round over the peers.
        if not peers:
            return peers
        self._turn = (self._turn + 1) % len(peers)
        return peers[self._turn :] + peers[: self._turn]

    def _trim(self) -> None:
        # Only loans of the last seconds can be returned; ids are in order of
        # their first request.
        while len(self._customer_of_loan) > MAX_REMEMBERED_LOANS:
            oldest = next(iter(self._customer_of_loan))
            del self._customer_of_loan[oldest]
