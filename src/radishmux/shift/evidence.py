"""Outcomes of a service's versions, combined over the fleet; no I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# A version is faulty when at least this many of its requests failed, and its
# failure rate exceeds both a minimum and RELATIVE_FACTOR times that of the
# other versions plus a small allowance. Bad versions fail a third of their
# requests or more. The comparison with the other versions is needed because
# responses are lost on all versions alike.
MIN_FAILURES = 4
MIN_FAILURE_RATE = 0.12
# The same limits for slow responses.
MIN_SLOW = 8
MIN_SLOW_RATE = 0.3
RELATIVE_FACTOR = 3.0
# A response is slow when it takes more than this many times the time expected
# for an object that is not in the server's cache.
SLOW_FACTOR = 3.5


class Tally(msgspec.Struct):
    """Counts of a version's outcomes on one route.

    Attributes:
        requests: Number of requests that ran.
        failures: Number of these that the version failed.
        slow: Number of these that the version answered slowly.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Adds the counts of another tally to this one."""
        self.requests += other.requests
        self.failures += other.failures
        self.slow += other.slow


Tallies = dict[tuple[str, str], Tally]
"""Tallies by version and route."""


class Evidence:
    """Outcomes of a service's versions since an order was received.

    Combines the outcomes of this instance with those reported by sources,
    each of which is a peer or a whole region.
    """

    def __init__(self) -> None:
        self._own: Tallies = {}
        self._reported: dict[str, Tallies] = {}

    @property
    def own(self) -> Tallies:
        """Outcomes of the requests that this instance sent."""
        return self._own

    def record_outcome(
        self, version: str, route: str, failed: bool, slow: bool
    ) -> None:
        """Counts the outcome of one request of this instance.

        Args:
            version: Version that served the request.
            route: Name of the route.
            failed: Whether the version failed the request.
            slow: Whether the response took longer than SLOW_FACTOR allows.
        """
        tally = self._own.setdefault((version, route), Tally())
        tally.requests += 1
        tally.failures += failed
        tally.slow += slow

    def set_tallies(self, source: str, tallies: Tallies) -> None:
        """Replaces the outcomes reported by a source, a peer or a region."""
        self._reported[source] = tallies

    def remove_sources(self, is_removed: Callable[[str], bool]) -> None:
        """Removes sources whose outcomes another source now includes."""
        for source in [name for name in self._reported if is_removed(name)]:
            del self._reported[source]

    def tallies_by_source(
        self, is_wanted: Callable[[str], bool]
    ) -> dict[str, Tallies]:
        """Returns the outcomes reported by the wanted sources."""
        return {
            source: tallies
            for source, tallies in self._reported.items()
            if is_wanted(source)
        }

    def merged_tallies(self, is_wanted: Callable[[str], bool]) -> Tallies:
        """Returns the sum of own outcomes and those of the wanted sources."""
        merged: Tallies = {}
        for tallies in (self._own, *self.tallies_by_source(is_wanted).values()):
            for key, tally in tallies.items():
                merged.setdefault(key, Tally()).add(tally)
        return merged

    def pooled(self) -> Tallies:
        """Returns the sum of the own outcomes and those of all sources."""
        return self.merged_tallies(lambda source: True)

    def find_fault(self, version: str) -> str | None:
        """Returns a description of the fault of a version, or None.

        The version is compared with the other versions, first on all routes
        together and then on each route.
        """
        pooled = self.pooled()
        routes = {route for name, route in pooled if name == version}
        total = _sum(pooled, version, None, same=True)
        total_others = _sum(pooled, version, None, same=False)
        fault = _compare(total, total_others)
        if fault is not None:
            return fault
        for route in sorted(routes):
            tally = pooled[(version, route)]
            others = _sum(pooled, version, route, same=False)
            fault = _compare(tally, others if others.requests else total_others)
            if fault is not None:
                return f"{fault} on route {route}"
        return None

    def requests(self, version: str, route: str | None = None) -> int:
        """Returns the number of a version's requests, on one route or all."""
        return _sum(self.pooled(), version, route, same=True).requests

    def requests_by_route(self) -> dict[str, int]:
        """Returns the number of requests of all versions by route."""
        counts: dict[str, int] = {}
        for (_, route), tally in self.pooled().items():
            counts[route] = counts.get(route, 0) + tally.requests
        return counts


def _sum(
    tallies: Tallies, version: str, route: str | None, same: bool
) -> Tally:
    """Returns the sum over some versions and routes.

    Args:
        tallies: Tallies by version and route.
        version: Name of a version.
        route: Name of the route; None: all routes.
        same: True sums over that version, False over all other versions.
    """
    total = Tally()
    for (tally_version, tally_route), tally in tallies.items():
        if (tally_version == version) is same and route in (None, tally_route):
            total.add(tally)
    return total


def _compare(new: Tally, old: Tally) -> str | None:
    """Returns a description of the new version's fault, or None."""
    if new.failures >= MIN_FAILURES:
        rate = new.failures / new.requests
        old_rate = old.failures / max(1, old.requests)
        if rate > max(MIN_FAILURE_RATE, RELATIVE_FACTOR * old_rate + 0.05):
            return f"{new.failures} of {new.requests} requests failed"
    if new.slow >= MIN_SLOW:
        rate = new.slow / new.requests
        old_rate = old.slow / max(1, old.requests)
        if rate > max(MIN_SLOW_RATE, RELATIVE_FACTOR * old_rate + 0.1):
            return f"{new.slow} of {new.requests} requests were slow"
    return None
