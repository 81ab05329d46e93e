"""Composition root: creates the components of a daemon and connects them."""

from __future__ import annotations

import asyncio
import contextlib
import time

from loguru import logger

import radishmux.instances.http  # noqa: F401  Registers its driver.
import radishmux.store.etcd  # noqa: F401  Registers its driver.
from radishmux.clock import SystemClock
from radishmux.config.distribution import Distribution
from radishmux.config.state import ConfigState
from radishmux.dispatch.cell_runtime import CellRuntime
from radishmux.dispatch.cells import CellMap
from radishmux.dispatch.crashes import CrashMarks
from radishmux.dispatch.dispatcher import Dispatcher
from radishmux.dispatch.gate import DispatchGate
from radishmux.dispatch.observer import Observer
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.dispatch.versions import AttemptVersions
from radishmux.http.admin_app import AdminApp
from radishmux.http.caller_app import CallerApp
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.forwarder import PeerForwarder
from radishmux.http.metered_forwarder import MeteredForwarder
from radishmux.http.peer_app import PeerApp
from radishmux.http.request_flow import RequestFlow
from radishmux.http.server import SanicServer
from radishmux.instances.interface import Instance, instance_list_drivers
from radishmux.keys.check import KeyCheck
from radishmux.membership.heartbeats import Heartbeats
from radishmux.membership.roster import RosterLeaseManager
from radishmux.membership.view import MembershipView
from radishmux.once.ledger import RequestLedger
from radishmux.once.tickets import TicketIssuer
from radishmux.peer.bus import PeerBus
from radishmux.peer.notices import PeerNotices
from radishmux.settings.daemon import DaemonSettings
from radishmux.share.manager import ShareManager
from radishmux.share.share_table import ShareTable
from radishmux.shift.chooser import VersionChooser
from radishmux.shift.controller import Controller
from radishmux.shift.detector import Detector
from radishmux.shift.sync import ShiftSync
from radishmux.status import StatusReporter
from radishmux.steer.configured_blocks import ConfiguredBlocks
from radishmux.steer.links import LinkBudgets, LinkLimitedRegions
from radishmux.steer.loads import CellRegionLoads
from radishmux.steer.lookup import ANSWER_TTL_S, Lookup
from radishmux.steer.region import RegionChooser
from radishmux.steer.selector import SelectorTable
from radishmux.store.budget import BudgetedStore
from radishmux.store.interface import Store, store_drivers
from radishmux.store.relay import RelayedStore
from radishmux.telemetry import logs
from radishmux.telemetry.explain import Explainer
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.sampler import Sampler
from radishmux.telemetry.traces import Tracer

# Longest wait for requests in flight once callers' lookups have expired.
MAX_DRAIN_S = 60.0
_DRAIN_POLL_S = 0.05


