"""Serves one request: route, key, rate limit, attempts at servers, answer."""

from __future__ import annotations

import asyncio
import math
import random

from radishmux.clock import Clock
from radishmux.config.routing import CustomerPolicy, HostRoute
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.gateway.attempt_group import AttemptGroup
from radishmux.gateway.call import Call, Dialect
from radishmux.gateway.crash_guard import CRASHES
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.events import ConfigurationPut, Event, StoreListed
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.guarded_sender import GuardedSender
from radishmux.gateway.rate_limiter import FleetRateLimiter
from radishmux.gateway.refusals import REFUSALS
from radishmux.gateway.request_relay import RequestRelay
from radishmux.gateway.request_state import RequestState
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.gateway.sender import Attempt, ServerSender
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.gateway.waiting_requests import WaitingRequests
from radishmux.http.incoming import (
    CALLER_LEFT,
    CANCELLED,
    IncomingRequest,
)
from radishmux.http.response import Response
from radishmux.membership.record import InstanceRecord
from radishmux.outcome import Unavailable
from radishmux.steer.hedging import (
    EARLY_BUDGET_SHARE,
    HedgePlan,
    usual_delay_s,
)
from radishmux.steer.host_routes import HostRoutes
from radishmux.steer.placement import Choice
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.split import DestinationSplit
from radishmux.verdict import Refusal, Verdict

# Time reserved for sending the answer back to the caller.
ANSWER_MARGIN_S = 0.02
# Longest wait for the first configuration after the start. It covers a list
# of several pages from a store in another region.
MAX_CONFIGURATION_WAIT_S = 0.5
# Retry-After of requests that only a new configuration can make servable.
# Operators' changes come seconds apart.
CONFIGURATION_RETRY_S = 1.0
# Longest wait for a token of the customer's rate limit.
MAX_TOKEN_WAIT_S = 0.25
# Longest wait for a token after a restart of all instances, as a fraction of
# the request's time-out. The rest is enough for a request that runs cold.
MAX_SETTLING_FRACTION = 0.5
# Callers honour a Retry-After of up to a third of their remaining time.
MAX_RETRY_AFTER_FRACTION = 0.3
MIN_RETRY_AFTER_S = 0.05


