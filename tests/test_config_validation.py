"""Checks of a whole configuration, and the lookup tables."""

from __future__ import annotations

import msgspec
import pytest

from radishmux.config.index import ConfigIndex
from radishmux.config.model import Configuration, Route
from radishmux.config.state import ConfigState
from radishmux.config.validation import decode_configuration, validate
from radishmux.http.targets import RouteTable, split_target

_DIGEST = "a" * 64
_VALID = {
    "version": 1,
    "regions": [
        {
            "name": "accra",
            "failure_domains": ["accra-a", "accra-b"],
            "links": [{"to_region": "kumasi", "bits_per_s": 280e6}],
        },
        {"name": "kumasi", "failure_domains": ["kumasi-a"]},
    ],
    "customers": [
        {
            "name": "clinic",
            "rate_per_s": 5,
            "burst": 10,
            "key_digests": [_DIGEST],
        },
        {"name": "school", "rate_per_s": 5, "burst": 10},
    ],
    "services": [
        {
            "name": "poles",
            "stable_version": "v1",
            "routes": [
                {"name": "all"},
                {
                    "name": "status",
                    "path_prefix": "/status",
                    "methods": ["GET"],
                    "open_to_all": True,
                },
            ],
        }
    ],
    "backend_servers": [
        {
            "name": f"poles-{n}",
            "service": "poles",
            "region": "accra",
            "failure_domain": "accra-a",
            "address": f"127.0.0.1:{9000 + n}",
            "version": f"v{n}",
            "slots": 3,
        }
        for n in (1, 2)
    ],
    "selectors": [{"name": "near", "allowed_regions": ["accra", "kumasi"]}],
    "shifts": [
        {
            "name": "to-v2",
            "service": "poles",
            "from_version": "v1",
            "to_version": "v2",
            "cap": 0.5,
            "deadline": 2e9,
        }
    ],
}


def _configuration() -> Configuration:
    decoded = decode_configuration(_VALID)
    assert isinstance(decoded, Configuration), decoded
    return decoded


def test_valid_configuration_has_no_problems():
    assert validate(_configuration()) == ()


@pytest.mark.parametrize(
    ("path", "value", "allowed"),
    [
        ("regions.1.name", "accra", "a name once in regions"),
        ("regions.0.failure_domains", [], "at least one"),
        ("regions.1.failure_domains.0", "accra-a", "accra has it"),
        ("regions.0.links.0.to_region", "tamale", "kumasi"),
        ("regions.0.links.0.to_region", "accra", "kumasi"),
        ("customers.1.name", "clinic", "once"),
        ("customers.1.key_digests", [_DIGEST], "clinic has it"),
        ("customers.1.burst", 0.5, "at least 1"),
        ("customers.1.burst", -1, "> 0"),
        ("services.0.stable_version", "v3", "v1, v2"),
        ("services.0.routes.1.name", "all", "once"),
        ("services.0.routes.1.path_prefix", "status", "starts with /"),
        ("services.0.routes.1.path_prefix", "/", "one route for each"),
        ("services.0.routes.1.methods.0", "get", "GET"),
        ("backend_servers.1.name", "poles-1", "once"),
        ("backend_servers.1.service", "valves", "poles"),
        ("backend_servers.1.region", "tamale", "accra, kumasi"),
        ("backend_servers.1.failure_domain", "kumasi-a", "accra-b"),
        ("backend_servers.1.address", "127.0.0.1:9001", "once"),
        ("backend_servers.1.address", "127.0.0.256:1", "IP address"),
        ("backend_servers.1.address", "127.0.0.1:65536", "65535"),
        ("backend_servers.1.address", "localhost:80", "regex"),
        ("selectors.0.allowed_regions.1", "tamale", "accra, kumasi"),
        ("selectors.0.allowed_regions.1", "accra", "once"),
        ("shifts.0.service", "valves", "poles"),
        ("shifts.0.to_version", "v3", "v1, v2"),
        ("shifts.0.to_version", "v1", "other than"),
        ("shifts.0.cap", 0.01, "at least the canary"),
    ],
)
def test_problem_names_path_value_and_what_is_allowed(
    path: str, value: object, allowed: str
):
    """Each case breaks a single rule, and the problem must name its path."""
    document = msgspec.json.decode(msgspec.json.encode(_VALID))
    *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
    place = document
    for part in parents:
        place = place[part]
    place[last] = value
    decoded = decode_configuration(document)
    if isinstance(decoded, Configuration):
        problems = validate(decoded)
    else:
        problems = (decoded,)
    assert problems
    expected = "$" + "".join(
        f"[{p}]" if p.isdigit() else f".{p}" for p in path.split(".")
    )
    assert problems[0].path.startswith(expected)
    assert allowed in problems[0].allowed


@pytest.mark.parametrize(
    ("path", "method", "route"),
    [
        ("/status", "GET", "status"),
        ("/status/7", "GET", "status"),
        ("/statuses", "GET", "all"),
        ("/status", "POST", "all"),
        ("/refills/a%20b", "POST", "all"),
        # A server that normalizes these paths would see one that needs a key.
        ("/status/../refills", "GET", None),
        ("/status/%2e%2e/refills", "GET", None),
        ("/status/x%2f..%2f..%2frefills", "GET", None),
        ("/status/x\\..\\..\\refills", "GET", None),
        # These paths need a key in either reading; dot segments are refused.
        ("/status%2f..%2frefills", "GET", None),
        ("/status\\..\\refills", "GET", None),
        ("//status", "GET", None),
    ],
)
def test_longest_prefix_decides_and_no_path_looks_public(
    path: str, method: str, route: str | None
):
    target = split_target(f"/poles{path}")
    table = RouteTable(_configuration())
    found = table.route(target, method) if target is not None else None
    assert (found.name if found else None) == route


def test_a_service_that_is_not_configured_has_no_route():
    table = RouteTable(_configuration())
    assert table.route(split_target("/valves/"), "GET") is None


def test_index_finds_servers_versions_and_customers():
    index = ConfigIndex(_configuration())
    assert [s.name for s in index.servers("poles", "accra")] == [
        "poles-1",
        "poles-2",
    ]
    assert index.servers("poles", "kumasi") == []
    assert index.versions("poles") == {"v1", "v2"}
    assert index.customer_of_digest(_DIGEST).name == "clinic"
    assert index.customer_of_digest("b" * 64) is None
    assert isinstance(index.services["poles"].routes[0], Route)


def test_state_calls_every_callback_even_after_one_fails():
    state = ConfigState()
    seen: list[int] = []

    def failing(_: Configuration) -> None:
        raise RuntimeError("callback")

    state.watch(failing)
    unwatch = state.watch(lambda applied: seen.append(applied.version))
    assert state.apply(Configuration(version=3))
    assert not state.apply(Configuration(version=3))
    assert not state.apply(Configuration(version=2))
    unwatch()
    assert state.apply(Configuration(version=4))
    assert (seen, state.current.version) == ([3], 4)