class App:
    """All components of one daemon; an async context manager.

    Components are started in the order of their dependencies and stopped in
    the reverse order.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._was_ready = False
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._tracer = Tracer(
            settings.traces.sample_ratio,
            settings.traces.keep,
            settings.instance,
        )
        # Increases with each restart unless the wall clock is set back by more
        # than the duration of the restart.
        self._incarnation = time.time_ns() // 1_000_000
        self._own = Instance(
            instance=settings.instance,
            region=settings.region,
            failure_domain=settings.failure_domain,
            caller_address=settings.listen.caller,
            peer_address=settings.listen.peer,
            control_address=settings.listen.control,
        )

    async def __aenter__(self) -> App:
        logs.configure(
            self._settings.logs, self._settings.instance, self._settings.region
        )
        async with contextlib.AsyncExitStack() as stack:
            await self._enter_control(stack)
            await self._enter_steering(stack)
            await self._enter_requests(stack)
            self._stack = stack.pop_all()
        logs.state_change("instance", "started", incarnation=self._incarnation)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()
        logs.state_change("instance", "stopped")

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this instance.

        A starting instance is ready once all cells of its region have
        dispatchers. Later changes of dispatcher do not make it unready.
        """
        if not self._was_ready:
            self._was_ready = self._distribution.ready and all(
                self._view.cell_load(cell.name) is not None
                for cell in self._cells.all()
                if cell.region == self._own.region
            )
        return self._was_ready and not self._view.is_leaving(self._own.instance)

    def reload(self, settings: DaemonSettings) -> None:
        """Applies the settings that can change while the daemon runs."""
        logs.configure(settings.logs, settings.instance, settings.region)
        self._tracer.set_sample_ratio(settings.traces.sample_ratio)
        logger.info("settings reloaded")

    async def drain(self) -> None:
        """Announces the shutdown and waits until no caller uses this instance.

        Lookups stop returning the instance first. It serves requests until the
        lookup answers that named it have expired and the requests in flight
        have ended, at most MAX_DRAIN_S later. Then it releases its shares.
        """
        logs.state_change("instance", "leaving")
        self._view.set_leaving()
        await self._heartbeats.announce()
        await asyncio.sleep(ANSWER_TTL_S)
        try:
            async with asyncio.timeout(MAX_DRAIN_S):
                while self._in_flight:
                    await asyncio.sleep(_DRAIN_POLL_S)
        except TimeoutError:
            logs.state_change(
                "drain", "incomplete", "WARNING", in_flight=self._in_flight
            )
        await self._shares.release_all()

    @property
    def _in_flight(self) -> int:
        return (
            self._caller_app.in_flight
            + self._peer_app.in_flight
            + self._flow.in_flight_count
            + self._runtime.in_use
        )

    def _is_connected(self) -> bool:
        """Whether a version stopped elsewhere would be known here by now."""
        now = self._clock.now()
        return self._view.is_fresh(now) or self._view.store_out_for_all(now)

    async def _enter_control(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts membership, store and configuration."""
        settings, clock, metrics = self._settings, self._clock, self._metrics
        own = self._own
        self._view = MembershipView(own, self._incarnation, clock.now())
        self._bus = await stack.enter_async_context(
            PeerBus(own.instance, self._incarnation, own.control_address)
        )
        self._notices = PeerNotices(self._bus)
        self._store = await self._enter_store(stack)
        instance_list = await stack.enter_async_context(
            instance_list_drivers[settings.instance_list.driver](
                settings.instance_list.addresses, metrics
            )
        )
        self._heartbeats = await stack.enter_async_context(
            Heartbeats(
                self._view,
                self._bus,
                instance_list,
                clock,
                metrics,
                settings.instance_list.period_s,
            )
        )
        share_table = ShareTable(own.instance, self._incarnation)
        self._roster = await stack.enter_async_context(
            RosterLeaseManager(
                self._store, self._view, share_table, clock, metrics
            )
        )
        self._config = ConfigState()
        self._shares = await stack.enter_async_context(
            ShareManager(
                share_table, self._roster, self._view, self._bus, clock, metrics
            )
        )
        self._config.watch(lambda c: self._shares.set_customers(c.customers))
        self._config.watch(lambda c: self._view.set_config_version(c.version))
        self._distribution = await stack.enter_async_context(
            Distribution(
                self._store,
                self._config,
                self._bus,
                self._view,
                own,
                clock,
                metrics,
            )
        )

    async def _enter_store(self, stack: contextlib.AsyncExitStack) -> Store:
        driver = store_drivers[self._settings.store.driver]
        direct = await stack.enter_async_context(
            driver(self._settings.store.addresses, self._metrics)
        )
        budgeted = BudgetedStore(
            direct,
            lambda: len(self._view.live()),
            self._clock,
            self._metrics,
        )
        return RelayedStore(
            budgeted, self._bus, self._view, self._clock, self._metrics
        )

    async def _enter_steering(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts lookups, version choice and the dispatch of cells."""
        clock, metrics, own = self._clock, self._metrics, self._own
        self._tickets = TicketIssuer(own.instance, self._incarnation)
        self._selectors = SelectorTable(self._config)
        self._lookup = Lookup(
            own.region, self._config, self._selectors, self._view, self._tickets
        )
        self._blocks = ConfiguredBlocks(self._config)
        self._cells = CellMap(self._config, self._view)
        loads = CellRegionLoads(self._cells, self._view)
        self._links = LinkBudgets(
            own.region, self._config, self._view, clock.now()
        )
        self._regions = LinkLimitedRegions(
            own.region,
            RegionChooser(own.region, self._config, loads),
            self._links,
        )
        self._chooser = VersionChooser(self._config, Detector)
        await self._enter_shifts(stack, loads)
        gate = DispatchGate(clock, self._view)
        marks = CrashMarks()
        watchdog = ConnectionWatchdog()
        self._runtime = CellRuntime(
            instance=own.instance,
            incarnation=self._incarnation,
            region=own.region,
            clock=clock,
            cells=self._cells,
            members=self._view,
            gate=gate,
            marks=marks,
            watch=watchdog,
            send_message=self._notices.send_message,
            broadcast=self._notices.broadcast,
            metrics=metrics,
        )
        self._shares.add_release_listener(
            lambda release, sender: self._runtime.on_release(
                sender.instance, release
            )
        )
        self._notices.on_crash_report(self._runtime.on_crash_report)
        await stack.enter_async_context(self._runtime)
        self._heartbeats.set_loads_source(lambda: self._runtime.loads)
        self._keys = KeyCheck(self._config, self._view, metrics)
        self._dispatcher = Dispatcher(
            clock=clock,
            runtime=self._runtime,
            gate=gate,
            keys=self._keys,
            versions=AttemptVersions(self._chooser, self._config),
            observer=Observer(clock, self._chooser, metrics),
            marks=marks,
            watch=watchdog,
            metrics=metrics,
            tracer=self._tracer,
        )

    async def _enter_shifts(
        self, stack: contextlib.AsyncExitStack, loads: CellRegionLoads
    ) -> None:
        """Starts the propagation of shift steps and the shift controller."""
        await stack.enter_async_context(
            ShiftSync(
                store=self._store,
                bus=self._bus,
                config=self._config,
                chooser=self._chooser,
                metrics=self._metrics,
                is_connected=self._is_connected,
            )
        )
        await stack.enter_async_context(
            Controller(
                instance=self._own.instance,
                incarnation=self._incarnation,
                store=self._store,
                config=self._config,
                chooser=self._chooser,
                loads=loads,
                clock=self._clock,
                metrics=self._metrics,
            )
        )

    async def _enter_requests(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the request path and the HTTP servers."""
        clock, metrics, own = self._clock, self._metrics, self._own
        forwarder = await stack.enter_async_context(
            PeerForwarder(clock, metrics)
        )
        self._flow = RequestFlow(
            instance=own.instance,
            incarnation=self._incarnation,
            region=own.region,
            clock=clock,
            config=self._config,
            keys=self._keys,
            shares=self._shares,
            tickets=self._tickets,
            ledger=RequestLedger(self._tickets),
            selectors=self._selectors,
            regions=self._regions,
            cells=self._cells,
            dispatcher=self._dispatcher,
            forwarder=MeteredForwarder(
                forwarder, own.region, self._links, clock
            ),
            members=self._view,
            metrics=metrics,
        )
        self._caller_app = CallerApp(
            self._flow,
            self._lookup,
            self._blocks,
            self._keys,
            clock,
            metrics,
            self._tracer,
        )
        self._peer_app = PeerApp(self._flow, clock, metrics, self._tracer)
        status = StatusReporter(
            self._view, self._config, self._roster, self._runtime, clock
        )
        admin_app = AdminApp(
            metrics,
            self._tracer,
            lambda: self.is_ready,
            Explainer(self._tracer).explain,
            lambda: status.report(self.is_ready),
        )
        await stack.enter_async_context(
            Sampler(
                metrics,
                clock,
                self._bus.traffic,
                lambda: status.report(self.is_ready),
            )
        )
        listen = self._settings.listen
        connection_limit = ConnectionLimit()
        for application, address in (
            (self._peer_app.app, listen.peer),
            (admin_app.app, listen.admin),
            (self._caller_app.app, listen.caller),
        ):
            await stack.enter_async_context(
                SanicServer(application, address, connection_limit)
            )
