"""Decodes the operator's documents and the backend servers' entries.

The wire names are decoded here, once, into the product's types.
"""

from __future__ import annotations

from typing import Any

import msgspec

from radishmux.config.routing import (
    CallerLimits,
    CustomerTerms,
    Destination,
    HostRoute,
    RouteKind,
    RoutingConfiguration,
    ServiceTerms,
    find_problem,
)
from radishmux.outcome import Unavailable
from radishmux.shift.orders import RolloutOrder, RolloutState, RolloutStatus
from radishmux.steer.servers import ServerEntry

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
SERVERS_PREFIX = "servers/"
EVACUATE_PREFIX = "op/evacuate/"
ROLLOUT_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"


class _Wire(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of wire records: names in pascal case, unknown ones ignored."""


class _Limits(_Wire, kw_only=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class _Tenant(_Wire, kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    home_regions: list[str] | None = None


class _Part(_Wire, kw_only=True):
    service: str
    weight: float


class _Match(_Wire, kw_only=True):
    path_prefix: str


class _Action(_Wire, kw_only=True):
    timeout_s: float
    service: str | None = None
    weighted_split: list[_Part] | None = None
    max_attempts: int = 1
    home_regions: list[str] | None = None


class _Rule(_Wire, kw_only=True):
    name: str
    match: _Match
    action: _Action
    kind: RouteKind = RouteKind.UNSAFE
    target_latency_s: float = 1.0
    priority: int = 0
    allow_anonymous: bool = False
    session_affinity: bool = False


class _Listener(_Wire, kw_only=True):
    host: str
    rules: list[_Rule] = []


class _Cluster(_Wire, kw_only=True):
    name: str
    health_path: str = "/health"
    max_connections: int = 330
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Config(_Wire, kw_only=True):
    version: str
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []
    listeners: list[_Listener] = []
    clusters: list[_Cluster] = []


class _Server(_Wire, kw_only=True):
    service: str
    address: str
    zone: str
    state: str
    version: str = ""
    slots: int = 1
    # Seconds that the server stays slow after its start, from the entry on.
    cold_remaining_s: float = msgspec.field(default=0.0, name="ColdRemainingS")
    sequence: int = 0
    # Unix milliseconds of the server's start.
    started_ms: int = msgspec.field(default=0, name="born")


class _Rollout(_Wire, kw_only=True):
    service: str
    target_version: str
    duration_s: float


class _Status(_Wire, kw_only=True):
    state: RolloutState
    target_version: str


def decode_configuration(body: bytes) -> RoutingConfiguration | Unavailable:
    """Returns the operator's configuration, or why it cannot be used."""
    try:
        wire = msgspec.json.decode(body, type=_Config)
        version = int(wire.version, 16)
    except (msgspec.DecodeError, ValueError) as error:
        return Unavailable(f"unreadable configuration: {error}")
    configuration = RoutingConfiguration(
        version=version,
        limits=CallerLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_s,
            idle_timeout_s=wire.limits.idle_timeout_s,
        ),
        customers=tuple(_customer(one) for one in wire.tenants),
        routes=tuple(
            _route(listener.host, rule)
            for listener in wire.listeners
            for rule in listener.rules
        ),
        services={
            one.name: ServiceTerms(
                name=one.name,
                health_path=one.health_path,
                max_connections=one.max_connections,
                cold_start_s=one.cold_start_s,
                cold_per_s=one.cold_per_s,
            )
            for one in wire.clusters
        },
    )
    problem = find_problem(configuration)
    return Unavailable(problem) if problem else configuration


def _customer(wire: _Tenant) -> CustomerTerms:
    return CustomerTerms(
        name=wire.name,
        keys=tuple(wire.api_keys),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s or 0.0,
        burst=wire.burst or 0.0,
        home_regions=frozenset(wire.home_regions or ()),
    )


def _route(host: str, rule: _Rule) -> HostRoute:
    action = rule.action
    parts = [
        Destination(service=one.service, weight=one.weight)
        for one in action.weighted_split or ()
    ]
    if action.service is not None:
        parts.append(Destination(service=action.service, weight=1.0))
    return HostRoute(
        name=rule.name,
        host=host.lower(),
        path_prefix=rule.match.path_prefix,
        kind=rule.kind,
        destinations=tuple(parts),
        timeout_s=action.timeout_s,
        target_latency_s=rule.target_latency_s,
        priority=rule.priority,
        max_attempts=action.max_attempts,
        home_regions=frozenset(action.home_regions or ()),
        open_to_all=rule.allow_anonymous,
        affinity=rule.session_affinity,
    )


def decode_server(name: str, body: bytes) -> ServerEntry | Unavailable:
    """Returns a backend server's entry, or why it names none to use."""
    try:
        wire = msgspec.json.decode(body, type=_Server)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable entry: {error}")
    if wire.state not in ("ready", "draining"):
        return Unavailable(f"unknown state {wire.state!r}")
    if wire.slots < 1 or not _is_address(wire.address):
        return Unavailable("no usable slots or address")
    return ServerEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        version=wire.version,
        slots=wire.slots,
        draining=wire.state == "draining",
        cold_remaining_s=max(0.0, wire.cold_remaining_s),
        sequence=wire.sequence,
        started_ms=wire.started_ms,
    )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536


def decode_rollout(body: bytes) -> RolloutOrder | Unavailable:
    """Returns an operator's order to move a service to a version."""
    try:
        wire = msgspec.json.decode(body, type=_Rollout)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable order: {error}")
    return RolloutOrder(wire.service, wire.target_version, wire.duration_s)


def decode_status(body: bytes) -> RolloutStatus | Unavailable:
    """Returns the state of an order that an instance recorded."""
    try:
        wire = msgspec.json.decode(body, type=_Status)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable status: {error}")
    return RolloutStatus(wire.target_version, wire.state)


def encode_status(status: RolloutStatus) -> bytes:
    """Returns the document that the operator reads."""
    document: dict[str, Any] = {
        "State": status.state.value,
        "TargetVersion": status.version,
    }
    return msgspec.json.encode(document)
