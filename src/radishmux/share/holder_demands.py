"""Demand of customers in each region, as token holders reported it; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.share.division import DemandReport


class HolderDemand:
    """Demand of one customer at one of its token holders.

    Attributes:
        region: The holder's region.
        holder: The holder.
        customer: The customer.
        rate_per_s: Requests per second, refused ones included.
        measured_at: Monotonic seconds when its holder measured it.
        is_over: Whether the holder was replaced at that time, so that what it
            reported before does not count.
    """

    __slots__ = (
        "customer",
        "holder",
        "is_over",
        "measured_at",
        "rate_per_s",
        "region",
    )

    def __init__(
        self,
        region: str,
        holder: str,
        customer: str,
        rate_per_s: float,
        measured_at: float,
        is_over: bool = False,
    ) -> None:
        self.region = region
        self.holder = holder
        self.customer = customer
        self.rate_per_s = rate_per_s
        self.measured_at = measured_at
        self.is_over = is_over


class HolderDemands:
    """The newest demand of each customer at each of its token holders."""

    def __init__(self) -> None:
        # By region, then by customer and holder.
        self._demands: dict[str, dict[tuple[str, str], HolderDemand]] = {}

    @property
    def regions(self) -> set[str]:
        """Regions of which anything is known."""
        return set(self._demands)

    def update(self, demand: HolderDemand) -> None:
        """Takes a demand if it is newer than the one known."""
        known = self._demands.setdefault(demand.region, {})
        key = (demand.customer, demand.holder)
        held = known.get(key)
        if held is None or held.measured_at < demand.measured_at:
            known[key] = demand

    def get(
        self, region: str, customer: str, holder: str
    ) -> HolderDemand | None:
        """Returns the latest that is known of a customer at a holder."""
        return self._demands.get(region, {}).get((customer, holder))

    def recent(
        self,
        max_age_s: float,
        now: float,
        regions: Iterable[str] | None = None,
        customers: frozenset[str] | None = None,
    ) -> list[HolderDemand]:
        """Returns the demands that were measured lately.

        Args:
            max_age_s: Age up to which they count.
            now: Monotonic seconds.
            regions: Regions that are wanted; None means all.
            customers: Customers that are wanted; None means all.
        """
        found = []
        for region in self._demands if regions is None else regions:
            for demand in self._demands.get(region, {}).values():
                if now - demand.measured_at > max_age_s:
                    continue
                if customers is None or demand.customer in customers:
                    found.append(demand)
        return found

    def region_report(
        self, region: str, max_age_s: float, now: float, without: str = ""
    ) -> DemandReport | None:
        """Returns the demand in a region; None: nothing was heard lately.

        Args:
            region: The region.
            max_age_s: Age up to which demands count.
            now: Monotonic seconds.
            without: Holder that is left out.
        """
        demands: dict[str, dict[str, float]] = {}
        for one in self.recent(max_age_s, now, (region,)):
            if one.holder != without and not one.is_over:
                holders = demands.setdefault(one.customer, {})
                holders[one.holder] = one.rate_per_s
        return DemandReport(demands) if demands else None
