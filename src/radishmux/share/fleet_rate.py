"""Divides each customer's rate among the instances by demand; pure.

All instances compute the division from the same reports of demand, so that
their fractions sum to about one without a message per request.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from radishmux.config.routing import CustomerTerms
from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter

# Demand that every instance is taken to have, as part of the customer's rate
# divided by the instances, so that callers who arrive find something.
IDLE_PART = 0.25


class DemandReport(msgspec.Struct, frozen=True):
    """Demand at one instance when it last told its peers.

    Attributes:
        demands: Requests per second by customer, refused ones included.
    """

    demands: dict[str, float]


class _Share:
    __slots__ = ("bucket", "demand", "terms")

    def __init__(self, terms: CustomerTerms, now: float) -> None:
        self.terms = terms
        self.bucket = FractionBucket(terms.rate_per_s, terms.burst, now)
        self.demand = DemandMeter(now)


class FleetRates:
    """This instance's part of every customer's rate."""

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}
        self._own = DemandReport({})
        self._peers: dict[str, DemandReport] = {}
        self._isolated = False

    def set_customers(
        self, customers: Iterable[CustomerTerms], now: float
    ) -> None:
        """Sets the customers; tokens of new ones accrue from now."""
        names = set()
        for customer in customers:
            names.add(customer.name)
            self._share(customer, now)
        for name in self._shares.keys() - names:
            del self._shares[name]

    def take(self, customer: CustomerTerms, now: float) -> bool:
        """Takes one request out of a customer's part, if there is one."""
        if customer.rate_per_s <= 0:
            return True
        share = self._share(customer, now)
        share.demand.note(now)
        return share.bucket.take(now)

    def wait_s(self, customer: CustomerTerms, now: float) -> float:
        """Returns the seconds until the next request may be admitted."""
        return min(1.0, self._share(customer, now).bucket.wait_s(now))

    def report(self, now: float) -> DemandReport:
        """Returns the demand for the peers; own shares follow it from now."""
        self._own = DemandReport(
            {
                name: share.demand.rate_per_s(now)
                for name, share in self._shares.items()
            }
        )
        self._divide(now)
        return self._own

    def take_report(
        self, instance: str, report: DemandReport, now: float
    ) -> None:
        """Takes a peer's demand."""
        self._peers[instance] = report
        self._divide(now)

    def set_instances(self, peers: set[str], now: float) -> None:
        """Sets the peers that take part; a new one counts as idle."""
        for name in self._peers.keys() - peers:
            del self._peers[name]
        for name in peers - self._peers.keys():
            self._peers[name] = DemandReport({})
        self._divide(now)

    def set_isolated(self, isolated: bool, now: float) -> None:
        """Sets whether the peers may have divided without this instance."""
        if isolated != self._isolated:
            self._isolated = isolated
            self._divide(now)

    def fraction(self, customer: str) -> float:
        """Returns this instance's part of a customer's rate, 0 to 1."""
        share = self._shares.get(customer)
        return share.bucket.fraction if share else 0.0

    def _share(self, customer: CustomerTerms, now: float) -> _Share:
        share = self._shares.get(customer.name)
        if share is None:
            share = self._shares[customer.name] = _Share(customer, now)
            self._set_fraction(share, now)
        elif share.terms is not customer:
            share.terms = customer
            share.bucket.set_rate(customer.rate_per_s, customer.burst, now)
        return share

    def _divide(self, now: float) -> None:
        for share in self._shares.values():
            self._set_fraction(share, now)

    def _set_fraction(self, share: _Share, now: float) -> None:
        name = share.terms.name
        count = len(self._peers) + 1
        idle = IDLE_PART * share.terms.rate_per_s / count
        own = self._own.demands.get(name, 0.0) + idle
        total = own + sum(
            report.demands.get(name, 0.0) + idle
            for report in self._peers.values()
        )
        fraction = own / total if total > 0 else 1.0 / count
        if self._isolated:
            fraction = min(fraction, 1.0 / count) / 2
        share.bucket.set_fraction(fraction, now)
