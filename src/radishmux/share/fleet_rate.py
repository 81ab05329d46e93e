"""Divides each customer's rate among its token holders by demand; pure.

In each region one instance, the customer's token holder, has the region's
part of the rate. While a holder is being replaced there may be two, and each
has a part in proportion to the demand that it sees. All holders compute the
division from the same demand reports, so that their fractions sum to about
one. A separate part for each instance would be less than one token for small
customers in a large fleet.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from radishmux.config.routing import CustomerPolicy
from radishmux.share.bucket import FractionBucket
from radishmux.share.demand import DemandMeter
from radishmux.share.division import (
    DemandReport,
    RateDivision,
    RegionVisibility,
)
from radishmux.share.holding import Holding, MovedHolding

# Fraction of the allowed overrun that is divided along with the rate.
OVERRUN_FRACTION = 0.8
# Fraction of the allowed slack that is divided as a minimum capacity of the
# buckets. A part of a small customer's burst can be less than one token, and
# such a bucket would admit nothing.
SLACK_FRACTION = 0.9
# An instance that is not the assigned holder continues to grant tokens for
# this long after the latest request for them, since instances learn of a
# change of holder at different times.
HOLD_S = 2.0
# An instance that starts to hold tokens because it was asked for them may be
# cut off. After this long without reports it counts as isolated; see
# `gateway.reports`.
ISOLATION_DETECTION_S = 0.75
# Fraction of a bucket's capacity that is not granted ahead of demand, since
# tokens that wait at other instances come on top of the burst.
PREFETCH_RESERVE = 0.5
# Longest time until the next attempt that a refusal names.
MAX_WAIT_S = 1.0
# Rounding error of sums of fractions, in tokens.
_ROUNDING = 1e-9


class _CustomerBucket:
    """A customer's token bucket and demand at this instance.

    Attributes:
        terms: The customer.
        bucket: Tokens of the region's part.
        demand: Meter of the requests that asked for tokens.
        reported_per_s: Demand in the latest reports, the newest last. Other
            holders may not have received the newest ones yet.
        granted: Number of tokens granted.
        refused: Number of requests that got no token.
        unconfirmed_until: Monotonic time until which it is unknown whether
            peers hear this instance.
        held_until: Monotonic time until which this instance is a holder. If it
            is -inf, this instance is not a holder and the bucket is empty.
    """

    __slots__ = (
        "bucket",
        "demand",
        "granted",
        "held_until",
        "refused",
        "reported_per_s",
        "terms",
        "unconfirmed_until",
    )

    def __init__(
        self,
        terms: CustomerPolicy,
        rate_per_s: float,
        min_capacity: float,
        now: float,
    ) -> None:
        self.terms = terms
        self.bucket = FractionBucket(rate_per_s, terms.burst, now, min_capacity)
        self.demand = DemandMeter(now)
        self.reported_per_s: deque[float] = deque([0.0], maxlen=2)
        self.granted = 0
        self.refused = 0
        self.unconfirmed_until = -math.inf
        self.held_until = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether this instance grants tokens of the customer."""
        return self.held_until > -math.inf

    def end_holding(self, now: float) -> None:
        """Stops granting tokens and discards those that are left."""
        self.held_until = -math.inf
        self.bucket.set_fraction(0.0, now)
        self.demand = DemandMeter(now)
        self.reported_per_s = deque([0.0], maxlen=self.reported_per_s.maxlen)


