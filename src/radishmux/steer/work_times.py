"""Measured work times of one kind of request at one service; pure."""

from __future__ import annotations

# Work time assumed before any response was measured.
INITIAL_WORK_S = 0.3
# Warm work relative to cold work before both were measured.
INITIAL_WARM_RATIO = 0.4
# Chance assumed before any was seen that the home of an object holds it warm
# although this instance has not sent it there.
INITIAL_HOME_WARM = 0.9
# Weight of the newest sample in each moving average.
_WEIGHT = 0.1


class WorkTimes:
    """Times with warm and cold objects, without distance and queue.

    Attributes:
        warm_s: Mean with an object that the server holds warm.
        cold_s: Mean with one that it does not.
        mean_s: Mean of all requests.
        home_warm: Chance that the home of an object holds it warm although
            this instance has not sent it there.
    """

    __slots__ = ("cold_s", "home_warm", "mean_s", "warm_s")

    def __init__(self) -> None:
        self.cold_s = INITIAL_WORK_S
        self.warm_s = INITIAL_WORK_S * INITIAL_WARM_RATIO
        self.mean_s = self.cold_s
        self.home_warm = INITIAL_HOME_WARM

    def expected(self, known_warm: bool, is_home: bool) -> float:
        """Returns the expected work time in seconds."""
        if known_warm:
            return self.warm_s
        if is_home:
            chance = self.home_warm
            return chance * self.warm_s + (1.0 - chance) * self.cold_s
        return self.cold_s

    def note(self, work_s: float, known_warm: bool, is_home: bool) -> None:
        """Takes the duration of a response that did not wait in a queue."""
        self.mean_s += _WEIGHT * (work_s - self.mean_s)
        was_warm = work_s < (self.warm_s + self.cold_s) / 2
        if known_warm:
            # The server may have dropped the object in the meantime.
            if was_warm or work_s < 2 * self.warm_s:
                self.warm_s += _WEIGHT * (work_s - self.warm_s)
        elif is_home:
            self.home_warm += _WEIGHT * (was_warm - self.home_warm)
            if not was_warm:
                self.cold_s += _WEIGHT * (work_s - self.cold_s)
        else:
            self.cold_s += _WEIGHT * (work_s - self.cold_s)
        self.cold_s = max(self.cold_s, self.warm_s)
