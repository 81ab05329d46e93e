"""Chooses the backend server of a request; no I/O.

A server that recently handled an object is several times faster with it. The
server with the lowest expected cost is chosen. The cost covers the round trip,
the work (shorter where the object is warm), the queue and the probability of
missing the route's target latency.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import xxhash

from radishmux.steer.move_budget import SpilloverLimiter
from radishmux.steer.object_places import (
    LOCALITY_SCALE_BYTES,
    MANY_INSTANCES,
    Level,
    ObjectPlace,
    ObjectPlaces,
)
from radishmux.steer.server_state import SHED_PAUSE_S, ServerState
from radishmux.steer.servers import Server
from radishmux.steer.work_times import WorkTimes

# Round trip times; the platform specifies one-way latencies of 0.1, 1 and
# 55 ms.
ROUND_TRIP_S = {"domain": 0.0004, "region": 0.002, "remote": 0.11}
# Cost of a request across failure domains, whose bytes are charged for. It is
# about a fifth of the round trip between regions, whose bytes cost several
# times as much.
DOMAIN_CROSSING_S = 0.025
# An object moves to a nearer server only if the load of that server, relative
# to its slots, is below this.
MAX_LOAD_FOR_MOVE = 0.75
# A failed request costs about one retry.
FAILURE_COST = 2.0
# Cost of missing the target latency, as a multiple of that latency.
MISSED_TARGET_COST = 1.5
# Work time of queued requests relative to work with a warm object.
QUEUED_WORK_FACTOR = 1.5
# Weight of the time that a request takes from others on a busy server. Its work
# is added this many times on a full server and not at all on a server that is
# half empty. Without this cost, requests that find their home busy run cold on
# other busy servers. They then take several times the slots there, and all
# servers stay late. At an object's home the cost stops growing once the server
# is full, because the request should wait there.
CROWDING_FACTOR = 2.0
# Load relative to the slots from which on a server counts as crowded.
CROWDED_LOAD_RATIO = 1.25
# Spread of request durations relative to the expected duration.
DURATION_SPREAD = 0.15
# Additional cost of servers other than an object's home, so that requests do
# not alternate between servers of equal cost.
_NOT_HOME_COST_S = 0.005
# Additional cost of a server that may still rest, for a request that was turned
# away already. It is above any other cost: the request has few attempts left.
TRIAL_COST_S = 60.0
# Time after a server joined during which other instances cannot have warmed it.
JUST_JOINED_S = 5.0


class PlacementRequest:
    """A request for which a server is to be chosen.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        key: Hash of the requested object; None without affinity.
        regions: Regions that may serve the request; empty means all.
        transfer_bytes: Size of the body and the expected response.
        target_s: Time left until the route's target latency is missed.
        left_s: Time left until the deadline of the request.
        is_retry: Whether a server has already shed the request.
    """

    __slots__ = (
        "transfer_bytes",
        "is_retry",
        "key",
        "left_s",
        "regions",
        "route",
        "service",
        "target_s",
    )

    def __init__(
        self,
        service: str,
        route: str,
        key: int | None,
        regions: frozenset[str],
        transfer_bytes: int = 0,
        target_s: float = math.inf,
        left_s: float = math.inf,
        is_retry: bool = False,
    ) -> None:
        self.service = service
        self.route = route
        self.key = key
        self.regions = regions
        self.transfer_bytes = transfer_bytes
        self.target_s = target_s
        self.left_s = left_s
        self.is_retry = is_retry


class Choice:
    """A server with the estimates by which it is compared with others.

    Attributes:
        server: The server.
        expected_s: Expected time until the response.
        expected_cold_s: Expected time until the response if the object is cold.
        work_s: Time that the server is expected to work on the request.
        known_warm: Whether the server recently handled the object for this
            instance, or the request has no object.
        is_home: Whether the server is one of the object's homes.
        is_queued: Whether the request is expected to wait in a queue.
        pace: Expected duration of the work relative to the one at the usual
            pace of the machine.
        load: Estimated number of requests at the server.
        cost: Expected cost in seconds; the lowest cost is chosen.
        is_hedged_early: Whether a second attempt was started beside this one
            before the usual delay.
    """

    __slots__ = (
        "cost",
        "expected_s",
        "is_hedged_early",
        "is_home",
        "is_queued",
        "known_warm",
        "load",
        "pace",
        "server",
        "expected_cold_s",
        "work_s",
    )

    def __init__(
        self,
        *,
        server: Server,
        expected_s: float,
        expected_cold_s: float,
        work_s: float,
        known_warm: bool,
        is_home: bool,
        is_queued: bool,
        load: float,
        cost: float,
        pace: float = 1.0,
    ) -> None:
        self.server = server
        self.expected_s = expected_s
        self.expected_cold_s = expected_cold_s
        self.work_s = work_s
        self.known_warm = known_warm
        self.is_home = is_home
        self.is_queued = is_queued
        self.load = load
        self.pace = pace
        self.cost = cost
        self.is_hedged_early = False


class Placement:
    """Chooses servers for the requests of one instance.

    Args:
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        regions: Region of each failure domain that has callers; None means
            the failure domains of the servers.
    """

    def __init__(
        self,
        region: str,
        failure_domain: str,
        regions: dict[str, str] | None = None,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._regions = regions
        self._region_instances = 1
        self._states: dict[str, ServerState] = {}
        self._work_times: dict[tuple[str, str], WorkTimes] = {}
        self._places: dict[str, ObjectPlaces] = {}
        self._spillover_limiters: dict[str, SpilloverLimiter] = {}

    def set_region_instances(self, count: int) -> None:
        """Sets the number of instances in the region of this instance.

        Objects that are already placed stay where they are.
        """
        self._region_instances = count

    def state(self, name: str, started_ms: int = 0) -> ServerState:
        """Returns the observed state of a server.

        Args:
            name: Name of the server.
            started_ms: Unix time of its start in milliseconds. A server that
                has started again under its name begins with a new state.
        """
        state = self._states.get(name)
        if state is None or started_ms > state.started_ms:
            state = self._states[name] = ServerState(started_ms)
        return state

    def state_of(self, server: Server) -> ServerState:
        """Returns the observed state of a server since its latest start.

        The outcomes of requests to an earlier start do not change it.
        """
        started_ms = server.entry.started_ms
        state = self._states.get(server.name)
        if state is not None and state.started_ms == started_ms:
            return state
        state = self.state(server.name, started_ms)
        if 0 < started_ms < state.started_ms:
            return ServerState(started_ms)
        return state

    def work_times(self, service: str, route: str) -> WorkTimes:
        """Returns the measured work times of a route at a service."""
        work = self._work_times.get((service, route))
        if work is None:
            work = self._work_times[(service, route)] = WorkTimes()
        return work

    def retain_only(self, names: set[str]) -> None:
        """Drops the state of other servers, unless requests are in flight."""
        for name in self._states.keys() - names:
            if not self._states[name].in_flight:
                del self._states[name]

    def round_trip_s(self, server: Server) -> float:
        """Returns the round trip time to a server in seconds."""
        if server.region != self._region:
            return ROUND_TRIP_S["remote"]
        same = server.entry.failure_domain == self._failure_domain
        return ROUND_TRIP_S["domain" if same else "region"]

    def choose(
        self,
        request: PlacementRequest,
        servers: Sequence[Server],
        may_use: Callable[[Server], bool],
        now: float,
    ) -> Choice | None:
        """Returns the server for a request, or None if no server is usable.

        Args:
            request: The request.
            servers: All servers that may handle the request.
            may_use: Returns whether a server accepts requests now.
            now: Monotonic seconds.
        """
        if not servers:
            return None
        place = self._locate_object(request, servers, now)
        home_region = place.home.region if place else self._region
        in_home_region = cheapest = None
        if place is not None:
            in_home_region, cheapest = self._find_cheapest(
                request, place.candidates, may_use, place, home_region, now
            )
        if cheapest is None or cheapest.expected_s > request.left_s:
            in_home_region, cheapest = self._find_cheapest(
                request, servers, may_use, place, home_region, now
            )
        if in_home_region is None or cheapest is None or request.regions:
            return in_home_region if cheapest is None else cheapest
        return (
            cheapest
            if self._spills_over(
                request, place, cheapest is not in_home_region, now
            )
            else in_home_region
        )

    def preview(
        self,
        request: PlacementRequest,
        servers: Sequence[Server],
        may_use: Callable[[Server], bool],
        now: float,
    ) -> Choice | None:
        """Returns the cheapest server like `choose`, but counts no request.

        The arguments are those of `choose`. A limit on requests that leave
        their region is not regarded.
        """
        place = None
        cheapest = None
        if not servers:
            return None
        if request.key is not None:
            place = self._places_of(request.service, now).place(
                request.key, servers, request.transfer_bytes
            )
            _, cheapest = self._find_cheapest(
                request, place.candidates, may_use, place, self._region, now
            )
        if cheapest is None or cheapest.expected_s > request.left_s:
            _, cheapest = self._find_cheapest(
                request, servers, may_use, place, self._region, now
            )
        return cheapest

    def _places_of(self, service: str, now: float) -> ObjectPlaces:
        places = self._places.get(service)
        if places is None:
            places = self._places[service] = ObjectPlaces(
                self._region,
                self._failure_domain,
                now,
                self._regions,
                self._region_instances >= MANY_INSTANCES,
            )
        return places

    def _locate_object(
        self, request: PlacementRequest, servers: Sequence[Server], now: float
    ) -> ObjectPlace | None:
        """Counts a request and returns the place of its object."""
        if request.key is None:
            return None
        places = self._places_of(request.service, now)
        place = places.place(request.key, servers, request.transfer_bytes)
        nearer = place.homes.by_level[Level.REGION]
        busy = self.state_of(nearer).load(now) / nearer.entry.slots
        places.record_request(
            place, request.transfer_bytes, busy < MAX_LOAD_FOR_MOVE, now
        )
        return place

    def _spills_over(
        self,
        request: PlacementRequest,
        place: ObjectPlace | None,
        is_better: bool,
        now: float,
    ) -> bool:
        """Returns whether a request leaves the region of its object's home.

        Args:
            request: The request.
            place: Place of the requested object, if any.
            is_better: Whether a server in another region has a lower cost.
            now: Monotonic seconds.
        """
        limiter = self._spillover_limiters.get(request.service)
        if limiter is None:
            limiter = self._spillover_limiters[request.service] = (
                SpilloverLimiter(now)
            )
        if place is not None:
            self._places[request.service].record_spillover(
                place, is_better, now
            )
        # Retries of requests that were shed may always leave the region.
        return limiter.allow(is_better, now) or request.is_retry

    def _find_cheapest(
        self,
        request: PlacementRequest,
        servers: Sequence[Server],
        may_use: Callable[[Server], bool],
        place: ObjectPlace | None,
        home_region: str,
        now: float,
    ) -> tuple[Choice | None, Choice | None]:
        """Returns the cheapest choices in the home region and overall."""
        work = self.work_times(request.service, request.route)
        in_home_region: Choice | None = None
        cheapest: Choice | None = None
        avoid_crowded = place is not None and self._is_reachable(
            place.home, now
        )
        for server in servers:
            state = self.state_of(server)
            if not state.is_available(now) or not may_use(server):
                continue
            load = state.load(now)
            if avoid_crowded and self._is_crowded_and_cold(server, load, place):
                continue
            is_in_home_region = server.region == home_region
            # The cheapest one in the home region never costs less than the
            # cheapest one of all.
            rival = in_home_region if is_in_home_region else cheapest
            choice = self._assess(
                server, state, load, request, work, place, now, rival
            )
            if choice is None:
                continue
            if cheapest is None or choice.cost < cheapest.cost:
                cheapest = choice
            if is_in_home_region:
                in_home_region = choice
        return in_home_region, cheapest

    def _is_reachable(self, server: Server, now: float) -> bool:
        """Returns whether a server is not paused, except after shedding."""
        state = self.state_of(server)
        return state.unavailable_until <= now + SHED_PAUSE_S

    @staticmethod
    def _is_crowded_and_cold(
        server: Server, load: float, place: ObjectPlace | None
    ) -> bool:
        """Returns whether a request would run cold on a crowded server.

        A cold request takes several times the slots there. The request waits
        for the home of its object or is refused instead.
        """
        if place is None or load < CROWDED_LOAD_RATIO * server.entry.slots:
            return False
        return not place.is_home(server)

    def _assess(
        self,
        server: Server,
        state: ServerState,
        load: float,
        request: PlacementRequest,
        work: WorkTimes,
        place: ObjectPlace | None,
        now: float,
        rival: Choice | None,
    ) -> Choice | None:
        """Returns the choice of a server unless a rival costs no more."""
        known_warm = place is None or state.is_warm(request.key or 0)
        is_home = (
            place is not None
            and place.is_home(server)
            and now - server.first_seen_at > JUST_JOINED_S
        )
        slowness = state.slowness(now)
        work_s = work.expected(known_warm, is_home) * slowness
        entry = server.entry
        slots = entry.slots
        queued = load + 1 - slots
        if queued < 0.0:
            queued = 0.0
        # Queued requests are usually on servers where their objects are warm or
        # become warm.
        wait_s = queued * work.warm_s * QUEUED_WORK_FACTOR * slowness / slots
        pace = 1.0
        if state.reports_pace:
            usual_s = work_s
            until_done_s = state.paced_s(wait_s + work_s, now)
            wait_s = state.paced_s(wait_s, now)
            work_s = until_done_s - wait_s
            pace = work_s / usual_s
        expected_s = self.round_trip_s(server) + work_s + wait_s
        busy = (load + 1) / slots
        if busy > 1.0 and (place is None or is_home):
            busy = 1.0
        cost = expected_s
        if busy > 0.5:
            cost += work_s * CROWDING_FACTOR * (2.0 * busy - 1.0)
        cost *= 1.0 + FAILURE_COST * state.failure_share(now)
        if entry.failure_domain != self._failure_domain:
            size = 1.0 + request.transfer_bytes / LOCALITY_SCALE_BYTES
            cost += DOMAIN_CROSSING_S * size
        if request.target_s < math.inf:
            cost += (
                MISSED_TARGET_COST
                * request.target_s
                * _miss_probability(expected_s, request)
            )
        if request.is_retry and state.is_on_trial:
            cost += TRIAL_COST_S
        if place is not None and server is not place.home:
            cost += _NOT_HOME_COST_S + 1e-5 * place.homes.ranks[entry.name]
        if rival is not None and not cost < rival.cost:
            return None
        return Choice(
            server=server,
            expected_s=expected_s,
            expected_cold_s=expected_s + work.cold_s * pace - work_s,
            work_s=work_s,
            known_warm=known_warm,
            is_home=is_home,
            is_queued=queued > 0,
            load=load,
            cost=cost,
            pace=pace,
        )


def _miss_probability(expected_s: float, request: PlacementRequest) -> float:
    """Returns the probability that a request misses its target latency.

    Approximates a normal distribution of the duration by a logistic one.
    """
    excess = (expected_s - request.target_s) / (DURATION_SPREAD * expected_s)
    exponent = 1.7 * excess
    if exponent > 30.0:
        exponent = 30.0
    elif exponent < -30.0:
        exponent = -30.0
    return 1.0 / (1.0 + math.exp(-exponent))


def object_key(route: str, affinity: str) -> int:
    """Returns the hash of an object, given its route and affinity key."""
    return xxhash.xxh3_64_intdigest(f"{route}\0{affinity}".encode())
