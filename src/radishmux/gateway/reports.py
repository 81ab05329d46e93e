"""Exchanges reports with the other instances twice a second.

In large regions the instances report less often; see `membership.hubs`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from types import TracebackType
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.fleet_clock import FleetClock
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
# Timeout of an exchange. A report with a large configuration takes this long
# over a slow link.
REPLY_TIMEOUT_S = 1.0
# A peer that is expected to poll this instance and has not done so for this
# many periods is polled.
_OVERDUE_PERIODS = 1.5
# A peer that has not been heard for this many periods may be cut off: one
# report and a round trip between regions, or more if reports are relayed by a
# hub.
_HEARD_PERIODS = 1.5
_RELAYED_HEARD_PERIODS = 2.6
# Maximum age of demand, in periods. Demand that a hub relays is up to two
# periods old, and one report may be lost.
_DEMAND_PERIODS = 4.0
# Number of reports after which other regions know that demand has grown. It is
# one in a full mesh. Otherwise there are three reports on the path from a
# holder over two hubs to another holder, and one may be lost.
_MESH_REPORT_LAG = 1
RELAYED_REPORT_LAG = 4
# A started instance may not know peers whose records have lapsed because the
# store does not answer them. Other peers introduce them, or they introduce
# themselves, within two periods, or more if reports are relayed by a hub or
# one is lost.
_JOIN_PERIODS = 6.0
# Number of peers that a started instance assumes in its region until then if
# it knows none.
_ASSUMED_PEERS = 3


class FleetReports:
    """Sends and receives reports; an async context manager.

    Also updates the components that depend on which peers are alive.

    Args:
        own: Record of this instance.
        bus: Connections to the peers.
        peers: Liveness of the other instances.
        rates: Updated with the regions, and with the heard instances of the
            own region.
        holders: Updated with the instances that may hold tokens.
        changes: Updated with the customers for which this instance is the
            designated holder.
        gossip_state: Builds and applies the reports.
        is_registered: Returns whether the record of this instance is in the
            store.
        token_log: Logs the holdings of this instance.
        clock: Monotonic time.
        regions: All regions of the fleet.
        full_mesh_max: Maximum number of instances up to which each is a hub.
        fleet_clock: Exchanges the time with the peers; None: it is not needed.
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
        fleet_clock: FleetClock | None = None,
    ) -> None:
        self._fleet_clock = fleet_clock
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
        self._registration_grace_until = clock.now() + JOIN_GRACE_S
        self._token_log = token_log
        self._clock = clock
        self._rng = random.Random(own.instance)
        self._full_mesh_max = full_mesh_max
        self._plan = exchange_plan(own, (), lambda name: False)
        self._exchanges: dict[str, asyncio.Task[None]] = {}
        # Hub from which this instance requests store changes.
        self._feed_hub = ""
        self._next_round_at = 0.0
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
        tasks = list(self._exchanges.values())
        if self._loop is not None:
            tasks.append(self._loop)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def plan(self) -> ExchangePlan:
        """Peers with which this instance exchanges reports."""
        return self._plan

    def join(self) -> None:
        """Asks for reports as soon as the peers are known after a start."""
        now = self._clock.now()
        self.update_members()
        self._update_plan(now)
        for name in self._plan.poll_targets + self._plan.expected_pollers:
            self._start_exchange(name)

    async def announce(self) -> None:
        """Sends a report to all monitored peers without waiting for a round.

        Used when they have to know at once that this instance is leaving.
        """
        await asyncio.gather(
            *(self._exchange(name) for name in self._plan.monitored)
        )

    async def announce_crash(self, is_suspect: bool) -> None:
        """Tells the monitored peers of a crash at once.

        In a fleet with hubs only if a request became suspected by it: the
        others can wait for the next report, and there are many when servers
        crash for other reasons.
        """
        # Peers may have become known since the last round.
        self._update_plan(self._clock.now())
        if is_suspect or self._plan.is_mesh:
            await self.announce()

    @property
    def _period_s(self) -> float:
        return REPORT_PERIOD_S * self._plan.period_factor

    @property
    def _demand_age_s(self) -> float:
        return _DEMAND_PERIODS * self._period_s

    async def _step(self) -> None:
        now = self._clock.now()
        await self._update_addresses()
        self._update_plan(now)
        self._update_demand(now)
        if now < self._next_round_at:
            return
        # Members of a large region report less often than this loop runs.
        self._next_round_at = now + self._period_s - REPORT_PERIOD_S / 2
        for name in self._plan.poll_targets:
            self._start_exchange(name)
        unheard = self._unheard_peer(now)
        if unheard is not None:
            self._start_exchange(unheard)
        overdue_s = _OVERDUE_PERIODS * self._period_s
        for name in self._plan.expected_pollers:
            if self._peers.heard_age_s(name, now) > overdue_s:
                self._start_exchange(name)

    @property
    def _region_peers(self) -> list[str]:
        """Names of the known peers of the own region."""
        return [
            name
            for name, record in self._peers.records.items()
            if record.region == self._own.region
        ]

    def _unheard_peer(self, now: float) -> str | None:
        """Returns a random peer of the region that is silent, if there is one.

        An instance that was cut off, or whose hubs are gone, hears its peers
        through nobody. Which of them are the hubs now shows in the reports of
        any peer that does hear them.
        """
        if self._plan.is_mesh:
            return None
        unheard = [
            name
            for name in self._region_peers
            if not self._peers.is_heard(name, now)
            and not self._peers.is_dead(name)
        ]
        return self._rng.choice(unheard) if unheard else None

    async def _update_addresses(self) -> None:
        for name, record in list(self._peers.records.items()):
            await self._bus.set_address(name, record.peer_address)
        for name in self._bus.peers:
            if name not in self._peers.records:
                await self._bus.set_address(name, None)

    def _update_plan(self, now: float) -> None:
        was_hub = self._plan.is_hub
        self._plan = plan = exchange_plan(
            self._own,
            self._peers.records.values(),
            lambda name: self._peers.is_usable(name, now),
            self._full_mesh_max,
        )
        is_region_hub = plan.is_hub and not plan.is_mesh
        self._gossip_state.set_hub(is_region_hub)
        self._gossip_state.set_exchange(
            is_region_hub, not plan.is_mesh, self._period_s
        )
        if plan.is_hub != was_hub:
            state_change("hub of the region", "on" if plan.is_hub else "off")
        silent_after_s = plan.silent_periods * self._period_s
        self._peers.set_monitored(plan.monitored, silent_after_s, now)

    def on_connection_refused(self, name: str) -> None:
        """Records a peer as dead, since it refused a connection."""
        self._peers.record_refused_connection(name, self._clock.now())
        self.update_members()

    def update_members(self) -> None:
        """Updates the rates and the token holders with the known instances.

        Called when these change. A peer that falls silent is noticed in the
        next round.
        """
        now = self._clock.now()
        own = self._own
        for name, record in self._peers.records.items():
            self._bus.add_address(name, record.peer_address)
        region_peers = self._region_peers
        members = {
            name for name in region_peers if self._peers.is_usable(name, now)
        }
        # An instance that has just started is not known to its peers.
        has_joined = any(
            self._peers.is_heard(name, now) for name in region_peers
        )
        if not members or (has_joined and not self._gossip_state.is_leaving):
            members.add(own.instance)
        lag = _MESH_REPORT_LAG if self._plan.is_mesh else RELAYED_REPORT_LAG
        self._rates.set_regions(self._other_regions(now), lag, now)
        self._rates.set_region_visibility(self._region_visibility(now), now)
        self._rates.set_entitled(self._is_entitled(now), now)
        if self._holders.set_members(frozenset(members)):
            self._set_designated()

    def _other_regions(self, now: float) -> set[str]:
        """Returns the other regions whose instances may hold tokens."""
        records = self._peers.records.values()
        regions = {record.region for record in records}
        if self._may_lack_peers(now):
            regions |= self._regions
        return regions - {self._own.region}

    def _may_lack_peers(self, now: float) -> bool:
        """Whether this instance may not know all of its peers yet."""
        return (
            not self._gossip_state.is_settled
            and now < self._started_at + _JOIN_PERIODS * self._period_s
        )

    def _set_designated(self) -> None:
        self._changes.set_designated(
            self._holders.designated_customers(self._rates.customers)
        )

    def _update_demand(self, now: float) -> None:
        """Measures demand, divides the rates again and logs the holdings."""
        self.update_members()
        self._set_designated()
        regions = self._other_regions(now)
        if not self._may_lack_peers(now):
            self._gossip_state.mark_settled()
        self._gossip_state.measure_demand(regions, self._demand_age_s, now)
        self._token_log.write(self._rates.holdings(now))

    def _apply_report(self, report: Any) -> None:
        """Applies a report and, if it changes the peers, updates holders."""
        before = self._peer_snapshot(report.instance)
        self._gossip_state.apply_report(report, self._plan.period_factor)
        if self._peer_snapshot(report.instance) != before:
            self.update_members()

    def _peer_snapshot(self, name: str) -> tuple[bool, bool, bool, int]:
        """Returns the state of which a change requires `update_members`."""
        now = self._clock.now()
        peers = self._peers
        return (
            peers.is_usable(name, now),
            peers.is_heard(name, now),
            self._gossip_state.is_settled,
            len(peers.records),
        )

    def _region_visibility(self, now: float) -> RegionVisibility:
        """Returns how many instances of the own region are heard."""
        periods = (
            _HEARD_PERIODS if self._plan.is_mesh else _RELAYED_HEARD_PERIODS
        )
        max_age_s = periods * self._period_s
        peers = self._peers
        # A peer that has just registered and has not been heard yet holds no
        # tokens, unless this instance hears no peer at all. A peer that is
        # leaving has released its holdings.
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
        if heard + silent == 0 and self._may_lack_peers(now):
            silent = _ASSUMED_PEERS
        return RegionVisibility(1 + heard, 1 + heard + silent)

    def _is_entitled(self, now: float) -> bool:
        """Whether other instances leave parts of the rates to this one.

        They do while its record is in the store. During a store outage no
        instance is dropped, and an instance that is not cut off hears most of
        the others. An instance that has just started has not registered yet.
        """
        if self._is_registered() or now < self._registration_grace_until:
            return True
        monitored = self._plan.monitored
        heard = sum(self._peers.is_heard(name, now) for name in monitored)
        return 2 * (1 + heard) > 1 + len(monitored)

    def _start_exchange(self, name: str) -> None:
        if name in self._exchanges:
            return
        task = asyncio.create_task(self._exchange(name))
        self._exchanges[name] = task
        task.add_done_callback(lambda _: self._exchanges.pop(name, None))

    async def _exchange(self, name: str) -> None:
        record = self._peers.records.get(name)
        if record is None:
            return
        audience = (
            Audience.HUB
            if record.region == self._own.region
            else Audience.REGION
        )
        wants_feed = not self._plan.is_hub and name == self._current_feed_hub()
        report = self._gossip_state.build_report(
            audience, self._demand_age_s, wants_feed=wants_feed
        )
        reply = await self._request(name, report)
        if self._needs_introductions(reply):
            self._apply_report(reply)
            report = self._gossip_state.build_report(
                audience,
                self._demand_age_s,
                wants_feed=wants_feed,
                with_introductions=True,
            )
            reply = await self._request(name, report)
        if isinstance(reply, PeerUnavailable):
            if reply.refused:
                self.on_connection_refused(name)
        elif isinstance(reply, messages.FleetReport):
            self._apply_report(reply)
        if wants_feed and getattr(reply, "feed", None) is None:
            self._feed_hub = self._next_hub(name)
            reason = getattr(reply, "reason", "") or "sent no store changes"
            self._gossip_state.end_feed(f"hub {name}: {reason}")

    async def _request(self, name: str, report: Any) -> Any:
        """Sends a report and returns the reply; both carry the time."""
        clock = self._fleet_clock
        if clock is None:
            return await self._bus.request(name, report, REPLY_TIMEOUT_S)
        clock.stamp(report, name, self._plan)
        sent = clock.read()
        reply = await self._bus.request(name, report, REPLY_TIMEOUT_S)
        if isinstance(reply, messages.FleetReport):
            clock.on_reply(name, reply, sent, self._plan)
        return reply

    def _needs_introductions(self, reply: Any) -> bool:
        """Whether a peer may not know this instance or other instances."""
        if not isinstance(reply, messages.FleetReport):
            return False
        return reply.asks_who or (
            self._gossip_state.is_settled and not reply.is_settled
        )

    def _current_feed_hub(self) -> str:
        """Returns the hub from which store changes are requested."""
        hubs = self._plan.hubs
        if self._feed_hub not in hubs:
            self._feed_hub = hubs[0] if hubs else ""
        return self._feed_hub

    def _next_hub(self, name: str) -> str:
        """Returns the hub to request store changes from after another."""
        hubs = self._plan.hubs
        if name not in hubs:
            return ""
        return hubs[(hubs.index(name) + 1) % len(hubs)]

    async def _on_report(self, message: Any, sender: Sender) -> Any:
        self._apply_report(message)
        record = self._peers.records.get(message.instance)
        region = record.region if record else ""
        if region != self._own.region:
            audience = Audience.REGION
        elif message.instance in self._plan.hubs:
            audience = Audience.HUB
        else:
            audience = Audience.MEMBER
        report = self._gossip_state.build_report(
            audience, self._demand_age_s, request=message
        )
        if self._fleet_clock is not None:
            self._fleet_clock.on_request(message, self._plan)
            self._fleet_clock.stamp(report, message.instance, self._plan)
        return report
