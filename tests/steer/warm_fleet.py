"""Simulates backend servers with caches of warm objects in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque

from radishmux.steer.placement import Placement, PlacementRequest, object_key
from radishmux.steer.server_state import LoadReport
from tests.gateway.parts import server

REMOTE_S = 0.11
PACE_PERIOD_S = 0.3


class WarmServer:
    """A server with slots, a queue and a cache of recent objects.

    Its pace changes at random times, `PACE_PERIOD_S` apart on average, around a
    mean of its own, unless `paces` is None.
    """

    def __init__(self, name, domain, slots, cache_size, paces=None):
        self.paces = paces
        self.pace = 1.0
        self.pace_until = 0.0
        self.record = server(name, domain, slots=slots)
        self.cache_size = cache_size
        self.running = 0
        self.queue = deque()
        self.cache = OrderedDict()

    def pace_at(self, now, rng):
        while self.paces and now >= self.pace_until:
            self.pace = rng.choice(self.paces)
            self.pace_until += rng.expovariate(1 / PACE_PERIOD_S)
        return self.pace

    def begin(self, key, cold_s, warm_s, rng):
        self.running += 1
        work_s = warm_s if key in self.cache else cold_s
        self.cache[key] = True
        self.cache.move_to_end(key)
        if len(self.cache) > self.cache_size:
            self.cache.popitem(last=False)
        return work_s * rng.uniform(0.85, 1.15)


class WarmFleet:
    """Simulates requests of instances to warm servers, with their durations."""

    def __init__(self, servers, domains, seed=1, cold_s=0.88, warm_s=0.264):
        self.rng = random.Random(seed)
        self.servers = {
            warm_server.record.name: warm_server for warm_server in servers
        }
        self.records = tuple(warm_server.record for warm_server in servers)
        self.placements = [Placement(domain[0], domain) for domain in domains]
        self.cold_s = cold_s
        self.warm_s = warm_s
        self.reports_pace = True
        self.events = []
        self.event_number = 0
        # (start time, duration in seconds, caller's region, server's region)
        self.responses = []

    def play(self, seconds, rate_per_s, objects, routes=("r",), target_s=0.6):
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(rate_per_s)
            self._push(at, self._arrive, target_s, objects, routes)
        while self.events:
            at, _, action, arguments = heapq.heappop(self.events)
            action(at, *arguments)
        return self

    def share_in_time(self, since, until, target_s=0.6):
        durations_s = [
            duration_s
            for began_at, duration_s, *_ in self.responses
            if since <= began_at < until
        ]
        return sum(duration_s <= target_s for duration_s in durations_s) / len(
            durations_s
        )

    def _push(self, at, action, *arguments):
        self.event_number += 1
        heapq.heappush(self.events, (at, self.event_number, action, arguments))

    def _arrive(self, now, target_s, objects, routes):
        placement = self.rng.choice(self.placements)
        route = self.rng.choice(routes)
        key = object_key(route, str(self.rng.randrange(objects)))
        placement_request = PlacementRequest(
            "s", route, key, frozenset(), 0, target_s, 4.0
        )
        choice = placement.choose(
            placement_request, self.records, lambda _: True, now
        )
        placement.state(choice.server.name).record_sent(now)
        travel_s = placement.round_trip_s(choice.server) / 2
        self._push(
            now + travel_s,
            self._reach,
            now,
            placement,
            route,
            key,
            choice,
            travel_s,
        )

    def _reach(self, now, *request):
        target = self.servers[request[4].server.name]
        if target.running < target.record.entry.slots:
            self._begin(now, target, request)
        else:
            target.queue.append(request)

    def _begin(self, now, target, request):
        work_s = target.begin(request[3], self.cold_s, self.warm_s, self.rng)
        work_s *= target.pace_at(now, self.rng)
        self._push(now + work_s, self._finish, target, request)

    def _finish(self, now, target, request):
        target.running -= 1
        if target.queue:
            self._begin(now, target, target.queue.popleft())
        report = LoadReport(
            target.running,
            len(target.queue),
            target.record.entry.slots,
            target.pace_at(now, self.rng)
            if target.paces and self.reports_pace
            else None,
        )
        self._push(now + request[5], self._answer, request, report)

    def _answer(self, now, request, report):
        began_at, placement, route, key, choice, travel_s = request
        state = placement.state(choice.server.name)
        state.record_end()
        state.apply_load_report(report, now)
        duration_s = now - began_at
        state.record_response(duration_s / choice.expected_s, key, now)
        if not choice.is_queued:
            placement.work_times("s", route).record_work(
                (duration_s - 2 * travel_s) / choice.pace,
                choice.known_warm,
                choice.is_home,
            )
        self.responses.append(
            (began_at, duration_s, placement._region, choice.server.region)
        )