class FleetRates:
    """Token buckets of the customers whose tokens this instance holds.

    Args:
        overrun: Fraction by which a customer may exceed its rate.
        slack: Requests by which a customer may exceed its rate and burst in a
            window.
        instance: Name of this instance.
    """

    def __init__(
        self, overrun: float = 0.0, slack: float = 0.0, instance: str = ""
    ) -> None:
        self._instance = instance
        self._overrun = overrun
        self._slack = slack
        self._buckets: dict[str, _CustomerBucket] = {}
        self._assigned: frozenset[str] = frozenset()
        # Holdings that arrived before their customer was configured here, with
        # the monotonic times when they expire.
        self._pending_holdings: list[tuple[MovedHolding, float]] = []
        # Number of reports after which other regions know of growth.
        self._report_lag = 1
        self._division = RateDivision()

    @property
    def customers(self) -> tuple[str, ...]:
        """Names of all customers that have a rate."""
        return tuple(
            name
            for name, entry in self._buckets.items()
            if entry.terms.rate_per_s > 0
        )

    def set_customers(
        self, customers: Iterable[CustomerPolicy], now: float
    ) -> None:
        """Sets the customers; tokens of new ones accrue from `now`."""
        names = set()
        for customer in customers:
            names.add(customer.name)
            self._configure(customer, now)
        for name in self._buckets.keys() - names:
            del self._buckets[name]
        pending, self._pending_holdings = self._pending_holdings, []
        for moved, until in pending:
            if now < until:
                self.take_over(moved, now)

    @property
    def held_customers(self) -> frozenset[str]:
        """Names of the customers whose tokens are granted here."""
        return frozenset(
            name for name, entry in self._buckets.items() if entry.is_held
        )

    def is_held(self, customer: str) -> bool:
        """Whether a customer's tokens are granted here."""
        entry = self._buckets.get(customer)
        return entry is not None and entry.is_held

    def has_customer(self, customer: str) -> bool:
        """Whether a customer is part of the configuration."""
        return customer in self._buckets

    def set_assigned_customers(self, customers: frozenset[str]) -> None:
        """Sets the customers whose tokens this instance has to hold."""
        self._assigned = customers

    def take_tokens(
        self, customer: str, arrived: int, wanted: int, now: float
    ) -> int:
        """Takes tokens from a customer's bucket.

        An instance that is not the assigned holder becomes one for a while.

        Args:
            customer: Name of the customer.
            arrived: Number of requests that have not asked before.
            wanted: Number of tokens wanted. Those beyond `arrived` are
                prefetched ahead of demand and are granted only from what the
                bucket holds above its reserve.
            now: Monotonic seconds.

        Returns:
            Number of tokens taken.
        """
        entry = self._buckets.get(customer)
        if entry is None:
            return 0
        self._hold_on_demand(entry, now)
        entry.demand.record(now, arrived)
        entry.bucket.advance(now)
        spare = entry.bucket.tokens - PREFETCH_RESERVE * entry.bucket.capacity
        needed = max(1, arrived)
        wanted = min(wanted, needed + max(0, math.floor(spare)))
        taken = min(wanted, math.floor(entry.bucket.tokens + _ROUNDING))
        taken = round(entry.bucket.remove_tokens(float(taken), now))
        entry.granted += taken
        entry.refused += max(0, arrived - taken)
        return taken

    def wait_s(self, customer: str, now: float) -> float:
        """Returns the seconds until a token accrues, at most MAX_WAIT_S."""
        entry = self._buckets.get(customer)
        if entry is None:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, entry.bucket.wait_s(now))

    def measure_demand(self, now: float) -> DemandReport:
        """Measures the demand of the customers held here and divides the rates.

        Called once in each report period. Demand that has grown here counts
        in the own division only when other regions know of it, so that no
        holder takes a larger part before the others take smaller ones.

        Returns:
            The demand, to be reported to other instances.
        """
        for entry in self._buckets.values():
            self._update_hold(entry, now)
        demands = {}
        for name, entry in self._buckets.items():
            if entry.is_held:
                rate_per_s = entry.demand.rate_per_s(now)
                entry.reported_per_s.append(rate_per_s)
                demands[name] = {self._instance: rate_per_s}
        self._update_fractions(now)
        return DemandReport(demands)

    def update_region_demand(
        self, region: str, report: DemandReport | None, now: float
    ) -> None:
        """Applies another region's demand; None if the region is not heard."""
        if self._division.update_region_demand(region, report):
            self._update_fractions(now)

    def update_rival_demand(self, report: DemandReport, now: float) -> None:
        """Applies the demand at other token holders of the own region."""
        if self._division.update_rival_demand(report):
            self._update_fractions(now)

    def set_regions(self, regions: set[str], lag: int, now: float) -> None:
        """Sets the other regions; the demand of a new one is unknown.

        Args:
            regions: The other regions.
            lag: Number of reports after which other regions know of growth.
            now: Monotonic seconds.
        """
        if self._division.set_regions(regions):
            self._update_fractions(now)
        if lag != self._report_lag:
            self._report_lag = lag
            for entry in self._buckets.values():
                entry.reported_per_s = deque(
                    entry.reported_per_s, maxlen=1 + lag
                )

    def set_region_visibility(
        self, visibility: RegionVisibility, now: float
    ) -> None:
        """Sets how many instances of the own region are heard."""
        if self._division.set_region_visibility(visibility):
            self._update_fractions(now)

    def set_entitled(self, is_entitled: bool, now: float) -> None:
        """Sets whether other instances leave a part of the rates here."""
        if self._division.set_entitled(is_entitled):
            self._update_fractions(now)

    def demand_per_s(self, customer: str, now: float) -> float:
        """Returns the requests per second that ask for tokens here."""
        entry = self._buckets.get(customer)
        return entry.demand.rate_per_s(now) if entry else 0.0

    def fraction(self, customer: str) -> float:
        """Returns the fraction of a customer's rate held here, 0 to 1."""
        entry = self._buckets.get(customer)
        return entry.bucket.fraction if entry else 0.0

    def release_holding(self, customer: str, now: float) -> MovedHolding | None:
        """Ends a holding and returns it for the region's next holder.

        Returns:
            The tokens and demand to move, or None if nothing is held here.
        """
        entry = self._buckets.get(customer)
        if entry is None or not entry.is_held:
            return None
        entry.bucket.advance(now)
        moved = MovedHolding(
            customer,
            self._instance,
            entry.bucket.tokens,
            entry.demand.rate_per_s(now),
            min(entry.reported_per_s),
        )
        entry.end_holding(now)
        return moved

    def take_over(self, moved: MovedHolding, now: float) -> None:
        """Continues a holding that another instance released.

        An instance that has just started may not have read the customers yet.
        It keeps the holding for up to `HOLD_S` until the customer is set.
        """
        entry = self._buckets.get(moved.customer)
        if entry is None:
            kept = [
                pending
                for pending in self._pending_holdings
                if now < pending[1]
            ]
            self._pending_holdings = [*kept, (moved, now + HOLD_S)]
            return
        entry.held_until = max(entry.held_until, now + HOLD_S)
        entry.demand.add_rate(moved.demand_per_s, now)
        counted_per_s = min(entry.reported_per_s) + moved.counted_per_s
        entry.reported_per_s = deque(
            [counted_per_s], maxlen=entry.reported_per_s.maxlen
        )
        self._update_fraction(entry, now)
        entry.bucket.add_tokens(moved.tokens, now)

    def holdings(self, now: float) -> list[Holding]:
        """Returns one record for each customer held here."""
        return [
            Holding(
                name,
                entry.held_until == math.inf,
                entry.bucket.fraction,
                entry.bucket.tokens,
                entry.demand.rate_per_s(now),
                self._division.rival_demands(name),
                self._division.other_region_demands(name),
                entry.granted,
                entry.refused,
            )
            for name, entry in self._buckets.items()
            if entry.terms.rate_per_s > 0 and entry.is_held
        ]

    def _hold_on_demand(self, entry: _CustomerBucket, now: float) -> None:
        """Makes this instance a holder because it was asked for tokens.

        The bucket is empty at first, since other instances may have granted
        the tokens already.
        """
        was_held = entry.is_held
        entry.held_until = max(entry.held_until, now + HOLD_S)
        if not was_held:
            if entry.terms.name not in self._assigned:
                entry.unconfirmed_until = now + ISOLATION_DETECTION_S
            self._update_fraction(entry, now)

    def _update_hold(self, entry: _CustomerBucket, now: float) -> None:
        """Extends, limits or ends a holding according to the assignment."""
        if entry.terms.name in self._assigned:
            entry.held_until = math.inf
        elif entry.held_until == math.inf:
            entry.held_until = now + HOLD_S
        elif entry.is_held and entry.held_until < now:
            entry.end_holding(now)

    def _configure(
        self, customer: CustomerPolicy, now: float
    ) -> _CustomerBucket:
        """Creates or updates the bucket of a customer."""
        entry = self._buckets.get(customer.name)
        if entry is None:
            entry = self._buckets[customer.name] = _CustomerBucket(
                customer,
                self._divided_rate(customer),
                self._min_capacity,
                now,
            )
            entry.reported_per_s = deque([0.0], maxlen=1 + self._report_lag)
            self._update_fraction(entry, now)
        elif entry.terms is not customer:
            entry.terms = customer
            rate_per_s = self._divided_rate(customer)
            entry.bucket.set_rate(rate_per_s, customer.burst, now)
        return entry

    @property
    def _min_capacity(self) -> float:
        return SLACK_FRACTION * self._slack / self._division.region_count

    def _divided_rate(self, customer: CustomerPolicy) -> float:
        """Returns the rate that is divided among the holders.

        Tokens are lost where demand moves away before they are used. The
        allowed overrun makes up for them.
        """
        return customer.rate_per_s * (1.0 + OVERRUN_FRACTION * self._overrun)

    def _update_fractions(self, now: float) -> None:
        for entry in self._buckets.values():
            if entry.is_held:
                self._update_fraction(entry, now)

    def _update_fraction(self, entry: _CustomerBucket, now: float) -> None:
        if not entry.is_held:
            entry.bucket.set_fraction(0.0, now)
            return
        entry.bucket.set_min_capacity(self._min_capacity, now)
        fraction = self._division.fraction(
            entry.terms,
            min(entry.reported_per_s),
            now >= entry.unconfirmed_until,
        )
        entry.bucket.set_fraction(fraction, now)
