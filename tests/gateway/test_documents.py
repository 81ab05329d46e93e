"""Documents of the operator and entries of servers, good and bad."""

from __future__ import annotations

import copy
import json
import math
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.config.routing import RouteKind, RoutingConfiguration
from radishmux.gateway.events import ConfigurationPut, ServerPut
from radishmux.gateway.fleet_state import FleetState
from radishmux.outcome import Unavailable
from radishmux.platform import documents, keys
from radishmux.platform.configuration import decode_configuration
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
    "Listeners": [
        {"Host": "H.Example", "Rules": [RULE]},
        {
            "Host": "other.example",
            "Rules": [
                {
                    "Name": "r-2",
                    "Match": {"PathPrefix": "/b/"},
                    "Action": {"Service": "two", "TimeoutS": 1.0},
                }
            ],
        },
    ],
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
    found = decode_configuration(encode(CONFIG))
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
        b"[" * 100_000,
        b'{"Version": "\xff"}',
        changed("Version", value="not hexadecimal"),
        changed("Version", value=None),
        changed("Version", value="-1"),
        changed("Listeners", value="none"),
        changed("Clusters", value={}),
        changed("Tenants", value=7),
    ],
)
def test_document_that_cannot_be_used_is_named(body):
    found = decode_configuration(body)
    assert isinstance(found, Unavailable)
    assert found.reason


# Users of novotny-hrbety: one value that this build did not know kept all
# routes of the document from being in force.
@pytest.mark.parametrize(
    "body",
    [
        changed(*RULE_PATH, "Action", "TimeoutS", value=None),
        changed(*RULE_PATH, "Action", "TimeoutS", value=0),
        changed(*RULE_PATH, "Action", "TimeoutS", value="soon"),
        changed(*RULE_PATH, "Action", "WeightedSplit", value=[]),
        changed(
            *RULE_PATH, "Action", "WeightedSplit", 0, "Service", value="none"
        ),
        changed(*RULE_PATH, "Action", "WeightedSplit", 0, "Weight", value=-1),
        changed(*RULE_PATH, "Action", "HomeRegions", value="x"),
        changed(*RULE_PATH, "Match", "PathPrefix", value="/bare"),
        changed("Clusters", 0, "Name", value=["one"]),
    ],
)
def test_route_that_cannot_be_served_is_withheld_alone(body):
    found = decode_configuration(body)
    withheld, other = found.routes
    assert withheld.withheld
    assert withheld.destinations == ()
    assert not other.withheld
    assert found.problems


def test_rule_without_a_name_keeps_its_prefix_from_other_routes():
    found = decode_configuration(changed(*RULE_PATH, "Name", value=5))
    assert found.routes[0].path_prefix == "/a/"
    assert found.routes[0].withheld


def test_unknown_kind_may_run_once():
    body = changed(*RULE_PATH, "Kind", value="other")
    found = decode_configuration(body)
    assert found.routes[0].kind is RouteKind.UNSAFE
    assert not found.routes[0].withheld
    assert any("'other'" in problem for problem in found.problems)


def test_download_may_be_repeated():
    found = decode_configuration(changed(*RULE_PATH, "Kind", value="download"))
    assert found.routes[0].kind.repeatable
    assert found.problems == ()


@pytest.mark.parametrize(
    ("field", "value"),
    [("RatePerS", "many"), ("RatePerS", -5), ("HomeRegions", [3])],
)
def test_customer_that_cannot_be_understood_is_withheld(field, value):
    """It is neither served without a limit nor told that its key is wrong."""
    found = decode_configuration(changed("Tenants", 0, field, value=value))
    assert found.customers[0].withheld
    assert found.customers[0].keys == ("k1",)
    assert found.requires_keys


def test_customers_that_cannot_be_read_open_no_route():
    found = decode_configuration(changed("Tenants", value=["c1", 5]))
    assert found.requires_keys
    assert all(one.withheld for one in found.customers)


def test_key_of_two_customers_is_nobodys():
    customers = [
        {"Name": "c1", "ApiKeys": ["k", "own"]},
        {"Name": "c2", "ApiKeys": ["k", 7]},
    ]
    found = decode_configuration(changed("Tenants", value=customers))
    assert [one.keys for one in found.customers] == [("own",), ()]


def test_rate_of_cold_servers_that_is_unknown_is_small():
    for value in ("slow", -2):
        body = changed("Clusters", 0, "ColdPerS", value=value)
        assert decode_configuration(body).services["one"].cold_per_s == 1.0


def _places(document, path=()):
    """Returns the paths of all values in a document."""
    yield path
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        return
    for key, value in items:
        yield from _places(value, (*path, key))


