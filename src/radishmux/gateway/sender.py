"""Sends requests to backend servers and records their outcomes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from radishmux.clock import Clock
from radishmux.config.routing import HostRoute
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.duties.usage_counter import UsageCounter
from radishmux.gateway.call import Call, Dialect, ExecutionReport
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.load_exchange import LoadExchange
from radishmux.gateway.rollouts import Rollouts
from radishmux.gateway.send_permits import SendPermits
from radishmux.gateway.server_connections import ServerConnections
from radishmux.http.incoming import CALLER_LEFT
from radishmux.steer.cold_pace import ColdRateLimiter
from radishmux.steer.duration_histogram import DurationHistogram
from radishmux.steer.hedging import MIN_EXPECTED_S
from radishmux.steer.placement import Choice, Placement, object_key
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.server_state import LoadReport
from radishmux.steer.servers import Server
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Verdict


class Attempt:
    """One attempt to send a request to a server.

    Attributes:
        call: The caller's request.
        route: The request's route.
        customer: Name of the customer; empty if the request needs no key.
        choice: The chosen server, with the expected times.
        deadline: Monotonic time until which an answer is useful.
        digest: The same for equal requests; see `request_digest`.
        service_digest: The same for equal requests to the service; empty if
            older builds need not recognize the request.
        is_suspected: Whether servers crashed under the request before, so that
            another crash is no evidence on the server's version.
        obstacle: Returns why the request must not be sent any more; empty if
            it may be.
        sent_at: Monotonic time at which it was sent to the server; None if it
            has not been.
        usage_window: Window of the usage report in which it was sent.
    """

    __slots__ = (
        "call",
        "choice",
        "customer",
        "deadline",
        "digest",
        "is_suspected",
        "obstacle",
        "route",
        "sent_at",
        "service_digest",
        "usage_window",
    )

    def __init__(
        self,
        *,
        call: Call,
        route: HostRoute,
        customer: str,
        choice: Choice,
        deadline: float,
        digest: str,
        service_digest: str = "",
    ) -> None:
        self.digest = digest
        self.service_digest = service_digest
        self.is_suspected = False
        self.obstacle: Callable[[], str] = lambda: ""
        self.sent_at: float | None = None
        self.usage_window = -1
        self.call = call
        self.route = route
        self.customer = customer
        self.choice = choice
        self.deadline = deadline


class ServerSender:
    """Sends requests over its connections to all backend servers.

    Each outcome updates the observed state of the server, the work times of
    the route and the evidence on the server's version.

    Args:
        fleet: The servers and the configuration.
        placement: Holds the observed states and work times of servers.
        cold_limiter: Bounds the requests to cold servers.
        contact: Updated with what connections and responses show.
        permits: Keeps to the limits that servers name in their responses.
        rollouts: Collects the outcomes of each version.
        dialect: Translates the headers of servers.
        clock: Monotonic time.
        metrics: Counts the outcomes of attempts.
        loads: Shares the loads of servers; None: they are not shared.
        usage: Counts the requests that were sent; None: nobody reports them.
        records_durations: Whether durations are recorded, which only hedging
            by durations uses.
    """

    def __init__(
        self,
        fleet: FleetState,
        placement: Placement,
        cold_limiter: ColdRateLimiter,
        contact: ServerContact,
        permits: SendPermits,
        rollouts: Rollouts,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        loads: LoadExchange | None = None,
        usage: UsageCounter | None = None,
        records_durations: bool = True,
    ) -> None:
        self._records_durations = records_durations
        self._loads = loads
        self._usage = usage
        self._metrics = metrics
        self._fleet = fleet
        self._placement = placement
        self._cold_limiter = cold_limiter
        self._contact = contact
        self._permits = permits
        self._rollouts = rollouts
        self._dialect = dialect
        self._clock = clock
        self._last_response_at = clock.now()
        # Servers whose connections have failed since one was opened: the end of
        # the cold time before that, and the one that was assumed then.
        self._suspects: dict[str, tuple[Server, float, float]] = {}
        self._connections = ServerConnections(
            contact, self._suspects.clear, clock, metrics
        )

    @property
    def connections(self) -> ServerConnections:
        """The connections to all servers."""
        return self._connections

    def response_age_s(self, now: float) -> float:
        """Returns the time since a server last responded, or the start."""
        return now - self._last_response_at

    def on_contact_lost(self) -> None:
        """Forgets the failures that the loss of all servers explains.

        They say nothing about the servers, which are used again at the end of
        the partition, and before it over open connections. Requests that wait
        for a connection are given another way.
        """
        self._connections.give_up_connecting()
        for server, cold_until, assumed in self._suspects.values():
            self._placement.state_of(server).undo_connection_failures()
            if server.cold_until == assumed:
                server.cold_until = cold_until
        self._suspects.clear()

    def learn_from_relayed(self, name: str, response: ServerResponse) -> None:
        """Records what a response that came through a peer says of its server.

        Args:
            name: Name of the server.
            response: Its response.
        """
        server = self._fleet.servers.get(name)
        report = self._dialect.read_report(response)
        is_leaving = report.is_leaving and not report.misdirected
        if server is None:
            if is_leaving:
                self._fleet.servers.record_unknown_leaving(
                    name, self._clock.now()
                )
            return
        if is_leaving:
            self._record_leaving(server)
        self._record_limit(server, report)

    def refusing_servers(self, service: str, now: float) -> list[str]:
        """Returns the servers that have said that they take nothing now.

        They are about to leave, or asked this instance for rest.
        """
        return [
            server.name
            for server in self._fleet.servers.all()
            if server.entry.service == service
            and (
                server.is_leaving
                or self._placement.state_of(server).rest_until > now
            )
        ]

    def may_send(self, server: Server, now: float) -> bool:
        """Whether a server may get a request now; cold ones have a limit."""
        if now < server.cold_until:
            return self._cold_limiter.allows(server, now)
        return True

    def accepted_per_s(self, server: Server, now: float) -> float:
        """Returns the requests per second that a server may get.

        It is inf unless the server is cold.
        """
        if not server.is_cold(now):
            return math.inf
        return self._cold_limiter.rate_per_s(server)

    def needs_permit(self, server: Server) -> bool:
        """Whether a server names a limit, so that requests may be denied."""
        return self._permits.is_required(server)

    def prune(self) -> None:
        """Closes idle connections that are about to expire.

        Also drops the connections and observed states of removed servers.
        """
        names = {server.name for server in self._fleet.servers.all()}
        self._connections.prune(names)
        self._placement.retain_only(names)
        self._permits.retain_only(names)

    async def send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        """Sends a request once.

        Returns:
            The response of a server that ran the request, or why there is
            none.
        """
        outcome = await self._send(attempt)
        if isinstance(outcome, NoResponse):
            outcome_name = outcome.reason
            if outcome.verdict is Verdict.NOT_RUN:
                self._revert_usage(attempt)
        else:
            outcome_name = f"status {outcome.status}"
        self._metrics.count(
            "gateway_attempts_total",
            service=attempt.choice.server.entry.service,
            outcome=outcome_name,
        )
        return outcome

    async def _send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        server = attempt.choice.server
        server_state = self._placement.state_of(server)
        if attempt.call.has_caller_left():
            return NotSent(CALLER_LEFT)
        if self._permits.is_required(server):
            wait_s = await self._permits.acquire(server)
            if wait_s > 0:
                server_state.pause_until(self._clock.now() + wait_s)
                return NotSent("limited")
        now = self._clock.now()
        if server.is_cold(now) and not self._cold_limiter.try_acquire(
            server, now
        ):
            return NoResponse("cold_pace", Verdict.NOT_RUN)
        server_state.record_sent(now)
        self._contact.record_sent(server.name, now)
        sent_at = now
        try:
            outcome = await self._exchange(attempt, server)
        except asyncio.CancelledError:
            self._record_cancelled(attempt, self._clock.now() - sent_at)
            raise
        finally:
            server_state.record_end()
            self._contact.record_end(server.name)
        now = self._clock.now()
        if isinstance(outcome, NoResponse):
            self._record_failure(attempt, outcome, now)
            return outcome
        self._contact.record_response(now)
        self._last_response_at = now
        report = self._dialect.read_report(outcome)
        if report.load is not None:
            server_state.apply_load_report(report.load, now)
            self._share_load(server, report, now)
        if report.is_leaving and not report.misdirected:
            self._record_leaving(server)
        self._record_limit(server, report)
        if report.rest_s > 0:
            self._record_rest(server, report.rest_s, now)
        else:
            server_state.record_acceptance(now)
        if report.verdict is Verdict.NOT_RUN:
            return self._record_not_run(server, report, outcome, now)
        if outcome.status < 400 and not report.is_authentic:
            server_state.record_failure(now)
            self._record_version_outcome(attempt, True, 0.0)
            return NoResponse("altered_response", Verdict.MAY_HAVE_RUN)
        self._record_response(attempt, outcome, now - sent_at, now)
        return outcome

    def _share_load(
        self, server: Server, report: ExecutionReport, now: float
    ) -> None:
        """Lets the other instances know the load that a server reported."""
        if self._loads is None or report.load is None or report.misdirected:
            return
        is_shed = report.verdict is Verdict.NOT_RUN and report.rest_s <= 0
        self._loads.record_response(server, report.load, is_shed, now)

    async def _exchange(
        self, attempt: Attempt, server: Server
    ) -> ServerResponse | NoResponse:
        call = attempt.call
        connections = self._connections.pool(server)
        one_way_s = self._placement.round_trip_s(server) / 2
        remaining_s = attempt.deadline - self._clock.now() - one_way_s
        payload = self._dialect.encode_request(
            call, server.name, attempt.customer, remaining_s
        )
        return await connections.send(
            payload,
            attempt.deadline,
            call.method == "HEAD",
            lambda headers: self._dialect.is_response_to(call, headers),
            lambda: self._before_send(attempt, server),
        )

    def _before_send(self, attempt: Attempt, server: Server) -> str:
        """Returns why a request must not be sent now; empty if it is sent.

        Much may have changed while a permit or a connection was awaited.
        """
        reason = attempt.obstacle() or self._obstacle(attempt.call, server)
        if not reason:
            attempt.sent_at = self._clock.now()
            self._count_usage(attempt)
        return reason

    def _count_usage(self, attempt: Attempt) -> None:
        call = attempt.call
        if self._usage is not None and not call.is_counted_elsewhere:
            call.usage, attempt.usage_window = self._usage.record_sent(
                call.usage, attempt.customer
            )

    def _revert_usage(self, attempt: Attempt) -> None:
        usage = attempt.call.usage
        if self._usage is not None and usage is not None:
            self._usage.record_not_run(usage, attempt.usage_window)

    def _obstacle(self, call: Call, server: Server) -> str:
        if call.has_caller_left():
            return CALLER_LEFT
        state = self._placement.state_of(server)
        is_resting = state.rest_until > self._clock.now()
        return "stopped" if is_resting or server.is_leaving else ""

    def _record_failure(
        self, attempt: Attempt, outcome: NoResponse, now: float
    ) -> None:
        server = attempt.choice.server
        server_state = self._placement.state_of(server)
        is_not_sent = isinstance(outcome, NotSent)
        if outcome.connection_failed and not is_not_sent:
            self._contact.record_broken(now)
        if self._contact.is_lost:
            # Says nothing about the server.
            return
        if outcome.connection_failed:
            known = self._suspects.get(server.name)
            cold_until = known[1] if known else server.cold_until
            server_state.record_connection_failure(now)
            self._mark_cold(server, now)
            self._suspects[server.name] = (
                server,
                cold_until,
                server.cold_until,
            )
        elif is_not_sent:
            return
        elif outcome.reason == "deadline_passed":
            # Counts as a slow response, not as a failure of the server.
            waited_s = now - server_state.last_sent_at
            server_state.record_response(
                max(1.0, waited_s / max(0.01, attempt.choice.work_s)),
                None,
                now,
            )
            if attempt.sent_at is not None:
                self._record_duration(attempt, now - attempt.sent_at, False)
        else:
            server_state.record_failure(now)
        if outcome.verdict is not Verdict.NOT_RUN and not attempt.is_suspected:
            self._record_version_outcome(attempt, True, 0.0)

    def _record_cancelled(self, attempt: Attempt, waited_s: float) -> None:
        """Records an attempt that was cancelled before its end.

        This happens when another attempt is answered first or the caller
        disconnects. It says something about the server only if the attempt
        had already taken longer than expected.
        """
        if self._contact.is_lost:
            return
        choice = attempt.choice
        self._record_duration(attempt, waited_s, False)
        expected_s = choice.expected_cold_s
        if choice.is_hedged_early:
            expected_s = choice.expected_s
        ratio = waited_s / max(MIN_EXPECTED_S, expected_s)
        if ratio <= 1.0:
            return
        if choice.is_hedged_early:
            # A slow server must be seen although its requests are cancelled
            # soon after the time that was expected.
            rest = self._durations(attempt).rest(ratio)
            ratio += rest
            waited_s += rest * expected_s
        server_state = self._placement.state_of(choice.server)
        server_state.record_response(ratio, None, self._clock.now())
        self._record_version_outcome(attempt, False, waited_s)

    def _record_duration(
        self, attempt: Attempt, duration_s: float, is_complete: bool
    ) -> None:
        """Records a duration, or the time after which one was given up."""
        choice = attempt.choice
        if not self._records_durations or choice.is_queued:
            # In a queue, it depends on the queue more than on the route.
            return
        durations = self._durations(attempt)
        ratio = duration_s / max(MIN_EXPECTED_S, choice.expected_s)
        if is_complete:
            durations.record(ratio)
        else:
            durations.record_cancelled(ratio)

    def _durations(self, attempt: Attempt) -> DurationHistogram:
        choice = attempt.choice
        return self._placement.work_times(
            choice.server.entry.service, attempt.route.name
        ).durations(choice.known_warm, choice.is_home)

    def _record_version_outcome(
        self, attempt: Attempt, failed: bool, duration_s: float
    ) -> None:
        """Records the outcome of an attempt as evidence on the version."""
        choice = attempt.choice
        entry = choice.server.entry
        self._rollouts.record_outcome(
            entry.service,
            entry.version,
            attempt.route.name,
            failed,
            duration_s / max(0.01, choice.expected_cold_s),
        )

    def _mark_cold(self, server: Server, now: float) -> None:
        """Marks a server as cold after a broken connection.

        The server may have restarted, which leaves its cache empty.
        """
        routes = self._fleet.routes
        if routes is None:
            return
        terms = routes.configuration.services.get(server.entry.service)
        if terms is not None and terms.cold_start_s > 0:
            cold_until = now + terms.cold_start_s
            server.cold_until = max(server.cold_until, cold_until)

    def _record_limit(self, server: Server, report: ExecutionReport) -> None:
        """Records the limit that a server names in a response.

        Only a response that ran and was not altered shows that the server
        names no limit any more.
        """
        limit_per_s = report.limit_per_s
        if limit_per_s is None or report.misdirected:
            return
        if limit_per_s == math.inf and not report.is_authentic:
            return
        self._permits.observe(server, limit_per_s)

    def _record_leaving(self, server: Server) -> None:
        """Records that a server must get no further request."""
        if self._fleet.servers.mark_leaving(server):
            state_change(
                f"backend server {server.name}",
                "leaving",
                service=server.entry.service,
            )

    def _record_rest(self, server: Server, rest_s: float, now: float) -> None:
        """Records that a server accepts nothing from this instance now."""
        server_state = self._placement.state_of(server)
        self._metrics.count("gateway_rests_total", service=server.entry.service)
        if server_state.record_rest(rest_s, now):
            state_change(
                f"backend server {server.name}", "resting", rest_s=rest_s
            )

    def _record_not_run(
        self,
        server: Server,
        report: ExecutionReport,
        outcome: ServerResponse,
        now: float,
    ) -> NoResponse:
        server_state = self._placement.state_of(server)
        if report.misdirected:
            # The address now belongs to another server. No requests go to it
            # under this name; the server's entry will be updated.
            server_state.paused_until = math.inf
            return NoResponse("misdirected", Verdict.NOT_RUN)
        server_state.record_shed(now)
        if report.load is None:
            slots = server.entry.slots
            server_state.apply_load_report(LoadReport(slots, slots, slots), now)
        kind = "rest" if report.rest_s > 0 else "shed"
        return NoResponse(f"{kind}:{outcome.status}", Verdict.NOT_RUN)

    def _record_response(
        self,
        attempt: Attempt,
        outcome: ServerResponse,
        duration_s: float,
        now: float,
    ) -> None:
        choice = attempt.choice
        route = attempt.route
        server_state = self._placement.state_of(choice.server)
        self._record_version_outcome(attempt, outcome.status >= 500, duration_s)
        if outcome.status >= 500:
            server_state.record_failure(now)
            return
        affinity = attempt.call.affinity
        key = None
        if route.affinity and affinity is not None:
            key = object_key(route.name, affinity)
        server_state.record_response(
            duration_s / max(0.01, choice.expected_s),
            key,
            now,
        )
        work = self._placement.work_times(
            choice.server.entry.service, route.name
        )
        work.record_response_bytes(len(outcome.body))
        self._record_duration(attempt, duration_s, True)
        if choice.is_queued:
            # The duration includes the wait in the queue.
            return
        round_trip_s = self._placement.round_trip_s(choice.server)
        work_s = max(0.001, duration_s - round_trip_s)
        if server_state.reports_pace or choice.pace != 1.0:
            # Speed during the work: the mean of those at its start and its end.
            usual_s = max(0.001, choice.work_s / choice.pace)
            speed_at_end = usual_s / server_state.paced_s(usual_s, now)
            work_s = work_s * (1.0 / choice.pace + speed_at_end) / 2
        work.record_work(work_s, choice.known_warm, choice.is_home)

    async def close(self) -> None:
        """Closes all idle connections."""
        self._connections.close()
        await asyncio.sleep(0)
