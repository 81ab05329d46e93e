"""Exchanges reports between the instances twice a second."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.rollouts import Rollouts
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.share.fleet_rate import DemandReport, FleetRates
from radishmux.shift.evidence import Tallies, Tally
from radishmux.tasks import repeat

REPORT_PERIOD_S = 0.5
# Shorter than the time after which a peer counts as silent.
REPLY_TIMEOUT_S = 0.45


class FleetReports:
    """Sends and takes reports; an async context manager.

    Of each pair of instances the one whose name comes first asks; the reply
    is the other one's report.

    Args:
        own: This instance's record.
        bus: Connections to the peers.
        peers: Takes who was heard.
        rates: Takes and gives demands.
        rollouts: Take and give the outcomes of versions.
        is_leaving: Whether callers should go elsewhere.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        bus: PeerBus,
        peers: Peers,
        rates: FleetRates,
        rollouts: Rollouts,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._bus = bus
        self._peers = peers
        self._rates = rates
        self._rollouts = rollouts
        self._is_leaving = is_leaving
        self._clock = clock
        self._demands = DemandReport({})
        self._tasks: set[asyncio.Task[None]] = set()
        bus.handle(messages.FleetReport)(self._on_report)

    async def __aenter__(self) -> FleetReports:
        self._start(repeat(self._step, REPORT_PERIOD_S, "fleet reports"))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def announce(self) -> None:
        """Tells every peer at once, for example that this one is leaving."""
        names = list(self._peers.records)
        await asyncio.gather(*(self._exchange(name) for name in names))

    async def _step(self) -> None:
        now = self._clock.now()
        self._demands = self._rates.report(now)
        self._rates.set_isolated(self._peers.is_isolated(now), now)
        for name, record in list(self._peers.records.items()):
            await self._bus.set_address(name, record.peer_address)
            if not self._peers.is_heard(name, now):
                self._rates.set_silent(name, now)
            if self._own.instance < name:
                self._start(self._exchange(name))
        for name in self._bus.peers:
            if name not in self._peers.records:
                await self._bus.set_address(name, None)

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, name: str) -> None:
        reply = await self._bus.request(name, self._report(), REPLY_TIMEOUT_S)
        if isinstance(reply, PeerUnavailable):
            if reply.refused:
                self._peers.refused(name)
            return
        if isinstance(reply, messages.FleetReport):
            self._take(reply)

    async def _on_report(self, message: Any, sender: Sender) -> Any:
        self._take(message)
        return self._report()

    def _report(self) -> Any:
        now = self._clock.now()
        tallies = []
        views = []
        for service, rollout in self._rollouts.active.items():
            views.append(
                messages.RolloutView(
                    service_name=service,
                    version=rollout.order.version,
                    elapsed_s=rollout.elapsed_s(now),
                    fault=rollout.fault or "",
                )
            )
            tallies.extend(
                messages.VersionTally(
                    service_name=service,
                    version=version,
                    route=route,
                    requests=tally.requests,
                    failures=tally.failures,
                    slow=tally.slow,
                )
                for (version, route), tally in rollout.evidence.own.items()
            )
        return messages.FleetReport(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            leaving=self._is_leaving(),
            demands=[
                messages.CustomerDemand(customer=name, rate_per_s=rate)
                for name, rate in self._demands.demands.items()
            ],
            tallies=tallies,
            rollouts=views,
        )

    def _take(self, report: Any) -> None:
        now = self._clock.now()
        name = report.instance
        if not self._peers.heard(name, report.incarnation, report.leaving, now):
            return
        demands = {one.customer: one.rate_per_s for one in report.demands or ()}
        self._rates.take_report(name, DemandReport(demands), now)
        by_service: dict[str, Tallies] = {}
        for one in report.tallies or ():
            tallies = by_service.setdefault(one.service_name, {})
            tallies[(one.version, one.route)] = Tally(
                one.requests, one.failures, one.slow
            )
        for view in report.rollouts or ():
            rollout = self._rollouts.active.get(view.service_name)
            if rollout is None or rollout.order.version != view.version:
                continue
            rollout.take_elapsed(view.elapsed_s, now)
            rollout.evidence.take(name, by_service.get(view.service_name, {}))
            if view.fault:
                rollout.take_fault(view.fault)
