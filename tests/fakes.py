"""Small fakes that several tests share."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Awaitable, Callable
from typing import Any


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
