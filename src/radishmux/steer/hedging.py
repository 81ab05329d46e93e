"""Decides when a second attempt at a request saves time; no I/O.

The durations of a route, relative to what was expected of each request, show
how long a request that already takes longer than expected is going to take. A
second attempt starts once that is longer than a whole attempt at another
server. Without enough measurements, a fixed multiple of the expected duration
decides.
"""

from __future__ import annotations

import math

from radishmux.steer.placement import Choice
from radishmux.steer.work_times import WorkTimes

# Without measurements, a second attempt starts when the first one takes this
# many times as long as expected with a cold object, but not before the minimum
# delay.
HEDGE_DELAY_FACTOR = 3.0
MIN_HEDGE_DELAY_S = 0.25
# Shortest expected duration that durations are compared with, which is several
# times the delay of a busy event loop.
MIN_EXPECTED_S = 0.01
# Chances from which on an early second attempt is made: that it ends before the
# first one, and that the first one misses the target latency.
MIN_GAIN_CHANCE = 0.5
MIN_MISS_CHANCE = 0.5
# Share of the retry budget for second attempts that start earlier than without
# measurements. The rest stays for requests that servers have shed.
EARLY_BUDGET_SHARE = 0.5


def usual_delay_s(expected_cold_s: float) -> float:
    """Returns when a second attempt starts without measurements.

    Args:
        expected_cold_s: Expected duration if the object is cold.
    """
    return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * expected_cold_s)


class HedgePlan:
    """When a second attempt may start while the first one is in flight.

    Args:
        first: The placement of the first attempt.
        work: Measured times of the route at the service.
        has_object: Whether a second server may be slower because it has to
            load the object.
        target_at: Monotonic time at which the target latency is missed.
        now: Monotonic time at which the first attempt starts.

    Attributes:
        is_early: Whether the next check is earlier than without measurements.
        check_at: Monotonic time of the next check; never before that of the
            previous one.
    """

    __slots__ = (
        "_durations",
        "_expected_s",
        "_second_s",
        "_started_at",
        "_target_at",
        "_usual_at",
        "_work",
        "check_at",
        "is_early",
    )

    def __init__(
        self,
        first: Choice,
        work: WorkTimes,
        has_object: bool,
        target_at: float,
        now: float,
    ) -> None:
        self._work = work
        self._started_at = now
        self._target_at = target_at
        expected_s = first.expected_s
        if expected_s < MIN_EXPECTED_S:
            expected_s = MIN_EXPECTED_S
        self._expected_s = expected_s
        self._durations = (
            None
            if first.is_queued
            else work.durations(first.known_warm, first.is_home)
        )
        second_s = first.expected_cold_s if has_object else first.expected_s
        if second_s < MIN_EXPECTED_S:
            second_s = MIN_EXPECTED_S
        self._second_s = second_s * work.durations(not has_object, False).mean
        self._usual_at = now + self._measured_delay_s(
            usual_delay_s(first.expected_cold_s)
        )
        self._schedule(1.0)

    def _measured_delay_s(self, delay_s: float) -> float:
        """Returns a later delay if requests often end soon after the usual."""
        durations = self._durations
        if durations is None:
            return delay_s
        ratio = delay_s / self._expected_s
        later = durations.first_ratio(
            ratio, self._second_s / self._expected_s, or_end=True
        )
        if later is None:
            return delay_s
        return max(ratio, later) * self._expected_s

    def _schedule(self, from_ratio: float) -> None:
        """Sets the next check, at a ratio to the expected duration or later."""
        ratio = None
        if self._durations is not None:
            ratio = self._durations.first_ratio(
                from_ratio, self._second_s / self._expected_s
            )
        early_at = (
            math.inf
            if ratio is None
            else self._started_at + ratio * self._expected_s
        )
        self.is_early = early_at < self._usual_at
        self.check_at = min(early_at, self._usual_at)

    def is_due(self, holds_up_others: bool, now: float) -> bool:
        """Returns whether a second attempt is needed now.

        If not, `check_at` is the time of the next check. An early one is
        needed if it will probably end before the first one, and if the first
        one will probably miss the target latency or holds up later responses
        on the connection of its caller.

        Args:
            holds_up_others: Whether later responses wait for this one.
            now: Monotonic seconds.
        """
        if not self.is_early or now >= self._usual_at:
            self.is_early = False
            return True
        assert self._durations is not None
        ratio = (now - self._started_at) / self._expected_s
        second_ratio = ratio + self._second_s / self._expected_s
        target_ratio = (self._target_at - self._started_at) / self._expected_s
        chance = self._durations.chance_beyond
        if chance(second_ratio, ratio) >= MIN_GAIN_CHANCE and (
            holds_up_others or chance(target_ratio, ratio) >= MIN_MISS_CHANCE
        ):
            return True
        self._schedule(self._durations.next_edge(ratio))
        return False

    def saves_time(self, second: Choice, now: float) -> bool:
        """Returns whether a second attempt at a server is worth its cost.

        Args:
            second: The placement of the second attempt.
            now: Monotonic seconds.
        """
        if not self.is_early:
            return True
        assert self._durations is not None
        if second.is_queued:
            return False
        ratio = (now - self._started_at) / self._expected_s
        rest_s = self._durations.rest(ratio) * self._expected_s
        others = self._work.durations(second.known_warm, second.is_home)
        return rest_s > max(MIN_EXPECTED_S, second.expected_s) * others.mean

    def give_up_early(self) -> None:
        """Waits for the time at which a second attempt starts anyway."""
        self.is_early = False
        self.check_at = self._usual_at
