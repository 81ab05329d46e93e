"""The way of one request: route, key, allowance, servers, answer."""

from __future__ import annotations

import asyncio
import math
import random

from radishmux.clock import Clock
from radishmux.config.routing import CustomerPolicy, HostRoute, RouteKind
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.gateway.call import Call, Dialect
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.events import ConfigurationPut, Event, StoreListed
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.journey import Journey
from radishmux.gateway.race import Race
from radishmux.gateway.rate_limiter import FleetRateLimiter
from radishmux.gateway.refusals import REFUSALS
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.gateway.rollouts import Rollouts
from radishmux.gateway.sender import Attempt, ServerSender
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.outcome import Unavailable
from radishmux.shift.rollout import ANY_VERSION, VersionRule
from radishmux.steer.host_routes import HostRoutes
from radishmux.steer.placement import (
    Choice,
    Placement,
    PlacementRequest,
    object_key,
)
from radishmux.steer.split import DestinationSplit
from radishmux.verdict import Refusal, Verdict

# Time kept back for the way of the answer to the caller.
ANSWER_MARGIN_S = 0.02
# Longest wait for the first configuration: a list of some pages from a store
# in another region.
MAX_START_WAIT_S = 0.5
# Pause for callers whose request waits for a configuration that can be used:
# operators' changes come seconds apart.
CONFIGURATION_RETRY_S = 1.0
# Longest wait for a token of a customer's rate.
MAX_TOKEN_WAIT_S = 0.25
# A repeatable request is tried elsewhere when its server takes this many
# times as long as expected, and no sooner than the floor.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 0.25
# Callers honour a pause of up to a third of the time that they have left.
MAX_RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.05


