"""Divides the requests of a route among its destinations; pure."""

from __future__ import annotations

from radishmux.config.routing import Destination, HostRoute


class DestinationSplit:
    """Smooth weighted round-robin over the destinations of each route.

    After any number of requests, each destination has its weight's share of
    them to within one request, on each instance and therefore on all.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[Destination, ...], list[float]]]
        self._credits = {}

    def choose(self, route: HostRoute) -> str:
        """Returns the service for one request of a route."""
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
        """Drops the state of routes that are no longer configured."""
        for name in self._credits.keys() - names:
            del self._credits[name]
