"""Outcomes of the versions of a service, pooled over the fleet; pure."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# Failures of a version before it is judged, and by how much its share of them
# must exceed that of the other versions. Bad versions fail a third of their
# requests or more; answers are lost on all versions alike.
MIN_FAILURES = 4
MIN_FAILURE_SHARE = 0.12
# The same for answers that took several times as long as expected.
MIN_SLOW = 8
MIN_SLOW_SHARE = 0.3
RELATIVE_FACTOR = 3.0
# An answer that takes this many times the expected time with a cold object.
SLOW_FACTOR = 3.5


class Tally(msgspec.Struct):
    """Outcomes on one route.

    Attributes:
        requests: Requests that ran.
        failures: Those that the version failed.
        slow: Those that it answered slowly.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Adds another tally."""
        self.requests += other.requests
        self.failures += other.failures
        self.slow += other.slow


Tallies = dict[tuple[str, str], Tally]
"""Tallies by version and route."""


class Evidence:
    """Outcomes on one service since an order, own and peers'."""

    def __init__(self) -> None:
        self._own: Tallies = {}
        self._peers: dict[str, Tallies] = {}

    @property
    def own(self) -> Tallies:
        """Outcomes seen by this instance."""
        return self._own

    def record_outcome(
        self, version: str, route: str, failed: bool, slow: bool
    ) -> None:
        """Takes the outcome of one request."""
        tally = self._own.setdefault((version, route), Tally())
        tally.requests += 1
        tally.failures += failed
        tally.slow += slow

    def set_tallies(self, source: str, tallies: Tallies) -> None:
        """Takes all outcomes that a peer or a whole region has seen."""
        self._peers[source] = tallies

    def remove_sources(self, is_dropped: Callable[[str], bool]) -> None:
        """Forgets sources whose outcomes come in another way now."""
        for source in [one for one in self._peers if is_dropped(one)]:
            del self._peers[source]

    def tallies_by_source(
        self, is_wanted: Callable[[str], bool]
    ) -> dict[str, Tallies]:
        """Returns the outcomes that were taken, by source."""
        return {
            source: tallies
            for source, tallies in self._peers.items()
            if is_wanted(source)
        }

    def merged_tallies(self, is_wanted: Callable[[str], bool]) -> Tallies:
        """Returns the sum of the own outcomes and those of some sources."""
        pool: Tallies = {}
        for tallies in (self._own, *self.tallies_by_source(is_wanted).values()):
            for key, tally in tallies.items():
                pool.setdefault(key, Tally()).add(tally)
        return pool

    def pooled(self) -> Tallies:
        """Returns the outcomes of the whole fleet."""
        return self.merged_tallies(lambda source: True)

    def find_fault(self, version: str) -> str | None:
        """Returns what is wrong with a version, or None."""
        pool = self.pooled()
        routes = {route for name, route in pool if name == version}
        total = _sum(pool, version, None, same=True)
        others = _sum(pool, version, None, same=False)
        fault = _compare(total, others)
        if fault is not None:
            return fault
        for route in sorted(routes):
            own = pool[(version, route)]
            old = _sum(pool, version, route, same=False)
            fault = _compare(own, old if old.requests else others)
            if fault is not None:
                return f"{fault} on route {route}"
        return None

    def requests(self, version: str, route: str | None = None) -> int:
        """Returns the requests of a version that were judged."""
        return _sum(self.pooled(), version, route, same=True).requests

    def requests_by_route(self) -> dict[str, int]:
        """Returns the requests of all versions on each route."""
        counts: dict[str, int] = {}
        for (_, route), tally in self.pooled().items():
            counts[route] = counts.get(route, 0) + tally.requests
        return counts


def _sum(pool: Tallies, version: str, route: str | None, same: bool) -> Tally:
    total = Tally()
    for (name, one), tally in pool.items():
        if (name == version) is same and route in (None, one):
            total.add(tally)
    return total


def _compare(new: Tally, old: Tally) -> str | None:
    if new.failures >= MIN_FAILURES:
        share = new.failures / new.requests
        usual = old.failures / max(1, old.requests)
        if share > max(MIN_FAILURE_SHARE, RELATIVE_FACTOR * usual + 0.05):
            return f"{new.failures} of {new.requests} requests failed"
    if new.slow >= MIN_SLOW:
        share = new.slow / new.requests
        usual = old.slow / max(1, old.requests)
        if share > max(MIN_SLOW_SHARE, RELATIVE_FACTOR * usual + 0.1):
            return f"{new.slow} of {new.requests} requests were slow"
    return None
