"""The part of a customer's rate that falls to one token holder; pure."""

from __future__ import annotations

import msgspec

from radishmux.config.routing import CustomerTerms

# Demand that every holder is taken to have, as part of the customer's rate
# divided by the regions, so that callers who arrive find something.
IDLE_PART = 0.5


class DemandReport(msgspec.Struct, frozen=True):
    """Demand in one region.

    Attributes:
        demands: Requests per second by customer and token holder, refused ones
            included; a customer whose demand is not known is missing.
    """

    demands: dict[str, dict[str, float]]


class RegionVisibility(msgspec.Struct, frozen=True):
    """How much of its region an instance hears.

    Silent instances may live and give out tokens too; a part is left for them.

    Attributes:
        heard: Instances that are heard, this one included.
        registered: Instances that are registered and not known to be dead.
    """

    heard: int
    registered: int


class RateDivision:
    """Divides rates by what is known of the other token holders.

    All holders that know the same reports compute fractions that sum to one.
    The setters return whether anything has changed.
    """

    def __init__(self) -> None:
        # None: the region is silent, and may have any demand.
        self._regions: dict[str, DemandReport | None] = {}
        # Other token holders of the own region.
        self._rivals = DemandReport({})
        self._reach = RegionVisibility(1, 1)
        self._is_entitled = True

    @property
    def regions(self) -> int:
        """How many regions there are."""
        return len(self._regions) + 1

    def rivals(self, customer: str) -> dict[str, float]:
        """Returns the demand at other holders of the own region, by name."""
        return self._rivals.demands.get(customer, {})

    def others(self, customer: str) -> dict[str, dict[str, float] | None]:
        """Returns the demand at holders of other regions; None: not heard."""
        return {
            region: report.demands.get(customer) if report else None
            for region, report in self._regions.items()
        }

    def set_regions(self, regions: set[str]) -> bool:
        """Sets the other regions; a new one is silent at first."""
        if regions == self._regions.keys():
            return False
        known = self._regions
        self._regions = {name: known.get(name) for name in regions}
        return True

    def update_region_demand(
        self, region: str, report: DemandReport | None
    ) -> bool:
        """Takes another region's demand; None: nothing was heard of it."""
        if region not in self._regions or self._regions[region] == report:
            return False
        self._regions[region] = report
        return True

    def update_rival_demand(self, report: DemandReport) -> bool:
        """Takes the demand at other token holders of the own region."""
        has_changed = report != self._rivals
        self._rivals = report
        return has_changed

    def set_region_visibility(self, reach: RegionVisibility) -> bool:
        """Sets how many instances of the region are heard."""
        has_changed = reach != self._reach
        self._reach = reach
        return has_changed

    def set_entitled(self, is_entitled: bool) -> bool:
        """Sets whether other instances keep parts of the rates for this one."""
        has_changed = is_entitled != self._is_entitled
        self._is_entitled = is_entitled
        return has_changed

    def fraction(
        self, terms: CustomerTerms, demand_per_s: float, is_confirmed: bool
    ) -> float:
        """Returns the part of a customer's rate that falls to this holder.

        Args:
            terms: The customer.
            demand_per_s: Demand here, as the other holders know it.
            is_confirmed: Whether this instance knows that it is not cut off.
        """
        if not self._is_entitled:
            return 0.0
        idle = IDLE_PART * terms.rate_per_s / self.regions
        own = demand_per_s + idle
        total = own
        for rival in self.rivals(terms.name).values():
            total += rival + idle
        for others in self.others(terms.name).values():
            if others is None:
                total += own
            else:
                total += sum(others.values()) + idle * len(others)
        fraction = own / total if total > 0 else 1.0 / self.regions
        heard = self._reach.heard if is_confirmed else 1
        return fraction * heard / self._reach.registered
