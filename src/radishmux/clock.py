"""Monotonic clocks, in seconds: a protocol, the system's and a manual one."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Returns seconds since an arbitrary point; never decreases."""


class SystemClock:
    """The monotonic clock of the operating system.

    CLOCK_MONOTONIC advances while the process is stopped, so a resumed process
    can tell how long it was paused.
    """

    __slots__ = ()

    def now(self) -> float:
        """Returns the time of CLOCK_MONOTONIC in seconds."""
        return time.monotonic()


class ManualClock:
    """A clock that only `advance` moves, for tests and the simulator."""

    __slots__ = ("_now_s",)

    def __init__(self, now_s: float = 0.0) -> None:
        self._now_s = now_s

    def now(self) -> float:
        """Returns the start time plus all advances, in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by `seconds`."""
        self._now_s += seconds
