"""Chooses the backend server of a request; pure.

A server that handled an object lately is several times faster with it. The
choice is the lowest expected cost: distance, work (shorter where the object
is warm), queue, and the chance to miss the route's target latency.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import xxhash

from radishmux.steer.move_budget import SpillGate
from radishmux.steer.object_places import (
    SCALE_BYTES,
    Level,
    ObjectPlace,
    ObjectPlaces,
)
from radishmux.steer.server_state import SHED_PAUSE_S, ServerState
from radishmux.steer.servers import Server
from radishmux.steer.work_times import WorkTimes

# Round trips, one-way 0.1, 1 and 55 ms, from the platform's figures.
ROUND_TRIP_S = {"domain": 0.0004, "region": 0.002, "remote": 0.11}
# What a request across failure domains is worth avoiding: its bytes are paid
# for. A fifth of the time between regions, whose bytes cost several times as
# much.
DOMAIN_CROSSING_S = 0.025
# An object moves to a nearer server only if that is less busy than this.
ROOM_SHARE = 0.75
# A failed request costs about a second try.
FAILURE_COST = 2.0
# Cost of missing the target latency, as a multiple of it.
LATE_COST = 1.5
# Time of a queued request relative to that with a warm object.
QUEUE_FACTOR = 1.5
# Cost of the time that a request takes from others on a busy server: its
# work counts this many times more on a full server, and not on one that is
# half empty. Without it, requests that find their home busy run cold on other
# busy servers, which takes several times the slots and makes all of them
# late for good. At an object's home it stops growing with a full server: the
# request is meant to wait there.
CROWDING = 2.0
# Requests per slot from which on a server is crowded.
CROWDED_LOAD = 1.25
# Spread of the time that a request takes, relative to what is expected.
SPREAD = 0.15
# Servers other than an object's home cost this much more, so that equals do
# not take turns.
_AWAY_COST_S = 0.005
# A server that joined this lately has not been warmed by other instances.
JUST_JOINED_S = 5.0


class PlacementRequest:
    """One request that looks for a server.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        key: Hash of the object that it concerns; None without affinity.
        regions: Regions that may serve it; empty means all.
        transfer_bytes: Size of its body and of the response that is expected.
        target_s: Time that is left of the route's target latency.
        left_s: Time that is left until an answer is useless.
        is_retry: Whether a server has turned it away already.
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
    """A chosen server with what is expected of it.

    Attributes:
        server: The server.
        expected_s: Expected time until the response.
        slow_s: The same if the object turns out to be cold.
        work_s: Part of it that the server works.
        known_warm: Whether it handled the object for this instance lately.
        is_home: Whether it is one of the object's homes.
        is_queued: Whether the request is expected to wait there.
        load: Estimated requests at the server.
        cost: What the choice was made by, in seconds.
    """

    __slots__ = (
        "cost",
        "expected_s",
        "is_home",
        "is_queued",
        "known_warm",
        "load",
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
    ) -> None:
        self.server = server
        self.expected_s = expected_s
        self.expected_cold_s = expected_cold_s
        self.work_s = work_s
        self.known_warm = known_warm
        self.is_home = is_home
        self.is_queued = is_queued
        self.load = load
        self.cost = cost


