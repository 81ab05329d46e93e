"""Reports that instances exchange through hubs, without a network."""

from __future__ import annotations

import importlib.resources
import io
import itertools
import math

import pytest
import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from radishmux.clock import ManualClock
from radishmux.config.routing import CustomerPolicy
from radishmux.gateway.gossip_state import Audience, GossipState
from radishmux.gateway.load_exchange import LoadExchange
from radishmux.membership.hubs import exchange_plan
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.share.fleet_rate import FleetRates
from radishmux.shift.orders import RolloutOrder
from radishmux.shift.rollout import Rollout
from radishmux.shift.verdicts import VersionVerdict, VersionVerdicts
from radishmux.steer.placement import Placement
from radishmux.steer.server_state import LoadReport
from radishmux.steer.servers import ServerTable
from radishmux.telemetry.metrics import Metrics
from tests.gateway import parts

PERIOD_S = 0.5
MAX_AGE_S = 2.0


class EmptyMirror:
    """A store mirror that has read nothing."""

    revision = -1

    def on_peer_revision(self, revision):
        """Ignores what peers have read."""


class Rollouts:
    """Rollouts of an instance with a single order, and earlier verdicts."""

    def __init__(self, instance):
        order = RolloutOrder("s", "v2", 30.0)
        self.active = {"s": Rollout(order, 0.1, 0.0, instance)}
        self.verdicts = VersionVerdicts()

    def record_verdict(self, service, version, verdict):
        self.verdicts.record(service, version, verdict)


class Node:
    """One instance with the components that take part in the exchange."""

    def __init__(self, record, records, clock, sharing=None):
        self.record = record
        self.clock = clock
        self.peers = Peers(record)
        self.peers.set_records(records, clock.now())
        self.rates = FleetRates(0.1, 20.0, record.instance)
        self.rates.set_customers(
            [CustomerPolicy(name="c", keys=("k",), rate_per_s=60, burst=60)],
            clock.now(),
        )
        self.rollouts = Rollouts(record.instance)
        self.is_leaving = False
        self.crash_guard = parts.crash_guard(clock, record)
        self.servers = ServerTable(parts.REGIONS)
        self.servers.put(parts.entry("s1", slots=3), clock.now())
        self.placement = Placement(record.region, record.failure_domain)
        self.loads = LoadExchange(
            record.region,
            self.servers,
            self.placement,
            sharing,
            clock,
            Metrics(),
        )
        self.gossip_state = GossipState(
            record,
            self.peers,
            self.rates,
            self.rollouts,
            EmptyMirror(),
            lambda: self.is_leaving,
            clock,
            lambda: False,
            self.crash_guard,
            self.loads,
        )

    def load_of(self, name):
        return self.placement.state(name).load(self.clock.now())

    @property
    def evidence(self):
        return self.rollouts.active["s"].evidence

    def plan(self):
        now = self.clock.now()
        plan = exchange_plan(
            self.record,
            self.peers.records.values(),
            lambda name: self.peers.is_usable(name, now),
        )
        silent_s = plan.silent_periods * PERIOD_S
        self.peers.set_monitored(plan.monitored, silent_s, now)
        self.gossip_state.set_exchange(
            plan.is_hub and not plan.is_mesh, not plan.is_mesh, PERIOD_S
        )
        return plan


class Fleet:
    """Instances that exchange reports in rounds of PERIOD_S."""

    def __init__(self, size=30, regions="abc", sharing=None):
        self.clock = ManualClock()
        records = [
            InstanceRecord(
                instance=f"i{n:02}",
                incarnation=1,
                region=region,
                failure_domain=f"{region}-1",
                caller_address=f"{n}:1",
                peer_address=f"{n}:2",
            )
            for n, region in zip(
                range(size), itertools.cycle(regions), strict=False
            )
        ]
        self.nodes = {
            record.instance: Node(record, records, self.clock, sharing)
            for record in records
        }
        self.dead = set()

    def rounds(self, count):
        for _ in range(count):
            self.clock.advance(PERIOD_S)
            for node in self.living():
                plan = node.plan()
                regions = {"a", "b", "c"} - {node.record.region}
                node.gossip_state.measure_demand(
                    regions, MAX_AGE_S, self.clock.now()
                )
                for name in plan.poll_targets:
                    if name not in self.dead:
                        self.exchange(node, self.nodes[name])

    def living(self):
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    def exchange(self, sender, receiver):
        same = sender.record.region == receiver.record.region
        audience = Audience.HUB if same else Audience.REGION
        request = _encode_and_decode(
            sender.gossip_state.build_report(audience, MAX_AGE_S)
        )
        receiver.gossip_state.apply_report(request, 1.0)
        reply_audience = Audience.REGION
        if same:
            is_hub = sender.record.instance in receiver.plan().hubs
            reply_audience = Audience.HUB if is_hub else Audience.MEMBER
        reply = receiver.gossip_state.build_report(
            reply_audience, MAX_AGE_S, request=request
        )
        sender.gossip_state.apply_report(_encode_and_decode(reply), 1.0)


