"""Connects the duties of this instance to the store, the peers and the API."""

from __future__ import annotations

import contextlib
import math
from types import TracebackType

from radishmux.clock import Clock
from radishmux.duties.clocks import DutyClock
from radishmux.duties.expected_sources import ExpectedSources
from radishmux.duties.holder import Change, DutyHolder
from radishmux.duties.record import DutyRecord
from radishmux.duties.report_queue import ReportQueue
from radishmux.duties.stored_bodies import StoredBodies
from radishmux.duties.usage_collector import Sources, source_id
from radishmux.duties.usage_counter import UsageCounter
from radishmux.duties.usage_outbox import UsageOutbox
from radishmux.duties.windows import WindowTerms
from radishmux.gateway.duty_tenure import DutyStore, DutyTenure
from radishmux.gateway.events import (
    DutyPut,
    Event,
    StoreListed,
    UsagePut,
)
from radishmux.gateway.fleet_clock import FleetClock
from radishmux.gateway.reports import FleetReports
from radishmux.gateway.usage_exchange import UsageExchange
from radishmux.gateway.usage_reporter import UsageApi, UsageReporter
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer.bus import PeerBus
from radishmux.platform import keys
from radishmux.platform.duties_api import USAGE_REPORT, encode_report
from radishmux.settings.gateway import DutySettings
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.metrics import Metrics

# Instances are noted as registered this often; much shorter than a window.
_PERIOD_S = 1.0
_MILLISECONDS = 1000


