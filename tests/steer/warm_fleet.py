"""Backend servers that keep objects warm, in virtual time, for tests."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque

from radishmux.steer.placement import Placement, PlacementRequest, object_key
from radishmux.steer.server_state import LoadReport
from tests.gateway.parts import server

REMOTE_S = 0.11


class WarmServer:
    """A server with slots, a queue and a cache of recent objects."""

    def __init__(self, name, domain, slots, keeps):
        self.record = server(name, domain, slots=slots)
        self.keeps = keeps
        self.running = 0
        self.queue = deque()
        self.cache = OrderedDict()

    def begin(self, key, cold_s, warm_s, rng):
        self.running += 1
        work_s = warm_s if key in self.cache else cold_s
        self.cache[key] = True
        self.cache.move_to_end(key)
        if len(self.cache) > self.keeps:
            self.cache.popitem(last=False)
        return work_s * rng.uniform(0.85, 1.15)


class WarmFleet:
    """Instances and servers; plays arrivals and tells how long they took."""

    def __init__(self, servers, domains, seed=1, cold_s=0.88, warm_s=0.264):
        self.rng = random.Random(seed)
        self.servers = {one.record.name: one for one in servers}
        self.records = tuple(one.record for one in servers)
        self.nodes = [Placement(domain[0], domain) for domain in domains]
        self.cold_s = cold_s
        self.warm_s = warm_s
        self.events = []
        self.number = 0
        self.taken = []  # (time, seconds, region of the caller, of the server)

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
        took = [one[1] for one in self.taken if since <= one[0] < until]
        return sum(one <= target_s for one in took) / len(took)

    def _push(self, at, action, *arguments):
        self.number += 1
        heapq.heappush(self.events, (at, self.number, action, arguments))

    def _arrive(self, now, target_s, objects, routes):
        node = self.rng.choice(self.nodes)
        route = self.rng.choice(routes)
        key = object_key(route, str(self.rng.randrange(objects)))
        demand = PlacementRequest(
            "s", route, key, frozenset(), 0, target_s, 4.0
        )
        choice = node.choose(demand, self.records, lambda one: True, now)
        node.state(choice.server.name).record_sent(now)
        travel_s = node.round_trip_s(choice.server) / 2
        self._push(
            now + travel_s, self._reach, now, node, route, key, choice, travel_s
        )

    def _reach(self, now, *request):
        target = self.servers[request[4].server.name]
        if target.running < target.record.entry.slots:
            self._begin(now, target, request)
        else:
            target.queue.append(request)

    def _begin(self, now, target, request):
        work_s = target.begin(request[3], self.cold_s, self.warm_s, self.rng)
        self._push(now + work_s, self._finish, target, request)

    def _finish(self, now, target, request):
        target.running -= 1
        if target.queue:
            self._begin(now, target, target.queue.popleft())
        report = LoadReport(
            target.running, len(target.queue), target.record.entry.slots
        )
        self._push(now + request[5], self._answer, request, report)

    def _answer(self, now, request, report):
        began, node, route, key, choice, travel_s = request
        state = node.state(choice.server.name)
        state.record_end()
        state.apply_load_report(report, now)
        took_s = now - began
        state.record_response(took_s / choice.expected_s, key, now)
        if not choice.is_queued:
            node.work_times("s", route).record_work(
                took_s - 2 * travel_s, choice.known_warm, choice.is_home
            )
        self.taken.append((began, took_s, node._region, choice.server.region))