def _encode_and_decode(report):
    envelope = messages.Envelope(body=messages.wrap(report))
    return messages.unwrap(messages.decode(messages.encode(envelope)).body)


@pytest.mark.parametrize("size", [10, 30])
def test_outcomes_of_all_instances_count_once_everywhere(size):
    """Each outcome arrives over two hubs.

    Hubs receive outcomes from their members and from other hubs.
    """
    fleet = Fleet(size)
    for node in fleet.nodes.values():
        node.evidence.record_outcome("v2", "r", failed=True, slow=False)
        node.evidence.record_outcome("v1", "r", failed=False, slow=False)
    fleet.rounds(6)
    for name, node in fleet.nodes.items():
        assert node.evidence.requests("v2") == size, name
        assert node.evidence.requests("v1") == size, name


def test_outcomes_count_once_after_a_hub_was_replaced():
    fleet = Fleet(30)
    for node in fleet.nodes.values():
        node.evidence.record_outcome("v2", "r", failed=False, slow=False)
    fleet.rounds(4)
    hub = next(name for name, node in fleet.nodes.items() if node.plan().is_hub)
    fleet.dead.add(hub)
    fleet.rounds(10)
    for node in fleet.living():
        assert node.evidence.requests("v2") <= 30


def test_fault_found_by_one_instance_is_known_everywhere():
    fleet = Fleet(30)
    fleet.rounds(2)
    finder = fleet.nodes["i29"]
    finder.rollouts.active["s"].report_fault("it fails")
    fleet.rounds(4)
    for node in fleet.nodes.values():
        assert node.rollouts.active["s"].fault == "it fails"


# EXPOSURE: an instance that is cut off from the store learns from its peers
# that the version of an earlier order was rolled back.
@pytest.mark.parametrize("size", [10, 30])
def test_rejected_version_is_known_everywhere(size):
    fleet = Fleet(size)
    fleet.rounds(2)
    knowing = fleet.nodes[f"i{size - 1:02}"]
    knowing.rollouts.record_verdict("s", "v1", VersionVerdict(7, True))
    fleet.rounds(4)
    for node in fleet.nodes.values():
        assert node.rollouts.verdicts.rejected("s") == {"v1"}


# Instances of two builds run side by side while the fleet is upgraded.
def test_report_is_understood_by_a_build_without_rejected_versions():
    path = importlib.resources.files("radishmux.peer") / "peer.thrift"
    lines = path.read_text().splitlines()
    old = "\n".join(one for one in lines if "RejectedVersion> " not in one)
    assert len(old.splitlines()) == len(lines) - 1
    thrift = thriftpy2.load_fp(io.StringIO(old), "old_build_thrift")
    protocol = TCyBinaryProtocolFactory()
    fleet = Fleet(2)
    node = fleet.nodes["i00"]
    node.rollouts.record_verdict("s", "v1", VersionVerdict(7, True))
    report = node.gossip_state.build_report(Audience.HUB, MAX_AGE_S)
    sent = messages.encode(messages.Envelope(body=messages.wrap(report)))
    received = deserialize(thrift.Envelope(), sent, protocol)
    assert received.body.fleet_report.instance == "i00"
    # The other way round.
    answer = messages.unwrap(
        messages.decode(serialize(received, protocol)).body
    )
    other = fleet.nodes["i01"]
    other.gossip_state.apply_report(answer, 1.0)
    assert other.peers.is_heard("i00", fleet.clock.now())
    assert not other.rollouts.verdicts.rejected("s")


