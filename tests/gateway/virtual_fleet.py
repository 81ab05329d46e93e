"""Gateways' parts that hold customers' rates, in virtual time.

The parts are those of the daemon, wired as in `gateway.app`; the network, the
store and the callers are simulated. A run is repeatable, and a second of it
takes some milliseconds.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import selectors

from radishmux.gateway.allowance import Allowance
from radishmux.gateway.digest import Digest
from radishmux.gateway.holder_changes import HolderChanges
from radishmux.gateway.reports import FleetReports
from radishmux.gateway.token_log import TokenLog
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer.bus import Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holders import TokenHolders
from radishmux.telemetry.metrics import Metrics

# One-way delays of the users' networks, in seconds.
IN_REGION_S = 0.001
BETWEEN_REGIONS_S = 0.055
# Time until an instance hears of a change in the store.
STORE_DELAY_S = 0.02
# Time from SIGTERM to the end of a process, and from there to the start of the
# next one, as on the users' bench.
DRAIN_S = 2.2
START_S = 0.9
# The record of an instance that does not renew it is gone after this long.
LEASE_S = 4.0
# Time until a process that starts has read the store.
LIST_S = 0.1
# Callers keep an answer of the directory for this long.
LOOKUP_TTL_S = 1.0
# Callers that reach no instance of their region try again for this long.
CALLER_DEADLINE_S = 2.0


class _Selector(selectors.DefaultSelector):
    """Lets virtual time pass where a real loop would wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is due any more"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self.selector = _Selector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now_s

    def now(self):
        """Returns the time as a `radishmux.clock.Clock` does."""
        return self.selector.now_s


