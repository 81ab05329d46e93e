"""Sends requests to backend servers and takes account of what comes back."""

from __future__ import annotations

import asyncio
import math

from radishmux.clock import Clock
from radishmux.config.routing import HostRoute
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.gateway.call import Call, Dialect, ExecutionReport
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.rollouts import Rollouts
from radishmux.steer.cold_pace import ColdRateLimiter
from radishmux.steer.placement import Choice, Placement, object_key
from radishmux.steer.server_state import LoadReport
from radishmux.steer.servers import Server
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Verdict


class Attempt:
    """One request to one server.

    Attributes:
        call: The caller's request.
        route: Its route.
        customer: Name of its customer; empty on open routes.
        choice: The server with what is expected of it.
        deadline: Monotonic time until which an answer is useful.
    """

    __slots__ = (
        "call",
        "choice",
        "customer",
        "deadline",
        "route",
    )

    def __init__(
        self,
        *,
        call: Call,
        route: HostRoute,
        customer: str,
        choice: Choice,
        deadline: float,
    ) -> None:
        self.call = call
        self.route = route
        self.customer = customer
        self.choice = choice
        self.deadline = deadline


class ServerSender:
    """Owns the connections to all backend servers.

    Args:
        state: Names the servers.
        placement: Keeps what was seen of them.
        paces: Bounds the requests to cold ones.
        rollouts: Take the outcomes of versions.
        dialect: Headers of servers.
        clock: Monotonic time.
        metrics: Takes the outcomes of attempts.
    """

    def __init__(
        self,
        state: FleetState,
        placement: Placement,
        paces: ColdRateLimiter,
        rollouts: Rollouts,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._state = state
        self._placement = placement
        self._paces = paces
        self._rollouts = rollouts
        self._dialect = dialect
        self._clock = clock
        self._memory = ResponseMemory()
        self._connections: dict[str, ServerConnectionPool] = {}

    def may_send(self, server: Server, now: float) -> bool:
        """Whether a server may be chosen now."""
        return not server.is_cold(now) or self._paces.allows(server, now)

    def prune(self) -> None:
        """Closes connections that are idle for too long or lead nowhere."""
        names = {server.name for server in self._state.servers.all()}
        for name in self._connections.keys() - names:
            self._connections.pop(name).close()
        for connections in self._connections.values():
            connections.close_expired()
        self._placement.retain_only(names)

    async def send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        """Sends a request once; a response tells that it has run."""
        outcome = await self._send(attempt)
        if isinstance(outcome, NoResponse):
            name = outcome.reason
        else:
            name = f"status {outcome.status}"
        self._metrics.count(
            "gateway_attempts_total",
            service=attempt.choice.server.entry.service,
            outcome=name,
        )
        return outcome

    async def _send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        server = attempt.choice.server
        state = self._placement.state(server.name)
        now = self._clock.now()
        if server.is_cold(now) and not self._paces.try_acquire(server, now):
            return NoResponse("cold_pace", Verdict.NOT_RUN)
        state.record_sent(now)
        sent_at = now
        try:
            outcome = await self._exchange(attempt, server)
        except asyncio.CancelledError:
            self._note_abandoned(attempt, self._clock.now() - sent_at)
            raise
        finally:
            state.record_end()
        now = self._clock.now()
        if isinstance(outcome, NoResponse):
            return self._note_failure(attempt, outcome, now)
        report = self._dialect.read_report(outcome)
        if report.load is not None:
            state.apply_load_report(report.load, now)
        if report.verdict is Verdict.NOT_RUN:
            return self._note_not_run(server, report, outcome, now)
        if outcome.status < 400 and not report.is_authentic:
            state.record_failure(now)
            self._note_version(attempt, True, 0.0)
            return NoResponse("altered_response", Verdict.MAY_HAVE_RUN)
        self._note_response(attempt, outcome, now - sent_at, now)
        return outcome

    async def _exchange(
        self, attempt: Attempt, server: Server
    ) -> ServerResponse | NoResponse:
        call = attempt.call
        connections = self._connections.get(server.name)
        if connections is None:
            connections = ServerConnectionPool(
                server.entry.address, self._clock, self._memory
            )
            self._connections[server.name] = connections
        travel_s = self._placement.round_trip_s(server) / 2
        remaining_s = attempt.deadline - self._clock.now() - travel_s
        payload = self._dialect.encode_request(
            call, server.name, attempt.customer, remaining_s
        )
        return await connections.send(
            payload,
            attempt.deadline,
            call.method == "HEAD",
            lambda headers: self._dialect.is_response_to(call, headers),
        )

    def _note_failure(
        self, attempt: Attempt, outcome: NoResponse, now: float
    ) -> NoResponse:
        server = attempt.choice.server
        state = self._placement.state(server.name)
        if outcome.connection_failed:
            state.record_connection_failure(now)
            self._chill(server, now)
        elif outcome.reason == "deadline_passed":
            waited_s = now - state.last_sent_at
            state.record_response(
                max(1.0, waited_s / max(0.01, attempt.choice.work_s)),
                None,
                now,
            )
        else:
            state.record_failure(now)
        if outcome.verdict is not Verdict.NOT_RUN:
            self._note_version(attempt, True, 0.0)
        return outcome

    def _note_abandoned(self, attempt: Attempt, waited_s: float) -> None:
        """Takes an attempt that another answer or the caller's leaving ended.

        It tells something only if it had already taken long.
        """
        ratio = waited_s / max(0.01, attempt.choice.expected_cold_s)
        if ratio > 1.0:
            state = self._placement.state(attempt.choice.server.name)
            state.record_response(ratio, None, self._clock.now())
            self._note_version(attempt, False, waited_s)

    def _note_version(
        self, attempt: Attempt, failed: bool, duration_s: float
    ) -> None:
        """Tells the rollouts how a version did."""
        choice = attempt.choice
        entry = choice.server.entry
        self._rollouts.record_outcome(
            entry.service,
            entry.version,
            attempt.route.name,
            failed,
            duration_s / max(0.01, choice.expected_cold_s),
        )

    def _chill(self, server: Server, now: float) -> None:
        """Treats a server that broke as cold: it may have started again."""
        routes = self._state.routes
        if routes is None:
            return
        terms = routes.configuration.services.get(server.entry.service)
        if terms is not None and terms.cold_start_s > 0:
            cold_until = now + terms.cold_start_s
            server.cold_until = max(server.cold_until, cold_until)

    def _note_not_run(
        self,
        server: Server,
        report: ExecutionReport,
        outcome: ServerResponse,
        now: float,
    ) -> NoResponse:
        state = self._placement.state(server.name)
        if report.misdirected:
            # Another server has the address; the entry will follow.
            state.paused_until = math.inf
            return NoResponse("misdirected", Verdict.NOT_RUN)
        state.record_shed(now)
        if report.load is None:
            slots = server.entry.slots
            state.apply_load_report(LoadReport(slots, slots, slots), now)
        return NoResponse(f"shed:{outcome.status}", Verdict.NOT_RUN)

    def _note_response(
        self,
        attempt: Attempt,
        outcome: ServerResponse,
        duration_s: float,
        now: float,
    ) -> None:
        choice = attempt.choice
        route = attempt.route
        state = self._placement.state(choice.server.name)
        self._note_version(attempt, outcome.status >= 500, duration_s)
        if outcome.status >= 500:
            state.record_failure(now)
            return
        affinity = attempt.call.affinity
        key = None
        if route.affinity and affinity is not None:
            key = object_key(route.name, affinity)
        state.record_response(
            duration_s / max(0.01, choice.expected_s),
            key,
            now,
        )
        work = self._placement.work_times(
            choice.server.entry.service, route.name
        )
        work.record_response_bytes(len(outcome.body))
        if choice.is_queued:
            return
        travel_s = self._placement.round_trip_s(choice.server)
        work.record_work(
            max(0.001, duration_s - travel_s),
            choice.known_warm,
            choice.is_home,
        )

    async def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._connections.values():
            connections.close()
        await asyncio.sleep(0)
