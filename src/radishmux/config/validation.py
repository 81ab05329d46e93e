"""Checks of a whole configuration: names, references and ranges.

`msgspec` checks types and ranges of single fields; this module checks the
relations between records. `validate` reports every violated reference or
cross-record rule, but of invalid single fields only the first.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, TypeVar

import msgspec

from radishmux.config.model import Configuration
from radishmux.registry import Registry
from radishmux.steer.blocks import BlockError, check_block

_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}
)
_MAX_PORT = 65_535
_LISTED_NAMES = 8
# msgspec messages end with the path, as in "- at `$.regions[0].name`".
_MSGSPEC_MESSAGE = re.compile(r"^(.*?)(?: - at `(.*)`)?$", re.DOTALL)
_PATH_PART = re.compile(r"\.(\w+)|\[(\d+)\]")


class Problem(msgspec.Struct, frozen=True):
    """A violated rule of the configuration.

    Attributes:
        path: Path in the document, as in `$.shifts[0].cap`.
        value: The offending value.
        allowed: Description of the values that are allowed.
    """

    path: str
    value: Any
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value!r} is not allowed: {self.allowed}"


Rule = Callable[[Configuration], Iterable[Problem]]
_rules: Registry[str, Rule] = Registry("validation rule")

T = TypeVar("T")


def validate(configuration: Configuration) -> tuple[Problem, ...]:
    """Returns the problems of a configuration; empty if it is valid."""
    wrong_field = _field_problem(configuration)
    if wrong_field is not None:
        return (wrong_field,)
    return validate_references(configuration)


def validate_references(configuration: Configuration) -> tuple[Problem, ...]:
    """Returns the problems between records of a decoded configuration.

    Single fields were checked by decoding. They are not checked again, since
    that takes longer than all other checks together.
    """
    found: list[Problem] = []
    for name in _rules:
        found.extend(_rules[name](configuration))
    return tuple(found)


def decode_configuration(raw: Any) -> Configuration | Problem:
    """Converts built-in objects to a Configuration.

    Returns:
        The first problem if a field has a wrong type or range.
    """
    try:
        return msgspec.convert(raw, Configuration)
    except msgspec.ValidationError as error:
        return describe_error(error, raw)


def describe_error(error: msgspec.ValidationError, raw: Any) -> Problem:
    """Returns a msgspec error as a Problem with the value from `raw`."""
    matched = _MSGSPEC_MESSAGE.match(str(error))
    text, path = matched.groups() if matched else (str(error), None)
    path = path or "$"
    return Problem(path, _value_at(raw, path), text)


def _field_problem(configuration: Configuration) -> Problem | None:
    """Checks single fields, since msgspec constructors do not."""
    decoded = decode_configuration(msgspec.to_builtins(configuration))
    return decoded if isinstance(decoded, Problem) else None


def _value_at(raw: Any, path: str) -> Any:
    value = raw
    for name, position in _PATH_PART.findall(path):
        try:
            value = value[name] if name else value[int(position)]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def _describe_known(kind: str, names: Iterable[str]) -> str:
    known = sorted(names)
    shown = ", ".join(known[:_LISTED_NAMES]) or "none"
    more = ", ..." if len(known) > _LISTED_NAMES else ""
    return f"a known {kind} ({shown}{more})"


def _duplicates(
    items: Sequence[T], key: Callable[[T], Any]
) -> Iterator[tuple[int, T]]:
    seen: set[Any] = set()
    for position, item in enumerate(items):
        if key(item) in seen:
            yield position, item
        seen.add(key(item))


@_rules.register("names")
def _unique_names(configuration: Configuration) -> Iterator[Problem]:
    for field in (
        "regions",
        "customers",
        "services",
        "backend_servers",
        "selectors",
        "shifts",
    ):
        records: Sequence[Any] = getattr(configuration, field)
        for position, record in _duplicates(records, lambda each: each.name):
            path = f"$.{field}[{position}].name"
            yield Problem(path, record.name, f"a name once in {field}")


@_rules.register("regions")
def _regions(configuration: Configuration) -> Iterator[Problem]:
    known = {region.name for region in configuration.regions}
    taken: dict[str, str] = {}
    for position, region in enumerate(configuration.regions):
        at = f"$.regions[{position}]"
        if not region.failure_domains:
            yield Problem(f"{at}.failure_domains", [], "at least one")
        for number, domain in enumerate(region.failure_domains):
            if domain in taken:
                yield Problem(
                    f"{at}.failure_domains[{number}]",
                    domain,
                    f"a failure domain once; {taken[domain]} has it",
                )
            taken.setdefault(domain, region.name)
        for number, link in enumerate(region.links):
            path = f"{at}.links[{number}].to_region"
            if link.to_region not in known or link.to_region == region.name:
                others = known - {region.name}
                yield Problem(
                    path, link.to_region, _describe_known("region", others)
                )
        for number, link in _duplicates(
            region.links, lambda link: link.to_region
        ):
            path = f"{at}.links[{number}].to_region"
            yield Problem(path, link.to_region, "one link to each region")


@_rules.register("client blocks")
def _client_blocks(configuration: Configuration) -> Iterator[Problem]:
    taken: dict[str, str] = {}
    for position, region in enumerate(configuration.regions):
        for number, block in enumerate(region.client_blocks):
            path = f"$.regions[{position}].client_blocks[{number}]"
            try:
                check_block(block)
            except BlockError as error:
                yield Problem(path, block, str(error))
            if block in taken:
                allowed = f"a block once; {taken[block]} has it"
                yield Problem(path, block, allowed)
            taken.setdefault(block, region.name)


@_rules.register("customers")
def _customers(configuration: Configuration) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for position, customer in enumerate(configuration.customers):
        at = f"$.customers[{position}]"
        if customer.burst < 1:
            # A token bucket below one token never admits a request.
            yield Problem(f"{at}.burst", customer.burst, "at least 1")
        for number, digest in enumerate(customer.key_digests):
            if digest in owners:
                yield Problem(
                    f"{at}.key_digests[{number}]",
                    digest,
                    f"a digest once; {owners[digest]} has it",
                )
            owners.setdefault(digest, customer.name)


@_rules.register("services")
def _services(configuration: Configuration) -> Iterator[Problem]:
    for position, service in enumerate(configuration.services):
        at = f"$.services[{position}]"
        versions = {
            server.version
            for server in configuration.backend_servers
            if server.service == service.name
        }
        if versions and service.stable_version not in versions:
            yield Problem(
                f"{at}.stable_version",
                service.stable_version,
                _describe_known(f"version of {service.name}", versions),
            )
        for number, route in _duplicates(
            service.routes, lambda each: each.name
        ):
            path = f"{at}.routes[{number}].name"
            yield Problem(path, route.name, "a name once in a service")
        yield from _routes(service.routes, at)


def _routes(routes: Sequence[Any], at: str) -> Iterator[Problem]:
    taken: set[tuple[str, str]] = set()
    for number, route in enumerate(routes):
        path = f"{at}.routes[{number}]"
        if not route.path_prefix.startswith("/"):
            prefix = route.path_prefix
            yield Problem(f"{path}.path_prefix", prefix, "starts with /")
        for place, method in enumerate(route.methods):
            if method not in _METHODS:
                known = ", ".join(sorted(_METHODS))
                yield Problem(f"{path}.methods[{place}]", method, known)
        claims = {
            (route.path_prefix, method) for method in route.methods or _METHODS
        }
        if claims & taken:
            yield Problem(
                f"{path}.path_prefix",
                route.path_prefix,
                "one route for each prefix and method",
            )
        taken |= claims


@_rules.register("backend servers")
def _backend_servers(configuration: Configuration) -> Iterator[Problem]:
    services = {service.name for service in configuration.services}
    domains = {
        region.name: region.failure_domains for region in configuration.regions
    }
    servers = configuration.backend_servers
    for position, server in enumerate(servers):
        at = f"$.backend_servers[{position}]"
        if server.service not in services:
            allowed = _describe_known("service", services)
            yield Problem(f"{at}.service", server.service, allowed)
        if server.region not in domains:
            allowed = _describe_known("region", domains)
            yield Problem(f"{at}.region", server.region, allowed)
        elif server.failure_domain not in domains[server.region]:
            allowed = _describe_known(
                f"failure domain of {server.region}", domains[server.region]
            )
            path = f"{at}.failure_domain"
            yield Problem(path, server.failure_domain, allowed)
        if not is_address(server.address):
            allowed = "an IP address and a port from 1 to 65535"
            yield Problem(f"{at}.address", server.address, allowed)
    for position, server in _duplicates(servers, lambda each: each.address):
        path = f"$.backend_servers[{position}].address"
        yield Problem(path, server.address, "an address once")


def is_address(address: str) -> bool:
    """Whether `address` is an IP address and a port, as in 127.0.0.1:80."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    try:
        socket.inet_pton(family, host.strip("[]"))
        return 1 <= int(port) <= _MAX_PORT
    except (OSError, ValueError):
        return False


