"""Tests the configurations and settings in deploy/ and the JSON schemas."""

from __future__ import annotations

import hashlib
import json
import pathlib
import re

import pytest

from radishmux.cli.schema import SCHEMAS, schema_text
from radishmux.config.model import Configuration
from radishmux.config.validation import validate
from radishmux.settings.daemon import DaemonSettings
from radishmux.settings.gateway import load_gateway
from radishmux.settings.loader import SettingsError, load

ROOT = pathlib.Path(__file__).parent.parent
# Regions, link bits/s, fewest and most servers of a service, fewest and most
# slots of a server, as in docs/design.md, 1.6.
SIZES = {
    "association": (["montreal", "quebec", "saguenay"], 4e9, 12, 18, 3, 6),
    "trust": (["accra", "kumasi", "tamale"], 280e6, 12, 14, 3, 4),
}
CONNECTIONS = {"association": 360, "trust": 330}


def _configuration(user: str) -> Configuration:
    return load(ROOT / "deploy" / f"{user}.jsonc", Configuration)


@pytest.mark.parametrize("user", SIZES)
def test_configuration_has_the_sizes_of_the_design(user):
    regions, bits_per_s, min_servers, max_servers, min_slots, max_slots = SIZES[
        user
    ]
    configuration = _configuration(user)
    assert [region.name for region in configuration.regions] == regions
    for region in configuration.regions:
        assert len(region.failure_domains) == 2
        assert {link.to_region for link in region.links} == (
            set(regions) - {region.name}
        )
        assert {link.bits_per_s for link in region.links} == {bits_per_s}
    assert validate(configuration) == ()
    assert len(configuration.customers) == 8
    sizes = [customer.labels["size"] for customer in configuration.customers]
    assert 1 < sizes.count("large") < 4
    assert len(configuration.services) == 4
    for service in configuration.services:
        servers = [
            server
            for server in configuration.backend_servers
            if server.service == service.name
        ]
        assert min_servers <= len(servers) <= max_servers
        assert {server.region for server in servers} == set(regions)
        assert all(min_slots <= server.slots <= max_slots for server in servers)
        assert {server.connections for server in servers} == {CONNECTIONS[user]}
        stable = [
            server
            for server in servers
            if server.version == service.stable_version
        ]
        assert {server.region for server in stable} == set(regions)


@pytest.mark.parametrize("user", SIZES)
def test_configuration_has_each_kind_of_route(user):
    routes = [
        route
        for service in _configuration(user).services
        for route in service.routes
    ]
    assert any(route.open_to_all for route in routes)
    assert any(route.upload for route in routes)
    for route in routes:
        # A write must not be idempotent, except an upload, whose request id
        # makes it safe to repeat.
        if "POST" in route.methods or not route.methods:
            assert not route.idempotent
        assert not route.upload or route.methods == ["PUT"]


@pytest.mark.parametrize("user", SIZES)
def test_demo_keys_match_the_documentation(user):
    for customer in _configuration(user).customers:
        key = f"demo-{customer.name}".encode()
        assert customer.key_digests == [hashlib.sha256(key).hexdigest()]


def test_example_settings_fit_the_daemon():
    path = ROOT / "deploy" / "settings.example.jsonc"
    assert load(path, DaemonSettings).instance == "montreal-a-1"


@pytest.mark.parametrize("name", SCHEMAS)
def test_published_schema_is_current(name):
    published = (ROOT / "docs" / "schema" / name).read_text()
    assert published == schema_text(SCHEMAS[name]), (
        "run: radishctl settings schema --write docs/schema"
    )


def _rendered_settings(tmp_path, known=(), ports=(4, 9)):
    """Returns the settings rendered with some more known values.

    Values that the platform does not know are null in the rendered file.
    """
    text = (ROOT / "deploy" / "gateway.template.jsonc").read_text()
    values = {
        "NodeName": "n1",
        "Region": "a",
        "Zone": "a-1",
        "Ip": "10.0.0.1",
        "Zones": {"a-1": "a"},
        "Listen.Front": "10.0.0.1:1",
        "Listen.Ready": "10.0.0.1:2",
        "Listen.Directory": "10.0.0.1:3",
        "InternalPortRange": list(ports),
        "Platform.Address": "10.0.0.2:5",
    } | dict(known)

    def value(match):
        found = values.get(match.group(1))
        return json.dumps(found) if match.group(2) else str(found)

    path = tmp_path / "node.yaml"
    path.write_text(re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text))
    return load_gateway(path)


@pytest.mark.parametrize("ports", [[4, 9], [4, 9, 12]])
def test_gateway_template_renders_valid_settings(tmp_path, ports):
    settings = _rendered_settings(tmp_path, ports=ports)
    assert settings.instance == "n1"
    assert settings.listen.peer_ports[:2] == (4, 9)
    assert settings.listen.metrics == "10.0.0.1:9464"
    assert settings.bounds.grace_s == 6.0
    assert not settings.duties.reports_usage


def test_duties_are_off_if_one_value_is_missing(tmp_path):
    known = {
        "Cloud.Address": "10.0.0.2:6",
        "Cloud.Duties": ["usage_report"],
        "Cloud.DutyPerS": 5,
        "Bounds.RequireFence": False,
        "Bounds.LeaseS": 3,
        "Bounds.ThawSlackS": 0.3,
        "Bounds.ReportWindowS": 5,
        "Bounds.UsageTolerance": 0.05,
        "Bounds.UsageLateS": 10,
    }
    assert _rendered_settings(tmp_path, known).duties.reports_usage
    for name in known:
        fewer = {one: value for one, value in known.items() if one != name}
        assert not _rendered_settings(tmp_path, fewer).duties.reports_usage


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ('"instance": 5', "$.instance"),
        ('"listen": {"caller": "x"}', "$.listen"),
        ('"bounds": {"grace_s": "long"}', "$.bounds.grace_s"),
        ("not json", "not valid JSON"),
    ],
)
def test_wrong_gateway_settings_are_named(tmp_path, change, named):
    path = tmp_path / "node.yaml"
    path.write_text("{" + change + "}")
    with pytest.raises(SettingsError, match=re.escape(named)) as error:
        load_gateway(path)
    assert str(path) in str(error.value)
