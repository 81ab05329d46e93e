"""Creates the parts of the gateway daemon and runs them together."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from types import TracebackType

import msgspec

from radishmux.clock import SystemClock
from radishmux.config.routing import CallerLimits
from radishmux.dispatch.crash_history import CrashHistory
from radishmux.duties.clocks import SystemDutyClock
from radishmux.gateway.contact_monitor import ContactMonitor
from radishmux.gateway.crash_archive import CrashArchive
from radishmux.gateway.crash_detector import CrashDetector
from radishmux.gateway.crash_guard import CrashGuard
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.duties import UsageDuty
from radishmux.gateway.events import (
    ConfigurationPut,
    Event,
    InstancePut,
    StoreListed,
)
from radishmux.gateway.fleet_clock import FleetClock
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.gossip_state import GossipState
from radishmux.gateway.guarded_sender import GuardedSender
from radishmux.gateway.head_check import HeadCheck, PeerCheck
from radishmux.gateway.holder_changes import HolderChanges
from radishmux.gateway.load_exchange import LoadExchange
from radishmux.gateway.rate_limiter import FleetRateLimiter
from radishmux.gateway.rejection_log import RejectionLog
from radishmux.gateway.relay_service import RelayService
from radishmux.gateway.reports import FleetReports
from radishmux.gateway.request_flow import RequestFlow
from radishmux.gateway.request_relay import RequestRelay
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.gateway.rollouts import Rollouts
from radishmux.gateway.send_permits import SendPermits
from radishmux.gateway.sender import ServerSender
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.gateway.shortage_log import ShortageLog
from radishmux.gateway.token_log import TokenLog
from radishmux.gateway.usage_exchange import HAND_OVER_S
from radishmux.gateway.verdict_archive import VerdictArchive
from radishmux.gateway.waiting_requests import WaitingRequests
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.incoming import IncomingRequest
from radishmux.http.memory_budget import MemoryBudget, budget_bytes
from radishmux.http.pipelined import PipelinedServer
from radishmux.http.response import Response
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord, capacity_per_s
from radishmux.membership.registrar import Registrar
from radishmux.peer.bus import PeerBus
from radishmux.platform import dialect, keys
from radishmux.platform.directory import DirectoryHandler, ReadyHandler
from radishmux.platform.duties_api import DutiesApi
from radishmux.platform.store import PlatformStore
from radishmux.settings.gateway import GatewaySettings
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holders import TokenHolders
from radishmux.share.server_limits import ServerLimits
from radishmux.steer.cold_pace import ColdRateLimiter
from radishmux.steer.directory import LOOKUP_TTL_S, nearest
from radishmux.steer.placement import Placement
from radishmux.steer.server_contact import ServerContact
from radishmux.store.mirror import StoreMirror
from radishmux.tasks import repeat
from radishmux.telemetry import logs
from radishmux.telemetry.log_stream import BoundedLogStream
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

HOUSEKEEPING_PERIOD_S = 0.25
_DRAIN_POLL_S = 0.05
# Callers may use an answer of the directory until its time to live is over.
# An instance that is leaving still accepts their connections for this long.
_CALLER_NOTICE_S = LOOKUP_TTL_S
# Time reserved for closing connections before the platform sends SIGKILL.
_KILL_MARGIN_S = 0.6


class GatewayApp:
    """One gateway daemon; an async context manager that runs its parts."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._leaving = False
        self._contact = ServerContact()
        self._rng = random.Random()
        self._members: frozenset[str] = frozenset()
        self._budget = MemoryBudget(budget_bytes(settings.memory_mb))
        self._connections = ConnectionLimit(settings.max_fds)
        self._rejections = RejectionLog(self._clock, self._metrics)
        self._callers: PipelinedServer | None = None
        self._relay_server: PipelinedServer | None = None
        self._waiting: WaitingRequests | None = None
        self._usage_duty: UsageDuty | None = None
        self._record = InstanceRecord(
            instance=settings.instance,
            incarnation=time.time_ns() // 1_000_000,
            region=settings.region,
            failure_domain=settings.failure_domain,
            caller_address=settings.listen.caller,
            peer_address=f"{settings.ip}:{settings.listen.peer_ports[0]}",
            relay_address=_relay_address(settings),
            capacity=capacity_per_s(
                settings.cpu_share * settings.cores, settings.link_mbps
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this instance."""
        return (
            not self._leaving
            and self._callers is not None
            and self._mirror.is_loaded
            and self._fleet.routes is not None
        )

    async def __aenter__(self) -> GatewayApp:
        async with contextlib.AsyncExitStack() as stack:
            await self._start_state(stack)
            await self._start_request_path(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        state_change("instance", "stopped")
        await self._stack.aclose()

    def reload(self, settings: GatewaySettings) -> None:
        """Applies changed log settings and regions of failure domains.

        All other settings take effect at the next start.
        """
        logs.configure(
            settings.logs, settings.instance, settings.region, self._stream
        )
        self._fleet.servers.set_regions(settings.regions)
        state_change("settings", "reloaded")

    async def drain(self) -> None:
        """Stops serving: announces the shutdown and waits for open requests.

        The instance accepts connections until callers know that it is
        leaving. Requests that are still in flight at the end of the grace
        period are cancelled when the daemon exits.
        """
        started_at = self._clock.now()
        self._leaving = True
        state_change("instance", "leaving")
        if self._usage_duty is not None:
            self._usage_duty.leave()
        await self._reports.announce()
        withdrawal = asyncio.create_task(self._registrar.withdraw())
        self._callers.drain()
        if self._relay_server is not None:
            self._relay_server.drain()
        grace_s = self._settings.bounds.grace_s - _KILL_MARGIN_S
        if self._waiting is not None:
            self._waiting.stop_by(started_at + grace_s)
        await asyncio.sleep(min(_CALLER_NOTICE_S, grace_s / 2))
        self._callers.stop_listening()
        # Those that were accepted since, and on which no request has come.
        self._callers.drain()
        drain_until = started_at + grace_s
        if self._usage_duty is not None:
            drain_until -= HAND_OVER_S
        while self._busy_connections and self._clock.now() < drain_until:
            await asyncio.sleep(_DRAIN_POLL_S)
        if self._usage_duty is not None:
            await self._usage_duty.hand_over()
        withdrawal.cancel()
        state_change("drain", "complete", in_flight=self._busy_connections)

    @property
    def _busy_connections(self) -> int:
        """Connections of callers and peers with requests in flight."""
        servers = (self._callers, self._relay_server)
        return sum(one.busy_connections for one in servers if one is not None)

    async def _start_state(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts logging, the store's mirror, membership and token holders."""
        settings = self._settings
        self._stream = await stack.enter_async_context(BoundedLogStream())
        logs.configure(
            settings.logs, settings.instance, settings.region, self._stream
        )
        state_change(
            "instance", "started", incarnation=self._record.incarnation
        )
        self._store = await stack.enter_async_context(
            PlatformStore(settings.store.address, self._clock)
        )
        self._fleet = FleetState(keys.decode_event, settings.regions)
        self._rates = FleetRates(
            settings.bounds.quota_overrun,
            settings.bounds.quota_slack,
            settings.instance,
        )
        self._cold_limiter = ColdRateLimiter(settings.instance)
        self._limits = ServerLimits()
        self._retry_budgets = RetryBudgets(settings.bounds)
        self._placement = Placement(
            settings.region, settings.failure_domain, settings.regions
        )
        self._rollouts = await stack.enter_async_context(
            Rollouts(
                self._store,
                keys.status_key,
                keys.encode_status,
                settings.bounds,
                settings.instance,
                self._instance_names,
                self._clock,
            )
        )
        verdict_archive = await stack.enter_async_context(
            VerdictArchive(
                self._store,
                keys.verdicts_key,
                self._rollouts.verdicts,
                lambda: self._instance_names().index(settings.instance),
                self._clock,
            )
        )
        self._peers = Peers(self._record)
        bus = await stack.enter_async_context(
            PeerBus(
                settings.instance,
                self._record.incarnation,
                self._record.peer_address,
            )
        )
        self._fleet.add_listener(self._on_event)
        self._fleet.add_listener(self._rollouts.on_event)
        self._fleet.add_listener(verdict_archive.on_event)
        self._mirror = StoreMirror(
            self._store, keys.WATCHED_PREFIX, self._fleet, self._clock
        )
        holders = TokenHolders(settings.instance)
        self._crash_guard = CrashGuard(
            self._record,
            CrashHistory(),
            self._peers,
            bus,
            CrashArchive(self._store, keys.crashes_key, self._clock),
            self._metrics,
            self._clock,
        )
        self._fleet.add_listener(self._crash_guard.on_event)
        self._placement = Placement(
            settings.region, settings.failure_domain, settings.regions
        )
        self._loads = LoadExchange(
            settings.region,
            self._fleet.servers,
            self._placement,
            settings.share_server_loads,
            self._clock,
            self._metrics,
        )
        gossip_state = GossipState(
            self._record,
            self._peers,
            self._rates,
            self._rollouts,
            self._mirror,
            lambda: self._leaving,
            self._clock,
            lambda: self._contact.is_lost,
            self._crash_guard,
            self._loads,
        )
        holder_changes = HolderChanges(
            self._record,
            self._rates,
            gossip_state,
            holders,
            self._peers,
            bus,
            self._clock,
        )
        duty_clock = SystemDutyClock()
        fleet_clock = FleetClock(self._record, self._peers, duty_clock)
        self._registrar = Registrar(
            self._store,
            keys.instance_key(settings.instance),
            msgspec.json.encode(self._record),
            self._clock,
            settings.store.min_lease_s,
        )
        self._reports = FleetReports(
            self._record,
            bus,
            self._peers,
            self._rates,
            holders,
            holder_changes,
            gossip_state,
            lambda: self._registrar.is_registered,
            TokenLog(self._metrics),
            self._clock,
            frozenset(settings.regions.values()),
            settings.full_mesh_max,
            fleet_clock if settings.duties.reports_usage else None,
        )
        if settings.duties.reports_usage:
            self._usage_duty = UsageDuty(
                settings.duties,
                settings.store.min_lease_s,
                self._record,
                self._store,
                DutiesApi(
                    settings.duties.address or "",
                    settings.instance,
                    self._clock,
                ),
                self._peers,
                bus,
                self._reports,
                fleet_clock,
                duty_clock,
                self._clock,
                self._metrics,
            )
            self._fleet.add_listener(self._usage_duty.on_event)
        self._crash_guard.announce = self._reports.announce_crash
        await stack.enter_async_context(self._mirror)
        await stack.enter_async_context(holder_changes)
        await stack.enter_async_context(self._reports)
        self._rate_limiter = FleetRateLimiter(
            self._rates,
            holders,
            holder_changes,
            bus,
            self._reports.on_connection_refused,
            self._clock,
            lambda: gossip_state.is_settled,
        )
        self._permits = SendPermits(
            self._record,
            self._limits,
            holders,
            self._peers,
            bus,
            self._reports.on_connection_refused,
            self._metrics,
            self._clock,
        )
        if self._usage_duty is not None:
            await stack.enter_async_context(self._usage_duty)
        await stack.enter_async_context(self._registrar)

    async def _start_request_path(
        self, stack: contextlib.AsyncExitStack
    ) -> None:
        """Starts the path of requests, the listeners and housekeeping."""
        settings, clock = self._settings, self._clock
        placement = self._placement
        self._sender = ServerSender(
            self._fleet,
            placement,
            self._cold_limiter,
            self._contact,
            self._permits,
            self._rollouts,
            dialect,
            clock,
            self._metrics,
            self._loads,
            self._usage_duty.counter if self._usage_duty else None,
            settings.hedge_by_durations,
        )
        stack.push_async_callback(self._sender.close)
        decision_log = DecisionLog(
            self._stream,
            settings.instance,
            lambda: self._config_version,
            self._metrics,
        )
        chooser = ServerChooser(
            self._fleet,
            self._rollouts,
            placement,
            self._sender,
            self._crash_guard,
            settings.hedge_by_durations,
        )
        guarded_sender = GuardedSender(
            self._sender,
            self._crash_guard,
            CrashDetector(
                self._record,
                self._fleet,
                self._sender.connections,
                self._sender.response_age_s,
                clock,
            ),
            clock,
        )
        self._relay = RequestRelay(
            self._record, self._peers, clock, self._metrics
        )
        stack.push_async_callback(self._relay.close)
        if settings.admission.max_waiting > 0:
            self._waiting = WaitingRequests(
                chooser,
                self._contact,
                settings.admission,
                clock,
                ShortageLog(self._metrics),
            )
        flow = RequestFlow(
            self._fleet,
            chooser,
            self._sender,
            guarded_sender,
            self._rate_limiter,
            self._retry_budgets,
            dialect,
            clock,
            decision_log,
            self._contact,
            self._relay,
            self._waiting,
        )
        relay_service = RelayService(
            self._record,
            self._peers,
            self._fleet,
            self._contact,
            chooser,
            guarded_sender,
            dialect,
            clock,
            decision_log,
        )
        await stack.enter_async_context(
            ContactMonitor(
                self._contact,
                self._fleet,
                self._sender,
                settings.region,
                settings.failure_domain,
                self._reports.announce,
                clock,
            )
        )
        if self._record.relay_address:
            self._relay_server = await stack.enter_async_context(
                PipelinedServer(
                    self._record.relay_address,
                    relay_service.handle,
                    CallerLimits(),
                    on_rejected=self._rejections.record,
                    budget=self._budget,
                    connection_limit=self._connections,
                    check_head=PeerCheck(self._peers).refuse,
                )
            )
        listen = settings.listen
        directory = DirectoryHandler(self._resolve)
        ready = ReadyHandler(lambda: self.is_ready)
        for address, handler in (
            (listen.ready, ready.handle),
            (listen.directory, directory.handle),
            (listen.metrics, self._metrics_page),
        ):
            if not address:
                continue
            await stack.enter_async_context(
                PipelinedServer(
                    address,
                    handler,
                    on_rejected=self._rejections.record,
                    budget=self._budget,
                    connection_limit=self._connections,
                    takes_bodies=False,
                )
            )
        self._callers = await stack.enter_async_context(
            PipelinedServer(
                listen.caller,
                flow.handle,
                on_rejected=self._rejections.record,
                on_not_started=flow.record_not_started,
                budget=self._budget,
                connection_limit=self._connections,
                check_head=HeadCheck(
                    self._fleet, dialect, clock, decision_log
                ).refuse,
            )
        )
        self._apply_caller_limits()
        task = asyncio.create_task(
            repeat(self._housekeeping, HOUSEKEEPING_PERIOD_S, "housekeeping")
        )
        stack.callback(task.cancel)

    @property
    def _config_version(self) -> int:
        routes = self._fleet.routes
        return routes.configuration.version if routes else 0

    def _instance_names(self) -> list[str]:
        """Returns the names of the registered instances, sorted."""
        return sorted({*self._fleet.instances, self._settings.instance})

    async def _metrics_page(self, request: IncomingRequest) -> Response:
        """Returns the metrics in the text format of Prometheus."""
        now = self._clock.now()
        metrics = self._metrics
        metrics.set("gateway_caller_memory_bytes", self._budget.used_bytes)
        metrics.set("gateway_open_connections", self._connections.count)
        metrics.set("gateway_store_calls", self._store.calls)
        age_s = self._mirror.contact_age_s(now)
        metrics.set("gateway_store_contact_age_seconds", age_s)
        servers = sum(1 for _ in self._fleet.servers.all())
        metrics.set("gateway_servers", servers)
        metrics.set("gateway_server_contact", not self._contact.is_lost)
        response_age_s = self._sender.response_age_s(now)
        metrics.set("gateway_server_response_age_seconds", response_age_s)
        suspected = self._crash_guard.suspected_count
        metrics.set("gateway_requests_suspected", suspected)
        waiting = self._waiting.count if self._waiting is not None else 0
        metrics.set("gateway_requests_waiting", waiting)
        metrics.set("gateway_servers_limited", self._limits.limited_count)
        routes = self._fleet.routes
        problems = routes.configuration.problems if routes else ()
        metrics.set("gateway_configuration_problems", len(problems))
        metrics.set("gateway_server_loads_known", self._loads.known_count)
        metrics.set("gateway_store_fed", self._mirror.is_fed(now))
        metrics.set("gateway_peers_heard", self._peers.heard_count(now))
        metrics.set("gateway_log_lines_dropped", self._stream.dropped)
        body, content_type = metrics.render()
        return Response(200, [("Content-Type", content_type)], body)

    def _on_event(self, event: Event, now: float) -> None:
        if isinstance(event, ConfigurationPut) and self._fleet.routes:
            configuration = self._fleet.routes.configuration
            self._apply_caller_limits()
            self._rates.set_customers(configuration.customers, now)
            self._cold_limiter.set_rates(
                {
                    name: terms.cold_per_s
                    for name, terms in configuration.services.items()
                }
            )
        if isinstance(event, InstancePut):
            self._update_members(now)
        if isinstance(event, StoreListed):
            self._reports.join()
            if not self._peers.records:
                self._crash_guard.set_alone()

    def _apply_caller_limits(self) -> None:
        """Applies the configuration's limits on the requests of callers.

        The configuration may be read before the listener has been started.
        """
        if self._callers is not None and self._fleet.routes is not None:
            self._callers.limits = self._fleet.routes.configuration.limits

    def _update_members(self, now: float) -> None:
        self._peers.set_records(self._fleet.instances.values(), now)
        self._reports.update_members()
        names = frozenset(self._peers.records) | {self._settings.instance}
        if names == self._members:
            return
        self._members = names
        self._cold_limiter.set_instances(names)
        self._retry_budgets.set_instances(len(names))
        self._placement.set_region_instances(self._count_region(names))

    def _count_region(self, names: frozenset[str]) -> int:
        """Returns how many of the named instances are in the own region."""
        records = self._peers.records
        region = self._settings.region
        return 1 + sum(
            records[name].region == region for name in names if name in records
        )

    async def _housekeeping(self) -> None:
        now = self._clock.now()
        # Without the store, a missing entry does not mean that its server has
        # gone, or that an order was withdrawn.
        if not self._mirror.is_store_unreachable(now):
            self._fleet.expire(now)
        self._update_members(now)
        self._sender.prune()
        self._relay.prune()
        self._crash_guard.expire()

    def _resolve(
        self, region: str, failure_domain: str
    ) -> tuple[list[InstanceRecord], float]:
        instances = self._peers.usable(self._clock.now())
        if not self._leaving:
            instances.append(self._record)
        ttl_s = min(LOOKUP_TTL_S, self._settings.bounds.lookup_ttl_s)
        found = nearest(
            instances, region, failure_domain, self._rng, self._is_cut_off
        )
        return found, ttl_s

    def _is_cut_off(self, instance: str) -> bool:
        """Whether an instance, also this one, reaches no backend server."""
        if instance == self._settings.instance:
            return self._contact.is_lost
        return self._peers.is_cut_off(instance)


def _relay_address(settings: GatewaySettings) -> str:
    """Returns the address for relayed requests; empty if no port is left."""
    first, last = settings.listen.peer_ports[:2]
    return f"{settings.ip}:{last}" if last != first else ""
