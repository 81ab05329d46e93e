"""Decodes the operator's configuration, record by record.

A value that this version does not know affects only its own record: the value
is replaced by the strictest safe one, or the record is withheld, and the rest
of the configuration takes effect. A document whose version or tables cannot be
read is rejected as a whole, and the previous configuration stays in force.
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

# Limits of this size and above are treated as errors; the default applies.
_MAX_LIMIT = 2**40
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")


class _Wire(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of wire records: Pascal case names, unknown fields ignored."""


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


class _ServiceWeight(_Wire, kw_only=True):
    service: str
    weight: float


class _Match(_Wire, kw_only=True):
    path_prefix: str


class _Action(_Wire, kw_only=True):
    timeout_s: float
    service: str | None = None
    weighted_split: list[_ServiceWeight] | None = None
    max_attempts: int = 1
    home_regions: list[str] | None = None


class _Rule(_Wire, kw_only=True):
    name: str
    match: _Match
    # Decoded separately, so that a rule whose action is unusable is withheld
    # and not dropped.
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


# The strictest safe value of each field that has one. A customer whose rate or
# home regions are unreadable cannot be served safely, and neither can a route
# whose timeout, services or home regions are unreadable: these fields have no
# fallback.
_LIMITS_FALLBACKS = msgspec.structs.asdict(_Limits())
_TENANT_FALLBACKS: dict[str, Any] = {"priority": None, "burst": 0.0}
_ACTION_FALLBACKS: dict[str, Any] = {"max_attempts": 1}
_RULE_FALLBACKS: dict[str, Any] = {
    "kind": RouteKind.UNSAFE,
    "target_latency_s": 1.0,
    "priority": 0,
    "allow_anonymous": False,
    "session_affinity": False,
}
# A rate of one request per second does not overload a cold server.
_CLUSTER_FALLBACKS: dict[str, Any] = {
    "health_path": "/health",
    "max_connections": 330,
    "cold_start_s": 0.0,
    "cold_per_s": 1.0,
}


def decode_configuration(body: bytes) -> RoutingConfiguration | Unavailable:
    """Decodes the operator's configuration.

    Returns:
        The configuration, whose `problems` describe the unreadable values that
        were replaced and the records that were withheld, or the reason why the
        document cannot be used.
    """
    try:
        wire = msgspec.json.decode(body, type=_Config)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Unavailable(f"unreadable configuration: {error}")
    if _VERSION.fullmatch(wire.version) is None:
        return Unavailable(f"unreadable version {wire.version!r}")
    problems: list[str] = []
    limits = read_record(
        wire.limits, _Limits, _LIMITS_FALLBACKS, "limits", problems
    )
    services = _decode_services(wire.clusters, problems)
    configuration = RoutingConfiguration(
        version=int(wire.version, 16),
        limits=_valid_limits(limits or _Limits()),
        customers=_decode_customers(wire.tenants, problems),
        requires_keys=bool(wire.tenants),
        routes=_decode_routes(wire.listeners, problems),
        services=services,
    )
    return withhold_invalid(configuration, problems)


def _valid_limits(wire: _Limits) -> CallerLimits:
    defaults = _Limits()
    return CallerLimits(
        **{
            name: value if 0 < value < _MAX_LIMIT else getattr(defaults, name)
            for name, value in msgspec.structs.asdict(wire).items()
        }
    )


def _decode_services(
    clusters: list[object], problems: list[str]
) -> dict[str, ServicePolicy]:
    services = {}
    for raw in clusters:
        label = f"service {_record_name(raw)}"
        cluster = read_record(
            raw, _Cluster, _CLUSTER_FALLBACKS, label, problems
        )
        if cluster is not None:
            services[cluster.name] = ServicePolicy(
                name=cluster.name,
                health_path=cluster.health_path,
                max_connections=cluster.max_connections,
                cold_start_s=cluster.cold_start_s,
                cold_per_s=(
                    cluster.cold_per_s
                    if cluster.cold_per_s >= 0
                    else _CLUSTER_FALLBACKS["cold_per_s"]
                ),
            )
    return services