class UsageDuty(BackgroundTask):
    """The duty to report the usage; an async context manager.

    Args:
        settings: Terms of the duty, all of them known.
        min_lease_s: Shortest lease that the store grants, in seconds.
        own: Record of this instance.
        store: The store.
        api: Takes the reports.
        peers: The other instances.
        bus: Connections to the peers.
        reports: Tells which peers are hubs.
        fleet_clock: The true time.
        duty_clock: The clocks of this machine.
        clock: Monotonic time.
        metrics: Counts windows and calls.
    """

    def __init__(
        self,
        settings: DutySettings,
        min_lease_s: float,
        own: InstanceRecord,
        store: DutyStore,
        api: UsageApi,
        peers: Peers,
        bus: PeerBus,
        reports: FleetReports,
        fleet_clock: FleetClock,
        duty_clock: DutyClock,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        assert settings.lease_s is not None
        self._own = own
        self._store = store
        self._peers = peers
        self._reports = reports
        self._fleet_clock = fleet_clock
        self._duty_clock = duty_clock
        self._clock = clock
        self._metrics = metrics
        self._record: DutyRecord | None = None
        self._record_revision = 0
        self._era = 0
        # Instances among which the rank of this one was computed.
        self._ranked: frozenset[str] = frozenset()
        self._restored_at = -math.inf
        self._stack = contextlib.AsyncExitStack()
        self._terms = terms = WindowTerms(
            settings.report_window_s or 1.0, settings.usage_late_s or 1.0
        )
        self._counter = UsageCounter(lambda: terms.window_at(fleet_clock.now()))
        self._outbox = UsageOutbox(
            self._counter, terms, own.incarnation / _MILLISECONDS
        )
        self._expected = ExpectedSources(terms)
        self._bodies = StoredBodies()
        self._queue = ReportQueue(
            terms, self._expected, self._bodies, encode_report
        )
        ttl_s = max(math.ceil(settings.lease_s), math.ceil(min_lease_s))
        self._holder = DutyHolder(
            own.instance,
            own.incarnation,
            ttl_s,
            settings.thaw_slack_s or 0.0,
            max(settings.lease_s, ttl_s),
            duty_clock.read(),
        )
        self._tenure = DutyTenure(
            USAGE_REPORT,
            keys.duty_key(USAGE_REPORT),
            self._holder,
            own.instance,
            own.incarnation,
            ttl_s,
            store,
            duty_clock,
            self._on_change,
        )
        self._exchange = UsageExchange(
            own,
            self._outbox,
            bus,
            lambda: reports.plan,
            self._current_holder,
            self._may_take,
            self._add,
            fleet_clock.now,
        )
        self._reporter = UsageReporter(
            self._tenure,
            self._queue,
            self._bodies,
            terms,
            keys.usage_key,
            store,
            api,
            settings.calls_per_s or 1.0,
            fleet_clock.now,
            clock,
            metrics,
        )
        metrics.set("gateway_duties_held", 0, duty=USAGE_REPORT)

    @property
    def counter(self) -> UsageCounter:
        """Counts the requests that this instance sends to servers."""
        return self._counter

    @property
    def token(self) -> int:
        """The fencing token; 0 while the duty is not held."""
        return self._tenure.token

    async def __aenter__(self) -> UsageDuty:
        async with contextlib.AsyncExitStack() as stack:
            for part in (self._tenure, self._exchange, self._reporter):
                await stack.enter_async_context(part)
            self._stack = stack.pop_all()
        await super().__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await super().__aexit__(kind, error, trace)
        await self._stack.aclose()

    def on_event(self, event: Event, now: float) -> None:
        """Takes an event of the store."""
        if isinstance(event, DutyPut) and event.duty == USAGE_REPORT:
            self._record = event.record
            self._record_revision = event.revision
            self._tenure.on_record(event.record, event.revision)
        elif isinstance(event, UsagePut):
            self._outbox.on_stored(event.window)
            self._reporter.on_stored(event.window, event.body)
        elif isinstance(event, StoreListed) and self._record is None:
            # No holder has ever been known.
            self._tenure.on_record(None, 0)

    def leave(self) -> None:
        """Releases the duty, so that another instance acquires it."""
        self._tenure.leave()

    async def hand_over(self) -> None:
        """Sends the counts of the open window to the holder."""
        await self._exchange.hand_over()

    async def _run(self) -> None:
        await repeat(self._step, _PERIOD_S, "duties")

    async def _step(self) -> None:
        now = self._fleet_clock.now()
        self._follow_era(now)
        self._fleet_clock.prune()
        incarnations = {
            name: record.incarnation
            for name, record in self._peers.records.items()
        }
        incarnations[self._own.instance] = self._own.incarnation
        self._expected.update(incarnations, now)
        if incarnations.keys() != self._ranked:
            self._ranked = frozenset(incarnations)
            self._holder.set_rank(self._rank())
        self._holder.set_heard(self._is_half_heard(), self._duty_clock.read())
        self._metrics.set(
            "gateway_fleet_time_lead_seconds", self._fleet_clock.lead_s
        )
        self._metrics.set("gateway_usage_changes_missed", self._counter.missed)

    def _is_half_heard(self) -> bool:
        """Whether this instance and those that it hears are half of all.

        In a fleet with hubs it hears those of its region and the other hubs.
        """
        now = self._clock.now()
        names = self._reports.plan.monitored
        heard = sum(self._peers.is_reachable(name, now) for name in names)
        return 2 * (1 + heard) >= 1 + len(names)

    def _rank(self) -> int:
        """Returns how many instances should try to get the duty before."""
        own = source_id(USAGE_REPORT + self._own.instance, 0)
        return sum(
            source_id(USAGE_REPORT + name, 0) < own for name in self._ranked
        )

    def _follow_era(self, now: float) -> None:
        """Notes until when the store may have been restored.

        A process that has started since cannot know when.
        """
        era = self._store.era
        if era != self._era:
            is_first = self._era == 0 and era <= 1
            self._restored_at = -math.inf if is_first else now
            self._era = era

    def _on_change(self, change: Change) -> None:
        is_held = change is Change.HELD
        self._metrics.set(
            "gateway_duties_held", int(is_held), duty=USAGE_REPORT
        )
        if is_held:
            now = self._fleet_clock.now()
            self._follow_era(now)
            self._queue.begin(now, self._restored_at)

    def _current_holder(self) -> tuple[str, int]:
        """Returns the name and the token of the holder that is known."""
        if self._tenure.token:
            return self._own.instance, self._tenure.token
        if self._record is None:
            return "", 0
        return self._record.holder, self._record_revision

    def _may_take(self, token: int) -> bool:
        return token == self._tenure.token and self._tenure.may_act()

    def _add(
        self, window: int, sources: Sources, counts: dict[str, int]
    ) -> Sources:
        return self._queue.collector.add(window, sources, counts)
