"""Decodes the operator's configuration, record by record.

A record with a value that this version does not know does not keep the rest
from being in force: the value is read as the strictest one that is safe, or the
record is withheld. A document whose version or tables cannot be read
is not used at all, and the configuration before it stays in force.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from radishmux.config.routing import (
    CallerLimits,
    CustomerPolicy,
    Destination,
    HostRoute,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
    withhold_invalid,
)
from radishmux.outcome import Unavailable
from radishmux.platform._records import read_record, readable_items

# Limits from here on are taken for errors.
_MAX_LIMIT = 2**40
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")


class _Wire(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of wire records: names in pascal case, unknown ones ignored."""


class _Limits(_Wire, kw_only=True):
    max_header_bytes: int = CallerLimits().max_header_bytes
    max_body_bytes: int = CallerLimits().max_body_bytes
    header_timeout_s: float = CallerLimits().header_timeout_s
    idle_timeout_s: float = CallerLimits().idle_timeout_s


class _Tenant(_Wire, kw_only=True):
    name: str
    api_keys: list[Any] = []
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
    # Read on its own: a rule without a usable action is withheld.
    action: Any
    kind: RouteKind = RouteKind.UNSAFE
    target_latency_s: float = 1.0
    priority: int = 0
    allow_anonymous: bool = False
    session_affinity: bool = False


class _Listener(_Wire, kw_only=True):
    host: str
    rules: list[Any] = []


class _Cluster(_Wire, kw_only=True):
    name: str
    health_path: str = "/health"
    max_connections: int = 330
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Config(_Wire, kw_only=True):
    version: str
    limits: Any = {}
    tenants: list[Any] = []
    listeners: list[Any] = []
    clusters: list[Any] = []


# Strictest values that are safe, for fields that have one. A customer without a
# known rate or homes, and a route without a known time-out, services or homes,
# cannot be served safely.
_LIMITS = msgspec.structs.asdict(_Limits())
_TENANT: dict[str, Any] = {"priority": None, "burst": 0.0}
_ACTION: dict[str, Any] = {"max_attempts": 1}
_RULE: dict[str, Any] = {
    "kind": RouteKind.UNSAFE,
    "target_latency_s": 1.0,
    "priority": 0,
    "allow_anonymous": False,
    "session_affinity": False,
}
# One request a second harms no cold server.
_CLUSTER: dict[str, Any] = {
    "health_path": "/health",
    "max_connections": 330,
    "cold_start_s": 0.0,
    "cold_per_s": 1.0,
}


def decode_configuration(body: bytes) -> RoutingConfiguration | Unavailable:
    """Returns the operator's configuration, or why it cannot be used.

    What was withheld or replaced stands in its `problems`.
    """
    try:
        wire = msgspec.json.decode(body, type=_Config)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Unavailable(f"unreadable configuration: {error}")
    if _VERSION.fullmatch(wire.version) is None:
        return Unavailable(f"unreadable version {wire.version!r}")
    problems: list[str] = []
    limits = read_record(wire.limits, _Limits, _LIMITS, "limits", problems)
    services = _services(wire.clusters, problems)
    configuration = RoutingConfiguration(
        version=int(wire.version, 16),
        limits=_caller_limits(limits or _Limits()),
        customers=_customers(wire.tenants, problems),
        requires_keys=bool(wire.tenants),
        routes=_routes(wire.listeners, problems),
        services=services,
    )
    return withhold_invalid(configuration, problems)


def _caller_limits(wire: _Limits) -> CallerLimits:
    usual = _Limits()
    return CallerLimits(
        **{
            name: value if 0 < value < _MAX_LIMIT else getattr(usual, name)
            for name, value in msgspec.structs.asdict(wire).items()
        }
    )


def _services(
    clusters: list[object], problems: list[str]
) -> dict[str, ServicePolicy]:
    found = {}
    for raw in clusters:
        where = f"service {_name(raw)}"
        one = read_record(raw, _Cluster, _CLUSTER, where, problems)
        if one is not None:
            found[one.name] = ServicePolicy(
                name=one.name,
                health_path=one.health_path,
                max_connections=one.max_connections,
                cold_start_s=one.cold_start_s,
                cold_per_s=(
                    one.cold_per_s
                    if one.cold_per_s >= 0
                    else _CLUSTER["cold_per_s"]
                ),
            )
    return found


def _customers(
    tenants: list[object], problems: list[str]
) -> tuple[CustomerPolicy, ...]:
    found = []
    for raw in tenants:
        where = f"customer {_name(raw)}"
        wire = read_record(raw, _Tenant, _TENANT, where, problems)
        if wire is None:
            found.append(_withheld_customer(raw, problems))
            continue
        keys = readable_items(wire.api_keys, str, where, problems)
        found.append(
            CustomerPolicy(
                name=wire.name,
                keys=tuple(keys),
                priority=wire.priority,
                rate_per_s=wire.rate_per_s or 0.0,
                burst=wire.burst or 0.0,
                home_regions=frozenset(wire.home_regions or ()),
            )
        )
    return tuple(found)


def _withheld_customer(raw: object, problems: list[str]) -> CustomerPolicy:
    """Returns a customer whose requests are not run, and not denied either."""
    keys = raw.get("ApiKeys") if isinstance(raw, dict) else None
    readable = readable_items(
        keys if isinstance(keys, list) else [], str, "customer", problems
    )
    return CustomerPolicy(
        name=_name(raw), keys=tuple(readable), withheld=problems[-1]
    )


def _routes(
    listeners: list[object], problems: list[str]
) -> tuple[HostRoute, ...]:
    found = []
    for raw in listeners:
        listener = read_record(raw, _Listener, {}, "listener", problems)
        if listener is None:
            continue
        for raw_rule in listener.rules:
            where = f"route {_name(raw_rule)}"
            rule = read_record(raw_rule, _Rule, _RULE, where, problems)
            if rule is not None:
                found.append(_route(listener.host, rule, problems))
                continue
            match = raw_rule.get("Match") if isinstance(raw_rule, dict) else {}
            place = read_record(match, _Match, {}, where, problems)
            if place is not None:
                prefix, problem = place.path_prefix, problems[-1]
                found.append(
                    _withheld_route(
                        _name(raw_rule), listener.host, prefix, problem
                    )
                )
    return tuple(found)


def _withheld_route(
    name: str, host: str, path_prefix: str, problem: str
) -> HostRoute:
    """Returns a route that keeps its requests from that of a shorter prefix."""
    return HostRoute(
        name=name,
        host=host.lower(),
        path_prefix=path_prefix,
        kind=RouteKind.UNSAFE,
        destinations=(),
        timeout_s=1.0,
        withheld=problem,
    )


def _route(host: str, rule: _Rule, problems: list[str]) -> HostRoute:
    where = f"route {rule.name}"
    action = read_record(rule.action, _Action, _ACTION, where, problems)
    if action is None:
        return _withheld_route(
            rule.name, host, rule.match.path_prefix, problems[-1]
        )
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


def _name(raw: object) -> str:
    name = raw.get("Name") if isinstance(raw, dict) else None
    return name if isinstance(name, str) else "without a name"
