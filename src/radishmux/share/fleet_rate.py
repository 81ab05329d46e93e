"""Divides each customer's rate among the instances by demand; pure.

All instances compute the division from the same reports of demand, so that
their fractions sum to about one without a message per request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from radishmux.config.routing import CustomerTerms
from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter

# Demand that every instance is taken to have, as part of the customer's rate
# divided by the instances, so that callers who arrive find something.
IDLE_PART = 0.5
# Part of the operators' overrun that is divided too.
OVERRUN_USED = 0.8
# Part of the operators' slack that is divided as tokens which a bucket may
# hold beyond its part of the burst: a part of a small customer's burst can be
# less than one token, and would admit nothing.
SLACK_USED = 0.9
# Part of a burst that a starting instance has. What the process before it
# used counts in the same window, so that it cannot have all of it again.
START_PART = 0.3
# Longest pause that a refusal names.
MAX_WAIT_S = 1.0


class DemandReport(msgspec.Struct, frozen=True):
    """Demand at one instance when it last told its peers.

    Attributes:
        demands: Requests per second by customer, refused ones included.
    """

    demands: dict[str, float]


class _Share:
    __slots__ = ("bucket", "demand", "is_started", "terms")

    def __init__(
        self,
        terms: CustomerTerms,
        rate_per_s: float,
        least_tokens: float,
        now: float,
    ) -> None:
        self.terms = terms
        self.bucket = FractionBucket(rate_per_s, terms.burst, now, least_tokens)
        self.demand = DemandMeter(now)
        self.is_started = False


class FleetRates:
    """This instance's part of every customer's rate.

    Args:
        overrun: Fraction by which a customer may exceed its rate.
        slack: Requests by which it may exceed its rate and burst in a window.
    """

    def __init__(self, overrun: float = 0.0, slack: float = 0.0) -> None:
        self._overrun = overrun
        self._slack = slack
        self._shares: dict[str, _Share] = {}
        # The latest report, which peers may not have yet, and the one before.
        self._own = DemandReport({})
        self._known = DemandReport({})
        # None: the peer is silent, and may have any demand.
        self._peers: dict[str, DemandReport | None] = {}
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

    def take_again(self, customer: CustomerTerms, now: float) -> bool:
        """Like `take`, for a request that was counted before."""
        return self._share(customer, now).bucket.take(now)

    def wait_s(self, customer: CustomerTerms, ahead: int, now: float) -> float:
        """Returns the seconds until a token accrues, at most MAX_WAIT_S.

        Args:
            customer: The customer.
            ahead: Requests that wait for a token already.
            now: Monotonic seconds.
        """
        bucket = self._share(customer, now).bucket
        return min(MAX_WAIT_S, bucket.wait_s(now, ahead))

    def lenders(self, customer: str) -> list[str]:
        """Returns the heard peers, those with the least demand first."""
        heard = [
            (report.demands.get(customer, 0.0), name)
            for name, report in self._peers.items()
            if report is not None
        ]
        return [name for _, name in sorted(heard)]

    def give(self, customer: str, wanted: float, now: float) -> float:
        """Takes tokens out of this instance's part for a peer.

        Half of them stay, for callers of this instance.

        Returns:
            How many whole tokens the peer may use.
        """
        share = self._shares.get(customer)
        if share is None:
            return 0.0
        share.bucket.advance(now)
        spare = math.floor(share.bucket.tokens / 2)
        return share.bucket.withdraw(min(float(spare), wanted), now)

    def receive(self, customer: str, tokens: float, now: float) -> None:
        """Adds tokens that a peer gave."""
        share = self._shares.get(customer)
        if share is not None:
            share.bucket.put(tokens, now)

    def report(self, now: float) -> DemandReport:
        """Returns the demand for the peers.

        Own demand that has grown counts here one report later than at the
        peers, so that nobody takes more before the others take less.
        """
        self._known = self._own
        self._own = DemandReport(
            {
                name: share.demand.rate_per_s(now)
                for name, share in self._shares.items()
            }
        )
        self._divide(now)
        for share in self._shares.values():
            if not share.is_started:
                share.is_started = True
                tokens = START_PART * share.bucket.capacity
                share.bucket.put(tokens, now)
        return self._own

    def take_report(
        self, instance: str, report: DemandReport, now: float
    ) -> None:
        """Takes a peer's demand."""
        if instance in self._peers:
            self._peers[instance] = report
            self._divide(now)

    def set_instances(self, peers: set[str], now: float) -> None:
        """Sets the peers that take part; a new one is silent at first."""
        for name in self._peers.keys() - peers:
            del self._peers[name]
        for name in peers - self._peers.keys():
            self._peers[name] = None
        self._divide(now)

    def set_silent(self, instance: str, now: float) -> None:
        """Takes the news that a peer has not been heard for a while."""
        if self._peers.get(instance) is not None:
            self._peers[instance] = None
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
            share = self._shares[customer.name] = _Share(
                customer,
                self._divided_rate(customer),
                SLACK_USED * self._slack / (len(self._peers) + 1),
                now,
            )
            self._set_fraction(share, now)
        elif share.terms is not customer:
            share.terms = customer
            rate_per_s = self._divided_rate(customer)
            share.bucket.set_rate(rate_per_s, customer.burst, now)
        return share

    def _divided_rate(self, customer: CustomerTerms) -> float:
        """Returns the rate that is divided.

        Tokens are lost where demand moves away before they are used; the
        overrun that operators allow makes up for them.
        """
        return customer.rate_per_s * (1.0 + OVERRUN_USED * self._overrun)

    def _divide(self, now: float) -> None:
        for share in self._shares.values():
            self._set_fraction(share, now)

    def _set_fraction(self, share: _Share, now: float) -> None:
        name = share.terms.name
        count = len(self._peers) + 1
        least = SLACK_USED * self._slack / count
        share.bucket.set_least_capacity(least, now)
        even = share.terms.rate_per_s / count
        idle = IDLE_PART * even
        demand = min(
            self._own.demands.get(name, 0.0), self._known.demands.get(name, 0.0)
        )
        own = demand + idle
        total = own
        for report in self._peers.values():
            if report is None:
                total += max(own, idle)
            else:
                total += report.demands.get(name, 0.0) + idle
        fraction = own / total if total > 0 else 1.0 / count
        if self._isolated:
            fraction = min(fraction, 1.0 / count) / 2
        share.bucket.set_fraction(fraction, now)