class Placement:
    """Chooses servers for the requests of one instance.

    Args:
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        regions: Region of each failure domain that callers are in; None: the
            domains of the servers.
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
        self._states: dict[str, ServerState] = {}
        self._works: dict[tuple[str, str], WorkTimes] = {}
        self._places: dict[str, ObjectPlaces] = {}
        self._spills: dict[str, SpillGate] = {}

    def state(self, name: str) -> ServerState:
        """Returns what was seen of a server."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = ServerState()
        return state

    def work_times(self, service: str, route: str) -> WorkTimes:
        """Returns the measured work times for a kind of request."""
        work = self._works.get((service, route))
        if work is None:
            work = self._works[(service, route)] = WorkTimes()
        return work

    def retain_only(self, names: set[str]) -> None:
        """Drops what was seen of servers that are gone."""
        for name in self._states.keys() - names:
            if not self._states[name].in_flight:
                del self._states[name]

    def round_trip_s(self, server: Server) -> float:
        """Returns the time to a server and back."""
        if server.region != self._region:
            return ROUND_TRIP_S["remote"]
        same = server.entry.failure_domain == self._failure_domain
        return ROUND_TRIP_S["domain" if same else "region"]

    def choose(
        self,
        demand: PlacementRequest,
        servers: Sequence[Server],
        may_use: Callable[[Server], bool],
        now: float,
    ) -> Choice | None:
        """Returns the server for a request, or None when there is none.

        Args:
            demand: The request.
            servers: All servers that the request is allowed at.
            may_use: Whether one of them can take it now.
            now: Monotonic seconds.
        """
        if not servers:
            return None
        place = self._place(demand, servers, now)
        home_region = place.home.region if place else self._region
        near = far = None
        if place is not None:
            near, far = self._cheapest(
                demand, place.candidates, may_use, place, home_region, now
            )
        if far is None or far.expected_s > demand.left_s:
            near, far = self._cheapest(
                demand, servers, may_use, place, home_region, now
            )
        if near is None or far is None or demand.regions:
            return near if far is None else far
        return (
            far
            if self._spills_over(demand, place, far is not near, now)
            else near
        )

    def _place(
        self, demand: PlacementRequest, servers: Sequence[Server], now: float
    ) -> ObjectPlace | None:
        """Returns the place of a request's object, and counts the request."""
        if demand.key is None:
            return None
        places = self._places.get(demand.service)
        if places is None:
            places = ObjectPlaces(
                self._region, self._failure_domain, now, self._regions
            )
            self._places[demand.service] = places
        place = places.place(demand.key, servers, demand.transfer_bytes)
        nearer = place.homes.by_level[Level.REGION]
        busy = self.state(nearer.name).load(now) / nearer.entry.slots
        places.note(place, demand.transfer_bytes, busy < ROOM_SHARE, now)
        return place

    def _spills_over(
        self,
        demand: PlacementRequest,
        place: ObjectPlace | None,
        is_better: bool,
        now: float,
    ) -> bool:
        """Whether a request leaves the region of its object's home.

        Args:
            demand: The request.
            place: Place of its object, if it has one.
            is_better: Whether another region is expected to serve it sooner.
            now: Monotonic seconds.
        """
        spill = self._spills.get(demand.service)
        if spill is None:
            spill = self._spills[demand.service] = SpillGate(now)
        if place is not None:
            self._places[demand.service].note_spill(place, is_better, now)
        # A request that was turned away once goes where there is room.
        return spill.allow(is_better, now) or demand.is_retry

    def _cheapest(
        self,
        demand: PlacementRequest,
        servers: Sequence[Server],
        may_use: Callable[[Server], bool],
        place: ObjectPlace | None,
        home_region: str,
        now: float,
    ) -> tuple[Choice | None, Choice | None]:
        """Returns the best server of the home region and of all regions."""
        work = self.work_times(demand.service, demand.route)
        near: Choice | None = None
        best: Choice | None = None
        spares_crowded = place is not None and self._is_up(place.home, now)
        for server in servers:
            state = self.state(server.name)
            if state.paused_until > now or not may_use(server):
                continue
            if spares_crowded and self._is_crowded(server, state, place, now):
                continue
            choice = self._assess(server, state, demand, work, place, now)
            if best is None or choice.cost < best.cost:
                best = choice
            if server.region == home_region and (
                near is None or choice.cost < near.cost
            ):
                near = choice
        return near, best

    def _is_up(self, server: Server, now: float) -> bool:
        """Whether a server has at most turned requests away just now."""
        return self.state(server.name).paused_until <= now + SHED_PAUSE_S

    @staticmethod
    def _is_crowded(
        server: Server,
        state: ServerState,
        place: ObjectPlace | None,
        now: float,
    ) -> bool:
        """Whether a request would run cold at a server that has a queue.

        It would take several times the slots there; it waits for the home of
        its object or is refused instead.
        """
        if place is None or place.is_home(server):
            return False
        return state.load(now) >= CROWDED_LOAD * server.entry.slots

    def _assess(
        self,
        server: Server,
        state: ServerState,
        demand: PlacementRequest,
        work: WorkTimes,
        place: ObjectPlace | None,
        now: float,
    ) -> Choice:
        known_warm = place is None or state.is_warm(demand.key or 0)
        is_home = (
            place is not None
            and place.is_home(server)
            and now - server.since > JUST_JOINED_S
        )
        slowness = state.slowness(now)
        work_s = work.expected(known_warm, is_home) * slowness
        slots = server.entry.slots
        load = state.load(now)
        queued = max(0.0, load + 1 - slots)
        # Requests queue where their objects are warm or become so.
        wait_s = queued * work.warm_s * QUEUE_FACTOR * slowness / slots
        expected_s = self.round_trip_s(server) + work_s + wait_s
        busy = (load + 1) / slots
        if place is None or is_home:
            busy = min(1.0, busy)
        crowding_s = work_s * CROWDING * max(0.0, 2.0 * busy - 1.0)
        cost = (expected_s + crowding_s) * (
            1.0 + FAILURE_COST * state.failure_share(now)
        )
        if server.entry.failure_domain != self._failure_domain:
            size = 1.0 + demand.transfer_bytes / SCALE_BYTES
            cost += DOMAIN_CROSSING_S * size
        if demand.target_s < math.inf:
            cost += LATE_COST * demand.target_s * _late(expected_s, demand)
        if place is not None and server is not place.home:
            cost += _AWAY_COST_S + 1e-5 * place.homes.ranks[server.name]
        return Choice(
            server=server,
            expected_s=expected_s,
            expected_cold_s=expected_s + work.cold_s - work_s,
            work_s=work_s,
            known_warm=known_warm,
            is_home=is_home,
            is_queued=queued > 0,
            load=load,
            cost=cost,
        )


def _late(expected_s: float, demand: PlacementRequest) -> float:
    """Returns the chance that a request misses its target latency."""
    excess = (expected_s - demand.target_s) / (SPREAD * expected_s)
    return 1.0 / (1.0 + math.exp(-max(-30.0, min(30.0, 1.7 * excess))))


def object_key(route: str, affinity: str) -> int:
    """Returns the hash of an object of a route."""
    return xxhash.xxh3_64_intdigest(f"{route}\0{affinity}".encode())
