"""Limits the traffic that this instance sends over links between regions.

Each live instance of a region uses an equal share of the capacity of the
region's links. The instances need no coordination for this, and the sum of
their traffic stays within the capacity. In each direction, half of the capacity
is for requests from callers in the sending region and half for responses to
callers in the receiving region.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from radishmux.config.model import Configuration
from radishmux.instances.interface import Instance
from radishmux.steer.selector import ConfigSource

# Share of a direction for requests; the same share is for responses.
_REQUEST_SHARE = 0.5
_BITS_PER_BYTE = 8
# Unused capacity that may be sent as a burst; about what link buffers hold.
BURST_S = 0.25
# Interval at which the number of live instances is refreshed.
MEMBERSHIP_PERIOD_S = 0.25


class Members(Protocol):
    """Live instances (`membership.view.MembershipView`)."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances, of one region or of all."""


class ByteBudget:
    """A token bucket of bytes whose balance may become negative.

    The size of a response is known only after the request was sent. The balance
    must be positive again before the next request, so that the bytes in any
    interval are at most rate x length + burst + the largest single message.
    """

    __slots__ = ("_updated_at", "_bytes", "_rate")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._bytes = 0.0
        self._updated_at = now

    def set_rate(self, bytes_per_s: float, now: float) -> None:
        """Sets the rate; a lower rate also reduces the accumulated bytes."""
        self._refill(now)
        if not self._rate:  # A new budget starts with a full burst.
            self._bytes = bytes_per_s * BURST_S
        self._rate = bytes_per_s
        self._bytes = min(self._bytes, bytes_per_s * BURST_S)

    def has_room(self, now: float) -> bool:
        """Returns whether a message may be sent now."""
        self._refill(now)
        return self._bytes > 0.0

    def spend(self, count: int, now: float) -> None:
        """Deducts the bytes of a message."""
        self._refill(now)
        self._bytes -= count

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._bytes = min(
            self._rate * BURST_S, self._bytes + elapsed * self._rate
        )


class LinkBudgets:
    """Byte budgets of this instance for the links to other regions.

    Args:
        region: Region of this instance.
        config: Source of the link capacities.
        members: Source of the number of instances that share the links.
        now: Monotonic seconds.
    """

    def __init__(
        self, region: str, config: ConfigSource, members: Members, now: float
    ) -> None:
        self._region = region
        self._members = members
        self._instance_count = 0
        self._members_read_at = now
        # For each region, the budgets for requests to it and responses from it.
        self._budgets: dict[str, tuple[ByteBudget, ByteBudget]] = {}
        self._capacity: dict[str, tuple[float, float]] = {}  # Bytes per second.
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies the link capacities of a new configuration."""
        bytes_per_s = {
            (region.name, link.to_region): link.bits_per_s / _BITS_PER_BYTE
            for region in configuration.regions
            for link in region.links
        }
        own = self._region
        self._capacity = {
            to: (capacity, bytes_per_s.get((to, own), capacity))
            for (start, to), capacity in bytes_per_s.items()
            if start == own
        }
        self._instance_count = 0

    def has_room(self, region: str, now: float) -> bool:
        """Returns whether another request may be sent to a region.

        Regions without a configured link are not limited.
        """
        if region not in self._capacity:
            return True
        requests, responses = self._budgets_to(region, now)
        return requests.has_room(now) and responses.has_room(now)

    def record_request(self, region: str, count: int, now: float) -> None:
        """Deducts the bytes of a request that was sent to a region."""
        if region in self._capacity:
            self._budgets_to(region, now)[0].spend(count, now)

    def record_response(self, region: str, count: int, now: float) -> None:
        """Deducts the bytes of a response that came from a region."""
        if region in self._capacity:
            self._budgets_to(region, now)[1].spend(count, now)

    def _budgets_to(
        self, region: str, now: float
    ) -> tuple[ByteBudget, ByteBudget]:
        if (
            not self._instance_count
            or now - self._members_read_at >= MEMBERSHIP_PERIOD_S
        ):
            self._divide_links(now)
        return self._budgets[region]

    def _divide_links(self, now: float) -> None:
        self._members_read_at = now
        instance_count = max(1, len(self._members.live(self._region)))
        if instance_count == self._instance_count:
            return
        self._instance_count = instance_count
        for region, capacities in self._capacity.items():
            budgets = self._budgets.get(region)
            if budgets is None:
                budgets = (ByteBudget(now), ByteBudget(now))
                self._budgets[region] = budgets
            for budget, capacity in zip(budgets, capacities, strict=True):
                budget.set_rate(capacity * _REQUEST_SHARE / instance_count, now)


class Regions(Protocol):
    """Ranks regions (`steer.region.RegionChooser`)."""

    def order(
        self, regions: Iterable[str], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions to try, best first."""

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to a region."""


class LinkLimitedRegions:
    """Filters out regions whose link budget is used up.

    Wraps a `RegionChooser`; the own region needs no link.
    """

    def __init__(
        self, region: str, regions: Regions, links: LinkBudgets
    ) -> None:
        self._region = region
        self._regions = regions
        self._links = links

    def order(
        self, regions: Iterable[str], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions to try, best first."""
        return tuple(
            region
            for region in self._regions.order(regions, service, now)
            if region == self._region or self._links.has_room(region, now)
        )

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to a region."""
        self._regions.record_sent(service, region, now)
