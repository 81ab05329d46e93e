"""Exchanges reports between the instances twice a second."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.gossip_state import Audience, GossipState
from radishmux.gateway.holder_changes import HolderChanges
from radishmux.gateway.token_log import TokenLog
from radishmux.membership.hubs import (
    FULL_MESH_MAX,
    ExchangePlan,
    exchange_plan,
)
from radishmux.membership.peers import JOIN_GRACE_S, Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.division import RegionVisibility
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holders import TokenHolders
from radishmux.tasks import repeat
from radishmux.telemetry.logs import state_change

REPORT_PERIOD_S = 0.5
# A report that brings a large configuration over a narrow link takes this
# long; one to a silent peer is given up after it.
REPLY_TIMEOUT_S = 1.0
# A peer that should have asked by now is asked.
_OVERDUE_PERIODS = 1.5
# A peer that was not heard for this long may be cut off: one report and a
# round trip between regions; more where reports come through a hub.
_HEARD_PERIODS = 1.5
_RELAYED_PERIODS = 2.6
# Demands count for this many periods: what a hub passes on is up to two
# periods old, and one report may be lost.
_DEMAND_PERIODS = 4.0
# Reports after which other regions know of growth: one in a full mesh; three on
# the way from a holder over two hubs to another holder, of which one may be
# lost.
_MESH_LAG = 1
RELAYED_REPORT_LAG = 4
# An instance that has started may not know of peers whose records have lapsed
# since the store turns them away. Peers tell it of them, or they introduce
# themselves, within two periods; more where reports come through a hub, or one
# is lost.
_JOIN_PERIODS = 6.0
# Peers that it takes its region to have until then, if it knows of none.
_ASSUMED_PEERS = 3


class FleetReports:
    """Sends and takes reports; an async context manager.

    Args:
        own: This instance's record.
        bus: Connections to the peers.
        peers: Takes who was heard.
        rates: Is told who takes part.
        holders: Is told who may hold tokens.
        changes: Is told what falls to this instance.
        digest: Writes and reads the reports.
        is_registered: Whether this instance's record is in the store.
        token_log: Is told what is held here.
        clock: Monotonic time.
        regions: All regions of the fleet.
        full_mesh_max: Up to this many instances, each is a hub.
    """

    def __init__(
        self,
        own: InstanceRecord,
        bus: PeerBus,
        peers: Peers,
        rates: FleetRates,
        holders: TokenHolders,
        changes: HolderChanges,
        gossip_state: GossipState,
        is_registered: Callable[[], bool],
        token_log: TokenLog,
        clock: Clock,
        regions: frozenset[str] = frozenset(),
        full_mesh_max: int = FULL_MESH_MAX,
    ) -> None:
        self._regions = regions
        self._started_at = clock.now()
        self._own = own
        self._bus = bus
        self._peers = peers
        self._rates = rates
        self._holders = holders
        self._changes = changes
        self._gossip_state = gossip_state
        self._is_registered = is_registered
        self._entitled_until = clock.now() + JOIN_GRACE_S
        self._token_log = token_log
        self._clock = clock
        self._full_mesh_max = full_mesh_max
        self._plan = exchange_plan(own, (), lambda name: False)
        self._pending: dict[str, asyncio.Task[None]] = {}
        # Hub that is asked for changes of the store.
        self._feeder = ""
        self._due_at = 0.0
        self._loop: asyncio.Task[None] | None = None
        bus.handle(messages.FleetReport)(self._on_report)

    async def __aenter__(self) -> FleetReports:
        self._loop = asyncio.create_task(
            repeat(self._step, REPORT_PERIOD_S, "fleet reports")
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        tasks = list(self._pending.values())
        if self._loop is not None:
            tasks.append(self._loop)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def plan(self) -> ExchangePlan:
        """With whom this instance exchanges reports."""
        return self._plan

    async def announce(self) -> None:
        """Tells the peers of the region and all hubs at once.

        For example that this instance is leaving.
        """
        await asyncio.gather(
            *(self._exchange(name) for name in self._plan.monitored)
        )

    @property
    def _period_s(self) -> float:
        return REPORT_PERIOD_S * self._plan.period_factor

    @property
    def _demand_age_s(self) -> float:
        return _DEMAND_PERIODS * self._period_s

    async def _step(self) -> None:
        now = self._clock.now()
        await self._set_addresses()
        self._set_plan(now)
        self._measure(now)
        if now < self._due_at:
            return
        # A large region's members report less often.
        self._due_at = now + self._period_s - REPORT_PERIOD_S / 2
        for name in self._plan.poll_targets:
            self._start_exchange(name)
        overdue_s = _OVERDUE_PERIODS * self._period_s
        for name in self._plan.expected_pollers:
            if self._peers.heard_age_s(name, now) > overdue_s:
                self._start_exchange(name)

    async def _set_addresses(self) -> None:
        for name, record in list(self._peers.records.items()):
            await self._bus.set_address(name, record.peer_address)
        for name in self._bus.peers:
            if name not in self._peers.records:
                await self._bus.set_address(name, None)

    def _set_plan(self, now: float) -> None:
        was_hub = self._plan.is_hub
        self._plan = plan = exchange_plan(
            self._own,
            self._peers.records.values(),
            lambda name: self._peers.is_usable(name, now),
            self._full_mesh_max,
        )
        self._gossip_state.set_hub(plan.is_hub and not plan.is_mesh)
        if plan.is_hub != was_hub:
            state_change("hub of the region", "on" if plan.is_hub else "off")
        silent_after_s = plan.silent_periods * self._period_s
        self._peers.set_monitored(plan.monitored, silent_after_s, now)

    def on_connection_refused(self, name: str) -> None:
        """Takes that a peer refused a connection: its process is gone."""
        self._peers.record_refused_connection(name, self._clock.now())
        self.update_members()

    def update_members(self) -> None:
        """Tells the rates and the token holders who takes part.

        Called when that has changed; silence is noticed in the next round.
        """
        now = self._clock.now()
        own = self._own
        for name, record in self._peers.records.items():
            self._bus.add_address(name, record.peer_address)
        near = {
            name
            for name, record in self._peers.records.items()
            if record.region == own.region
        }
        members = {name for name in near if self._peers.is_usable(name, now)}
        # Peers do not know of an instance that has just started.
        has_joined = any(self._peers.is_heard(name, now) for name in near)
        if not members or (has_joined and not self._gossip_state.is_leaving):
            members.add(own.instance)
        lag = _MESH_LAG if self._plan.is_mesh else RELAYED_REPORT_LAG
        self._rates.set_regions(self._other_regions(now), lag, now)
        self._rates.set_region_visibility(self._reach(now), now)
        self._rates.set_entitled(self._is_entitled(now), now)
        if self._holders.set_members(frozenset(members)):
            self._set_designated()

    def _other_regions(self, now: float) -> set[str]:
        """Returns the other regions that may hold parts of the rates."""
        records = self._peers.records.values()
        regions = {one.region for one in records}
        if self._is_joining(now):
            regions |= self._regions
        return regions - {self._own.region}

    def _is_joining(self, now: float) -> bool:
        """Whether there may be peers that this instance does not know yet."""
        return (
            not self._gossip_state.is_settled
            and now < self._started_at + _JOIN_PERIODS * self._period_s
        )

    def _set_designated(self) -> None:
        self._changes.set_designated(
            self._holders.designated_customers(self._rates.customers)
        )

    def _measure(self, now: float) -> None:
        """Divides the rates by what is known now."""
        self.update_members()
        self._set_designated()
        regions = self._other_regions(now)
        if not self._is_joining(now):
            self._gossip_state.settle()
        self._gossip_state.measure(regions, self._demand_age_s, now)
        self._token_log.write(self._rates.holdings(now))

    def _read(self, report: Any) -> None:
        """Takes a report, and at once what it changes for token holders."""
        before = self._standing(report.instance)
        self._gossip_state.read(report, self._plan.period_factor)
        if self._standing(report.instance) != before:
            self.update_members()

    def _standing(self, name: str) -> tuple[bool, bool, bool, int]:
        """Returns what a report may change."""
        now = self._clock.now()
        peers = self._peers
        return (
            peers.is_usable(name, now),
            peers.is_heard(name, now),
            self._gossip_state.is_settled,
            len(peers.records),
        )

    def _reach(self, now: float) -> RegionVisibility:
        """Returns how much of the region has been heard lately."""
        periods = _HEARD_PERIODS if self._plan.is_mesh else _RELAYED_PERIODS
        max_age_s = periods * self._period_s
        peers = self._peers
        # Peers that nobody has heard yet hold nothing, unless it is this
        # instance that hears nobody. One that left has released what it held.
        hears_peers = peers.heard_count(now) > 0
        heard = silent = 0
        for name, record in peers.records.items():
            if record.region != self._own.region:
                continue
            if peers.heard_age_s(name, now) < max_age_s:
                heard += 1
            elif not (
                peers.is_dead(name)
                or peers.is_leaving(name)
                or (hears_peers and peers.is_joining(name, now))
            ):
                silent += 1
        if heard + silent == 0 and self._is_joining(now):
            silent = _ASSUMED_PEERS
        return RegionVisibility(1 + heard, 1 + heard + silent)

    def _is_entitled(self, now: float) -> bool:
        """Whether other instances leave parts of customers' rates to this one.

        They do while its record is in the store. If the store is out, nobody
        can be dropped; most of the fleet is heard then. An instance that has
        just started has not registered yet.
        """
        if self._is_registered() or now < self._entitled_until:
            return True
        followed = self._plan.monitored
        heard = sum(self._peers.is_heard(name, now) for name in followed)
        return 2 * (1 + heard) > 1 + len(followed)

    def _start_exchange(self, name: str) -> None:
        if name in self._pending:
            return
        task = asyncio.create_task(self._exchange(name))
        self._pending[name] = task
        task.add_done_callback(lambda _: self._pending.pop(name, None))

    async def _exchange(self, name: str) -> None:
        record = self._peers.records.get(name)
        if record is None:
            return
        audience = (
            Audience.HUB
            if record.region == self._own.region
            else Audience.REGION
        )
        wants_feed = not self._plan.is_hub and name == self._feed_source()
        report = self._gossip_state.write(
            audience, self._demand_age_s, wants_feed=wants_feed
        )
        reply = await self._bus.request(name, report, REPLY_TIMEOUT_S)
        if self._is_stranger(reply):
            self._read(reply)
            report = self._gossip_state.write(
                audience,
                self._demand_age_s,
                wants_feed=wants_feed,
                introduces=True,
            )
            reply = await self._bus.request(name, report, REPLY_TIMEOUT_S)
        if isinstance(reply, PeerUnavailable):
            if reply.refused:
                self.on_connection_refused(name)
        elif isinstance(reply, messages.FleetReport):
            self._read(reply)
        if wants_feed and getattr(reply, "feed", None) is None:
            self._feeder = self._hub_after(name)
            why = getattr(reply, "reason", "") or "it knows no more"
            self._gossip_state.end_feed(f"hub {name}: {why}")

    def _is_stranger(self, reply: Any) -> bool:
        """Whether a peer may not know this instance or others."""
        if not isinstance(reply, messages.FleetReport):
            return False
        return reply.asks_who or (
            self._gossip_state.is_settled and not reply.is_settled
        )

    def _feed_source(self) -> str:
        """Returns the hub that is asked for changes of the store."""
        hubs = self._plan.hubs
        if self._feeder not in hubs:
            self._feeder = hubs[0] if hubs else ""
        return self._feeder

    def _hub_after(self, name: str) -> str:
        """Returns the hub that is asked when one has no changes to give."""
        hubs = self._plan.hubs
        if name not in hubs:
            return ""
        return hubs[(hubs.index(name) + 1) % len(hubs)]

    async def _on_report(self, message: Any, sender: Sender) -> Any:
        self._read(message)
        record = self._peers.records.get(message.instance)
        region = record.region if record else ""
        if region != self._own.region:
            audience = Audience.REGION
        elif message.instance in self._plan.hubs:
            audience = Audience.HUB
        else:
            audience = Audience.MEMBER
        return self._gossip_state.write(
            audience, self._demand_age_s, asked=message
        )
