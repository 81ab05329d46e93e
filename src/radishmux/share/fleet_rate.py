"""Divides each customer's rate among its token holders by demand; pure.

In each region one instance, the customer's token holder, has the region's
part. While a holder is being replaced there may be two, of which each has a
part by the demand that it sees. All holders compute the division from the
same reports of demand, so that their fractions sum to about one. Parts of
single instances would be less than one token for small customers in a large
fleet.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from radishmux.config.routing import CustomerTerms
from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter
from radishmux.share.division import (
    DemandReport,
    RateDivision,
    RegionVisibility,
)
from radishmux.share.holding import Holding, MovedHolding

# Part of the operators' overrun that is divided too.
OVERRUN_USED = 0.8
# Part of the operators' slack that is divided as tokens which a bucket may
# hold beyond its part of the burst: a part of a small customer's burst can be
# less than one token, and would admit nothing.
SLACK_USED = 0.9
# A holder that nobody takes to be one any more goes on for this long after the
# latest question, since instances learn of changes one after the other.
HOLD_S = 2.0
# An instance that begins to hold tokens because it was asked may be cut off. It
# knows so after this long without reports, see `gateway.reports`.
ISOLATION_DETECTION_S = 0.75
# Part of a bucket that is not given out ahead of demand: tokens that wait at
# other instances come on top of the burst.
AHEAD_RESERVE = 0.5
# Longest pause that a refusal names.
MAX_WAIT_S = 1.0
# Tokens that sums of fractions may lack.
_ROUNDING = 1e-9


class _Share:
    """A customer's bucket at this instance.

    Attributes:
        terms: The customer.
        bucket: Tokens of the region's part.
        demand: Requests that asked for tokens.
        told_per_s: Demand in the latest reports, the newest last; others may
            not have the newest ones yet.
        granted: Tokens that were given out.
        refused: Requests that got none.
        unconfirmed_until: Monotonic time until which it is open whether peers
            hear this instance.
        held_until: Monotonic time until which this instance is a holder;
            -inf: it is none, and the bucket is empty.
    """

    __slots__ = (
        "bucket",
        "demand",
        "granted",
        "held_until",
        "refused",
        "terms",
        "told_per_s",
        "unconfirmed_until",
    )

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
        self.told_per_s: deque[float] = deque([0.0], maxlen=2)
        self.granted = 0
        self.refused = 0
        self.unconfirmed_until = -math.inf
        self.held_until = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether this instance gives out tokens."""
        return self.held_until > -math.inf

    def drop(self, now: float) -> None:
        """Ends the holding; tokens that are left are lost."""
        self.held_until = -math.inf
        self.bucket.set_fraction(0.0, now)
        self.demand = DemandMeter(now)
        self.told_per_s = deque([0.0], maxlen=self.told_per_s.maxlen)