def run(main):
    """Runs a coroutine function that takes the loop, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main(runner.get_loop()))


class Network:
    """Carries messages between the processes that run, and their records.

    Attributes:
        running: Processes by instance.
        records: What the store has.
        silent: Instances that are cut off from the others and the store, with
            the time of the cut.
    """

    def __init__(self, loop):
        self.loop = loop
        self.running = {}
        self.records = {}
        self.silent = {}

    def delay_s(self, a, b):
        same = a.record.region == b.record.region
        return IN_REGION_S if same else BETWEEN_REGIONS_S

    def put_record(self, record):
        self.records[record.instance] = record
        self.loop.call_later(STORE_DELAY_S, self._tell)

    def remove_record(self, name):
        self.records.pop(name, None)
        self.loop.call_later(STORE_DELAY_S, self._tell)

    def has_lease(self, node):
        """Whether a process knows that its record is in the store."""
        name = node.record.instance
        cut_at = self.silent.get(name, self.loop.time())
        is_kept = self.loop.time() < cut_at + LEASE_S
        return is_kept and self.records.get(name) == node.record

    async def cut(self, name, seconds):
        """Cuts an instance off from the others and the store, then heals it."""
        self.silent[name] = self.loop.time()
        if seconds > LEASE_S:
            await asyncio.sleep(LEASE_S)
            self.remove_record(name)
            seconds -= LEASE_S
        await asyncio.sleep(seconds)
        del self.silent[name]
        if name in self.running:
            self.put_record(self.running[name].record)

    def _tell(self):
        for name, node in self.running.items():
            if node.is_serving and name not in self.silent:
                node.read_records()


class _Bus:
    """The part of `peer.bus.PeerBus` that is used here."""

    def __init__(self, network, node):
        self.network = network
        self.node = node
        self.instance = node.record.instance
        self.handlers = {}
        self.addresses = {}

    def handle(self, kind):
        def decorate(handler):
            self.handlers[kind] = handler
            return handler

        return decorate

    @property
    def peers(self):
        return tuple(self.addresses)

    def learn(self, name, address):
        self.addresses.setdefault(name, address)

    async def set_address(self, name, address):
        if address is None:
            self.addresses.pop(name, None)
        else:
            self.addresses[name] = address

    async def request(self, name, message, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._carry(name, message)
        except TimeoutError:
            return PeerUnavailable("timeout")

    async def _carry(self, name, message):
        if name not in self.addresses:
            return PeerUnavailable("unknown instance")
        if {name, self.instance} & self.network.silent.keys():
            await asyncio.sleep(3600)
        peer = self.network.running.get(name)
        if peer is None:
            await asyncio.sleep(IN_REGION_S)
            return PeerUnavailable("connection refused", refused=True)
        delay_s = self.network.delay_s(self.node, peer)
        await asyncio.sleep(delay_s)
        if self.network.running.get(name) is not peer:
            return PeerUnavailable("connection lost")
        sender = Sender(self.instance, self.node.record.incarnation)
        reply = await peer.bus.handlers[type(message)](message, sender)
        await asyncio.sleep(delay_s)
        return reply


class _Rollouts:
    active = {}


class _Mirror:
    revision = -1

    def set_hub(self, is_hub):
        pass


class Node:
    """One process of an instance; an async context manager."""

    def __init__(self, network, record, customers):
        self.network = network
        self.record = record
        self.clock = network.loop
        self.is_leaving = False
        self.is_serving = False
        self.peers = Peers(record)
        self.rates = FleetRates(0.1, 20.0, record.instance)
        self.bus = _Bus(network, self)
        holders = TokenHolders(record.instance)
        digest = Digest(
            record,
            self.peers,
            self.rates,
            _Rollouts(),
            _Mirror(),
            lambda: self.is_leaving,
            self.clock,
        )
        self.changes = HolderChanges(
            record,
            self.rates,
            digest,
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
            digest,
            lambda: network.has_lease(self),
            TokenLog(Metrics()),
            self.clock,
        )
        self.allowance = Allowance(
            self.rates,
            holders,
            self.changes,
            self.bus,
            self.reports.on_refused,
            self.clock,
        )
        self.customers = customers

    def read_records(self):
        self.peers.set_records(self.network.records.values(), self.clock.now())
        self.reports.update_members()

    async def start(self):
        """Starts as the daemon does, whose reports begin with no peers."""
        self.network.running[self.record.instance] = self
        await self.changes.__aenter__()
        await self.reports.__aenter__()
        await asyncio.sleep(LIST_S)
        self.rates.set_customers(self.customers, self.clock.now())
        self.read_records()
        self.is_serving = True
        self.network.put_record(self.record)

    async def leave(self):
        """Ends as after SIGTERM."""
        self.is_leaving = True
        started_at = self.clock.now()
        await self.reports.announce()
        self.network.remove_record(self.record.instance)
        await asyncio.sleep(started_at + DRAIN_S - self.clock.now())
        await self.kill()

    async def kill(self):
        """Ends as after SIGKILL; the record stays until its lease ends."""
        self.is_serving = False
        self.network.running.pop(self.record.instance, None)
        await self.reports.__aexit__(None, None, None)
        await self.changes.__aexit__(None, None, None)


class VirtualFleet:
    """Instances of three regions and the callers of one customer.

    Args:
        loop: The loop.
        terms: The customer.
        seed: Seed of the callers.
        sizes: Instances of each region.
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
        """Starts all instances within 0.3 s, as the users' machines do."""
        async with asyncio.TaskGroup() as group:
            for name in self.names:
                group.create_task(self.start(name))
                await asyncio.sleep(0.3 / len(self.names))

    async def roll(self, at_once, gap_s):
        """Stops and starts all instances in turn."""
        names = self.rng.sample(self.names, len(self.names))
        async with asyncio.TaskGroup() as group:
            for n in range(0, len(names), at_once):
                for name in names[n : n + at_once]:
                    group.create_task(self.restart(name))
                await asyncio.sleep(gap_s)

    async def restart(self, name):
        """Stops an instance as SIGTERM does and starts it again."""
        await self.network.running[name].leave()
        await asyncio.sleep(START_S)
        await self.start(name)

    async def call(self, seconds):
        """Sends the customer's requests, evenly from the three regions."""
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
        """Sends a request once its region is back, as waiting callers do."""
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
        grant = await node.allowance.take(self.terms, 0.13)
        now = self.loop.time()
        if grant is None:
            self.admitted.append(now)
            return
        self.refused.append(now)
        if is_first:
            # Callers come back once.
            await asyncio.sleep(grant.wait_s)
            running = self.network.running
            near = [
                one
                for one in running.values()
                if one.record.region == node.record.region
            ]
            if near:
                await self._request(self.rng.choice(near), is_first=False)

    def most_in_window(self, window_s):
        """Returns the most requests that were admitted in a window."""
        times = []
        most = 0
        for at in sorted(self.admitted):
            heapq.heappush(times, at)
            while times[0] < at - window_s:
                heapq.heappop(times)
            most = max(most, len(times))
        return most
