"""Limits the traffic that this instance sends over links between regions.

Each live instance of a region takes an equal part of the region's links, so
that no message is needed and the sum over instances stays within the link.
Half of each direction is for requests of the sending region's callers and
half for the responses to callers of the receiving region.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from radishmux.config.model import Configuration
from radishmux.instances.interface import Instance
from radishmux.steer.selector import ConfigSource

_REQUEST_PART = 0.5
_BITS_PER_BYTE = 8
# Unused capacity that may be sent at once; buffers of links hold about this.
BURST_S = 0.25
# The number of live instances is read again after this time.
MEMBERS_PERIOD_S = 0.25


class Members(Protocol):
    """What this part needs of membership.view.MembershipView."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances."""


class ByteBudget:
    """A token bucket of bytes that may run into debt.

    The size of a response is known only after the request was sent. A debt is
    paid before the next request, so that over any interval the bytes are at
    most rate x length + burst + the largest single message.
    """

    __slots__ = ("_at", "_bytes", "_rate")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._bytes = 0.0
        self._at = now

    def set_rate(self, bytes_per_s: float, now: float) -> None:
        """Sets the rate; a lower one also cuts what was saved up."""
        self._refill(now)
        if not self._rate:  # A link that was idle so far can take the burst.
            self._bytes = bytes_per_s * BURST_S
        self._rate = bytes_per_s
        self._bytes = min(self._bytes, bytes_per_s * BURST_S)

    def has_room(self, now: float) -> bool:
        """Whether a message may be sent now."""
        self._refill(now)
        return self._bytes > 0.0

    def spend(self, count: int, now: float) -> None:
        """Takes the bytes of a message that was sent."""
        self._refill(now)
        self._bytes -= count

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._bytes = min(
            self._rate * BURST_S, self._bytes + elapsed * self._rate
        )


class LinkBudgets:
    """Byte budgets of this instance for each other region.

    Args:
        region: Region of this instance.
        config: Holds the capacities of the links.
        members: Tells how many instances share the region's links.
        now: Monotonic seconds.
    """

    def __init__(
        self, region: str, config: ConfigSource, members: Members, now: float
    ) -> None:
        self._region = region
        self._members = members
        self._sharers = 0
        self._read_at = now
        # By region: requests to it, and responses from it.
        self._budgets: dict[str, tuple[ByteBudget, ByteBudget]] = {}
        self._capacity: dict[str, tuple[float, float]] = {}
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
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
        self._sharers = 0

    def has_room(self, region: str, now: float) -> bool:
        """Whether one more request may be sent to a region.

        Regions without a described link are not limited.
        """
        if region not in self._capacity:
            return True
        requests, responses = self._of(region, now)
        return requests.has_room(now) and responses.has_room(now)

    def record_request(self, region: str, count: int, now: float) -> None:
        """Takes the bytes of a request that was sent to a region."""
        if region in self._capacity:
            self._of(region, now)[0].spend(count, now)

    def record_response(self, region: str, count: int, now: float) -> None:
        """Takes the bytes of a response that came from a region."""
        if region in self._capacity:
            self._of(region, now)[1].spend(count, now)

    def _of(self, region: str, now: float) -> tuple[ByteBudget, ByteBudget]:
        if not self._sharers or now - self._read_at >= MEMBERS_PERIOD_S:
            self._share(now)
        return self._budgets[region]

    def _share(self, now: float) -> None:
        self._read_at = now
        sharers = max(1, len(self._members.live(self._region)))
        if sharers == self._sharers:
            return
        self._sharers = sharers
        for region, capacities in self._capacity.items():
            budgets = self._budgets.get(region)
            if budgets is None:
                budgets = (ByteBudget(now), ByteBudget(now))
                self._budgets[region] = budgets
            for budget, capacity in zip(budgets, capacities, strict=True):
                budget.set_rate(capacity * _REQUEST_PART / sharers, now)


class Regions(Protocol):
    """What this part needs of steer.region.RegionChooser."""

    def order(
        self, regions: Iterable[str], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions worth trying, best first."""

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to a region."""


class LinkLimitedRegions:
    """A RegionChooser that leaves out regions whose link has no room."""

    def __init__(
        self, region: str, regions: Regions, links: LinkBudgets
    ) -> None:
        self._region = region
        self._regions = regions
        self._links = links

    def order(
        self, regions: Iterable[str], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions worth trying, best first."""
        return tuple(
            region
            for region in self._regions.order(regions, service, now)
            if region == self._region or self._links.has_room(region, now)
        )

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to a region."""
        self._regions.record_sent(service, region, now)
