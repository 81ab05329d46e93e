"""Chooses the backend server for an attempt at a request."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from radishmux.config.routing import RouteKind
from radishmux.dispatch.crash_history import CrashVerdict
from radishmux.gateway.crash_guard import CrashGuard
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.request_state import RequestState
from radishmux.gateway.rollouts import Rollouts
from radishmux.gateway.sender import ServerSender
from radishmux.shift.rollout import ANY_VERSION, VersionRule
from radishmux.steer.hedging import HedgePlan
from radishmux.steer.placement import (
    Choice,
    Placement,
    PlacementRequest,
    object_key,
)
from radishmux.steer.server_state import SHED_PAUSE_S
from radishmux.steer.servers import Server

MayUse = Callable[[RequestState, Server, float], bool]
Place = Callable[
    [
        PlacementRequest,
        Sequence[Server],
        Callable[[Server], bool],
        float,
    ],
    Choice | None,
]

# Limited servers that a request asks for, one after the other. Each question
# takes up to a round trip between regions, and a request that is denied several
# times will hardly get a permit of the next server.
MAX_DENIALS = 3


class Outlook:
    """When servers may have room for a request that none can take now.

    Attributes:
        is_expected: Whether a server is only full, so that it will have room.
        accepted_per_s: Requests per second that the servers accept from this
            instance because they are cold; inf if one of them is warm.
    """

    __slots__ = ("accepted_per_s", "is_expected")

    def __init__(self, is_expected: bool, accepted_per_s: float) -> None:
        self.is_expected = is_expected
        self.accepted_per_s = accepted_per_s


class ServerChooser:
    """Chooses among the servers that a request may go to.

    Args:
        fleet: Servers and evacuations.
        rollouts: Says which versions a request may go to.
        placement: Compares the servers.
        sender: Says which servers accept requests now.
        guard: Says which requests crash servers.
        hedges_by_durations: Whether the durations of a route decide when a
            second attempt starts.
    """

    def __init__(
        self,
        fleet: FleetState,
        rollouts: Rollouts,
        placement: Placement,
        sender: ServerSender,
        guard: CrashGuard,
        hedges_by_durations: bool = False,
    ) -> None:
        self._hedges_by_durations = hedges_by_durations
        self._guard = guard
        self._fleet = fleet
        self._rollouts = rollouts
        self._placement = placement
        self._sender = sender

    def choose(
        self, state: RequestState, now: float, only_reachable: bool = False
    ) -> Choice | None:
        """Returns the server for the next attempt, or None if there is none.

        Counts as a request in the rollout of the service.

        Args:
            state: The request.
            now: Monotonic seconds.
            only_reachable: Whether servers are left out to which no connection
                is open, while no new one can be opened.
        """
        state.rule = self._rollouts.next_rule(
            state.service, state.route.name, now
        )
        may_use = self._may_use_reachable if only_reachable else self._may_use
        return self._choose(self._placement.choose, state, may_use, now)

    def preview(self, state: RequestState, now: float) -> Choice | None:
        """Returns the server that an attempt would get, or None.

        Counts nothing, so that it may be asked repeatedly. The versions are
        those that the latest choice for the request allowed.
        """
        return self._choose(self._placement.preview, state, self._may_use, now)

    def _choose(
        self, place: Place, state: RequestState, may_use: MayUse, now: float
    ) -> Choice | None:
        rule = state.rule
        placement_request = self._placement_request(state, now)
        if self._guard.is_marked(state.digest):
            may_use = self._unless_withheld(may_use)
        choice = self._choose_with_rule(
            place, rule, state, placement_request, may_use, now
        )
        if choice is None and rule.only is not None:
            # No server of the rule's version can take the request.
            choice = self._choose_with_rule(
                place, rule.fallback(), state, placement_request, may_use, now
            )
        return choice

    def _placement_request(
        self, state: RequestState, now: float
    ) -> PlacementRequest:
        route = state.route
        key = None
        if route.affinity and state.call.affinity is not None:
            key = object_key(route.name, state.call.affinity)
        work = self._placement.work_times(state.service, route.name)
        target_s = state.call.received_at + route.target_latency_s - now
        return PlacementRequest(
            state.service,
            route.name,
            key,
            state.regions,
            transfer_bytes=len(state.call.body)
            + work.expected_bytes(route.kind is RouteKind.DOWNLOAD),
            target_s=max(0.0, target_s),
            left_s=state.deadline - now,
            is_retry=bool(state.tried_servers),
        )

    def _choose_with_rule(
        self,
        place: Place,
        rule: VersionRule,
        state: RequestState,
        placement_request: PlacementRequest,
        may_use: MayUse,
        now: float,
    ) -> Choice | None:
        servers = self._fleet.usable_servers(state.service, state.regions, rule)
        if (
            may_use == self._may_use
            and not state.tried_servers
            and not state.unavailable_servers
        ):
            # Nothing excludes a server, as for most requests.
            may_send = self._sender.may_send
            return place(
                placement_request,
                servers,
                lambda server: may_send(server, now),
                now,
            )
        return place(
            placement_request,
            servers,
            lambda server: may_use(state, server, now),
            now,
        )

    def _may_use_reachable(
        self, state: RequestState, server: Server, now: float
    ) -> bool:
        return self._sender.connections.can_reach(
            server, now
        ) and self._may_use(state, server, now)

    def _unless_withheld(self, may_use: MayUse) -> MayUse:
        """Returns a condition that also leaves out servers of some versions.

        These are the ones that crash under the request.
        """

        def may_use_unless_withheld(
            state: RequestState, server: Server, now: float
        ) -> bool:
            verdict = self._guard.decide(state.digest, server.entry.software)
            return verdict is not CrashVerdict.WITHHELD and may_use(
                state, server, now
            )

        return may_use_unless_withheld

    def _may_use(self, state: RequestState, server: Server, now: float) -> bool:
        """Whether a request may go to a server that is not paused."""
        return self._is_open_to(state, server) and self._sender.may_send(
            server, now
        )

    def _is_open_to(self, state: RequestState, server: Server) -> bool:
        """Whether neither earlier attempts nor denials exclude a server."""
        denied = state.unavailable_servers
        if server.name in state.tried_servers or server.name in denied:
            return False
        return len(denied) < MAX_DENIALS or not self._sender.needs_permit(
            server
        )

    def withheld_s(self, state: RequestState) -> float:
        """Returns for how long no server may get a request, in seconds.

        It is 0 if the request crashes no servers, or if there are servers of a
        version that it may run on.
        """
        versions = {
            server.entry.software
            for server in self._fleet.servers.of_service(state.service)
        }
        return self._guard.withheld_s(state.digest, versions)

    def may_hedge(self, state: RequestState) -> bool:
        """Whether two servers may run a request at the same time."""
        return not self._guard.is_marked(state.digest)

    def plan_hedge(
        self, state: RequestState, choice: Choice, now: float
    ) -> HedgePlan | None:
        """Returns when a second attempt beside a first one may start.

        Returns:
            The plan; None if the usual delay applies.
        """
        if not self._hedges_by_durations:
            return None
        route = state.route
        return HedgePlan(
            choice,
            self._placement.work_times(state.service, route.name),
            route.affinity and state.call.affinity is not None,
            state.call.received_at + route.target_latency_s,
            now,
        )

    def expected_warm_s(self, state: RequestState) -> float:
        """Returns the time that a server takes if the object is warm."""
        route = state.route.name
        return self._placement.work_times(state.service, route).warm_s

    def outlook(self, state: RequestState, now: float) -> Outlook:
        """Returns when a server may have room that has none now.

        Servers that are being asked for nothing because of failures are not
        expected to have room.
        """
        servers = self._fleet.usable_servers(
            state.service, state.regions, ANY_VERSION
        )
        is_expected = False
        cold_per_s = 0.0
        for server in servers:
            version = server.entry.version
            if not state.rule.allows(version) and (
                state.rule.only is None
                or not state.rule.fallback().allows(version)
            ):
                continue
            if not self._is_open_to(state, server):
                continue
            paused_until = self._placement.state_of(server).unavailable_until
            if paused_until > now + SHED_PAUSE_S:
                continue
            per_s = self._sender.accepted_per_s(server, now)
            is_expected |= per_s > 0.0
            cold_per_s += per_s
        return Outlook(is_expected, cold_per_s)

    def expected_cold_s(self, state: RequestState) -> float:
        """Returns the time that a server takes if the object is cold."""
        route = state.route.name
        return self._placement.work_times(state.service, route).cold_s

    def describe_rejection(
        self,
        state: RequestState,
        choice: Choice | None,
        reason: str,
        now: float,
    ) -> str:
        """Returns a reason with the figures that decided it, for the log."""
        # Servers of any version: asking for the rollout's rule would count as
        # another request.
        servers = self._fleet.usable_servers(
            state.service, state.regions, ANY_VERSION
        )
        left_ms = round(1000 * (state.deadline - now))
        summary = f"{reason}: {len(servers)} servers, {left_ms} ms left"
        if choice is None:
            return summary
        return (
            f"{summary}, best {choice.server.name} with load {choice.load:.1f}"
            f" of {choice.server.entry.slots} expected to take"
            f" {round(1000 * choice.expected_s)} ms"
        )