def test_dead_member_is_usable_for_nobody_in_its_region():
    """The users allow ContactS, which is 4 s, and 3 s more.

    This test allows ContactS alone.
    """
    fleet = Fleet(30)
    fleet.rounds(4)
    dead = next(
        name for name, node in fleet.nodes.items() if not node.plan().is_hub
    )
    region = fleet.nodes[dead].record.region
    fleet.dead.add(dead)
    fleet.rounds(round(4.0 / PERIOD_S))
    now = fleet.clock.now()
    for node in fleet.living():
        if node.record.region == region:
            assert dead not in {
                record.instance for record in node.peers.usable(now)
            }


def test_leaving_member_is_usable_for_nobody_in_its_region():
    fleet = Fleet(30)
    fleet.rounds(3)
    leaving = fleet.nodes["i15"]
    leaving.is_leaving = True
    fleet.rounds(2)
    now = fleet.clock.now()
    for node in fleet.nodes.values():
        if node.record.region == leaving.record.region and node is not leaving:
            assert not node.peers.is_usable("i15", now)


def test_demand_of_each_region_reaches_the_holders_of_the_others():
    fleet = Fleet(30)
    # One instance of each region holds the tokens.
    holders = {
        region: next(
            node
            for node in fleet.nodes.values()
            if node.record.region == region and not node.plan().is_hub
        )
        for region in "abc"
    }
    for node in fleet.nodes.values():
        node.rates.set_regions({"a", "b", "c"} - {node.record.region}, 3, 0.0)
    for region, node in holders.items():
        node.rates.set_assigned_customers(frozenset({"c"}))
        assert node.record.region == region
    for _ in range(12):
        for _ in range(20):
            holders["a"].rates.take_tokens("c", 1, 1, fleet.clock.now())
        holders["b"].rates.take_tokens("c", 1, 1, fleet.clock.now())
        fleet.rounds(1)
    fractions = {r: node.rates.fraction("c") for r, node in holders.items()}
    assert sum(fractions.values()) <= 1.0 + 1e-6
    assert fractions["a"] > 0.5 > fractions["b"] > 0.0


# Guards against demand reports that are keyed by region alone. The report of a
# second holder of a region then replaced that of the first, and the fractions
# at all holders added up to more than one.
def test_fractions_of_two_holders_of_one_region_add_up():
    fleet = Fleet(10)
    holders = [fleet.nodes[name] for name in ("i00", "i01", "i02", "i03")]
    assert [node.record.region for node in holders] == ["a", "b", "c", "a"]
    for node in fleet.nodes.values():
        node.rates.set_regions({"a", "b", "c"} - {node.record.region}, 1, 0.0)
    for node in holders:
        node.rates.set_assigned_customers(frozenset({"c"}))
    for _ in range(12):
        now = fleet.clock.now()
        for node, arrived in zip(holders, (30, 30, 30, 1), strict=True):
            node.rates.take_tokens("c", arrived, arrived, now)
        fleet.rounds(1)
        fractions = [node.rates.fraction("c") for node in holders]
        assert sum(fractions) <= 1.0 + 1e-6
    assert min(fractions[:3]) > 0.25


@pytest.mark.parametrize(
    "fields",
    [
        {"rate_per_s": math.nan},
        {"rate_per_s": math.inf},
        {"rate_per_s": -5.0},
        {"rate_per_s": None},
        {"age_ms": None},
        {"age_ms": -60_000},
        {"customer": None},
        {"holder": None},
    ],
)
def test_invalid_demand_does_not_affect_rates(fields):
    """Guards against an exception that discarded the whole report.

    It was raised by a demand without a rate or an age.
    """
    fleet = Fleet(2)
    first, other = fleet.nodes.values()
    node = first.rates
    node.set_regions({"b"}, 1, 0.0)
    node.set_assigned_customers(frozenset({"c"}))
    node.take_tokens("c", 1, 1, 0.0)
    fleet.rounds(1)
    report = other.gossip_state.build_report(Audience.REGION, MAX_AGE_S)
    demand = {
        "customer": "c",
        "rate_per_s": 5.0,
        "region": other.record.region,
        "holder": other.record.instance,
        "age_ms": 0,
    }
    report.demands = [messages.CustomerDemand(**(demand | fields))]
    first.gossip_state.apply_report(report, 1.0)
    first.gossip_state.measure_demand({"b"}, MAX_AGE_S, fleet.clock.now())
    assert 0.0 <= node.fraction("c") <= 1.0
    fleet.clock.advance(1.0)
    admitted = sum(
        node.take_tokens("c", 1, 1, fleet.clock.now()) for _ in range(1_000)
    )
    # Burst, slack, and one second of the rate with its allowed overrun.
    assert admitted <= 60 + 20 + 60 * 1.1


