"""Finds the route and the customer of a request; no I/O."""

from __future__ import annotations

from radishmux.config.routing import (
    CustomerPolicy,
    HostRoute,
    RoutingConfiguration,
)


class HostRoutes:
    """Indexes the routes and API keys of one routing configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self._configuration = configuration
        self._hosts: dict[str, dict[str, HostRoute]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path_prefix] = route
        self._keys = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    @property
    def configuration(self) -> RoutingConfiguration:
        """The indexed configuration."""
        return self._configuration

    def find(self, host: str, path: str) -> HostRoute | None:
        """Returns the route whose prefix is the longest match for a path.

        Args:
            host: Host header in lower case, without the port.
            path: Path without the query, not normalized or decoded.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only cuts after a slash can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer_of(self, key: str) -> CustomerPolicy | None:
        """Returns the customer that an API key belongs to."""
        return self._keys.get(key)
