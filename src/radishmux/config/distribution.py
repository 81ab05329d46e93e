"""Keeps the configuration in force up to date, from the store and peers.

One instance per region watches the store and offers new versions to the other
instances of the region. Every instance sees the versions of its peers in their
heartbeats and requests a higher one. See docs/design.md, section 4.3.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import math
from collections.abc import Collection
from typing import Any, Protocol

import xxhash
from loguru import logger

from radishmux.clock import Clock
from radishmux.config.document import CONFIG_KEY
from radishmux.config.intake import ConfigIntake, ContactRecorder, MetricsSink
from radishmux.config.state import ConfigState
from radishmux.config.sync_plan import SyncPlan, elect_watcher
from radishmux.instances.interface import Instance
from radishmux.outcome import NotFound
from radishmux.peer import messages
from radishmux.store.interface import Entry, Store
from radishmux.tasks import repeat

TICK_S = 0.25
# Interval at which an instance checks whether it is its region's watcher. The
# check iterates over all live instances. Until a new watcher notices its role,
# the instances of the region read the store themselves.
ROLE_PERIOD_S = 1.0
PEER_TIMEOUT_S = 1.0
# Longer than the timeout of a writer's calls (2 s). With a shorter one, a store
# whose latency is between the two would accept the revocation of a key while
# it seems unavailable to every instance, and the revoked key would keep
# working.
READ_TIMEOUT_S = 3.0
# Limit of reads in flight: one per READ_PERIOD_S during READ_TIMEOUT_S.
_MAX_PENDING_READS = 6
# Peers that a starting instance polls at once; today's fleets have 10.
_MAX_POLLED_PEERS = 64


class Membership(ContactRecorder, Protocol):
    """The methods of MembershipView that the distribution uses."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances, including this one."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance is draining before it stops."""

    def contact_age_s(self, now: float) -> float:
        """Age of the store read that last confirmed the version in force."""


class Bus(Protocol):
    """The methods of PeerBus that the distribution uses."""

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the instances whose address is known."""

    def handle(self, message_type: type) -> Any:
        """Returns a decorator that registers the handler of a message."""

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message to a peer and returns its reply."""


class Distribution:
    """Finds and applies new versions in background tasks.

    The tasks run while this async context manager is entered.

    Args:
        store: Read and watched; may relay through peers.
        state: Holds the version in force.
        bus: Exchanges ConfigOffer and ConfigRequest messages with peers.
        membership: Lists the live instances and records contact with the
            store.
        own: This instance.
        clock: Monotonic clock, the same one that `membership` uses.
        metrics: Counts the versions that were applied and rejected.
    """

    def __init__(
        self,
        store: Store,
        state: ConfigState,
        bus: Bus,
        membership: Membership,
        own: Instance,
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._store = store
        self._state = state
        self._bus = bus
        self._membership = membership
        self._own = own
        self._clock = clock
        self._plan = SyncPlan()
        self._intake = ConfigIntake(state, membership, self._plan, metrics)
        self._loops: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._pending_reads = 0
        self._is_watcher = False
        self._role_checked_at = -math.inf
        self._watch_task: asyncio.Task[None] | None = None
        bus.handle(messages.ConfigOffer)(self.on_config_offer)
        bus.handle(messages.ConfigRequest)(self.on_config_request)

    async def __aenter__(self) -> Distribution:
        for step in (self._read_if_due, self._poll_peers, self._watch_if_due):
            self._loops.append(
                asyncio.create_task(
                    repeat(step, TICK_S, "configuration distribution")
                )
            )
        return self

    async def __aexit__(self, *exc: object) -> None:
        tasks = [*self._loops, *self._calls]
        if self._watch_task is not None:
            tasks.append(self._watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def ready(self) -> bool:
        """Whether this instance has once had the highest version."""
        return self._plan.ready

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the store for its region."""
        now = self._clock.now()
        if now - self._role_checked_at >= ROLE_PERIOD_S:
            self._role_checked_at = now
            self._is_watcher = self._has_highest_score()
        return self._is_watcher

    def _has_highest_score(self) -> bool:
        names = [
            peer.instance
            for peer in self._membership.live(self._own.region)
            if not self._membership.is_leaving(peer.instance)
        ]
        return elect_watcher(names) == self._own.instance

    async def on_config_offer(self, message: Any, sender: Any) -> Any:
        """Applies a version that a peer offers, if it is valid and higher."""
        applied = self._intake.apply_offer(message.body or b"")
        reason = "" if applied else "not a higher valid version"
        return messages.Done(accepted=applied, reason=reason)

    async def on_config_request(self, message: Any, sender: Any) -> Any:
        """Returns the version in force if it is higher than the peer's.

        Otherwise the reply says whether this instance is ready.
        """
        version = self._intake.body_version
        if version > (message.above_version or 0):
            return messages.ConfigOffer(version=version, body=self._intake.body)
        if self._plan.ready:
            return messages.Done(accepted=True, reason="")
        return messages.Done(accepted=False, reason="not ready")

    def _start_call(self, call: Any) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._on_call_done)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "request or read of configuration distribution failed"
            )

    async def _read_if_due(self) -> None:
        now = self._clock.now()
        if self._pending_reads >= _MAX_PENDING_READS:
            return
        if not self._plan.should_read(
            now,
            self.is_watcher,
            self._membership.contact_age_s(now),
            len(self._membership.live()),
        ):
            return
        # Not awaited here, so that with a slow store the next read starts
        # before the response to this one arrives.
        self._plan.record_read_sent(now)
        self._start_call(self._read(now))

    async def _read(self, sent_at: float) -> None:
        self._pending_reads += 1
        try:
            found = await self._store.get(CONFIG_KEY, READ_TIMEOUT_S)
        finally:
            self._pending_reads -= 1
        if not isinstance(found, (Entry, NotFound)):
            self._plan.record_read_failure()
            return
        entry = found if isinstance(found, Entry) else None
        if self._intake.apply_read(entry, sent_at):
            self._offer_if_watching()
            if self._watch_task is not None:
                # The watch missed this version, so that its connection may be
                # half-open.
                self._watch_task.cancel()

    def _offer_if_watching(self) -> None:
        if self.is_watcher:
            self._start_call(self._offer())

    async def _offer(self) -> None:
        offer = messages.ConfigOffer(
            version=self._intake.body_version, body=self._intake.body
        )
        peers = [
            peer.instance
            for peer in self._membership.live(self._own.region)
            if peer.instance != self._own.instance
        ]
        await asyncio.gather(
            *(self._bus.request(peer, offer, PEER_TIMEOUT_S) for peer in peers)
        )

    async def _poll_peers(self) -> None:
        peers = self._membership.config_versions()
        own = self._state.current.version
        name = self._plan.next_peer_to_poll(own, peers)
        if name is not None:
            await self._poll_peer(name)
        elif not self._plan.ready:
            await self._poll_all_peers()

    async def _poll_peer(self, name: str) -> None:
        own = self._state.current.version
        request = messages.ConfigRequest(above_version=own)
        reply = await self._bus.request(name, request, PEER_TIMEOUT_S)
        if not isinstance(reply, messages.ConfigOffer):
            return
        body = reply.body or b""
        if not self._intake.apply_offer(body) and self._intake.is_refused(body):
            self._plan.record_rejected_version(reply.version)

    async def _poll_all_peers(self) -> None:
        """Applies the highest version among the peers that respond."""
        own = self._state.current.version
        request = messages.ConfigRequest(above_version=own)
        names = _sample(self._own.instance, self._bus.peers)
        replies = await asyncio.gather(
            *(
                self._bus.request(peer, request, PEER_TIMEOUT_S)
                for peer in names
            )
        )
        ready_peers = 0
        for reply in replies:
            if isinstance(reply, messages.ConfigOffer):
                self._intake.apply_offer(reply.body or b"")
            elif isinstance(reply, messages.Done) and reply.accepted:
                ready_peers += 1
        if self._state.current.version == own:
            peers = self._membership.config_versions()
            self._plan.record_poll_round(own, peers, ready_peers)

    async def _watch_if_due(self) -> None:
        # The first read gives the revision from which to watch.
        if not self.is_watcher or not self._intake.revision:
            return
        task = self._watch_task = asyncio.create_task(self._watch())
        try:
            while self.is_watcher and not task.done():
                await asyncio.wait([task], timeout=TICK_S)
        finally:
            self._watch_task = None
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _watch(self) -> None:
        events = self._store.watch(CONFIG_KEY, self._intake.revision + 1)
        async with contextlib.aclosing(events):
            async for entry in events:
                if self._intake.apply_event(entry):
                    self._offer_if_watching()


def _sample(own: str, names: Collection[str]) -> list[str]:
    """Returns at most `_MAX_POLLED_PEERS` of the names.

    In a larger fleet the selection depends on `own`, which spreads the
    requests of starting instances over the fleet.
    """
    if len(names) <= _MAX_POLLED_PEERS:
        return list(names)
    return heapq.nsmallest(
        _MAX_POLLED_PEERS,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{own}|{name}".encode()),
    )