PLACES = [path for path in _places(CONFIG) if path]
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=4,
)


def _check_references(found):
    for one in found.routes:
        assert one.timeout_s > 0 or one.withheld
        assert one.path_prefix.startswith("/") or one.withheld
        assert bool(one.destinations) != bool(one.withheld)
        for destination in one.destinations:
            assert destination.service in found.services
            assert destination.weight >= 0
    owners = [key for one in found.customers for key in one.keys]
    assert len(owners) == len(set(owners))
    for one in found.customers:
        assert one.withheld or one.rate_per_s >= 0
    for one in found.services.values():
        assert one.cold_per_s >= 0


@settings(max_examples=400, deadline=None)
@given(place=st.sampled_from(PLACES), value=VALUES)
def test_one_wrong_field_leaves_the_rest_in_force(place, value):
    document = copy.deepcopy(CONFIG)
    parent = document
    for step in place[:-1]:
        parent = parent[step]
    parent[place[-1]] = value
    found = decode_configuration(encode(document))
    if isinstance(found, Unavailable):
        # Without a version or one of its tables a document says nothing.
        assert len(place) == 1
        return
    _check_references(found)
    if place[0] in ("Tenants", "Limits") or place[:2] == ("Listeners", 0):
        (untouched,) = (one for one in found.routes if one.name == "r-2")
        assert not untouched.withheld


@settings(max_examples=200, deadline=None)
@given(body=st.binary(max_size=64) | VALUES.map(encode))
@pytest.mark.parametrize(
    "key",
    [
        "op/config",
        "op/evacuate/z",
        "op/rollout/one",
        "status/rollout/one",
        "servers/i-1",
        "radishmux/instances/i",
    ],
)
def test_no_bytes_at_any_key_raise(key, body):
    keys.decode_event(KeyChange(key, body, 7))


@settings(max_examples=300, deadline=None)
@given(name=st.sampled_from(sorted(SERVER)), value=VALUES)
def test_entry_with_one_wrong_field_names_a_usable_server_or_none(name, value):
    found = documents.decode_server("i-1", encode(SERVER | {name: value}))
    if not isinstance(found, Unavailable):
        host, _, port = found.address.rpartition(":")
        assert socket.inet_aton(host)
        assert 0 < int(port) < 65_536
        assert found.slots >= 1
        assert 0 <= found.cold_remaining_s < math.inf


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Slots", None),
        ("Slots", ["x"]),
        ("Sequence", "4/1"),
        ("born", {"ms": 5}),
        ("ColdRemainingS", None),
        ("ColdRemainingS", ["x"]),
        ("Version", ["x"]),
    ],
)
def test_entry_with_a_field_of_another_type_names_no_server(field, value):
    """Guards against servers of entries that another writer has made."""
    found = documents.decode_server("i-1", encode(SERVER | {field: value}))
    assert isinstance(found, Unavailable)


def test_entry_with_a_further_field_is_used():
    """Guards against servers that are lost when entries gain a field."""
    found = documents.decode_server("i-1", encode(SERVER | {"Pace": [100]}))
    assert (found.address, found.slots) == ("10.0.0.1:80", 6)


def test_unusable_document_takes_no_version_back():
    state = FleetState(keys.decode_event, {})
    state.on_change(KeyChange("op/config", encode(CONFIG), 1), 0.0)
    older = changed("Version", value="0000001b")
    for body in (b"{", older, changed("Tenants", value=7)):
        state.on_change(KeyChange("op/config", body, 2), 1.0)
        state.on_list((KeyChange("op/config", body, 2),), 1.0)
    assert state.routes.configuration.version == 0x1C


def test_unreadable_configuration_changes_nothing():
    change = KeyChange("op/config", b"{", 7)
    assert keys.decode_event(change) is None


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
    event = keys.decode_event(KeyChange("servers/i-1", body, 3))
    assert event == ServerPut("i-1", None)


def test_keys_become_events():
    event = keys.decode_event(KeyChange("op/config", encode(CONFIG), 1))
    assert isinstance(event, ConfigurationPut)
    assert keys.decode_event(KeyChange("elsewhere/x", b"", 1)) is None
    gone = keys.decode_event(KeyChange("op/evacuate/z", None, 2))
    assert (gone.failure_domain, gone.active) == ("z", False)


def test_status_round_trip():
    status = RolloutStatus("v2", RolloutState.ROLLED_BACK)
    body = documents.encode_status(status)
    assert documents.decode_status(body) == status
    assert json.loads(body) == {
        "State": "rolled_back",
        "TargetVersion": "v2",
    }
