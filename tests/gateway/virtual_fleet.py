"""Gateways that limit customers' rates, in virtual time.

The components are those of the daemon, connected as in `gateway.app`. The
network, the store and the callers are simulated. Two runs with the same seed
differ only in the iteration order of sets. A virtual second takes some
milliseconds.
"""

from __future__ import annotations

import asyncio
import heapq
import random

from radishmux.gateway.gossip_state import GossipState
from radishmux.gateway.holder_changes import HolderChanges
from radishmux.gateway.rate_limiter import FleetRateLimiter
from radishmux.gateway.reports import FleetReports
from radishmux.gateway.send_permits import SendPermits
from radishmux.gateway.token_log import TokenLog
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holders import TokenHolders
from radishmux.share.server_limits import ServerLimits
from radishmux.shift.verdicts import VersionVerdicts
from radishmux.telemetry.metrics import Metrics
from tests.gateway import parts
from tests.gateway.virtual_network import Network, VirtualBus

# Time from SIGTERM to the end of a process, and from there to the start of the
# next process, as in the users' test environment.
DRAIN_S = 2.2
START_S = 0.9
# Time in which a started process reads the store.
LIST_S = 0.1
# Callers use an answer of the directory for this long.
LOOKUP_TTL_S = 1.0
# Callers that reach no instance of their region retry for this long.
CALLER_DEADLINE_S = 2.0
# Time that a request may wait for a token after a restart of all instances.
SETTLING_WAIT_S = 1.0


class _Rollouts:
    active = {}
    verdicts = VersionVerdicts()


class _Mirror:
    revision = -1

    def on_peer_revision(self, revision):
        """Ignores what peers have read."""

    def set_hub(self, is_hub):
        pass

    def feed_after(self, revision, now):
        return None

    def end_feed(self, reason):
        pass


class Node:
    """One process of an instance; an async context manager."""

    def __init__(self, network, record, customers):
        self.network = network
        self.record = record
        self.clock = network.loop
        self.is_leaving = False
        self.is_serving = False
        self.started_at = self.clock.now()
        self.peers = Peers(record)
        self.rates = FleetRates(0.1, 20.0, record.instance)
        self.bus = VirtualBus(network, self)
        holders = TokenHolders(record.instance)
        self.crash_guard = parts.crash_guard(
            self.clock, record, self.bus, self.peers, is_informed=False
        )
        gossip_state = GossipState(
            record,
            self.peers,
            self.rates,
            _Rollouts(),
            _Mirror(),
            lambda: self.is_leaving,
            self.clock,
            lambda: False,
            self.crash_guard,
        )
        self.changes = HolderChanges(
            record,
            self.rates,
            gossip_state,
            holders,
            self.peers,
            self.bus,
            self.clock,
        )
        self.reports = FleetReports(
            record,
            self.bus,
            self.peers,
            self.rates,
            holders,
            self.changes,
            gossip_state,
            lambda: network.has_lease(self),
            TokenLog(Metrics()),
            self.clock,
            frozenset("abc"),
        )
        self.crash_guard.announce = self.reports.announce_crash
        self.rate_limiter = FleetRateLimiter(
            self.rates,
            holders,
            self.changes,
            self.bus,
            self.reports.on_connection_refused,
            self.clock,
            lambda: gossip_state.is_settled,
        )
        self.permits = SendPermits(
            record,
            ServerLimits(),
            holders,
            self.peers,
            self.bus,
            self.reports.on_connection_refused,
            Metrics(),
            self.clock,
        )
        self.customers = customers

    def read_records(self):
        self.peers.set_records(self.network.records.values(), self.clock.now())
        self.reports.update_members()

    async def start(self):
        """Starts as the daemon does: it sends reports before it knows peers."""
        self.network.running[self.record.instance] = self
        await self.changes.__aenter__()
        await self.reports.__aenter__()
        await asyncio.sleep(LIST_S)
        while self.record.instance in self.network.without_store:
            await asyncio.sleep(LIST_S)
        self.rates.set_customers(self.customers, self.clock.now())
        self.read_records()
        self.reports.join()
        if not self.peers.records:
            self.crash_guard.set_alone()
        self.is_serving = True
        self.network.put_record(self.record)

    async def terminate(self):
        """Drains and ends as after SIGTERM."""
        self.is_leaving = True
        started_at = self.clock.now()
        await self.reports.announce()
        self.network.remove_record(self.record.instance)
        await asyncio.sleep(started_at + DRAIN_S - self.clock.now())
        await self.kill()

    async def kill(self):
        """Ends as after SIGKILL; the record stays until its lease expires."""
        self.is_serving = False
        self.network.running.pop(self.record.instance, None)
        await self.reports.__aexit__(None, None, None)
        await self.changes.__aexit__(None, None, None)


