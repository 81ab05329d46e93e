"""Routing configuration: what operators decide about requests by host.

A gateway daemon selects a route by host and longest path prefix. One document
with one version that only grows holds routes, services and customers.
"""

from __future__ import annotations

import enum
import math

import msgspec

# Longest time that a caller may be kept waiting: a day.
MAX_TIMEOUT_S = 86_400


class RouteKind(enum.Enum):
    """What may be repeated."""

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
        withheld: Why its requests are not run, although the route is there;
            empty: they are.
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
    """A customer of the fleet.

    Attributes:
        name: Unique among the customers.
        keys: Keys in force.
        priority: Rank; takes precedence over the route's.
        rate_per_s: Requests per second over the whole fleet; 0: no limit.
        burst: Requests that may be sent at once over the whole fleet.
        home_regions: Regions that may serve it; empty means all.
        withheld: Why its requests are not run, although its keys are in force;
            empty: they are.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()
    withheld: str = ""


class ServicePolicy(_Record, kw_only=True):
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
        requires_keys: Whether requests need a key, unless their route is open.
        problems: What could not be understood, and was withheld or replaced.
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
    """Returns a configuration of which everything can be in force.

    A route that cannot be served as it says is withheld, so that its requests
    are refused and do not go to the route of a shorter prefix. A key that two
    customers hold is nobody's.

    Args:
        configuration: Its types were checked when the document was decoded.
        problems: What was found before; more is added.
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
    terms = (customer.rate_per_s, customer.burst)
    if not customer.withheld and not all(0 <= one < math.inf for one in terms):
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
    weights = [one.weight for one in route.destinations]
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
            not 0 < sum(weights) < math.inf or any(one < 0 for one in weights),
            "weights do not sum to more than 0",
        ),
        (route.max_attempts < 1, "less than one attempt"),
    )
    return next((text for is_wrong, text in checks if is_wrong), None)
