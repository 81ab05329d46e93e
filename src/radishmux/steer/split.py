"""Distributes the requests of a route over its destinations; no I/O."""

from __future__ import annotations

from radishmux.config.routing import Destination, HostRoute


class DestinationSplit:
    """Smooth weighted round-robin over the destinations of each route.

    After any number of requests, the count of each destination differs from its
    share by weight by at most one request per instance.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[Destination, ...], list[float]]]
        self._credits = {}

    def choose(self, route: HostRoute) -> str:
        """Returns the service that handles the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        known, credits = self._credits.get(route.name, ((), []))
        if known != destinations:
            credits = [0.0] * len(destinations)
            self._credits[route.name] = (destinations, credits)
        total = 0.0
        best = 0
        for index, destination in enumerate(destinations):
            credits[index] += destination.weight
            total += destination.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return destinations[best].service

    def retain_only(self, names: set[str]) -> None:
        """Drops the state of all routes except those named."""
        for name in self._credits.keys() - names:
            del self._credits[name]
