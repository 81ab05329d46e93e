"""Lookup tables for one version of the configuration."""

from __future__ import annotations

import hmac

from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Selector,
    Service,
    Shift,
)

_NO_DIGEST = "0" * 64


class ConfigIndex:
    """Lookup tables by name, built once for each version.

    Attributes:
        configuration: The configuration that the tables were built from.
    """

    __slots__ = (
        "_by_digest",
        "_servers",
        "backend_servers",
        "configuration",
        "customers",
        "regions",
        "selectors",
        "services",
        "shifts",
    )

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.regions: dict[str, Region] = {
            region.name: region for region in configuration.regions
        }
        self.customers: dict[str, Customer] = {
            customer.name: customer for customer in configuration.customers
        }
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.backend_servers: dict[str, BackendServer] = {
            server.name: server for server in configuration.backend_servers
        }
        self.selectors: dict[str, Selector] = {
            selector.name: selector for selector in configuration.selectors
        }
        self.shifts: dict[str, Shift] = {
            shift.name: shift for shift in configuration.shifts
        }
        self._by_digest: dict[str, tuple[str, Customer]] = {
            digest: (digest, customer)
            for customer in configuration.customers
            for digest in customer.key_digests
        }
        self._servers: dict[tuple[str, str], list[BackendServer]] = {}
        for server in configuration.backend_servers:
            place = (server.service, server.region)
            self._servers.setdefault(place, []).append(server)

    def customer_of_digest(self, digest: str) -> Customer | None:
        """Returns the customer that has a key with this SHA-256 digest.

        Known and unknown digests are both compared in constant time.
        """
        known, customer = self._by_digest.get(digest, (_NO_DIGEST, None))
        if not hmac.compare_digest(known, digest):
            return None
        return customer

    def servers(self, service: str, region: str) -> list[BackendServer]:
        """Returns the backend servers of a service in a region."""
        return self._servers.get((service, region), [])

    def versions(self, service: str) -> set[str]:
        """Returns the versions that a service's backend servers run."""
        return {
            server.version
            for server in self.configuration.backend_servers
            if server.service == service
        }
