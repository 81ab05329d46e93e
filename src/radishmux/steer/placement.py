"""Chooses the backend server of a request; pure.

A server that handled an object lately is several times faster with it, so the
requests for an object go to few servers: in each region the first ones in the
order of a hash of object and server. The choice is the lowest expected time:
distance, work (shorter where the object is warm) and queue.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from radishmux.steer.server_state import ServerState
from radishmux.steer.servers import Server

# Work time assumed before any response was measured.
INITIAL_WORK_S = 0.3
# Warm work relative to cold work before both were measured.
INITIAL_WARM_RATIO = 0.4
_WORK_WEIGHT = 0.05
# Round trips, one-way 0.1, 1 and 55 ms, from the platform's figures.
ROUND_TRIP_S = {"domain": 0.0004, "region": 0.002, "remote": 0.11}
# A failed request costs about a second try.
FAILURE_COST = 2.0


class WorkTimes:
    """Measured work times of one route at one service."""

    __slots__ = ("cold_s", "warm_s")

    def __init__(self) -> None:
        self.cold_s = INITIAL_WORK_S
        self.warm_s = INITIAL_WORK_S * INITIAL_WARM_RATIO

    def note(self, work_s: float, was_warm: bool) -> None:
        """Takes the duration of a response, without distance and queue."""
        if was_warm:
            self.warm_s += _WORK_WEIGHT * (work_s - self.warm_s)
        else:
            self.cold_s += _WORK_WEIGHT * (work_s - self.cold_s)
        self.cold_s = max(self.cold_s, self.warm_s)

    def expected(self, is_warm: bool) -> float:
        """Returns the expected work time in seconds."""
        return self.warm_s if is_warm else self.cold_s


class Demand:
    """One request that looks for a server.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        key: Hash of the object that it concerns; None without affinity.
        regions: Regions that may serve it; empty means all.
    """

    __slots__ = ("key", "regions", "route", "service")

    def __init__(
        self,
        service: str,
        route: str,
        key: int | None,
        regions: frozenset[str],
    ) -> None:
        self.service = service
        self.route = route
        self.key = key
        self.regions = regions


class Choice:
    """A chosen server with what is expected of it.

    Attributes:
        server: The server.
        expected_s: Expected time until the response.
        work_s: Part of it that the server works.
        is_warm: Whether its object is expected to be warm there.
    """

    __slots__ = ("expected_s", "is_warm", "server", "work_s")

    def __init__(
        self, server: Server, expected_s: float, work_s: float, is_warm: bool
    ) -> None:
        self.server = server
        self.expected_s = expected_s
        self.work_s = work_s
        self.is_warm = is_warm


class Placement:
    """Orders servers for requests of one instance.

    Args:
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
    """

    def __init__(self, region: str, failure_domain: str) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._states: dict[str, ServerState] = {}
        self._works: dict[tuple[str, str], WorkTimes] = {}
        self._orders: dict[
            tuple[str, int], tuple[tuple[Server, ...], dict[str, int]]
        ] = {}

    def state(self, name: str) -> ServerState:
        """Returns what was seen of a server."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = ServerState()
        return state

    def work_times(self, demand: Demand) -> WorkTimes:
        """Returns the measured work times for a kind of request."""
        key = (demand.service, demand.route)
        work = self._works.get(key)
        if work is None:
            work = self._works[key] = WorkTimes()
        return work

    def forget_except(self, names: set[str]) -> None:
        """Drops what was seen of servers that are gone."""
        for name in self._states.keys() - names:
            if not self._states[name].in_flight:
                del self._states[name]
        self._orders.clear()

    def round_trip_s(self, server: Server) -> float:
        """Returns the time to a server and back."""
        if server.region != self._region:
            return ROUND_TRIP_S["remote"]
        same = server.entry.failure_domain == self._failure_domain
        return ROUND_TRIP_S["domain" if same else "region"]

    def choose(
        self, demand: Demand, servers: Iterable[Server], now: float
    ) -> Choice | None:
        """Returns the server with the lowest expected time, or None.

        Args:
            demand: The request.
            servers: Servers that may take it.
            now: Monotonic seconds.
        """
        work = self.work_times(demand)
        best: Choice | None = None
        best_cost = 0.0
        usable = [
            server
            for server in servers
            if self.state(server.name).paused_until <= now
        ]
        ranks = self._ranks(demand, tuple(usable))
        for server in usable:
            state = self._states[server.name]
            is_warm = demand.key is None or state.is_warm(demand.key)
            likely_warm = is_warm or ranks.get(server.name, 1) == 0
            work_s = work.expected(likely_warm) * state.slowness(now)
            queued = state.load(now) + 1 - server.entry.slots
            wait_s = max(0.0, queued) * work_s / server.entry.slots
            expected_s = self.round_trip_s(server) + work_s + wait_s
            cost = expected_s * (
                1.0 + FAILURE_COST * state.failure_share(now)
            ) + 1e-4 * ranks.get(server.name, 0)
            if best is None or cost < best_cost:
                best = Choice(server, expected_s, work_s, likely_warm)
                best_cost = cost
        return best

    def _ranks(
        self, demand: Demand, servers: tuple[Server, ...]
    ) -> dict[str, int]:
        """Returns the place of each server in its region's order."""
        if demand.key is None:
            return {}
        cached = self._orders.get((demand.service, demand.key))
        if cached is not None and cached[0] == servers:
            return cached[1]
        scored = sorted(
            servers,
            key=lambda one: xxhash.xxh3_64_intdigest(
                one.name.encode(), seed=demand.key
            ),
            reverse=True,
        )
        ranks: dict[str, int] = {}
        counts: dict[str, int] = {}
        for server in scored:
            rank = counts.get(server.region, 0)
            counts[server.region] = rank + 1
            ranks[server.name] = rank
        if len(self._orders) > 4096:
            self._orders.clear()
        self._orders[(demand.service, demand.key)] = (servers, ranks)
        return ranks


def object_key(route: str, affinity: str) -> int:
    """Returns the hash of an object of a route."""
    return xxhash.xxh3_64_intdigest(f"{route}\0{affinity}".encode())
