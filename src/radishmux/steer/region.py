"""Ranks the regions that an instance may send requests to.

See docs/design.md, 4.6.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

import msgspec

from radishmux.config.model import Configuration
from radishmux.steer.selector import ConfigSource

# Latency assumed between regions without a configured link.
DEFAULT_LATENCY_S = 0.055
# Age that a load report can reach before the next one arrives: the heartbeat
# period of 0.25 s plus the latency between regions. A report may not include
# requests sent within this time.
REPORT_AGE_S = 0.4


class RegionLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one service in one region, summed over cells with a report.

    Attributes:
        slots: Slots of the backend servers that are ready.
        in_use: Slots in use.
        queued: Requests waiting for a slot.
    """

    slots: int
    in_use: int
    queued: int = 0


class RegionLoads(Protocol):
    """Load reports from heartbeats (`steer.loads.CellRegionLoads`)."""

    def region_load(self, service: str, region: str) -> RegionLoad | None:
        """Returns the latest report, or None if no cell has a report."""


class RegionChooser:
    """Ranks the allowed regions: own region first, then by headroom.

    The other regions are ranked by headroom divided by latency. Headroom is
    the number of free slots in the region's report, minus the requests that
    this instance sent there and that the report may not include yet. Reports
    may be wrong, so the slots are limited to the configured ones. A region
    without a report is left out, except the instance's own region, whose
    dispatcher responds without delay.
    """

    def __init__(
        self, region: str, config: ConfigSource, loads: RegionLoads
    ) -> None:
        self._region = region
        self._loads = loads
        self._sent: dict[tuple[str, str], deque[float]] = {}
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies the slots and latencies of a new configuration."""
        self._slots: dict[tuple[str, str], int] = {}
        for server in configuration.backend_servers:
            key = (server.service, server.region)
            self._slots[key] = self._slots.get(key, 0) + server.slots
        self._latency_s = {
            link.to_region: link.latency_ms / 1e3
            for region in configuration.regions
            if region.name == self._region
            for link in region.links
        }

    def order(
        self, regions: Iterable[str], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions to try, best first.

        Args:
            regions: Allowed regions; the earlier one wins a tie.
            service: Name of the service.
            now: Monotonic seconds.
        """
        ranked: list[tuple[float, str]] = []
        own: tuple[str, ...] = ()
        for region in regions:
            if region == self._region:
                own = (region,)
                continue
            headroom = self.headroom(service, region, now)
            if headroom > 0:
                ranked.append((-headroom / self._latency_to(region), region))
        ranked.sort(key=lambda entry: entry[0])
        return own + tuple(region for _, region in ranked)

    def headroom(self, service: str, region: str, now: float) -> int:
        """Returns the estimated free slots of a service, at least 0."""
        load = self._loads.region_load(service, region)
        if load is None:
            return 0
        slots = min(load.slots, self._slots.get((service, region), 0))
        waiting = max(load.in_use, 0) + max(load.queued, 0)
        return max(
            0, slots - waiting - self._count_unreported(service, region, now)
        )

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to a region until reports include it."""
        if region != self._region:
            key = (service, region)
            self._sent.setdefault(key, deque()).append(now)

    def _count_unreported(self, service: str, region: str, now: float) -> int:
        sent = self._sent.get((service, region))
        if sent is None:
            return 0
        while sent and sent[0] <= now - REPORT_AGE_S:
            sent.popleft()
        return len(sent)

    def _latency_to(self, region: str) -> float:
        return max(self._latency_s.get(region, DEFAULT_LATENCY_S), 1e-4)
