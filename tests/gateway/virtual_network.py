"""The network and the store between gateways' parts, in virtual time."""

from __future__ import annotations

import asyncio

from radishmux.peer.bus import Sender
from radishmux.peer.link import PeerUnavailable

# One-way delays of the users' networks, in seconds.
IN_REGION_S = 0.001
BETWEEN_REGIONS_S = 0.055
# Time until an instance hears of a change in the store.
STORE_DELAY_S = 0.02
# The record of an instance that does not renew it is gone after this long.
LEASE_S = 4.0


class Network:
    """Carries messages between the processes that run, and their records.

    Attributes:
        running: Processes by instance.
        records: What the store has.
        silent: Instances that are cut off from the others and the store, with
            the time of the cut.
        turned_away: Instances that the store does not answer, with the time
            since when; the others reach them.
    """

    def __init__(self, loop):
        self.loop = loop
        self.running = {}
        self.records = {}
        self.cut_off = {}
        self.without_store = {}

    def delay_s(self, a, b):
        same = a.record.region == b.record.region
        return IN_REGION_S if same else BETWEEN_REGIONS_S

    def put_record(self, record):
        if record.instance in self.without_store:
            return
        self.records[record.instance] = record
        self.loop.call_later(STORE_DELAY_S, self._notify_instances)

    def remove_record(self, name):
        self.records.pop(name, None)
        self.loop.call_later(STORE_DELAY_S, self._notify_instances)

    def has_lease(self, node):
        """Whether a process knows that its record is in the store."""
        name = node.record.instance
        now = self.loop.time()
        cut_at = min(
            self.cut_off.get(name, now), self.without_store.get(name, now)
        )
        is_kept = now < cut_at + LEASE_S
        return is_kept and self.records.get(name) == node.record

    async def cut(self, name, seconds):
        """Cuts an instance off from the others and the store, then heals it."""
        self.cut_off[name] = self.loop.time()
        if seconds > LEASE_S:
            await asyncio.sleep(LEASE_S)
            self.remove_record(name)
            seconds -= LEASE_S
        await asyncio.sleep(seconds)
        del self.cut_off[name]
        if name in self.running:
            self.put_record(self.running[name].record)

    async def cut_from_store(self, names, seconds):
        """Keeps the store from answering some instances for a time."""
        now = self.loop.time()
        self.without_store |= dict.fromkeys(names, now)
        await asyncio.sleep(min(seconds, LEASE_S))
        if seconds > LEASE_S:
            for name in names:
                self.remove_record(name)
            await asyncio.sleep(seconds - LEASE_S)
        for name in names:
            del self.without_store[name]
            if name in self.running and self.running[name].is_serving:
                self.put_record(self.running[name].record)
        self._notify_instances()

    def _notify_instances(self):
        unreached = self.cut_off.keys() | self.without_store.keys()
        for name, node in self.running.items():
            if node.is_serving and name not in unreached:
                node.read_records()


class VirtualBus:
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

    def add_address(self, name, address):
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
        if {name, self.instance} & self.network.cut_off.keys():
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
