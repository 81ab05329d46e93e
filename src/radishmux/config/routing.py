"""Routing configuration: routes by host, services and customers.

A gateway daemon selects a route by host and longest path prefix. One document
holds routes, services and customers; its version only grows.
"""

from __future__ import annotations

import enum
import math

import msgspec

# Longest timeout of a route, one day.
MAX_TIMEOUT_S = 86_400


class RouteKind(enum.Enum):
    """Whether requests may be repeated, and which body is large."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    # Large responses.
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in _REPEATABLE


_REPEATABLE = frozenset({RouteKind.SAFE, RouteKind.DOWNLOAD})


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all routing records."""


class Destination(_Record, kw_only=True):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other destinations of the route.
    """

    service: str
    weight: float


class HostRoute(_Record, kw_only=True):
    """Rules for the requests of one host whose path has a prefix.

    Attributes:
        name: Unique among the routes.
        host: Value of the Host header, without a port, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may be repeated, and which body is large.
        destinations: Services that receive its requests; at least one,
            unless the route is withheld.
        timeout_s: Longest time that a caller waits for the response.
        target_latency_s: Time within which a response has its full value.
        priority: Priority class; 0 is the highest.
        max_attempts: Backend servers that one request may be sent to.
        home_regions: Regions that may serve it; empty means all.
        open_to_all: Whether it is served without a key.
        affinity: Whether backend servers respond faster for objects that they
            have served recently, so that placement prefers a warm cache.
        withheld: Reason for which its requests are refused although the route
            exists; empty if they are served.
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
    withheld: str = ""


class CustomerPolicy(_Record, kw_only=True):
    """Keys, limits and placement of a customer.

    Attributes:
        name: Unique among the customers.
        keys: Valid keys.
        priority: Priority class; takes precedence over that of the route.
        rate_per_s: Requests per second over the whole fleet; 0 means no limit.
        burst: Size of the token bucket of the whole fleet, in requests.
        home_regions: Regions that may serve it; empty means all.
        withheld: Reason for which its requests are refused although its keys
            are valid; empty if they are served.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()
    withheld: str = ""


class ServicePolicy(_Record, kw_only=True):
    """Health check and load limits of a service's backend servers.

    Attributes:
        name: Unique among the services.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts.
        cold_start_s: Time for which a backend server is cold after its start.
        cold_per_s: Requests per second that it can serve while it is cold.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 330
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class CallerLimits(_Record, kw_only=True):
    """Limits on the requests and connections of callers.

    Attributes:
        max_header_bytes: Largest head of a request.
        max_body_bytes: Largest body of a request.
        header_timeout_s: Longest time until a head has arrived completely.
        idle_timeout_s: Longest time that a connection may stay idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class RoutingConfiguration(_Record, kw_only=True):
    """Complete routing configuration of the operators.

    Attributes:
        version: Grows with each change, in steps of any size.
        limits: Limits on the requests and connections of callers.
        customers: All customers.
        routes: All routes.
        services: All services, by name.
        requires_keys: Whether requests need a key, unless their route is open.
        problems: Values that could not be understood and what was done about
            them (withheld or replaced).
    """

    version: int = 0
    limits: CallerLimits = CallerLimits()
    customers: tuple[CustomerPolicy, ...] = ()
    routes: tuple[HostRoute, ...] = ()
    services: dict[str, ServicePolicy] = {}
    requires_keys: bool = False
    problems: tuple[str, ...] = ()


def withhold_invalid(
    configuration: RoutingConfiguration, problems: list[str]
) -> RoutingConfiguration:
    """Withholds the parts of a configuration that cannot be served.

    A route that cannot be served as configured is withheld instead of removed,
    so that its requests are refused and do not match the route of a shorter
    prefix. A key that two customers share is removed from both.

    Args:
        configuration: Configuration whose types were checked when the document
            was decoded.
        problems: Problems found so far; new ones are appended.
    """
    routes = tuple(
        _checked_route(route, configuration, problems)
        for route in configuration.routes
    )
    shared = _shared_keys(configuration.customers)
    customers = tuple(
        _checked_customer(customer, shared, problems)
        for customer in configuration.customers
    )
    return msgspec.structs.replace(
        configuration,
        routes=routes,
        customers=customers,
        problems=tuple(problems),
    )


def _checked_route(
    route: HostRoute, configuration: RoutingConfiguration, problems: list[str]
) -> HostRoute:
    if route.withheld:
        return route
    problem = _route_problem(route, configuration)
    if problem is None:
        return route
    problems.append(f"route {route.name}: {problem}")
    return msgspec.structs.replace(route, destinations=(), withheld=problem)


def _shared_keys(customers: tuple[CustomerPolicy, ...]) -> frozenset[str]:
    owners: dict[str, str] = {}
    return frozenset(
        key
        for customer in customers
        for key in customer.keys
        if owners.setdefault(key, customer.name) != customer.name
    )


def _checked_customer(
    customer: CustomerPolicy, shared: frozenset[str], problems: list[str]
) -> CustomerPolicy:
    kept = tuple(key for key in customer.keys if key not in shared)
    if len(kept) < len(customer.keys):
        problems.append(f"customer {customer.name}: shares a key")
        customer = msgspec.structs.replace(customer, keys=kept)
    limits = (customer.rate_per_s, customer.burst)
    if not customer.withheld and not all(
        0 <= limit < math.inf for limit in limits
    ):
        problems.append(f"customer {customer.name}: rate or burst below 0")
        return msgspec.structs.replace(customer, withheld=problems[-1])
    return customer


def _route_problem(
    route: HostRoute, configuration: RoutingConfiguration
) -> str | None:
    prefix = route.path_prefix
    unknown = [
        destination.service
        for destination in route.destinations
        if destination.service not in configuration.services
    ]
    weights = [destination.weight for destination in route.destinations]
    checks = (
        (
            not (prefix.startswith("/") and prefix.endswith("/")),
            f"path prefix {prefix!r} lacks a slash at an end",
        ),
        (
            not 0 < route.timeout_s <= MAX_TIMEOUT_S,
            f"timeout is not above 0 and up to {MAX_TIMEOUT_S} s",
        ),
        (not route.destinations, "no destination"),
        (bool(unknown), f"unknown services {unknown}"),
        (
            not 0 < sum(weights) < math.inf
            or any(weight < 0 for weight in weights),
            "weights do not sum to more than 0",
        ),
        (route.max_attempts < 1, "less than one attempt"),
    )
    return next((text for is_wrong, text in checks if is_wrong), None)