@pytest.mark.parametrize(
    "fields",
    [
        {"instance": None},
        {"incarnation": None},
        {"region": ""},
        {"failure_domain": None},
        {"caller_address": None},
        {"peer_address": None},
        {"capacity": None},
        {"capacity": math.nan},
        {"capacity": -1.0},
    ],
)
def test_incomplete_introduction_adds_no_peer(fields):
    """Guards against an incomplete record among the known peers.

    It made every later planning of exchanges fail.
    """
    fleet = Fleet(20)
    first, other = list(fleet.nodes.values())[:2]
    report = other.gossip_state.build_report(Audience.REGION, MAX_AGE_S)
    fields_of_peer = {
        "instance": "stranger",
        "incarnation": 1,
        "region": "a",
        "failure_domain": "a-1",
        "caller_address": "9:1",
        "peer_address": "9:2",
        "capacity": 1.0,
    }
    report.introductions = [messages.Introduction(**(fields_of_peer | fields))]
    first.gossip_state.apply_report(report, 1.0)
    assert not first.peers.knows("stranger")
    assert first.plan().poll_targets or first.plan().expected_pollers
    report.introductions = [messages.Introduction(**fields_of_peer)]
    first.gossip_state.apply_report(report, 1.0)
    assert first.peers.knows("stranger")


def _full_server(fleet, reporter):
    node = fleet.nodes[reporter]
    server = node.servers.get("s1")
    now = fleet.clock.now()
    node.loads.record_response(server, LoadReport(3, 9, 3), True, now)


def _members(fleet, region):
    return [
        name
        for name, node in fleet.nodes.items()
        if node.record.region == region and not node.plan().is_hub
    ]


def test_region_knows_a_full_server_after_two_rounds():
    """Guards against a full server that each instance has to try itself."""
    fleet = Fleet()
    fleet.rounds(3)
    reporter, *others = _members(fleet, "a")
    _full_server(fleet, reporter)
    fleet.rounds(2)
    assert all(fleet.nodes[name].load_of("s1") > 6.0 for name in others)
    # Nobody in region b uses the server.
    assert fleet.nodes[_members(fleet, "b")[0]].load_of("s1") == 0.0


def test_loads_are_shared_through_the_remaining_hub():
    """Guards against a hub that dies with what its members reported to it."""
    fleet = Fleet()
    fleet.rounds(3)
    hub = next(
        name
        for name, node in fleet.nodes.items()
        if node.record.region == "a" and node.plan().is_hub
    )
    fleet.dead.add(hub)
    reporter, *others = _members(fleet, "a")
    _full_server(fleet, reporter)
    fleet.rounds(2)
    assert all(fleet.nodes[name].load_of("s1") > 6.0 for name in others)


@pytest.mark.parametrize(
    ("size", "sharing", "is_shared"),
    [
        (10, None, False),
        (10, True, True),
        (30, None, True),
        (30, False, False),
    ],
)
def test_loads_are_shared_where_the_settings_say(size, sharing, is_shared):
    """Guards against changes in small fleets and where it is switched off."""
    fleet = Fleet(size, "a", sharing)
    fleet.rounds(3)
    reporter = "i09"
    _full_server(fleet, reporter)
    fleet.rounds(2)
    for name, node in fleet.nodes.items():
        if name != reporter:
            assert (node.load_of("s1") > 6.0) is is_shared


def test_report_of_a_later_build_is_read_by_an_older_one():
    """Old builds run beside new ones and do not know the loads."""
    path = importlib.resources.files("radishmux.peer") / "peer.thrift"
    text = path.read_text()
    start = text.index("  // Loads of backend servers that responses")
    end = text.index("server_loads,") + len("server_loads,\n")
    older = thriftpy2.load_fp(
        io.StringIO(text[:start] + text[end:]), "older_loads_thrift"
    )
    report = messages.FleetReport(
        instance="i1", incarnation=1, server_loads=b"\x01\0\0"
    )
    envelope = messages.Envelope(body=messages.wrap(report))
    decoded = deserialize(
        older.Envelope(), messages.encode(envelope), TCyBinaryProtocolFactory()
    )
    assert decoded.body.fleet_report.instance == "i1"
    assert not hasattr(decoded.body.fleet_report, "server_loads")
