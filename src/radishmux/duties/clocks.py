"""Readings of the clocks that bound the validity of a lease."""

from __future__ import annotations

import time
from typing import Protocol

import msgspec


class Reading(msgspec.Struct, frozen=True):
    """The two clocks at one instant.

    Attributes:
        steady: Seconds of the monotonic clock, which stands still while the
            machine is suspended.
        boot: Seconds of the clock that also counts suspension.
    """

    steady: float
    boot: float

    def plus(self, seconds: float) -> Reading:
        """Returns the reading that many seconds later."""
        return Reading(self.steady + seconds, self.boot + seconds)

    def is_before(self, other: Reading) -> bool:
        """Whether `other` has been reached by neither clock."""
        return self.steady < other.steady and self.boot < other.boot

    def is_after(self, other: Reading) -> bool:
        """Whether `other` has been reached by both clocks."""
        return self.steady >= other.steady and self.boot >= other.boot


class DutyClock(Protocol):
    """Clocks of one machine."""

    def read(self) -> Reading:
        """Returns the clocks that measure durations."""

    def wall(self) -> float:
        """Returns the machine's estimate of the Unix time in seconds."""


class SystemDutyClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def read(self) -> Reading:
        """Returns CLOCK_MONOTONIC and CLOCK_BOOTTIME."""
        return Reading(
            time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def wall(self) -> float:
        """Returns CLOCK_REALTIME."""
        return time.time()