class RequestFlow:
    """Answers the requests of callers.

    Args:
        fleet: Routes, servers and evacuations.
        chooser: Chooses the server of an attempt.
        sender: Knows the servers and their connections.
        guarded_sender: Sends requests to servers.
        rate_limiter: Enforces the customers' rate limits.
        retry_budgets: Bounds the retries of each service.
        dialect: Translates the headers of callers and servers.
        clock: Monotonic time.
        log: Records each request that has ended.
        contact: Whether this instance reaches the servers.
        relay: Sends requests through peers while it does not.
        waiting: Lets requests wait for room; None refuses them at once.
    """

    def __init__(
        self,
        fleet: FleetState,
        chooser: ServerChooser,
        sender: ServerSender,
        guarded_sender: GuardedSender,
        rate_limiter: FleetRateLimiter,
        retry_budgets: RetryBudgets,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
        contact: ServerContact,
        relay: RequestRelay,
        waiting: WaitingRequests | None = None,
    ) -> None:
        self._waiting = waiting
        self._contact = contact
        self._relay = relay
        self._fleet = fleet
        self._chooser = chooser
        self._sender = sender
        self._guarded_sender = guarded_sender
        self._rate_limiter = rate_limiter
        self._retry_budgets = retry_budgets
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._split = DestinationSplit()
        self._startup_done = asyncio.Event()
        if fleet.routes is not None:
            self._startup_done.set()
        fleet.add_listener(self._on_event)

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the answer to a request.

        The HTTP server cancels this coroutine when the caller disconnects.
        """
        call = self._dialect.read_call(request)
        if isinstance(call, Unavailable):
            return self._refuse(None, "malformed", detail=call.reason)
        admitted: RequestState | Response | None = None
        try:
            admitted = await self._admit(call)
            if isinstance(admitted, Response):
                return admitted
            return await self._serve(admitted)
        except asyncio.CancelledError as error:
            state = admitted if isinstance(admitted, RequestState) else None
            reason = str(error) or CANCELLED
            self._log.record_cancellation(
                call, state, reason, self._clock.now()
            )
            raise

    def record_not_started(self, request: IncomingRequest) -> None:
        """Records a request that was not handled: its caller has left."""
        call = self._dialect.read_call(request)
        if isinstance(call, Call):
            self._log.record_cancellation(
                call, None, CALLER_LEFT, self._clock.now()
            )

    # Admission.

    async def _admit(self, call: Call) -> RequestState | Response:
        routes = self._fleet.routes or await self._wait_for_routes()
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
        state = RequestState(
            call,
            route,
            customer,
            self._split.choose(route),
            call.received_at + self._timeout_s(call, route),
        )
        self._retry_budgets.record_first_attempt(state.service, now)
        if self._waiting is not None:
            self._waiting.record_arrival(state, now)
        return state

    @staticmethod
    def _timeout_s(call: Call, route: HostRoute) -> float:
        """Returns the time from the arrival of a request to its time-out."""
        if call.remaining_s is None:
            return route.timeout_s
        return min(route.timeout_s, call.remaining_s - ANSWER_MARGIN_S)

    async def _wait_for_routes(self) -> HostRoutes | None:
        """Waits for the first configuration.

        A starting instance reads the store within a few round trips, so that
        requests that arrive meanwhile can wait instead of being refused. Once
        the store has been read and holds no usable configuration, requests
        are refused at once.

        Returns:
            The routes, or None if there is no configuration in time.
        """
        if self._fleet.is_listed:
            return None
        try:
            async with asyncio.timeout(MAX_CONFIGURATION_WAIT_S):
                await self._startup_done.wait()
        except TimeoutError:
            return None
        return self._fleet.routes

    def _on_event(self, event: Event, now: float) -> None:
        if isinstance(event, (ConfigurationPut, StoreListed)):
            self._startup_done.set()

    async def _take_token(
        self, call: Call, route: HostRoute, customer: CustomerPolicy
    ) -> Response | None:
        """Takes a token of the customer's rate limit, or returns a refusal."""
        timeout_s = self._timeout_s(call, route)
        denied = await self._rate_limiter.acquire(
            customer,
            min(MAX_TOKEN_WAIT_S, route.target_latency_s / 3),
            MAX_SETTLING_FRACTION * timeout_s,
        )
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

    async def _serve(self, state: RequestState) -> Response:
        """Makes attempts until there is an answer for the caller.

        If the server of a repeatable request is slow, the request is hedged:
        it is also sent to a second server, and the first answer is returned.
        """
        with AttemptGroup(state.call.received_at) as group:
            while True:
                response = self._start_due_attempt(state, group)
                if response is None:
                    response = await self._wait_for_attempt(state, group)
                if response is not None:
                    return response

    def _start_due_attempt(
        self, state: RequestState, group: AttemptGroup
    ) -> Response | None:
        """Starts an attempt if one is due.

        Returns:
            The final answer if the request is given up, else None.
        """
        now = self._clock.now()
        if now >= state.deadline:
            # Attempts in flight may have run already, and a server may run
            # one until it sees the cancellation.
            state.may_have_run |= bool(group.tasks)
            return self._give_up(state, "deadline_passed")
        if group.tasks and not self._chooser.may_hedge(state):
            # Not considered again until the attempt in flight has ended.
            group.next_attempt_at = math.inf
        if now >= group.next_attempt_at and self._may_try_again(state):
            plan = group.hedge_plan if group.tasks else None
            if plan and not plan.is_due(state.call.holds_up_others(), now):
                group.next_attempt_at = plan.check_at
                return None
            choice, helper, reason = None, None, "in_turn"
            if (
                self._waiting is None
                or group.tasks
                or not self._waiting.holds_back(state, now)
            ):
                choice, helper = self._choose_way(state, now)
                reason = self._check_attempt(state, choice, helper, now, plan)
            if group.tasks and reason is None:
                is_early = plan is not None and plan.is_early
                self._log.record_hedge(state, is_early)
                if is_early:
                    state.choices[-1].is_hedged_early = True
            if helper is not None and reason is None:
                group.hedge_plan = None
                group.next_attempt_at = now + usual_delay_s(
                    self._chooser.expected_cold_s(state)
                )
                group.tasks.add(self._start_relay(state, helper))
            elif choice is not None and reason is None:
                self._plan_hedge(state, group, choice, now)
                group.tasks.add(self._start(state, choice))
            elif plan is not None and plan.is_early:
                plan.give_up_early()
                group.next_attempt_at = plan.check_at
            elif group.tasks:
                # Not considered again until the attempts in flight have ended.
                group.next_attempt_at = math.inf
            else:
                expected_s = choice.expected_s if choice else math.inf
                if reason == CRASHES:
                    return self._give_up(state, CRASHES)
                if self._waiting is not None:
                    reason = self._waiting.enter(state, reason or "", now)
                    if state.waiter is not None:
                        return None
                    self._waiting.record_refusal(state, reason)
                detail = self._chooser.describe_rejection(
                    state, choice, reason or "", now
                )
                return self._give_up(state, detail, expected_s)
        if not group.tasks:
            return self._give_up(state, state.failure_reason)
        return None

    def _plan_hedge(
        self,
        state: RequestState,
        group: AttemptGroup,
        choice: Choice,
        now: float,
    ) -> None:
        """Sets when an attempt beside the one that starts now is due."""
        plan = None
        if not group.tasks:
            plan = self._chooser.plan_hedge(state, choice, now)
        group.hedge_plan = plan
        if plan is None:
            delay_s = usual_delay_s(choice.expected_cold_s)
            group.next_attempt_at = now + delay_s
        else:
            group.next_attempt_at = plan.check_at

    async def _wait_for_attempt(
        self, state: RequestState, group: AttemptGroup
    ) -> Response | None:
        """Waits until an attempt ends or another one is due.

        Returns:
            The answer for the caller if an attempt gave one, else None.
        """
        if self._waiting is not None and state.waiter is not None:
            reason = await self._waiting.wait(state)
            if reason:
                self._waiting.record_refusal(state, reason)
                return self._give_up(state, reason)
            return None
        now = self._clock.now()
        until = state.deadline
        if self._may_try_again(state):
            until = min(until, group.next_attempt_at)
        done = await group.wait(max(0.0, until - now))
        for task in done:
            outcome = task.result()
            if self._waiting is not None:
                self._waiting.record_end(state, outcome)
            response = self._handle_outcome(state, outcome, bool(group.tasks))
            if response is not None:
                return response
            if isinstance(outcome, NotSent):
                group.next_attempt_at = now
        if done and not group.tasks:
            group.next_attempt_at = now
        return None

    def _choose_way(
        self, state: RequestState, now: float
    ) -> tuple[Choice | None, InstanceRecord | None]:
        """Returns the server of the next attempt, or a peer to make it.

        A peer is chosen if this instance has no way to the server, or to any.
        """
        if not self._contact.is_lost:
            return self._chooser.choose(state, now), None
        has_connections = self._contact.trusts_open_connections(now)
        if has_connections:
            choice = self._chooser.choose(state, now)
            if choice and self._sender.connections.can_reach(
                choice.server, now
            ):
                return choice, None
        helper = self._relay.choose_helper(state, now)
        if helper is not None or not has_connections:
            return None, helper
        return self._chooser.choose(state, now, only_reachable=True), None

    def _check_attempt(
        self,
        state: RequestState,
        choice: Choice | None,
        helper: InstanceRecord | None,
        now: float,
        plan: HedgePlan | None,
    ) -> str | None:
        """Returns why an attempt must not be made, or None if it may be.

        Allowing a retry uses up one of the service's budget. An early hedge
        must save time and may not use up the whole budget.
        """
        if (choice is None or helper is not None) and self._is_withheld(state):
            return CRASHES
        if choice is None and helper is None:
            return "no_contact" if self._contact.is_lost else "no_server"
        if choice is not None and now + choice.expected_s >= state.deadline:
            return "no_room"
        budget_share = 1.0
        if plan is not None and plan.is_early:
            if choice is None or not plan.saves_time(choice, now):
                return "no_gain"
            budget_share = EARLY_BUDGET_SHARE
        if state.tried_servers and not self._take_retry(
            state, now, budget_share
        ):
            return "retry_budget"
        return None

    def _is_withheld(self, state: RequestState) -> bool:
        """Whether no server may get a request, since it crashes them."""
        return self._chooser.withheld_s(state) > 0.0

    def _take_retry(
        self, state: RequestState, now: float, budget_share: float
    ) -> bool:
        """Takes a retry of the service's budget, or one that was not used."""
        if state.unused_retries:
            state.unused_retries -= 1
            return True
        return self._retry_budgets.try_retry(state.service, now, budget_share)

    def _start(
        self, state: RequestState, choice: Choice
    ) -> asyncio.Task[ServerResponse | NoResponse]:
        state.tried_servers.append(choice.server.name)
        state.choices.append(choice)
        if self._waiting is not None:
            self._waiting.record_attempt(state, choice, self._clock.now())
        attempt = Attempt(
            call=state.call,
            route=state.route,
            customer=state.customer.name if state.customer else "",
            choice=choice,
            deadline=state.deadline,
            digest=state.digest,
            service_digest=state.service_digest,
        )
        return asyncio.create_task(self._attempt(state, attempt))

    def _start_relay(
        self, state: RequestState, helper: InstanceRecord
    ) -> asyncio.Task[ServerResponse | NoResponse]:
        placeholder = f"via {helper.instance}"
        state.tried_servers.append(placeholder)
        state.relayed_via.append(helper.instance)
        return asyncio.create_task(
            self._attempt_relay(state, helper, placeholder)
        )

    async def _attempt_relay(
        self, state: RequestState, helper: InstanceRecord, placeholder: str
    ) -> ServerResponse | NoResponse:
        """Lets a peer make an attempt; counts as one if it was sent."""
        routes = self._fleet.routes
        version = routes.configuration.version if routes else 0
        # What this instance has been told binds the helper, too.
        state.unavailable_servers.update(
            self._sender.refusing_servers(state.service, self._clock.now())
        )
        outcome, server = await self._relay.send(state, helper, version)
        state.tried_servers.remove(placeholder)
        if isinstance(outcome, ServerResponse):
            self._sender.learn_from_relayed(server, outcome)
        if not isinstance(outcome, NotSent):
            state.tried_servers.append(server or placeholder)
            return outcome
        state.failed_helpers.add(helper.instance)
        if server:
            state.unavailable_servers.add(server)
        if state.tried_servers:
            state.unused_retries += 1
        return outcome

    async def _attempt(
        self, state: RequestState, attempt: Attempt
    ) -> ServerResponse | NoResponse:
        """Makes an attempt; one that was not sent does not count as tried."""
        outcome = await self._guarded_sender.send(attempt)
        if isinstance(outcome, NotSent):
            server = attempt.choice.server.name
            state.tried_servers.remove(server)
            state.choices.remove(attempt.choice)
            state.unavailable_servers.add(server)
            if state.tried_servers:
                state.unused_retries += 1
        elif isinstance(outcome, NoResponse) and outcome.connection_failed:
            state.broken_servers.append(attempt.choice.server.name)
        return outcome

    def _handle_outcome(
        self,
        state: RequestState,
        outcome: ServerResponse | NoResponse,
        has_others: bool,
    ) -> Response | None:
        """Records the outcome of an attempt.

        Args:
            state: The request.
            outcome: The outcome.
            has_others: Whether other attempts are in flight. A failure is no
                answer then, since they may succeed.

        Returns:
            The answer for the caller, or None if the outcome gives none.
        """
        if isinstance(outcome, NotSent):
            state.failure_reason = outcome.reason
            state.is_withheld |= outcome.reason == CRASHES
            return None
        state.ended_attempts += 1
        if isinstance(outcome, NoResponse):
            state.failure_reason = outcome.reason
            if outcome.verdict is not Verdict.NOT_RUN:
                state.may_have_run = True
            return None
        state.may_have_run = True
        state.last_response = outcome
        if outcome.status >= 500 and (has_others or self._may_try_again(state)):
            state.failure_reason = f"status {outcome.status}"
            return None
        return self._answer(state, outcome)

    def _may_try_again(self, state: RequestState) -> bool:
        """Whether the request may be sent to another server.

        A request that is not repeatable may only be sent again when all
        earlier attempts have ended and none may have run.
        """
        has_attempts_left = len(state.tried_servers) < state.route.max_attempts
        is_repeatable = state.route.kind.repeatable or (
            not state.may_have_run
            and state.ended_attempts == len(state.tried_servers)
        )
        return is_repeatable and has_attempts_left and not state.is_withheld

    # Answers.

    def _answer(
        self, state: RequestState, response: ServerResponse
    ) -> Response:
        self._log.record_answer(state, response.status, self._clock.now())
        return self._dialect.encode_answer(response)

    def _give_up(
        self, state: RequestState, reason: str, expected_s: float = math.inf
    ) -> Response:
        """Returns the final answer when no further attempt is made.

        It is the latest response of a server if there is one, else a refusal.

        Args:
            state: The request.
            reason: Why no further attempt is made.
            expected_s: Time that the best server is expected to take.
        """
        if state.last_response is not None:
            return self._answer(state, state.last_response)
        now = self._clock.now()
        if state.may_have_run:
            kind = "timed_out" if now >= state.deadline else "lost"
            return self._refuse(state.call, kind, state, detail=reason)
        if reason == CRASHES:
            return self._refuse_crashing(state)
        left_s = max(0.0, state.deadline - now)
        max_pause_s = MAX_RETRY_AFTER_FRACTION * left_s
        pause_s = min(max_pause_s, max(MIN_RETRY_AFTER_S, expected_s - left_s))
        # Jitter, so that callers refused together do not return together.
        pause_s *= 0.5 + 0.5 * random.random()
        if self._waiting is not None:
            pause_s = self._waiting.pause_s(state, now) or pause_s
        return self._refuse(
            state.call, "not_servable", state, pause_s, detail=reason
        )

    def _refuse_crashing(self, state: RequestState) -> Response:
        """Refuses a request that servers crash under.

        Its caller may come back when it may run on trial, or, if another one
        runs on trial now, soon after.
        """
        state.is_withheld = True
        withheld_s = self._chooser.withheld_s(state)
        left_s = max(0.0, state.deadline - self._clock.now())
        pause_s = withheld_s or MAX_RETRY_AFTER_FRACTION * left_s
        return self._refuse(
            state.call, CRASHES, state, pause_s, f"digest {state.digest}"
        )

    def _refuse(
        self,
        call: Call | None,
        reason: str,
        state: RequestState | None = None,
        retry_after_s: float | None = None,
        detail: str = "",
    ) -> Response:
        refusal: Refusal = REFUSALS.refusal(reason, detail, retry_after_s)
        self._log.record_refusal(call, state, refusal, self._clock.now())
        return self._dialect.encode_refusal(call, refusal)
