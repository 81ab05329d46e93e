"""Small fakes that several tests share."""

from __future__ import annotations

import asyncio
import collections
import math
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from radishmux.instances.interface import Instance
from radishmux.membership.outage import hears_everyone
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.peer.link import PeerUnavailable
from radishmux.store.interface import Entry


class FakeSeries:
    """One counter of `FakeMetrics`."""

    def __init__(
        self, metrics: FakeMetrics, name: str, labels: dict[str, str]
    ) -> None:
        self._metrics = metrics
        self._name = name
        self._labels = labels

    def add(self, amount: float = 1) -> None:
        self._metrics.count(self._name, amount, **self._labels)


class FakeMetrics:
    """Remembers counts by name and labels, and ignores the rest."""

    def __init__(self) -> None:
        self.counts: collections.Counter[Any] = collections.Counter()

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        self.counts[name, tuple(sorted(labels.items()))] += amount

    def observe(self, name: str, value: float, **labels: str) -> None:
        pass

    def set(self, name: str, value: float, **labels: str) -> None:
        pass

    def series(self, name: str, **labels: str) -> FakeSeries:
        return FakeSeries(self, name, labels)

    def total(self, name: str) -> float:
        """Sum over all labels."""
        return sum(n for (one, _), n in self.counts.items() if one == name)


async def until(
    condition: Callable[[], Any | Awaitable[Any]], deadline_s: float = 10.0
) -> Any:
    """Polls until `condition` is truthy and returns its value."""
    ends = time.monotonic() + deadline_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        assert time.monotonic() < ends, f"not within {deadline_s} s"
        await asyncio.sleep(0.01)


class FakeStore:
    """One key in memory; `faults` says what happens to each coming call.

    Faults: "ok"; "down": no effect; "lost": a write's answer is lost after
    it took effect; "dropped": it is lost without effect; "late": it takes
    effect after the next call; "stale": a read shows the first value.
    """

    def __init__(self, faults: Iterable[str] = ()) -> None:
        self.faults = iter(faults)
        self.history: list[Entry] = []
        self.calls: list[str] = []
        self._late: list[tuple[int, bytes]] = []

    @property
    def revision(self) -> int:
        return self.history[-1].revision if self.history else 0

    def put(self, expected: int, value: bytes) -> Entry | Conflict:
        if self.revision != expected:
            return Conflict("newer revision")
        self.history.append(Entry(value, self.revision + 1))
        return self.history[-1]

    async def get(self, key: str, timeout_s: float) -> Any:
        fault = self._begin("get")
        if fault == "down":
            return Unavailable("down")
        if not self.history:
            return NotFound("none")
        return self.history[0 if fault == "stale" else -1]

    async def compare_and_swap(
        self, key: str, expected: int, value: bytes, timeout_s: float
    ) -> Any:
        late, self._late = self._late, []
        fault = self._begin("swap")
        for one in late:
            self.put(*one)
        if fault == "down":
            return Unavailable("down")
        if fault == "dropped":
            return Unknown("lost")
        if fault == "late":
            self._late.append((expected, value))
            return Unknown("lost")
        answer = self.put(expected, value)
        return Unknown("lost") if fault == "lost" else answer

    def _begin(self, call: str) -> str:
        self.calls.append(call)
        return next(self.faults, "ok")


def instance(name: str, region: str = "accra") -> Instance:
    """Returns an instance with made-up addresses."""
    return Instance(
        instance=name,
        region=region,
        failure_domain=f"{region}-a",
        caller_address=f"{name}:1",
        peer_address=f"{name}:2",
        control_address=f"{name}:3",
    )


class FakeMembership:
    """The rules of contact and freshness, without heartbeats."""

    def __init__(self, own: Instance, others: Iterable[Instance] = ()) -> None:
        self.own = own
        self.others = tuple(others)
        self.versions: dict[str, int] = {}
        self.contact_at = -math.inf
        self.response_at = -math.inf
        self.version = 0
        self.out_for_all = False
        self.silent: set[str] = set()
        self.dead: set[str] = set()

    def hears(self, name: str, now: float) -> bool:
        return name not in self.silent | self.dead

    def incarnation_of(self, name: str) -> int:
        return 1

    def incarnation_dead(self, name: str, incarnation: int) -> bool:
        return name in self.dead

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        everyone = (self.own, *self.others)
        return tuple(i for i in everyone if region in (None, i.region))

    def peers(self) -> tuple[Instance, ...]:
        return self.others

    def proven_dead(self, name: str) -> bool:
        return False

    def is_leaving(self, name: str) -> bool:
        return False

    def contact_age_s(self, now: float) -> float:
        return now - self.contact_at

    def is_fresh(self, now: float) -> bool:
        return self.contact_age_s(now) < 4.0

    def store_out_for_all(self, now: float) -> bool:
        return self.out_for_all and hears_everyone(self, now)

    def config_versions(self) -> dict[str, int]:
        return self.versions

    def set_config_version(self, version: int) -> None:
        self.version = version

    def record_store_contact(self, sent_at: float) -> None:
        self.contact_at = max(self.contact_at, sent_at)

    def record_store_response(self, sent_at: float) -> None:
        self.response_at = max(self.response_at, sent_at)


class FakeBus:
    """Registers handlers and answers requests from `replies`."""

    def __init__(self, reply: Callable[[str, Any], Any] | None = None) -> None:
        self.handlers: dict[type, Any] = {}
        self.sent: list[tuple[str, Any]] = []
        self.peers: tuple[str, ...] = ()
        self._reply = reply

    def handle(self, message_type: type) -> Any:
        def decorate(handler: Any) -> Any:
            self.handlers[message_type] = handler
            return handler

        return decorate

    async def request(self, name: str, message: Any, timeout_s: float) -> Any:
        self.sent.append((name, message))
        if self._reply is None:
            return PeerUnavailable("timeout")
        reply = self._reply(name, message)
        return await reply if asyncio.iscoroutine(reply) else reply
