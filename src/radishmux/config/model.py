"""Data classes of the operators' configuration.

One document holds all settings of the operators. Its version only grows; see
docs/design.md, section 4.3.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$",
        description="IP address and port, as in 127.0.0.1:8080.",
    ),
]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class _Record(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all configuration records."""


class Link(_Record, kw_only=True):
    """Link from the region that lists it to another one.

    Attributes:
        to_region: Name of the other region.
        bits_per_s: Capacity in this direction.
        latency_ms: One-way latency.
    """

    to_region: Name
    bits_per_s: Positive
    latency_ms: Positive = 55.0


class Region(_Record, kw_only=True):
    """A region with its failure domains and outgoing links.

    Attributes:
        name: Unique among the regions.
        failure_domains: Names of its failure domains, each in one region only.
        links: Links to the regions that requests may be sent to, one for each.
        client_blocks: Address blocks of the callers nearest to the region, as
            in `10.1.0.0/16`; used by lookups that name an address.
        labels: Labels that selectors match.
    """

    name: Name
    failure_domains: list[Name]
    links: list[Link] = []
    client_blocks: list[str] = []
    labels: dict[str, str] = {}


class Customer(_Record, kw_only=True):
    """A customer: its fleet-wide rate limit and the digests of its keys.

    Attributes:
        name: Unique among the customers.
        rate_per_s: Requests per second over the whole fleet.
        burst: Size of the token bucket of the whole fleet, in requests.
        key_digests: SHA-256 digest of each valid key, hexadecimal.
        labels: Labels that selectors match.
    """

    name: Name
    rate_per_s: Positive
    burst: Positive
    key_digests: list[Digest] = []
    labels: dict[str, str] = {}


class Route(_Record, kw_only=True):
    """Rules for the requests of a service whose path has a prefix.

    The route with the longest matching prefix applies.

    Attributes:
        name: Unique among the routes of the service.
        path_prefix: Start of the path after the service name.
        methods: HTTP methods; empty means all.
        idempotent: Whether a request may run more than once.
        open_to_all: Whether the route is served without a key.
        upload: Whether requests wait for a slot up to their deadline.
    """

    name: Name
    path_prefix: str = "/"
    methods: list[str] = []
    idempotent: bool = False
    open_to_all: bool = False
    upload: bool = False


class Service(_Record, kw_only=True):
    """A service: its routes and defaults.

    Attributes:
        name: Unique among the services; first part of a request's path.
        routes: Rules for its requests.
        default_deadline_ms: Deadline of requests that do not set one.
        stable_version: Version that serves the traffic that no shift moves.
        labels: Labels that selectors match.
    """

    name: Name
    routes: list[Route]
    stable_version: Name
    default_deadline_ms: PositiveInt = 10_000
    labels: dict[str, str] = {}


class BackendServer(_Record, kw_only=True):
    """A backend server of one version of a service.

    Attributes:
        name: Unique among the backend servers.
        service: Name of the service that it serves.
        region: Name of its region.
        failure_domain: One of that region's failure domains.
        address: Address at which it accepts HTTP.
        version: Version of the service that it runs.
        slots: Requests that it runs at the same time.
        connections: Connections that it accepts.
        labels: Labels for operators; selectors ignore them.
    """

    name: Name
    service: Name
    region: Name
    failure_domain: Name
    address: Address
    version: Name
    slots: PositiveInt
    connections: PositiveInt = 330
    labels: dict[str, str] = {}


class Selector(_Record, kw_only=True):
    """Selects traffic by labels and caller region, and its allowed regions.

    All label maps must match (a subset match); an empty map matches all. The
    first matching selector in the list applies.

    Attributes:
        name: Unique among the selectors.
        customer_labels: Labels that the customer must have.
        service_labels: Labels that the service must have.
        caller_regions: Regions that the caller must be in; empty means any.
        allowed_regions: Regions in which its requests may run, in order of
            preference.
    """

    name: Name
    customer_labels: dict[str, str] = {}
    service_labels: dict[str, str] = {}
    caller_regions: list[Name] = []
    allowed_regions: list[Name] = []


class ShiftIntent(enum.Enum):
    """Requested action of a shift."""

    RUN = "run"
    PAUSE = "pause"
    TAKE_BACK = "take_back"


class Shift(_Record, kw_only=True):
    """A move of a service's traffic from one version to another.

    Attributes:
        name: Unique among the shifts.
        service: Name of the service.
        from_version: Version that loses traffic.
        to_version: Version that gains traffic.
        cap: Largest fraction of the service's traffic that may move.
        canary: Fraction that moves until the new version has passed its checks.
        deadline: Unix time in seconds by which the fraction must reach `cap`.
        intent: Action that the operator requests now.
    """

    name: Name
    service: Name
    from_version: Name
    to_version: Name
    cap: Fraction
    canary: Fraction = 0.02
    deadline: float
    intent: ShiftIntent = ShiftIntent.RUN


class Configuration(_Record, kw_only=True):
    """All settings of the operators.

    Attributes:
        version: Grows by one with each accepted change.
        writer: Id of the write, by which its writer recognizes it after a lost
            response.
        regions: All regions.
        customers: All customers.
        services: All services.
        backend_servers: All backend servers.
        selectors: All selectors, in order of precedence.
        shifts: All shifts that the operators have requested.
        cell_size: Backend servers per cell; see docs/design.md, section 4.5.
    """

    version: Annotated[int, msgspec.Meta(ge=0)] = 0
    writer: str = ""
    regions: list[Region] = []
    customers: list[Customer] = []
    services: list[Service] = []
    backend_servers: list[BackendServer] = []
    selectors: list[Selector] = []
    shifts: list[Shift] = []
    cell_size: PositiveInt = 64
