"""Measured work and sizes of one kind of request at one service; pure."""

from __future__ import annotations

# Work time assumed before any response was measured.
INITIAL_WORK_S = 0.3
# Warm work relative to cold work before both were measured.
INITIAL_WARM_RATIO = 0.4
# Chance assumed before any was seen that the home of an object holds it warm
# although this instance has not sent it there.
INITIAL_HOME_WARM = 0.9
# Size of a large response before one was measured: several times the size from
# which on bytes decide where a request goes; see `steer.object_places`.
INITIAL_LARGE_BYTES = 65_536
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

    __slots__ = ("_response_bytes", "cold_s", "home_warm", "mean_s", "warm_s")

    def __init__(self) -> None:
        self.cold_s = INITIAL_WORK_S
        self.warm_s = INITIAL_WORK_S * INITIAL_WARM_RATIO
        self.mean_s = self.cold_s
        self.home_warm = INITIAL_HOME_WARM
        self._response_bytes: float | None = None

    def expected_bytes(self, is_large: bool) -> int:
        """Returns the expected size of a response.

        Args:
            is_large: Whether responses are known to be large.
        """
        if self._response_bytes is None:
            return INITIAL_LARGE_BYTES if is_large else 0
        return round(self._response_bytes)

    def record_response_bytes(self, size: int) -> None:
        """Takes the size of a response."""
        if self._response_bytes is None:
            self._response_bytes = float(size)
        self._response_bytes += _WEIGHT * (size - self._response_bytes)

    def expected(self, known_warm: bool, is_home: bool) -> float:
        """Returns the expected work time in seconds."""
        if known_warm:
            return self.warm_s
        if is_home:
            chance = self.home_warm
            return chance * self.warm_s + (1.0 - chance) * self.cold_s
        return self.cold_s

    def record_work(
        self, work_s: float, known_warm: bool, is_home: bool
    ) -> None:
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
