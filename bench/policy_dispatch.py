"""Compares who dispatches to a backend server, in virtual time.

    python -m bench.policy_dispatch [--seconds 120] [--seed 1]

One service in one region at the sizes of docs/design.md, section 1.6. Prints a
table and one line of JSON. Policies:

* choices: every instance sends to the better of two random servers, by its own
  requests and the others' counts, which are gossiped every 250 ms;
* server cells: one dispatcher per server, chosen as the better of two by
  gossiped load;
* divided slots: every instance owns a part of each server's slots;
* service cell: one dispatcher for all servers of the service in the region.

One instance dies in the middle of the run; its requests keep running on their
servers. An overrun is an attempt at a server whose slots are held by them.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections.abc import Callable

import msgspec

from bench.dispatch_policies import (
    CONNECT_S,
    DEADLINE_S,
    DETECT_S,
    INSTANCES,
    MEAN_SERVICE_S,
    POLICIES,
    PROBE_S,
    SERVERS,
    SHED_S,
    SLOTS,
    SPREAD,
    Request,
)


class Server:
    """A backend server with its real slots."""

    __slots__ = ("connections", "orphans", "running")

    def __init__(self) -> None:
        self.running = [0] * INSTANCES
        self.connections = [0] * INSTANCES
        self.orphans = 0

    @property
    def in_use(self) -> int:
        """Slots in use, those of a dead instance included."""
        return sum(self.running) + self.orphans


class Result(msgspec.Struct, kw_only=True):
    """Measurements of one run.

    Attributes:
        p50_ms: Median latency, queues and hops included.
        sheds: Attempts that a server refused for want of a slot.
        expired: Requests that found no slot within their deadline.
        lost: Requests of the instance that died.
        overrun_s: Time from the death to the last overrun.
    """

    policy: str
    load: float
    requests: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    sheds: int = 0
    expired: int = 0
    lost: int = 0
    probes_per_s: float = 0.0
    connections_per_server: float = 0.0
    overrun_s: float = 0.0


class Run:
    """Events, servers and counts of one run."""

    def __init__(
        self, policy: str, load: float, seconds: float, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.servers = [Server() for _ in range(SERVERS)]
        self.alive = list(range(INSTANCES))
        self.now = 0.0
        self.result = Result(policy=policy, load=load)
        self._rate = load * SERVERS * SLOTS / MEAN_SERVICE_S
        self._seconds = seconds
        self._died_at = seconds / 2
        self._latencies: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._policy = POLICIES[policy](self)

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        at = self.now + delay
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self) -> Result:
        """Returns the measurements."""
        self.after(0.0, self._arrive)
        self.after(self._died_at, self._die)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > self._seconds:
                break
            event()
        return self._summary()

    def attempt(
        self,
        request: Request,
        instance: int,
        server: int,
        ended: Callable[[bool], None],
    ) -> None:
        """Sends a request; `ended` learns whether it ran."""
        if instance not in self.alive:
            self.result.lost += 1
            return
        target = self.servers[server]
        if target.in_use >= SLOTS:
            self.result.sheds += 1
            if sum(target.running) < SLOTS:
                self.result.overrun_s = self.now - self._died_at
            self.after(SHED_S, lambda: ended(False))
            return
        target.running[instance] += 1
        new = target.running[instance] > target.connections[instance]
        if new:
            target.connections[instance] += 1
        duration = MEAN_SERVICE_S * math.exp(
            self.random.gauss(-SPREAD * SPREAD / 2, SPREAD)
        )
        delay = duration + (CONNECT_S if new else 0.0)
        self.after(delay, lambda: self._end(request, instance, target, ended))

    def expire(self, request: Request) -> bool:
        """Counts a request whose deadline has passed."""
        if self.now - request.arrived < DEADLINE_S:
            return False
        self.result.expired += 1
        return True

    def _end(
        self,
        request: Request,
        instance: int,
        target: Server,
        ended: Callable[[bool], None],
    ) -> None:
        if instance not in self.alive:
            target.orphans -= 1
            self.result.lost += 1
            return
        target.running[instance] -= 1
        self._latencies.append(self.now - request.arrived)
        ended(True)

    def _arrive(self) -> None:
        self.after(self.random.expovariate(self._rate), self._arrive)
        entry = self.random.choice(self.alive)
        self.result.requests += 1
        self._policy.arrive(Request(self.now, entry))

    def _die(self) -> None:
        self.alive.remove(0)
        for server in self.servers:
            server.orphans += server.running[0]
            server.running[0] = 0
        self.after(DETECT_S, self._policy.on_death)

    def _summary(self) -> Result:
        ordered = sorted(self._latencies)
        result = self.result
        result.p50_ms = round(1e3 * ordered[len(ordered) // 2], 1)
        result.p99_ms = round(1e3 * ordered[int(len(ordered) * 0.99)], 1)
        result.overrun_s = round(result.overrun_s, 2)
        opened = sum(sum(server.connections) for server in self.servers)
        result.connections_per_server = round(opened / SERVERS, 1)
        result.probes_per_s = self._policy.probers * SERVERS / PROBE_S
        return result


def main() -> None:
    """Runs all policies at three loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    results = []
    print("  ".join(Result.__struct_fields__))
    for load in (0.5, 0.7, 0.9):
        for policy in POLICIES:
            run = Run(policy, load, arguments.seconds, arguments.seed)
            results.append(run.run())
            values = msgspec.structs.astuple(results[-1])
            print("  ".join(str(value) for value in values))
    encoded = msgspec.json.encode({"seed": arguments.seed, "rows": results})
    print(encoded.decode())


if __name__ == "__main__":
    main()
