"""Cuts a failing schedule down to the faults that matter; pure."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from soak.faults import Fault, Schedule

Fails = Callable[[Schedule], Awaitable[bool]]


async def shrink(schedule: Schedule, fails: Fails) -> Schedule:
    """Returns a smaller schedule that still fails.

    Delta debugging (Zeller and Hildebrandt, 2002): drops ever smaller parts
    of the faults as long as the rest fails.

    Args:
        schedule: A schedule that fails.
        fails: Plays a schedule and tells whether it fails.
    """
    faults = schedule.faults
    parts = 2
    while len(faults) >= 2:
        size = max(1, len(faults) // parts)
        smaller = await _first_failing(schedule, faults, size, fails)
        if smaller is not None:
            faults = smaller
            parts = max(2, parts - 1)
        elif size == 1:
            break
        else:
            parts = min(len(faults), 2 * parts)
    return msgspec.structs.replace(schedule, faults=faults)


async def _first_failing(
    schedule: Schedule, faults: tuple[Fault, ...], size: int, fails: Fails
) -> tuple[Fault, ...] | None:
    """Returns what is left after the first part that is not needed."""
    for start in range(0, len(faults), size):
        rest = faults[:start] + faults[start + size :]
        if rest and await fails(msgspec.structs.replace(schedule, faults=rest)):
            return rest
    return None
