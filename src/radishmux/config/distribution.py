"""Keeps the configuration in force up to date, from the store and peers.

One instance per region watches the store and offers what it finds to the
region's others; everyone learns of higher versions from heartbeats and asks
for them. See docs/design.md, section 4.3.
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
from radishmux.config.intake import ConfigIntake, Contact, MetricsSink
from radishmux.config.state import ConfigState
from radishmux.config.sync_plan import SyncPlan, watching_instance
from radishmux.instances.interface import Instance
from radishmux.outcome import NotFound
from radishmux.peer import messages
from radishmux.store.interface import Entry, Store
from radishmux.tasks import repeat

TICK_S = 0.25
# How often an instance looks whether it is the one that watches: this goes
# over all live instances, and others read the store themselves meanwhile.
ROLE_PERIOD_S = 1.0
PEER_TIMEOUT_S = 1.0
# Longer than the timeout of a writer's calls (2 s). Otherwise a store with a
# latency in between would accept a revocation and look as if it were out to
# every instance, and the revoked key would go on working.
READ_TIMEOUT_S = 3.0
# Reads in flight: one each READ_PERIOD_S for READ_TIMEOUT_S.
_MAX_PENDING_READS = 6
# Peers that a starting instance asks at once; today's fleets have 10.
_MAX_ASKED = 64


class Membership(Contact, Protocol):
    """What this part needs of membership.view.MembershipView."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances with this one."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance is about to stop."""

    def contact_age_s(self, now: float) -> float:
        """Seconds since the store read behind the version in force."""


class Bus(Protocol):
    """What this part needs of peer.bus.PeerBus."""

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
    """Background part that applies new versions; an async context manager.

    Args:
        store: Read and watched; may relay through peers.
        state: Takes the versions.
        bus: Sends and takes ConfigOffer and ConfigRequest.
        membership: Tells who is live, and takes contact with the store.
        own: This instance.
        clock: Monotonic time, the one that `membership` uses.
        metrics: Takes counts.
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
        self._watches = False
        self._role_at = -math.inf
        self._watch_task: asyncio.Task[None] | None = None
        bus.handle(messages.ConfigOffer)(self.on_config_offer)
        bus.handle(messages.ConfigRequest)(self.on_config_request)

    async def __aenter__(self) -> Distribution:
        for step in (self._read_if_due, self._ask_peers, self._watch_if_due):
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
        """Whether this instance has had the highest version."""
        return self._plan.ready

    @property
    def watches(self) -> bool:
        """Whether this instance watches the store for its region."""
        now = self._clock.now()
        if now - self._role_at >= ROLE_PERIOD_S:
            self._role_at = now
            self._watches = self._has_highest_score()
        return self._watches

    def _has_highest_score(self) -> bool:
        names = [
            one.instance
            for one in self._membership.live(self._own.region)
            if not self._membership.is_leaving(one.instance)
        ]
        return watching_instance(names) == self._own.instance

    async def on_config_offer(self, message: Any, sender: Any) -> Any:
        """Takes a version that a peer offers."""
        applied = self._intake.take_offer(message.body or b"")
        reason = "" if applied else "not a higher valid version"
        return messages.Done(accepted=applied, reason=reason)

    async def on_config_request(self, message: Any, sender: Any) -> Any:
        """Returns a higher version than the peer's, or whether ready."""
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
                "configuration distribution failed"
            )

    async def _read_if_due(self) -> None:
        now = self._clock.now()
        if self._pending_reads >= _MAX_PENDING_READS:
            return
        if not self._plan.should_read(
            now,
            self.watches,
            self._membership.contact_age_s(now),
            len(self._membership.live()),
        ):
            return
        # Not awaited here: with a slow store the next read starts before
        # this one is answered.
        self._plan.note_read_sent(now)
        self._start_call(self._read(now))

    async def _read(self, sent_at: float) -> None:
        self._pending_reads += 1
        try:
            found = await self._store.get(CONFIG_KEY, READ_TIMEOUT_S)
        finally:
            self._pending_reads -= 1
        if not isinstance(found, (Entry, NotFound)):
            self._plan.note_read_failed()
            return
        entry = found if isinstance(found, Entry) else None
        if self._intake.take_read(entry, sent_at):
            self._offer_if_watching()
            if self._watch_task is not None:
                # The watch missed this version; it may be half-open.
                self._watch_task.cancel()

    def _offer_if_watching(self) -> None:
        if self.watches:
            self._start_call(self._offer())

    async def _offer(self) -> None:
        offer = messages.ConfigOffer(
            version=self._intake.body_version, body=self._intake.body
        )
        others = [
            one.instance
            for one in self._membership.live(self._own.region)
            if one.instance != self._own.instance
        ]
        await asyncio.gather(
            *(self._bus.request(one, offer, PEER_TIMEOUT_S) for one in others)
        )

    async def _ask_peers(self) -> None:
        peers = self._membership.config_versions()
        own = self._state.current.version
        name = self._plan.peer_to_ask(own, peers)
        if name is not None:
            await self._ask(name)
        elif not self._plan.ready:
            await self._ask_all()

    async def _ask(self, name: str) -> None:
        own = self._state.current.version
        request = messages.ConfigRequest(above_version=own)
        reply = await self._bus.request(name, request, PEER_TIMEOUT_S)
        if not isinstance(reply, messages.ConfigOffer):
            return
        body = reply.body or b""
        if not self._intake.take_offer(body) and self._intake.is_refused(body):
            self._plan.note_rejected(reply.version)

    async def _ask_all(self) -> None:
        """Finds the highest version among the peers that respond."""
        own = self._state.current.version
        request = messages.ConfigRequest(above_version=own)
        names = _sample(self._own.instance, self._bus.peers)
        replies = await asyncio.gather(
            *(self._bus.request(one, request, PEER_TIMEOUT_S) for one in names)
        )
        ready_peers = 0
        for reply in replies:
            if isinstance(reply, messages.ConfigOffer):
                self._intake.take_offer(reply.body or b"")
            elif isinstance(reply, messages.Done) and reply.accepted:
                ready_peers += 1
        if self._state.current.version == own:
            peers = self._membership.config_versions()
            self._plan.note_round(own, peers, ready_peers)

    async def _watch_if_due(self) -> None:
        # Without a first read the revision to watch from is unknown.
        if not self.watches or not self._intake.revision:
            return
        task = self._watch_task = asyncio.create_task(self._watch())
        try:
            while self.watches and not task.done():
                await asyncio.wait([task], timeout=TICK_S)
        finally:
            self._watch_task = None
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _watch(self) -> None:
        events = self._store.watch(CONFIG_KEY, self._intake.revision + 1)
        async with contextlib.aclosing(events):
            async for entry in events:
                if self._intake.take_event(entry):
                    self._offer_if_watching()


def _sample(own: str, names: Collection[str]) -> list[str]:
    """Returns all names, or in a large fleet some that differ by `own`."""
    if len(names) <= _MAX_ASKED:
        return list(names)
    return heapq.nsmallest(
        _MAX_ASKED,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{own}|{name}".encode()),
    )
