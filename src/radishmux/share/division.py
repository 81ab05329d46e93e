"""Computes the fraction of a customer's rate that one token holder may use.

Pure state without I/O.
"""

from __future__ import annotations

import msgspec

from radishmux.config.routing import CustomerPolicy

# Each holder is credited with at least this much demand, as a fraction of the
# customer's rate divided by the number of regions, so that callers who move to
# an idle holder find tokens there.
IDLE_DEMAND_FRACTION = 0.5


class DemandReport(msgspec.Struct, frozen=True):
    """Demand in one region.

    Attributes:
        demands: Requests per second by customer and token holder, including
            refused requests. Customers whose demand is unknown are absent.
    """

    demands: dict[str, dict[str, float]]


class RegionVisibility(msgspec.Struct, frozen=True):
    """How many instances of its own region an instance hears.

    Instances that are not heard may be alive and grant tokens too, so that a
    part of the rate is left for them.

    Attributes:
        heard: Instances that are heard, including this one.
        registered: Instances that are registered and not known to be dead.
    """

    heard: int
    registered: int


class RateDivision:
    """Divides rates by the demand that the other token holders report.

    All holders that have the same reports compute fractions that sum to one.
    The setters return whether anything has changed.
    """

    def __init__(self) -> None:
        # Latest report by region. None means that the region is not heard and
        # may have any demand.
        self._regions: dict[str, DemandReport | None] = {}
        # Demand at other token holders of the own region.
        self._rivals = DemandReport({})
        self._visibility = RegionVisibility(1, 1)
        self._is_entitled = True

    @property
    def region_count(self) -> int:
        """Number of regions, including the own one."""
        return len(self._regions) + 1

    def rival_demands(self, customer: str) -> dict[str, float]:
        """Returns the demand at other holders of the own region, by name."""
        return self._rivals.demands.get(customer, {})

    def other_region_demands(
        self, customer: str
    ) -> dict[str, dict[str, float] | None]:
        """Returns the demand at the holders of other regions.

        Returns:
            Requests per second by region and holder. The value of a region is
            None if its demand for this customer is unknown.
        """
        return {
            region: report.demands.get(customer) if report else None
            for region, report in self._regions.items()
        }

    def set_regions(self, regions: set[str]) -> bool:
        """Sets the other regions; the demand of a new one is unknown."""
        if regions == self._regions.keys():
            return False
        known = self._regions
        self._regions = {name: known.get(name) for name in regions}
        return True

    def update_region_demand(
        self, region: str, report: DemandReport | None
    ) -> bool:
        """Stores another region's demand; None if the region is not heard."""
        if region not in self._regions or self._regions[region] == report:
            return False
        self._regions[region] = report
        return True

    def update_rival_demand(self, report: DemandReport) -> bool:
        """Stores the demand at other token holders of the own region."""
        has_changed = report != self._rivals
        self._rivals = report
        return has_changed

    def set_region_visibility(self, visibility: RegionVisibility) -> bool:
        """Sets how many instances of the own region are heard."""
        has_changed = visibility != self._visibility
        self._visibility = visibility
        return has_changed

    def set_entitled(self, is_entitled: bool) -> bool:
        """Sets whether other instances leave a part of the rates to this one.

        If they do not, the fraction of each customer here is 0.
        """
        has_changed = is_entitled != self._is_entitled
        self._is_entitled = is_entitled
        return has_changed

    def fraction(
        self, terms: CustomerPolicy, demand_per_s: float, is_confirmed: bool
    ) -> float:
        """Returns the fraction of a customer's rate that this holder may use.

        Args:
            terms: The customer.
            demand_per_s: Demand here, as the other holders know it.
            is_confirmed: Whether this instance is known not to be cut off. If
                it may be, it counts itself as the only heard instance.
        """
        if not self._is_entitled:
            return 0.0
        idle = IDLE_DEMAND_FRACTION * terms.rate_per_s / self.region_count
        own = demand_per_s + idle
        total = own
        for rival in self.rival_demands(terms.name).values():
            total += rival + idle
        for demands in self.other_region_demands(terms.name).values():
            if demands is None:
                # A region with unknown demand counts like this holder.
                total += own
            else:
                total += sum(demands.values()) + idle * len(demands)
        fraction = own / total if total > 0 else 1.0 / self.region_count
        heard = self._visibility.heard if is_confirmed else 1
        return fraction * heard / self._visibility.registered