class RequestFlow:
    """Answers the requests of callers.

    Args:
        state: What the fleet is told to do.
        rollouts: Versions that requests may go to.
        placement: Chooses servers.
        sender: Sends requests to servers.
        allowance: Takes tokens of customers' rates.
        budgets: Retries that are allowed.
        dialect: Headers of callers and servers.
        clock: Monotonic time.
        log: Takes a line for each decision.
    """

    def __init__(
        self,
        state: FleetState,
        rollouts: Rollouts,
        placement: Placement,
        sender: ServerSender,
        rate_limiter: FleetRateLimiter,
        budgets: RetryBudgets,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._state = state
        self._rollouts = rollouts
        self._placement = placement
        self._sender = sender
        self._rate_limiter = rate_limiter
        self._budgets = budgets
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._split = DestinationSplit()
        self._configured = asyncio.Event()
        if state.routes is not None:
            self._configured.set()
        state.add_listener(self._on_event)

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the answer to a request; cancelled when its caller leaves."""
        call = self._dialect.read_call(request)
        if isinstance(call, Unavailable):
            return self._refuse(None, "malformed", detail=call.reason)
        journey = await self._admit(call)
        if isinstance(journey, Response):
            return journey
        return await self._serve(journey)

    # Admission.

    async def _admit(self, call: Call) -> Journey | Response:
        routes = self._state.routes or await self._first_routes()
        if routes is None:
            return self._refuse(
                call, "no_configuration", retry_after_s=CONFIGURATION_RETRY_S
            )
        route = routes.find(call.host, call.path)
        if route is None:
            return self._refuse(call, "no_route")
        customer = None
        if not route.open_to_all and routes.configuration.requires_keys:
            customer = routes.customer_of(call.key or "")
            if customer is None:
                return self._refuse(call, "unknown_key")
        withheld = route.withheld or (customer.withheld if customer else "")
        if withheld:
            return self._refuse(
                call,
                "withheld",
                retry_after_s=CONFIGURATION_RETRY_S,
                detail=withheld,
            )
        if customer is not None:
            refusal = await self._take_token(call, route, customer)
            if refusal is not None:
                return refusal
        now = self._clock.now()
        patience_s = route.timeout_s
        if call.remaining_s is not None:
            patience_s = min(patience_s, call.remaining_s - ANSWER_MARGIN_S)
        journey = Journey(
            call,
            route,
            customer,
            self._split.choose(route),
            call.received_at + patience_s,
        )
        self._budgets.first(journey.service, now)
        return journey

    async def _first_routes(self) -> HostRoutes | None:
        """Waits for the first configuration; None: it did not come.

        A starting instance has read the store within a few round trips.
        Callers that come in that time are served rather than sent away. Once
        the store was read and has none that can be used, nobody waits.
        """
        if self._state.is_listed:
            return None
        try:
            async with asyncio.timeout(MAX_START_WAIT_S):
                await self._configured.wait()
        except TimeoutError:
            return None
        return self._state.routes

    def _on_event(self, event: Event, now: float) -> None:
        if isinstance(event, (ConfigurationPut, StoreListed)):
            self._configured.set()

    async def _take_token(
        self, call: Call, route: HostRoute, customer: CustomerPolicy
    ) -> Response | None:
        """Takes a token of a customer's rate, or returns a refusal."""
        longest_s = min(MAX_TOKEN_WAIT_S, route.target_latency_s / 3)
        denied = await self._rate_limiter.acquire(customer, longest_s)
        if denied is None:
            return None
        detail = (
            f"{customer.name}: {denied.fraction:.3f} of"
            f" {customer.rate_per_s:g}/s at {denied.holder or 'no holder'}"
        )
        return self._refuse(
            call, "rate_exceeded", retry_after_s=denied.wait_s, detail=detail
        )

    # Attempts.

    async def _serve(self, journey: Journey) -> Response:
        """Makes attempts until one gives an answer for the caller.

        A repeatable request whose server takes long is sent to a second one
        while the first goes on; the first answer counts.
        """
        with Race(journey.call.received_at) as race:
            while True:
                response = self._advance(journey, race)
                if response is None:
                    response = await self._next_end(journey, race)
                if response is not None:
                    return response

    def _advance(self, journey: Journey, race: Race) -> Response | None:
        """Starts an attempt if one is due, or gives the request up."""
        now = self._clock.now()
        if now >= journey.deadline:
            # Attempts that go on may have run, or run until they see that
            # they are cancelled.
            journey.may_have_run |= bool(race.running)
            return self._give_up(journey, "deadline_passed")
        if now >= race.patience_until and self._may_repeat(journey):
            choice = self._choose(journey, now)
            reason = self._objection(journey, choice, now)
            if choice is not None and reason is None:
                race.patience_until = self._patience_until(choice, now)
                race.running.add(self._start(journey, choice))
            elif race.running:
                race.patience_until = math.inf
            else:
                expected_s = choice.expected_s if choice else math.inf
                detail = self._reasons(journey, choice, reason or "", now)
                return self._give_up(journey, detail, expected_s)
        if not race.running:
            return self._give_up(journey, journey.reason)
        return None

    async def _next_end(self, journey: Journey, race: Race) -> Response | None:
        """Waits for the end of an attempt, or until another one is due."""
        now = self._clock.now()
        until = journey.deadline
        if self._may_repeat(journey):
            until = min(until, race.patience_until)
        done, race.running = await asyncio.wait(
            race.running,
            timeout=max(0.0, until - now),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            response = self._conclude(journey, task.result())
            if response is not None:
                return response
        if done and not race.running:
            race.patience_until = now
        return None

    def _choose(self, journey: Journey, now: float) -> Choice | None:
        route = journey.route
        key = None
        if route.affinity and journey.call.affinity is not None:
            key = object_key(route.name, journey.call.affinity)
        work = self._placement.work_times(journey.service, route.name)
        target_s = journey.call.received_at + route.target_latency_s - now
        demand = PlacementRequest(
            journey.service,
            route.name,
            key,
            journey.regions,
            transfer_bytes=len(journey.call.body)
            + work.expected_bytes(route.kind is RouteKind.DOWNLOAD),
            target_s=max(0.0, target_s),
            left_s=journey.deadline - now,
            is_retry=bool(journey.attempts),
        )
        rule = self._rollouts.next_rule(journey.service, route.name, now)
        choice = self._choose_by(rule, journey, demand, now)
        if choice is None and rule.only is not None:
            # The version that it was meant for has no room.
            other = VersionRule(never=rule.only)
            choice = self._choose_by(other, journey, demand, now)
        return choice

    def _choose_by(
        self,
        rule: VersionRule,
        journey: Journey,
        demand: PlacementRequest,
        now: float,
    ) -> Choice | None:
        return self._placement.choose(
            demand,
            self._state.usable_servers(journey.service, journey.regions, rule),
            lambda server: (
                server.name not in journey.attempts
                and self._sender.may_send(server, now)
            ),
            now,
        )

    def _objection(
        self, journey: Journey, choice: Choice | None, now: float
    ) -> str | None:
        """Returns why an attempt must not be made, or None."""
        if choice is None:
            return "no_server"
        if now + choice.expected_s >= journey.deadline:
            return "no_room"
        if journey.attempts and not self._budgets.try_retry(
            journey.service, now
        ):
            return "retry_budget"
        return None

    def _reasons(
        self,
        journey: Journey,
        choice: Choice | None,
        objection: str,
        now: float,
    ) -> str:
        """Returns an objection with what decided it, for the log line."""
        # Of any version: a rule counts the requests that it is asked for.
        servers = self._state.usable_servers(
            journey.service, journey.regions, ANY_VERSION
        )
        left_ms = round(1000 * (journey.deadline - now))
        told = f"{objection}: {len(servers)} servers, {left_ms} ms left"
        if choice is None:
            return told
        return (
            f"{told}, best {choice.server.name} with load {choice.load:.1f}"
            f" of {choice.server.entry.slots} expected to take"
            f" {round(1000 * choice.expected_s)} ms"
        )

    def _start(
        self, journey: Journey, choice: Choice
    ) -> asyncio.Task[ServerResponse | NoResponse]:
        journey.attempts.append(choice.server.name)
        journey.choices.append(choice)
        attempt = Attempt(
            call=journey.call,
            route=journey.route,
            customer=journey.customer.name if journey.customer else "",
            choice=choice,
            deadline=journey.deadline,
        )
        return asyncio.create_task(self._sender.send(attempt))

    def _conclude(
        self, journey: Journey, outcome: ServerResponse | NoResponse
    ) -> Response | None:
        """Takes the end of an attempt; None: no answer for the caller."""
        journey.ended += 1
        if isinstance(outcome, NoResponse):
            journey.reason = outcome.reason
            if outcome.verdict is not Verdict.NOT_RUN:
                journey.may_have_run = True
            return None
        journey.may_have_run = True
        journey.last = outcome
        if outcome.status >= 500 and self._may_repeat(journey):
            journey.reason = f"status {outcome.status}"
            return None
        return self._answer(journey, outcome)

    def _patience_until(self, choice: Choice, now: float) -> float:
        patience_s = max(
            MIN_PATIENCE_S, PATIENCE_FACTOR * choice.expected_cold_s
        )
        return now + patience_s

    def _may_repeat(self, journey: Journey) -> bool:
        """Whether another attempt would be allowed."""
        has_attempt = len(journey.attempts) < journey.route.max_attempts
        repeatable = journey.route.kind.repeatable or (
            not journey.may_have_run and journey.ended == len(journey.attempts)
        )
        return repeatable and has_attempt

    # Answers.

    def _answer(self, journey: Journey, response: ServerResponse) -> Response:
        self._log.answered(journey, response.status, self._clock.now())
        return self._dialect.encode_answer(response)

    def _give_up(
        self, journey: Journey, reason: str, expected_s: float = math.inf
    ) -> Response:
        if journey.last is not None:
            return self._answer(journey, journey.last)
        now = self._clock.now()
        if journey.may_have_run:
            name = "timed_out" if now >= journey.deadline else "lost"
            return self._refuse(journey.call, name, journey, detail=reason)
        left_s = max(0.0, journey.deadline - now)
        longest_s = MAX_RETRY_AFTER_SHARE * left_s
        pause_s = min(longest_s, max(MIN_RETRY_AFTER_S, expected_s - left_s))
        # Spread, so that those refused together do not return together.
        pause_s *= 0.5 + 0.5 * random.random()
        return self._refuse(
            journey.call, "not_servable", journey, pause_s, detail=reason
        )

    def _refuse(
        self,
        call: Call | None,
        name: str,
        journey: Journey | None = None,
        retry_after_s: float | None = None,
        detail: str = "",
    ) -> Response:
        refusal: Refusal = REFUSALS.refusal(name, detail, retry_after_s)
        self._log.refused(call, journey, refusal, self._clock.now())
        return self._dialect.encode_refusal(call, refusal)
