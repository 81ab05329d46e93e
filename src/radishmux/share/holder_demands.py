"""Customers' demand at each token holder, as reported; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.share.division import DemandReport


class HolderDemand:
    """Demand of one customer at one of its token holders.

    Attributes:
        region: The holder's region.
        holder: Name of the holder.
        customer: Name of the customer.
        rate_per_s: Requests per second, including refused ones.
        measured_at: Monotonic seconds when the holder measured the demand.
        is_over: Whether the holder was replaced at `measured_at`; the demand
            that it reported earlier no longer counts.
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
    """Latest demand of each customer at each of its token holders."""

    def __init__(self) -> None:
        # By region, then by customer and holder.
        self._demands: dict[str, dict[tuple[str, str], HolderDemand]] = {}

    @property
    def regions(self) -> set[str]:
        """Regions from which at least one demand is known."""
        return set(self._demands)

    def update(self, demand: HolderDemand) -> None:
        """Stores a demand unless the known one is as recent."""
        by_holder = self._demands.setdefault(demand.region, {})
        key = (demand.customer, demand.holder)
        known = by_holder.get(key)
        if known is None or known.measured_at < demand.measured_at:
            by_holder[key] = demand

    def get(
        self, region: str, customer: str, holder: str
    ) -> HolderDemand | None:
        """Returns the latest known demand of a customer at a holder."""
        return self._demands.get(region, {}).get((customer, holder))

    def recent(
        self,
        max_age_s: float,
        now: float,
        regions: Iterable[str] | None = None,
        customers: frozenset[str] | None = None,
    ) -> list[HolderDemand]:
        """Returns the demands that are at most `max_age_s` old.

        Args:
            max_age_s: Maximum age in seconds.
            now: Monotonic seconds.
            regions: Regions to include; None includes all.
            customers: Customers to include; None includes all.
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
        """Returns the recent demand in a region; None if there is none.

        Args:
            region: The region.
            max_age_s: Maximum age of the demands in seconds.
            now: Monotonic seconds.
            without: Name of a holder to leave out.
        """
        demands: dict[str, dict[str, float]] = {}
        for demand in self.recent(max_age_s, now, (region,)):
            if demand.holder != without and not demand.is_over:
                holders = demands.setdefault(demand.customer, {})
                holders[demand.holder] = demand.rate_per_s
        return DemandReport(demands) if demands else None