def _decode_customers(
    tenants: list[object], problems: list[str]
) -> tuple[CustomerPolicy, ...]:
    customers = []
    for raw in tenants:
        label = f"customer {_record_name(raw)}"
        wire = read_record(raw, _Tenant, _TENANT_FALLBACKS, label, problems)
        if wire is None:
            customers.append(_withheld_customer(raw, problems))
            continue
        keys = readable_items(wire.api_keys, str, label, problems)
        customers.append(
            CustomerPolicy(
                name=wire.name,
                keys=tuple(keys),
                priority=wire.priority,
                rate_per_s=wire.rate_per_s or 0.0,
                burst=wire.burst or 0.0,
                home_regions=frozenset(wire.home_regions or ()),
            )
        )
    return tuple(customers)


def _withheld_customer(raw: object, problems: list[str]) -> CustomerPolicy:
    """Returns a customer whose requests are withheld.

    They are not run, but they are not denied for an unknown key either, because
    the readable API keys of the customer are kept.
    """
    keys = raw.get("ApiKeys") if isinstance(raw, dict) else None
    readable = readable_items(
        keys if isinstance(keys, list) else [], str, "customer", problems
    )
    return CustomerPolicy(
        name=_record_name(raw), keys=tuple(readable), withheld=problems[-1]
    )


def _decode_routes(
    listeners: list[object], problems: list[str]
) -> tuple[HostRoute, ...]:
    routes = []
    for raw in listeners:
        listener = read_record(raw, _Listener, {}, "listener", problems)
        if listener is None:
            continue
        for raw_rule in listener.rules:
            label = f"route {_record_name(raw_rule)}"
            rule = read_record(
                raw_rule, _Rule, _RULE_FALLBACKS, label, problems
            )
            if rule is not None:
                routes.append(_decode_route(listener.host, rule, problems))
                continue
            raw_match = (
                raw_rule.get("Match") if isinstance(raw_rule, dict) else {}
            )
            wire_match = read_record(raw_match, _Match, {}, label, problems)
            if wire_match is not None:
                prefix, problem = wire_match.path_prefix, problems[-1]
                routes.append(
                    _withheld_route(
                        _record_name(raw_rule), listener.host, prefix, problem
                    )
                )
    return tuple(routes)


def _withheld_route(
    name: str, host: str, path_prefix: str, problem: str
) -> HostRoute:
    """Returns a route that matches but serves no requests.

    Without it, the route of a shorter prefix would match these requests.
    """
    return HostRoute(
        name=name,
        host=host.lower(),
        path_prefix=path_prefix,
        kind=RouteKind.UNSAFE,
        destinations=(),
        timeout_s=1.0,
        withheld=problem,
    )


def _decode_route(host: str, rule: _Rule, problems: list[str]) -> HostRoute:
    label = f"route {rule.name}"
    action = read_record(
        rule.action, _Action, _ACTION_FALLBACKS, label, problems
    )
    if action is None:
        return _withheld_route(
            rule.name, host, rule.match.path_prefix, problems[-1]
        )
    destinations = [
        Destination(service=share.service, weight=share.weight)
        for share in action.weighted_split or ()
    ]
    if action.service is not None:
        destinations.append(Destination(service=action.service, weight=1.0))
    return HostRoute(
        name=rule.name,
        host=host.lower(),
        path_prefix=rule.match.path_prefix,
        kind=rule.kind,
        destinations=tuple(destinations),
        timeout_s=action.timeout_s,
        target_latency_s=rule.target_latency_s,
        priority=rule.priority,
        max_attempts=action.max_attempts,
        home_regions=frozenset(action.home_regions or ()),
        open_to_all=rule.allow_anonymous,
        affinity=rule.session_affinity,
    )


def _record_name(raw: object) -> str:
    name = raw.get("Name") if isinstance(raw, dict) else None
    return name if isinstance(name, str) else "without a name"
