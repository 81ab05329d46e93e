"""Routing configuration: what operators decide about requests by host.

A gateway daemon selects a route by host and longest path prefix. One document
with one version that only grows holds routes, services and customers.
"""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is RouteKind.SAFE


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records."""


class Destination(_Record, kw_only=True):
    """A service that takes part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other destinations of the route.
    """

    service: str
    weight: float


class HostRoute(_Record, kw_only=True):
    """Rules for the requests of one host whose path has a prefix.

    Attributes:
        name: Unique among the routes.
        host: Value of the Host header, without a port, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        destinations: At least one.
        timeout_s: Longest time that a caller is kept waiting.
        target_latency_s: Time within which a response has its full value.
        priority: Rank; 0 is the highest.
        max_attempts: Backend servers that one request may be sent to.
        home_regions: Regions that may serve it; empty means all.
        open_to_all: Whether it is served without a key.
        affinity: Whether a backend server is faster with a recent object.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    home_regions: frozenset[str] = frozenset()
    open_to_all: bool = False
    affinity: bool = False


class CustomerTerms(_Record, kw_only=True):
    """A customer of the fleet.

    Attributes:
        name: Unique among the customers.
        keys: Keys in force.
        priority: Rank; takes precedence over the route's.
        rate_per_s: Requests per second over the whole fleet; 0: no limit.
        burst: Requests that may be sent at once over the whole fleet.
        home_regions: Regions that may serve it; empty means all.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


class ServiceTerms(_Record, kw_only=True):
    """What backend servers of a service bear.

    Attributes:
        name: Unique among the services.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts.
        cold_start_s: How long a backend server is cold after its start.
        cold_per_s: Requests per second that it bears while it is cold.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 330
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class CallerLimits(_Record, kw_only=True):
    """What callers may send.

    Attributes:
        max_header_bytes: Size of a request's head.
        max_body_bytes: Size of a request's body.
        header_timeout_s: Longest time for a whole head.
        idle_timeout_s: Longest time that a connection may stay idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class RoutingConfiguration(_Record, kw_only=True):
    """Everything that operators decide about routing.

    Attributes:
        version: Grows with each change, in steps of any size.
        limits: What callers may send.
        customers: All customers.
        routes: All routes.
        services: All services, by name.
    """

    version: int = 0
    limits: CallerLimits = CallerLimits()
    customers: tuple[CustomerTerms, ...] = ()
    routes: tuple[HostRoute, ...] = ()
    services: dict[str, ServiceTerms] = {}


def find_problem(configuration: RoutingConfiguration) -> str | None:
    """Returns why a configuration cannot be put in force, or None.

    The names of services, the prefixes, the weights and the owners of keys
    are checked; types were checked when the document was decoded.
    """
    for route in configuration.routes:
        problem = _route_problem(route, configuration)
        if problem is not None:
            return f"route {route.name}: {problem}"
    owners: dict[str, str] = {}
    for customer in configuration.customers:
        for key in customer.keys:
            if owners.setdefault(key, customer.name) != customer.name:
                return f"customer {customer.name}: shares a key"
    return None


def _route_problem(
    route: HostRoute, configuration: RoutingConfiguration
) -> str | None:
    prefix = route.path_prefix
    unknown = [
        destination.service
        for destination in route.destinations
        if destination.service not in configuration.services
    ]
    checks = (
        (
            not (prefix.startswith("/") and prefix.endswith("/")),
            f"path prefix {prefix!r} lacks a slash at an end",
        ),
        (not route.timeout_s > 0, "timeout is not above 0"),
        (not route.destinations, "no destination"),
        (bool(unknown), f"unknown services {unknown}"),
        (
            sum(one.weight for one in route.destinations) <= 0
            or any(one.weight < 0 for one in route.destinations),
            "weights do not sum to more than 0",
        ),
        (route.max_attempts < 1, "less than one attempt"),
    )
    return next((text for is_wrong, text in checks if is_wrong), None)