class VirtualFleet:
    """Instances of three regions and the callers of one customer.

    Args:
        loop: Virtual event loop.
        terms: The customer.
        seed: Seed of the callers and the order of restarts.
        sizes: Number of instances in each region.
    """

    def __init__(self, loop, terms, seed, sizes=(4, 3, 3)):
        self.loop = loop
        self.terms = terms
        self.rng = random.Random(seed)
        self.network = Network(loop)
        self.names = [
            f"{region}-{n}"
            for region, size in zip("abc", sizes, strict=True)
            for n in range(size)
        ]
        self.incarnation = 0
        self.rate_per_s = 0.0
        self.admitted = []
        self.refused = []

    def holders(self, region):
        """Returns the processes of a region that hold the customer's tokens."""
        return [
            node
            for node in self.network.running.values()
            if node.record.region == region
            and node.rates.holdings(self.loop.now())
        ]

    def fraction_sum(self):
        """Returns the sum of the fractions of the rate at all holders."""
        return sum(
            holding.fraction
            for node in self.network.running.values()
            for holding in node.rates.holdings(self.loop.now())
        )

    async def start(self, name):
        """Starts a process of an instance."""
        self.incarnation += 1
        record = InstanceRecord(
            instance=name,
            incarnation=self.incarnation,
            region=name[0],
            failure_domain=f"{name[0]}-1",
            caller_address="",
            peer_address=name,
        )
        await Node(self.network, record, (self.terms,)).start()

    async def start_all(self):
        """Starts all instances within 0.3 s, as on the users' machines."""
        async with asyncio.TaskGroup() as group:
            for name in self.names:
                group.create_task(self.start(name))
                await asyncio.sleep(0.3 / len(self.names))

    async def rolling_restart(self, at_once, gap_s):
        """Restarts all instances in turn, in groups.

        Args:
            at_once: Number of instances in a group.
            gap_s: Seconds between the restarts of two groups.
        """
        names = self.rng.sample(self.names, len(self.names))
        async with asyncio.TaskGroup() as group:
            for n in range(0, len(names), at_once):
                for name in names[n : n + at_once]:
                    group.create_task(self.restart(name))
                await asyncio.sleep(gap_s)

    async def restart(self, name):
        """Stops an instance as SIGTERM does and starts it again."""
        await self.network.running[name].terminate()
        await asyncio.sleep(START_S)
        await self.start(name)

    async def send_requests(self, seconds):
        """Sends requests for a time, evenly from the three regions."""
        end = self.loop.time() + seconds
        known, known_until = {}, -1.0
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < end:
                now = self.loop.time()
                if now >= known_until:
                    known_until = now + LOOKUP_TTL_S
                    known = self._directory()
                region = self.rng.choice("abc")
                serving = [
                    node
                    for node in known[region]
                    if self.network.running.get(node.record.instance) is node
                ]
                if serving:
                    node = self.rng.choice(serving)
                    group.create_task(self._request(node, is_first=True))
                elif not self._serving(region):
                    group.create_task(self._request_later(region))
                await asyncio.sleep(self.rng.expovariate(self.rate_per_s))

    def _serving(self, region):
        return [
            node
            for node in self.network.running.values()
            if node.is_serving and node.record.region == region
        ]

    async def _request_later(self, region):
        """Sends a request when its region has an instance again."""
        end = self.loop.time() + CALLER_DEADLINE_S
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))
            serving = self._serving(region)
            if serving:
                node = self.rng.choice(serving)
                return await self._request(node, is_first=True)
        return None

    def _directory(self):
        found = {region: [] for region in "abc"}
        for node in self.network.running.values():
            if node.is_serving and not node.is_leaving:
                found[node.record.region].append(node)
        return found

    async def _request(self, node, is_first):
        grant = await node.rate_limiter.acquire(
            self.terms, 0.13, SETTLING_WAIT_S
        )
        now = self.loop.time()
        if grant is None:
            self.admitted.append(now)
            return
        self.refused.append(now)
        if is_first:
            # Callers retry once.
            await asyncio.sleep(grant.wait_s)
            running = self.network.running
            region_nodes = [
                other
                for other in running.values()
                if other.record.region == node.record.region
            ]
            if region_nodes:
                await self._request(
                    self.rng.choice(region_nodes), is_first=False
                )

    def max_admitted_in_window(self, window_s):
        """Returns the largest number of requests admitted in a window."""
        times = []
        largest = 0
        for admitted_at in sorted(self.admitted):
            heapq.heappush(times, admitted_at)
            while times[0] < admitted_at - window_s:
                heapq.heappop(times)
            largest = max(largest, len(times))
        return largest
