"""The dispatch policies that bench/policy_dispatch.py compares."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

INSTANCES = 3
SERVERS = 5
SLOTS = 4
MEAN_SERVICE_S = 0.05
SPREAD = 0.6
HOP_S = 0.001
CONNECT_S = 0.001
SHED_S = 0.001
# Time after which a shed request is sent again.
BACKOFF_S = 0.01
GOSSIP_S = 0.25
PROBE_S = 1.0
# A refused connection proves the death of an instance.
DETECT_S = 0.05
DEADLINE_S = 1.0


class Request:
    """One request of a caller."""

    __slots__ = ("arrived", "entry")

    def __init__(self, arrived: float, entry: int) -> None:
        self.arrived = arrived
        self.entry = entry


class Run(Protocol):
    """What a policy needs of a run."""

    alive: list[int]
    random: Any
    result: Any
    servers: list[Any]

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Schedules an event."""

    def attempt(
        self,
        request: Request,
        instance: int,
        server: int,
        ended: Callable[[bool], None],
    ) -> None:
        """Sends a request; `ended` learns whether it ran."""

    def expire(self, request: Request) -> bool:
        """Counts a request whose deadline has passed."""


class Choices:
    """Power of two choices on gossiped counts."""

    probers = INSTANCES

    def __init__(self, run: Run) -> None:
        self._run = run
        self._own = [[0] * SERVERS for _ in range(INSTANCES)]
        self._told = [[0] * SERVERS for _ in range(INSTANCES)]
        run.after(0.0, self._gossip)

    def arrive(self, request: Request) -> None:
        """Sends a request from its entry instance."""
        run = self._run
        if run.expire(request):
            return
        entry = request.entry
        first, second = run.random.sample(range(SERVERS), 2)
        server = min(first, second, key=lambda s: self._count(entry, s))
        self._own[entry][server] += 1

        def ended(ran: bool) -> None:
            self._own[entry][server] -= 1
            if not ran:
                run.after(BACKOFF_S, lambda: self.arrive(request))

        run.attempt(request, entry, server, ended)

    def on_death(self) -> None:
        """Forgets the counts of the dead instance."""
        self._told[0] = [0] * SERVERS
        self._own[0] = [0] * SERVERS

    def _count(self, entry: int, server: int) -> int:
        others = (i for i in range(INSTANCES) if i != entry)
        told = sum(self._told[i][server] for i in others)
        return self._own[entry][server] + told

    def _gossip(self) -> None:
        self._run.after(GOSSIP_S, self._gossip)
        for instance in self._run.alive:
            self._told[instance] = list(self._own[instance])


class Queue:
    """A dispatcher with exact counts of its part of the slots."""

    def __init__(self, run: Run, owner: int, slots: dict[int, int]) -> None:
        self.owner = owner
        self.slots = slots
        self.in_use = dict.fromkeys(slots, 0)
        # Slots held by requests of an earlier dispatcher, as probes tell.
        self.foreign = dict.fromkeys(slots, 0)
        self.waiting: deque[Request] = deque()
        self._run = run

    @property
    def load(self) -> float:
        """Requests running and waiting, per slot."""
        used = sum(self.in_use.values()) + len(self.waiting)
        return used / max(1, sum(self.slots.values()))

    def take(self, request: Request) -> None:
        """Takes a request from its entry instance."""
        if self.owner not in self._run.alive:
            self._run.result.lost += 1
            return
        self.waiting.append(request)
        self.serve()

    def serve(self) -> None:
        """Gives free slots to waiting requests."""
        while self.waiting:
            if self._run.expire(self.waiting[0]):
                self.waiting.popleft()
                continue
            server = max(self.slots, key=self._free)
            if self._free(server) <= 0:
                return
            self._start(self.waiting.popleft(), server)

    def probe(self) -> None:
        """Learns from a probe which slots an earlier dispatcher's use."""
        for server in self.foreign:
            self.foreign[server] = self._run.servers[server].orphans
        self.serve()

    def _free(self, server: int) -> int:
        used = self.in_use[server] + self.foreign[server]
        return self.slots[server] - used

    def _start(self, request: Request, server: int) -> None:
        self.in_use[server] += 1

        def ended(ran: bool) -> None:
            self.in_use[server] -= 1
            if not ran:
                self.waiting.appendleft(request)
            self.serve()

        self._run.attempt(request, self.owner, server, ended)


class Cells:
    """Cells with one dispatcher each."""

    probers = 1

    def __init__(self, run: Run, groups: list[list[int]]) -> None:
        self._run = run
        self._queues = [
            Queue(run, n % INSTANCES, dict.fromkeys(group, SLOTS))
            for n, group in enumerate(groups)
        ]
        self._told = [0.0] * len(groups)
        run.after(0.0, self._gossip)
        run.after(0.0, self._probe)

    def arrive(self, request: Request) -> None:
        """Sends a request to the better of two cells."""
        count = len(self._queues)
        picked = self._run.random.sample(range(count), min(2, count))
        cell = min(picked, key=self._told.__getitem__)
        queue = self._queues[cell]
        hop_s = 0.0 if queue.owner == request.entry else HOP_S
        # The way back takes as long; it is added to the arrival.
        request.arrived -= hop_s
        self._run.after(hop_s, lambda: queue.take(request))

    def on_death(self) -> None:
        """Gives the dead instance's cells to another one, which probes."""
        for n, queue in enumerate(self._queues):
            if queue.owner in self._run.alive:
                continue
            self._run.result.lost += len(queue.waiting)
            self._queues[n] = Queue(
                self._run, 1 + n % (INSTANCES - 1), queue.slots
            )
            self._queues[n].probe()

    def _gossip(self) -> None:
        self._run.after(GOSSIP_S, self._gossip)
        self._told = [queue.load for queue in self._queues]

    def _probe(self) -> None:
        self._run.after(PROBE_S, self._probe)
        for queue in self._queues:
            queue.probe()


class ServerCells(Cells):
    """Cells of one server each."""

    def __init__(self, run: Run) -> None:
        super().__init__(run, [[server] for server in range(SERVERS)])


class ServiceCell(Cells):
    """One cell with all servers."""

    def __init__(self, run: Run) -> None:
        super().__init__(run, [list(range(SERVERS))])


class DividedSlots:
    """Each instance owns a part of each server's slots."""

    probers = INSTANCES

    def __init__(self, run: Run) -> None:
        self._run = run
        self._queues = {i: Queue(run, i, {}) for i in range(INSTANCES)}
        self._divide()

    def arrive(self, request: Request) -> None:
        """Queues a request at its entry instance."""
        self._queues[request.entry].take(request)

    def on_death(self) -> None:
        """Divides the slots again."""
        self._run.result.lost += len(self._queues[0].waiting)
        self._divide()
        for instance in self._run.alive:
            self._queues[instance].serve()

    def _divide(self) -> None:
        alive = self._run.alive
        for position, instance in enumerate(alive):
            queue = self._queues[instance]
            for server in range(SERVERS):
                owned = (
                    (server + slot) % len(alive) == position
                    for slot in range(SLOTS)
                )
                queue.slots[server] = sum(owned)
                queue.in_use.setdefault(server, 0)
                queue.foreign.setdefault(server, 0)


POLICIES = {
    "choices": Choices,
    "server cells": ServerCells,
    "divided slots": DividedSlots,
    "service cell": ServiceCell,
}