class FleetRates:
    """The region's parts of customers' rates, as far as they are held here.

    Args:
        overrun: Fraction by which a customer may exceed its rate.
        slack: Requests by which it may exceed its rate and burst in a window.
        instance: Name of this instance.
    """

    def __init__(
        self, overrun: float = 0.0, slack: float = 0.0, instance: str = ""
    ) -> None:
        self._instance = instance
        self._overrun = overrun
        self._slack = slack
        self._shares: dict[str, _Share] = {}
        self._held: frozenset[str] = frozenset()
        # Holdings of customers that are not known yet, and until when they are
        # kept.
        self._early: list[tuple[MovedHolding, float]] = []
        # Reports after which others know of growth.
        self._lag = 1
        self._division = RateDivision()

    @property
    def customers(self) -> tuple[str, ...]:
        """Names of all customers that have a rate."""
        return tuple(
            name
            for name, share in self._shares.items()
            if share.terms.rate_per_s > 0
        )

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
        early, self._early = self._early, []
        for moved, until in early:
            if now < until:
                self.take_over(moved, now)

    @property
    def held_customers(self) -> frozenset[str]:
        """Names of the customers whose tokens are given out here."""
        return frozenset(
            name for name, share in self._shares.items() if share.is_held
        )

    def is_held(self, customer: str) -> bool:
        """Whether a customer's tokens are given out here."""
        share = self._shares.get(customer)
        return share is not None and share.is_held

    def has_customer(self, customer: str) -> bool:
        """Whether a customer is part of the configuration."""
        return customer in self._shares

    def set_assigned_customers(self, customers: frozenset[str]) -> None:
        """Sets the customers whose tokens this instance is to hold."""
        self._held = customers

    def take_tokens(
        self, customer: str, arrived: int, wanted: int, now: float
    ) -> int:
        """Takes tokens out of the region's part.

        Args:
            customer: Name of the customer.
            arrived: Requests that have not asked before.
            wanted: Tokens that are wanted; those beyond `arrived` are ahead
                of demand, and given from a bucket with room only.
            now: Monotonic seconds.

        Returns:
            How many tokens were taken.
        """
        share = self._shares.get(customer)
        if share is None:
            return 0
        self._hold(share, now)
        share.demand.record(now, arrived)
        share.bucket.advance(now)
        spare = share.bucket.tokens - AHEAD_RESERVE * share.bucket.capacity
        needed = max(1, arrived)
        wanted = min(wanted, needed + max(0, math.floor(spare)))
        taken = min(wanted, math.floor(share.bucket.tokens + _ROUNDING))
        taken = round(share.bucket.withdraw(float(taken), now))
        share.granted += taken
        share.refused += max(0, arrived - taken)
        return taken

    def wait_s(self, customer: str, now: float) -> float:
        """Returns the seconds until a token accrues, at most MAX_WAIT_S."""
        share = self._shares.get(customer)
        if share is None:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, share.bucket.wait_s(now))

    def measure_demand(self, now: float) -> DemandReport:
        """Returns the demand in this region, for the customers held here.

        Own demand that has grown counts here later than in other regions, so
        that nobody takes more before the others take less.
        """
        for share in self._shares.values():
            self._refresh_hold(share, now)
        demands = {}
        for name, share in self._shares.items():
            if share.is_held:
                rate_per_s = share.demand.rate_per_s(now)
                share.told_per_s.append(rate_per_s)
                demands[name] = {self._instance: rate_per_s}
        self._divide(now)
        return DemandReport(demands)

    def update_region_demand(
        self, region: str, report: DemandReport | None, now: float
    ) -> None:
        """Takes another region's demand; None: nothing was heard of it."""
        if self._division.update_region_demand(region, report):
            self._divide(now)

    def update_rival_demand(self, report: DemandReport, now: float) -> None:
        """Takes the demand at other token holders of the own region."""
        if self._division.update_rival_demand(report):
            self._divide(now)

    def set_regions(self, regions: set[str], lag: int, now: float) -> None:
        """Sets who takes part; a new region is silent at first.

        Args:
            regions: The other regions.
            lag: Reports after which other regions know of growth.
            now: Monotonic seconds.
        """
        if self._division.set_regions(regions):
            self._divide(now)
        if lag != self._lag:
            self._lag = lag
            for share in self._shares.values():
                share.told_per_s = deque(share.told_per_s, maxlen=1 + lag)

    def set_region_visibility(
        self, reach: RegionVisibility, now: float
    ) -> None:
        """Sets how many instances of the region are heard."""
        if self._division.set_region_visibility(reach):
            self._divide(now)

    def set_entitled(self, is_entitled: bool, now: float) -> None:
        """Sets whether other instances keep parts of the rates for this one."""
        if self._division.set_entitled(is_entitled):
            self._divide(now)

    def demand_per_s(self, customer: str, now: float) -> float:
        """Returns the requests per second that ask for tokens here."""
        share = self._shares.get(customer)
        return share.demand.rate_per_s(now) if share else 0.0

    def fraction(self, customer: str) -> float:
        """Returns the part of a customer's rate that is held here, 0 to 1."""
        share = self._shares.get(customer)
        return share.bucket.fraction if share else 0.0

    def release_holding(self, customer: str, now: float) -> MovedHolding | None:
        """Ends a holding for the region's next holder; None: there is none."""
        share = self._shares.get(customer)
        if share is None or not share.is_held:
            return None
        share.bucket.advance(now)
        moved = MovedHolding(
            customer,
            self._instance,
            share.bucket.tokens,
            share.demand.rate_per_s(now),
            min(share.told_per_s),
        )
        share.drop(now)
        return moved

    def take_over(self, moved: MovedHolding, now: float) -> None:
        """Takes a holding that another instance released.

        An instance that has just started may not have read the customers yet.
        """
        share = self._shares.get(moved.customer)
        if share is None:
            kept = [one for one in self._early if now < one[1]]
            self._early = [*kept, (moved, now + HOLD_S)]
            return
        share.held_until = max(share.held_until, now + HOLD_S)
        share.demand.add(moved.demand_per_s, now)
        counted_per_s = min(share.told_per_s) + moved.counted_per_s
        share.told_per_s = deque(
            [counted_per_s], maxlen=share.told_per_s.maxlen
        )
        self._set_fraction(share, now)
        share.bucket.put(moved.tokens, now)

    def holdings(self, now: float) -> list[Holding]:
        """Returns what is held here, by customer."""
        return [
            Holding(
                name,
                share.held_until == math.inf,
                share.bucket.fraction,
                share.bucket.tokens,
                share.demand.rate_per_s(now),
                self._division.rivals(name),
                self._division.others(name),
                share.granted,
                share.refused,
            )
            for name, share in self._shares.items()
            if share.terms.rate_per_s > 0 and share.is_held
        ]

    def _hold(self, share: _Share, now: float) -> None:
        """Makes this instance a holder because it was asked.

        It has no tokens at first: others may have given them out.
        """
        was_held = share.is_held
        share.held_until = max(share.held_until, now + HOLD_S)
        if not was_held:
            if share.terms.name not in self._held:
                share.unconfirmed_until = now + ISOLATION_DETECTION_S
            self._set_fraction(share, now)

    def _refresh_hold(self, share: _Share, now: float) -> None:
        if share.terms.name in self._held:
            share.held_until = math.inf
        elif share.held_until == math.inf:
            share.held_until = now + HOLD_S
        elif share.is_held and share.held_until < now:
            share.drop(now)

    def _share(self, customer: CustomerTerms, now: float) -> _Share:
        share = self._shares.get(customer.name)
        if share is None:
            share = self._shares[customer.name] = _Share(
                customer,
                self._divided_rate(customer),
                self._least_tokens,
                now,
            )
            share.told_per_s = deque([0.0], maxlen=1 + self._lag)
            self._set_fraction(share, now)
        elif share.terms is not customer:
            share.terms = customer
            rate_per_s = self._divided_rate(customer)
            share.bucket.set_rate(rate_per_s, customer.burst, now)
        return share

    @property
    def _least_tokens(self) -> float:
        return SLACK_USED * self._slack / self._division.regions

    def _divided_rate(self, customer: CustomerTerms) -> float:
        """Returns the rate that is divided.

        Tokens are lost where demand moves away before they are used; the
        overrun that operators allow makes up for them.
        """
        return customer.rate_per_s * (1.0 + OVERRUN_USED * self._overrun)

    def _divide(self, now: float) -> None:
        for share in self._shares.values():
            if share.is_held:
                self._set_fraction(share, now)

    def _set_fraction(self, share: _Share, now: float) -> None:
        if not share.is_held:
            share.bucket.set_fraction(0.0, now)
            return
        share.bucket.set_least_capacity(self._least_tokens, now)
        fraction = self._division.fraction(
            share.terms, min(share.told_per_s), now >= share.unconfirmed_until
        )
        share.bucket.set_fraction(fraction, now)
