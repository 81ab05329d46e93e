"""Instances with the usage duty in virtual time, with a store and an API."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json

from radishmux.duties.clocks import Reading
from radishmux.gateway.duties import UsageDuty
from radishmux.gateway.events import StoreListed
from radishmux.gateway.fleet_clock import FleetClock
from radishmux.membership.hubs import exchange_plan
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.peer import messages
from radishmux.peer.bus import Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.platform.duties_api import CallOutcome
from radishmux.platform.keys import decode_event
from radishmux.settings.gateway import DutySettings
from radishmux.store.interface import Entry, KeyChange
from radishmux.store.revision import in_era
from radishmux.telemetry.metrics import Metrics

START_UNIX_S = 1_767_225_600.0
WINDOW_S, LATE_S, LEASE_S = 5.0, 10.0, 3.0
STORE_DELAY_S = 0.02
WATCH_LAG_S = 0.5
DUTY_KEY = "radishmux/duties/usage_report"
TERMS = DutySettings(
    address="127.0.0.1:1",
    names=["usage_report"],
    calls_per_s=10.0,
    require_fence=True,
    lease_s=LEASE_S,
    thaw_slack_s=0.3,
    report_window_s=WINDOW_S,
    usage_tolerance=0.05,
    usage_late_s=LATE_S,
)


class Store:
    """The store's state and its faults.

    Attributes:
        is_down: Whether calls fail without effect.
        lost: Number of the next writes whose response is lost.
        lost_delay_s: Time after which such a write is executed.
        delay_s: Time that each call takes.
    """

    def __init__(self, loop):
        self.loop = loop
        self.nodes = []
        self.era, self.revision, self.next_lease = 1, 1, 1
        self.pairs = {}
        self.leases = {}
        self.is_down = False
        self.lost, self.lost_delay_s = 0, 0.0
        self.delay_s = STORE_DELAY_S
        self.copies = []
        self.writes = collections.Counter()

    def expire(self):
        now = self.loop.time()
        ended = {one for one, until in self.leases.items() if until <= now}
        for lease in ended:
            del self.leases[lease]
        for key, (_, _, lease) in list(self.pairs.items()):
            if lease in ended:
                self.delete(key)

    def copy(self):
        self.copies.append((self.revision, dict(self.pairs), dict(self.leases)))

    def restore(self):
        """Goes back to the latest copy, as another era."""
        self.revision, pairs, leases = self.copies.pop()
        self.pairs, self.leases = dict(pairs), dict(leases)
        self.era += 1
        for node in self.nodes:
            self.loop.call_later(WATCH_LAG_S, node.list_store)

    def put(self, key, value, lease):
        self.revision += 1
        self.writes[key] += 1
        self.pairs[key] = (value, self.revision, lease)
        self.publish(key, value)

    def delete(self, key):
        if self.pairs.pop(key, None) is not None:
            self.revision += 1
            self.publish(key, None)

    def publish(self, key, value):
        change = KeyChange(key, value, in_era(self.era, self.revision))
        for node in self.nodes:
            self.loop.call_later(WATCH_LAG_S, node.on_change, change)

    def txn(self, expected, puts, deletes, lease):
        """Returns a revision, Conflict or NotFound."""
        self.expire()
        for key in puts:
            if key.startswith("radishmux/usage/"):
                # Only a holder writes a window, and only once.
                assert expected[key] == 0
                assert expected[DUTY_KEY] > 0
        for key, revision in expected.items():
            pair = self.pairs.get(key)
            present = in_era(self.era, pair[1]) if pair else 0
            if present != revision:
                return Conflict(key)
        if lease and lease not in self.leases:
            return NotFound("lease")
        for key, value in puts.items():
            self.put(key, value, lease)
        for key in deletes:
            self.delete(key)
        return in_era(self.era, self.revision)


class StoreClient:
    """What one node sees of the store."""

    def __init__(self, node, store):
        self.node, self.store = node, store
        self.era = store.era

    async def _enter(self):
        await self.node.thawed()
        if self.store.is_down or self.node.is_cut_from_store:
            await asyncio.sleep(0.3)
            return False
        await asyncio.sleep(self.store.delay_s)
        return True

    async def _exit(self, result):
        await self.node.thawed()
        self.era = max(self.era, self.store.era)
        return result

    async def _write(self, call):
        if not await self._enter():
            return Unavailable("down")
        if self.store.lost:
            self.store.lost -= 1
            self.store.loop.call_later(self.store.lost_delay_s, call)
            await asyncio.sleep(0.5)
            return Unknown("lost")
        return await self._exit(call())

    async def grant_lease(self, ttl_s, timeout_s):
        if not await self._enter():
            return Unavailable("down")
        self.store.next_lease += 1
        self.store.leases[self.store.next_lease] = (
            self.store.loop.time() + ttl_s
        )
        self.ttl_s, self.lease_era = ttl_s, self.store.era
        return await self._exit(self.store.next_lease)

    async def keep_lease(self, lease, timeout_s):
        if not await self._enter():
            return Unavailable("down")
        self.store.expire()
        if lease not in self.store.leases:
            return await self._exit(0.0)
        self.store.leases[lease] = self.store.loop.time() + self.ttl_s
        is_same = self.lease_era == self.store.era
        return await self._exit(self.ttl_s if is_same else 0.0)

    async def get(self, key, timeout_s):
        if not await self._enter():
            return Unavailable("down")
        self.store.expire()
        pair = self.store.pairs.get(key)
        if pair is None:
            return await self._exit(NotFound(key))
        entry = Entry(pair[0], in_era(self.store.era, pair[1]))
        return await self._exit(entry)

    async def compare_and_swap(self, key, revision, value, timeout_s, lease=0):
        written = await self._write(
            lambda: self.store.txn({key: revision}, {key: value}, (), lease)
        )
        return Entry(value, written) if isinstance(written, int) else written

    async def transact(self, expected, puts, deletes, timeout_s):
        return await self._write(
            lambda: self.store.txn(expected, puts, deletes, 0)
        )


class Api:
    """Takes reports and notes violations.

    Attributes:
        is_down: Whether it cannot be reached.
        delay_s: Time after which a call is executed.
        is_answer_lost: Whether callers get no response.
    """

    def __init__(self, loop):
        self.loop = loop
        self.is_down, self.delay_s, self.is_answer_lost = False, 0.0, False
        self.calls = []
        self.accepted = {}
        self.accepted_at = {}
        self.highest = 0
        self.holders = collections.defaultdict(set)
        self.fenced = []
        self.violations = []

    async def call(self, node, body, token, timeout_s):
        self.calls.append((self.loop.time(), node.name, token))
        if self.is_down:
            return CallOutcome.NO_RESPONSE
        outcome = asyncio.get_running_loop().create_future()
        self.loop.call_later(
            self.delay_s, self._execute, node, body, token, outcome
        )
        if self.is_answer_lost:
            return CallOutcome.NO_RESPONSE
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return CallOutcome.NO_RESPONSE

    def _execute(self, node, body, token, outcome):
        self.holders[token].add((node.name, id(node)))
        if len(self.holders[token]) > 1:
            self.violations.append(f"token {token} of {self.holders[token]}")
        if token < self.highest:
            self.fenced.append(token)
            outcome.set_result(CallOutcome.FENCED)
            return
        self.highest = token
        document = json.loads(body)
        window, counts = document["WindowId"], document["Counts"]
        if self.accepted.setdefault(window, counts) != counts:
            self.violations.append(f"window {window}")
        self.accepted_at.setdefault(window, self.loop.time())
        outcome.set_result(CallOutcome.ACCEPTED)


class ApiClient:
    """The API as one node calls it."""

    def __init__(self, node, api):
        self.node, self.api = node, api

    async def report(self, body, token, timeout_s, may_send):
        await self.node.thawed()
        if not may_send():
            return CallOutcome.NOT_SENT
        return await self.api.call(self.node, body, token, timeout_s)

    def close(self):
        pass


class Bus:
    """Delivers messages between nodes after a delay."""

    def __init__(self, node):
        self.node = node
        self.handlers = {}
        self.sent = 0

    def handle(self, kind):
        return lambda handler: self.handlers.setdefault(kind, handler)

    async def request(self, name, message, timeout_s):
        await self.node.thawed()
        target = self.node.fleet.nodes.get(name)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(0.02)
                if target is None or target.is_dead:
                    return PeerUnavailable("connection refused")
                if self.node.is_isolated or target.is_isolated:
                    await asyncio.sleep(timeout_s)
                await target.thawed()
                if isinstance(message, messages.UsageReport):
                    target.bus.received.append(message)
                sender = Sender(self.node.name, self.node.incarnation)
                handler = target.bus.handlers[type(message)]
                reply = await handler(message, sender)
                if target.fleet.lost_receipts:
                    target.fleet.lost_receipts -= 1
                    await asyncio.sleep(timeout_s)
                return reply
        except TimeoutError:
            return PeerUnavailable("timeout")

    received: list


class Node:
    """One process; `frozen` stops its I/O and its steady clock."""

    def __init__(self, fleet, name, region="a", wall_error_s=0.0):
        self.fleet, self.name = fleet, name
        loop = fleet.loop
        self.wall_error_s = wall_error_s
        self.incarnation = round((START_UNIX_S + loop.time()) * 1000)
        self.is_dead = self.is_isolated = self.is_cut_from_store = False
        self._frozen_at, self._frozen_s = None, 0.0
        self._unread = []
        self.is_drained = False
        self._thaw = asyncio.Event()
        self._thaw.set()
        self.record = InstanceRecord(
            instance=name,
            incarnation=self.incarnation,
            region=region,
            failure_domain=f"{region}-1",
            caller_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
        )
        self.peers = Peers(self.record)
        self.bus = Bus(self)
        self.bus.received = []
        self.store = StoreClient(self, fleet.store)
        self.metrics = Metrics()
        self.clock = FleetClock(self.record, self.peers, self)
        self.duty = UsageDuty(
            TERMS,
            1.0,
            self.record,
            self.store,
            ApiClient(self, fleet.api),
            self.peers,
            self.bus,
            self,
            self.clock,
            self,
            loop,
            self.metrics,
        )

    @property
    def is_frozen(self):
        return not self._thaw.is_set()

    @property
    def is_serving(self):
        return self._thaw.is_set() and not (self.is_dead or self.is_drained)

    @property
    def plan(self):
        return exchange_plan(
            self.record,
            self.peers.records.values(),
            lambda name: not self.fleet.nodes[name].is_dead,
            self.fleet.full_mesh_max,
        )

    def read(self):
        now = self.fleet.loop.time()
        if self._frozen_at is not None:
            now = self._frozen_at
            return Reading(now - self._frozen_s, now)
        return Reading(now - self._frozen_s, now)

    def wall(self):
        return START_UNIX_S + self.read().boot + self.wall_error_s

    def freeze(self):
        self._frozen_at = self.fleet.loop.time()
        self._thaw.clear()

    def thaw(self):
        self._frozen_s += self.fleet.loop.time() - self._frozen_at
        self._frozen_at = None
        self._thaw.set()
        unread, self._unread = self._unread, []
        for change in unread:
            self.on_change(change)

    async def thawed(self):
        await self._thaw.wait()

    def on_change(self, change):
        if self.is_dead or self.is_cut_from_store:
            return
        if not self._thaw.is_set():
            self._unread.append(change)
            return
        event = decode_event(change)
        if event is not None:
            self.duty.on_event(event, 0.0)

    def list_store(self):
        """Delivers all keys, as the mirror does."""
        if self.is_dead or self.is_cut_from_store:
            return
        store = self.fleet.store
        self.store.era = store.era
        for key, (value, revision, _) in store.pairs.items():
            self.on_change(KeyChange(key, value, in_era(store.era, revision)))
        if not any("duties" in key for key in store.pairs):
            self.on_change(KeyChange(DUTY_KEY, None, 0))
        self.duty.on_event(StoreListed(), 0.0)

    async def start(self):
        self.fleet.nodes[self.name] = self
        self.fleet.store.nodes.append(self)
        self.fleet.update_members()
        await self.duty.__aenter__()
        self.fleet.loop.call_later(0.1, self.list_store)

    async def kill(self):
        """Ends the process; its lease runs on."""
        self.is_dead = True
        await self.duty.__aexit__(None, None, None)
        self.fleet.loop.call_later(4.0, self.fleet.update_members)

    async def leave(self):
        """Ends the process as on SIGTERM."""
        self.duty.leave()
        await asyncio.sleep(2.5)
        self.is_drained = True
        await self.duty.hand_over()
        await self.kill()

    def send(self, customer, count=1):
        for _ in range(count):
            self.duty.counter.record_sent(None, customer)
            self.fleet.count(customer)


class Fleet:
    """Nodes, the store, the API and the true counts."""

    def __init__(self, loop, full_mesh_max=16):
        self.loop, self.full_mesh_max = loop, full_mesh_max
        self.store, self.api = Store(loop), Api(loop)
        self.nodes = {}
        self.lost_receipts = 0
        self._exchange_at = 0.0
        self.true_counts = collections.defaultdict(collections.Counter)
        self._expiry = asyncio.create_task(self._expire())

    async def add(self, *names, region="a", wall_error_s=0.0):
        for name in names:
            await Node(self, name, region, wall_error_s).start()

    def update_members(self):
        alive = [node for node in self.nodes.values() if not node.is_dead]
        for node in alive:
            records = [one.record for one in alive if one is not node]
            node.peers.set_records(records, self.loop.time())

    def count(self, customer):
        window = int((START_UNIX_S + self.loop.time()) // WINDOW_S)
        self.true_counts[window][customer] += 1

    def exchange_reports(self):
        """Lets all pairs of nodes exchange reports, as a full mesh."""
        heard = [
            node
            for node in self.nodes.values()
            if not (node.is_dead or node.is_frozen or node.is_isolated)
        ]
        now = self.loop.time()
        for asking, asked in itertools.permutations(heard, 2):
            asked.peers.record_report(
                asking.name, asking.incarnation, False, now
            )
            report = messages.FleetReport(instance=asking.name)
            asking.clock.stamp(report, asked.name, asking.plan)
            asked.clock.on_request(report, asked.plan)
            reply = messages.FleetReport(instance=asked.name)
            asked.clock.stamp(reply, asking.name, asked.plan)
            boot = asking.read().boot
            asking.clock.on_reply(asked.name, reply, boot, asking.plan)

    @property
    def holders(self):
        return [one for one in self.nodes.values() if one.duty.token]

    @property
    def holder(self):
        (found,) = [one for one in self.holders if not one.is_dead]
        return found

    async def run(self, seconds, load=True):
        """Lets time pass; each node sends requests of two customers."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            await asyncio.sleep(0.05)
            if self.loop.time() >= self._exchange_at:
                self._exchange_at += 0.5
                self.exchange_reports()
            for node in list(self.nodes.values()) if load else ():
                if node.is_serving:
                    node.send("t1", 2)
                    node.send("t2")

    def ended(self, since=0.0, margin_s=LATE_S):
        """Returns the windows that began after a time and are due."""
        now = START_UNIX_S + self.loop.time()
        return [
            window
            for window in self.true_counts
            if (window + 1) * WINDOW_S + margin_s <= now
            and window * WINDOW_S >= START_UNIX_S + since
        ]

    def check(self, since=0.0, windows=None):
        """Checks the reports of the windows that are due.

        Every one was accepted in time with the true counts, and the rules that
        must never be broken were kept.
        """
        self.check_rules()
        due = self.ended(since) if windows is None else windows
        assert due
        for window in due:
            assert self.api.accepted.get(window) == dict(
                self.true_counts[window]
            ), window
            end = (window + 1) * WINDOW_S - START_UNIX_S
            assert self.api.accepted_at[window] <= end + LATE_S

    def check_rules(self):
        """Checks tokens, counts, and that no holder returns within a lease."""
        assert not self.api.violations

        last = {}
        for at, name, _ in self.api.calls:
            others = [t for t, other in last.values() if other != name]
            if name in last and others and max(others) > last[name][0]:
                assert at - last[name][0] >= LEASE_S, (name, at)
            last[name] = (at, name)
        fenced_since = {}
        for at, name, token in self.api.calls:
            if (name, token) in fenced_since:
                assert at <= fenced_since[name, token] + LEASE_S

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            self.store.expire()
