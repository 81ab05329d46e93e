"""Builds configurations, servers and requests for tests."""

from __future__ import annotations

from radishmux.config.routing import (
    CustomerPolicy,
    Destination,
    HostRoute,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
)
from radishmux.dispatch.crash_history import CrashHistory
from radishmux.gateway.crash_guard import CrashGuard
from radishmux.gateway.guarded_sender import GuardedSender
from radishmux.http.incoming import IncomingRequest
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.steer.placement import Choice
from radishmux.steer.servers import Server, ServerEntry
from radishmux.telemetry.metrics import Metrics

OWN = InstanceRecord(
    instance="i1",
    incarnation=1,
    region="a",
    failure_domain="a-1",
    caller_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    capacity=100.0,
)
REGIONS = {
    "a-1": "a",
    "a-2": "a",
    "b-1": "b",
    "b-2": "b",
    "c-1": "c",
    "c-2": "c",
}


class NoBus:
    """Takes handlers; there are no peers."""

    def handle(self, message_type):
        return lambda handler: handler


class Archive:
    """Collects the records."""

    def __init__(self):
        self.kept = []

    def keep(self, record):
        self.kept.append(record.digest)


class Detector:
    """Finds that the servers in `ended` have ended."""

    def __init__(self):
        self.ended = set()

    async def has_ended(self, server, broken_at):
        return server.name in self.ended


def crash_guard(clock, own=OWN, bus=None, peers=None, is_informed=True):
    guard = CrashGuard(
        own,
        CrashHistory(),
        peers or Peers(own),
        bus or NoBus(),
        Archive(),
        Metrics(),
        clock,
    )
    if is_informed:
        guard.apply_records((), "peer")
    return guard


def guarded_sender(sender, clock, guard=None, detector=None):
    return GuardedSender(
        sender, guard or crash_guard(clock), detector or Detector(), clock
    )


def route(name="r", **fields):
    values = {
        "name": name,
        "host": "h.example",
        "path_prefix": "/p/",
        "kind": RouteKind.SAFE,
        "destinations": (Destination(service="s", weight=1.0),),
        "timeout_s": 1.0,
        "target_latency_s": 0.4,
        "max_attempts": 2,
        "affinity": True,
    }
    return HostRoute(**(values | fields))


def configuration(*routes, version=1, customers=(), services=("s",)):
    return RoutingConfiguration(
        version=version,
        routes=routes or (route(),),
        customers=customers,
        requires_keys=bool(customers),
        services={
            name: ServicePolicy(name=name, cold_start_s=3.0, cold_per_s=10.0)
            for name in services
        },
    )


def customer(name="c", **fields):
    return CustomerPolicy(name=name, **({"keys": ("key",)} | fields))


def entry(name, domain="a-1", **fields):
    values = {
        "name": name,
        "service": "s",
        "address": "127.0.0.1:1",
        "failure_domain": domain,
        "version": "v1",
        "slots": 4,
    }
    return ServerEntry(**(values | fields))


def server(name, domain="a-1", now=-100.0, **fields):
    return Server(entry(name, domain, **fields), REGIONS[domain], now)


def request(
    target="/p/1", host="h.example", received_at=0.0, method="GET", **headers
):
    fields = [("host", host), ("request-id", "id-1")]
    fields += [
        (name.replace("_", "-"), value) for name, value in headers.items()
    ]
    return IncomingRequest(method, target, fields, b"", received_at)


def choice(server):
    """Returns the placement of an attempt at a server."""
    return Choice(
        server=server,
        expected_s=0.1,
        expected_cold_s=0.1,
        work_s=0.1,
        known_warm=False,
        is_home=True,
        is_queued=False,
        load=0.0,
        cost=0.1,
    )
