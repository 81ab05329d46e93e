"""Documents of the operator and entries of servers, good and bad."""

from __future__ import annotations

import copy
import json

import pytest

from radishmux.config.routing import RouteKind, RoutingConfiguration
from radishmux.gateway.events import ConfigurationPut, ServerPut
from radishmux.outcome import Unavailable
from radishmux.platform import documents, keys
from radishmux.shift.orders import RolloutState, RolloutStatus
from radishmux.store.interface import KeyChange

RULE = {
    "Name": "r-1",
    "Kind": "safe",
    "TargetLatencyS": 0.4,
    "Priority": 2,
    "AllowAnonymous": False,
    "SessionAffinity": True,
    "Match": {"PathPrefix": "/a/"},
    "Action": {
        "WeightedSplit": [
            {"Service": "one", "Weight": 90},
            {"Service": "two", "Weight": 10},
        ],
        "TimeoutS": 1.5,
        "MaxAttempts": 2,
        "HomeRegions": ["x"],
    },
}
CONFIG = {
    "Version": "0000001c",
    "Limits": {
        "MaxHeaderBytes": 100,
        "MaxBodyBytes": 200,
        "HeaderTimeoutS": 3,
        "IdleTimeoutS": 15,
    },
    "Tenants": [
        {
            "Name": "c1",
            "ApiKeys": ["k1"],
            "Priority": 1,
            "RatePerS": 27,
            "Burst": 9,
            "HomeRegions": [],
        }
    ],
    "Listeners": [{"Host": "H.Example", "Rules": [RULE]}],
    "Clusters": [
        {
            "Name": name,
            "HealthPath": "/health",
            "MaxConnections": 360,
            "ColdStartS": 3.0,
            "ColdPerS": 13.0,
            "Protocol": "h1",
        }
        for name in ("one", "two")
    ],
}
SERVER = {
    "Service": "one",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingS": 1.5,
    "Sequence": 4,
    "born": 1700000000000,
}


def encode(document):
    return json.dumps(document).encode()


def changed(*path, value):
    document = copy.deepcopy(CONFIG)
    place = document
    for step in path[:-1]:
        place = place[step]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return encode(document)


RULE_PATH = ("Listeners", 0, "Rules", 0)


def test_configuration_is_decoded():
    found = documents.decode_configuration(encode(CONFIG))
    assert isinstance(found, RoutingConfiguration)
    assert found.version == 0x1C
    route = found.routes[0]
    assert route.host == "h.example"
    assert route.kind is RouteKind.SAFE
    assert [one.weight for one in route.destinations] == [90, 10]
    assert route.home_regions == {"x"}
    assert (route.timeout_s, route.max_attempts) == (1.5, 2)
    assert found.customers[0].rate_per_s == 27
    assert found.services["one"].cold_per_s == 13.0
    assert found.limits.max_header_bytes == 100


@pytest.mark.parametrize(
    "body",
    [
        encode(CONFIG)[:-20],
        b"",
        b"[]",
        changed("Version", value="not hexadecimal"),
        changed(*RULE_PATH, "Action", "TimeoutS", value=None),
        changed(*RULE_PATH, "Action", "TimeoutS", value=0),
        changed(*RULE_PATH, "Action", "WeightedSplit", value=[]),
        changed(
            *RULE_PATH, "Action", "WeightedSplit", 0, "Service", value="none"
        ),
        changed(*RULE_PATH, "Action", "WeightedSplit", 0, "Weight", value=-1),
        changed(*RULE_PATH, "Match", "PathPrefix", value="/bare"),
        changed(*RULE_PATH, "Kind", value="other"),
        changed(
            "Tenants",
            value=[
                {"Name": "c1", "ApiKeys": ["k"]},
                {"Name": "c2", "ApiKeys": ["k"]},
            ],
        ),
    ],
    ids=[
        "cut-short",
        "empty",
        "a-list",
        "bad-version",
        "no-timeout",
        "zero-timeout",
        "no-destination",
        "unknown-service",
        "negative-weight",
        "bare-prefix",
        "unknown-kind",
        "shared-key",
    ],
)
def test_configuration_that_cannot_be_used_is_named(body):
    found = documents.decode_configuration(body)
    assert isinstance(found, Unavailable)
    assert found.reason


def test_unreadable_configuration_changes_nothing():
    change = KeyChange("op/config", b"{", 7)
    assert keys.event_of(change) is None


def test_server_is_decoded():
    entry = documents.decode_server("i-1", encode(SERVER))
    assert entry.name == "i-1"
    assert (entry.slots, entry.cold_remaining_s) == (6, 1.5)
    assert entry.started_ms == 1700000000000
    assert not entry.draining


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"Slots": "six"},
        {"Slots": 0},
        {"Address": "nowhere"},
        {"Address": "10.0.0.1:http"},
        {"Service": None},
        {"Zone": 5},
    ],
)
def test_entry_of_another_writer_names_no_server(change):
    body = encode(SERVER | change)
    assert isinstance(documents.decode_server("i-1", body), Unavailable)
    event = keys.event_of(KeyChange("servers/i-1", body, 3))
    assert event == ServerPut("i-1", None)


def test_keys_become_events():
    event = keys.event_of(KeyChange("op/config", encode(CONFIG), 1))
    assert isinstance(event, ConfigurationPut)
    assert keys.event_of(KeyChange("elsewhere/x", b"", 1)) is None
    gone = keys.event_of(KeyChange("op/evacuate/z", None, 2))
    assert (gone.failure_domain, gone.active) == ("z", False)


def test_status_round_trip():
    status = RolloutStatus("v2", RolloutState.ROLLED_BACK)
    body = documents.encode_status(status)
    assert documents.decode_status(body) == status
    assert json.loads(body) == {
        "State": "rolled_back",
        "TargetVersion": "v2",
    }