@_rules.register("selectors")
def _selectors(configuration: Configuration) -> Iterator[Problem]:
    known = {region.name for region in configuration.regions}
    for position, selector in enumerate(configuration.selectors):
        for field in ("caller_regions", "allowed_regions"):
            named: Sequence[str] = getattr(selector, field)
            at = f"$.selectors[{position}].{field}"
            for number, region in enumerate(named):
                if region not in known:
                    allowed = _describe_known("region", known)
                    yield Problem(f"{at}[{number}]", region, allowed)
            for number, region in _duplicates(named, lambda name: name):
                yield Problem(f"{at}[{number}]", region, "a region once")


@_rules.register("shifts")
def _shifts(configuration: Configuration) -> Iterator[Problem]:
    versions: dict[str, set[str]] = {
        service.name: {service.stable_version}
        for service in configuration.services
    }
    for server in configuration.backend_servers:
        versions.setdefault(server.service, set()).add(server.version)
    known = {service.name for service in configuration.services}
    for position, shift in enumerate(configuration.shifts):
        at = f"$.shifts[{position}]"
        if shift.service not in known:
            allowed = _describe_known("service", known)
            yield Problem(f"{at}.service", shift.service, allowed)
            continue
        for field in ("from_version", "to_version"):
            version = getattr(shift, field)
            if version not in versions[shift.service]:
                allowed = _describe_known(
                    f"version of {shift.service}", versions[shift.service]
                )
                yield Problem(f"{at}.{field}", version, allowed)
        if shift.from_version == shift.to_version:
            allowed = "a version other than from_version"
            yield Problem(f"{at}.to_version", shift.to_version, allowed)
        if shift.cap < shift.canary:
            allowed = f"at least the canary fraction, {shift.canary}"
            yield Problem(f"{at}.cap", shift.cap, allowed)
