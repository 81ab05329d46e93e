"""Monotonic clocks, in seconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Returns seconds since an arbitrary point; never decreases."""


class SystemClock:
    """The clock of the machine.

    CLOCK_MONOTONIC goes on while the process is stopped, so that a thawed
    process sees how long it was paused.
    """

    __slots__ = ()

    def now(self) -> float:
        """Returns seconds of the monotonic system clock."""
        return time.monotonic()


class ManualClock:
    """A clock that moves only when told to, for tests and the simulator."""

    __slots__ = ("_now_s",)

    def __init__(self, now_s: float = 0.0) -> None:
        self._now_s = now_s

    def now(self) -> float:
        """Returns the seconds set by `advance`."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by `seconds`."""
        self._now_s += seconds
