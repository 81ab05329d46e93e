"""Look-up tables over one version of the configuration."""

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
    """Tables by name, made once for each version.

    Attributes:
        configuration: What the tables were made from.
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
            one.name: one for one in configuration.regions
        }
        self.customers: dict[str, Customer] = {
            one.name: one for one in configuration.customers
        }
        self.services: dict[str, Service] = {
            one.name: one for one in configuration.services
        }
        self.backend_servers: dict[str, BackendServer] = {
            one.name: one for one in configuration.backend_servers
        }
        self.selectors: dict[str, Selector] = {
            one.name: one for one in configuration.selectors
        }
        self.shifts: dict[str, Shift] = {
            one.name: one for one in configuration.shifts
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

        The digest is compared in constant time, for known and unknown ones.
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
