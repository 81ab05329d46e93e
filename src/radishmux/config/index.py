"""Look-up tables over one version of the configuration."""

from __future__ import annotations

import hmac
import posixpath
import urllib.parse

from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Route,
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
        "_routes",
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
        self._routes: dict[str, tuple[Route, ...]] = {
            service.name: tuple(sorted(service.routes, key=_prefix_rank))
            for service in configuration.services
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

    def route(self, service: str, path: str, method: str) -> Route | None:
        """Returns the route with the longest prefix of `path`.

        A prefix matches whole path segments: `/pay` matches `/pay` and
        `/pay/1` but not `/payments`. Routes that do not list the method are
        passed over.

        Args:
            service: Name of the service.
            path: Path after the service name, still percent-encoded, without
                the query.
            method: HTTP method in capitals.

        Returns:
            None when there is no such route, or when a backend server that
            decodes and normalises the path would see it under another route:
            that could make a keyed route look like a public one.
        """
        routes = self._routes.get(service, ())
        literal = _longest(routes, path, method)
        if literal is not _longest(routes, _normalised(path), method):
            return None
        return literal

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


def _prefix_rank(route: Route) -> int:
    return -len(route.path_prefix)


def _longest(routes: tuple[Route, ...], path: str, method: str) -> Route | None:
    for route in routes:
        if route.methods and method not in route.methods:
            continue
        if has_prefix(path, route.path_prefix):
            return route
    return None


def has_prefix(path: str, prefix: str) -> bool:
    """Whether `prefix` covers the first whole segments of `path`."""
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith("/")
        or len(path) == len(prefix)
        or path[len(prefix)] == "/"
    )


def _normalised(path: str) -> str:
    decoded = urllib.parse.unquote(path).replace("\\", "/")
    if "//" not in decoded and "/." not in decoded:
        return decoded
    # normpath keeps two leading slashes, which POSIX allows.
    clean = "/" + posixpath.normpath(decoded).lstrip("/")
    return clean + "/" if decoded.endswith("/") and clean != "/" else clean
