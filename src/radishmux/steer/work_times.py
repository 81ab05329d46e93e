"""Measured work times and response sizes of one route at one service."""

from __future__ import annotations

from radishmux.steer.duration_histogram import DurationHistogram
from radishmux.steer.server_state import MAX_LONE_RATIO

# Work time assumed before the first measurement.
INITIAL_WORK_S = 0.3
# Ratio of warm to cold work time assumed before the first measurements.
INITIAL_WARM_RATIO = 0.4
# Probability, assumed before the first measurement, that an object is warm at
# its home although this instance has not sent a request for it there.
INITIAL_HOME_WARM_CHANCE = 0.9
# Size of a large response assumed before the first measurement: several times
# `steer.object_places.LARGE_BYTES`, from which on the size affects placement.
INITIAL_LARGE_BYTES = 65_536
# Weight of the newest sample in each moving average.
_SAMPLE_WEIGHT = 0.1


class WorkTimes:
    """Mean work times and response sizes.

    The times exclude the round trip and the wait in a queue, and are those at
    the usual pace of the machines.

    Attributes:
        warm_s: Mean work time for objects that are warm at the server.
        cold_s: Mean work time for objects that are cold.
        mean_s: Mean work time of all requests.
        home_warm_chance: Probability that an object is warm at its home
            although this instance has not sent a request for it there.
    """

    __slots__ = (
        "_durations",
        "_last_cold_s",
        "_response_bytes",
        "cold_s",
        "home_warm_chance",
        "mean_s",
        "warm_s",
    )

    def __init__(self) -> None:
        self.cold_s = INITIAL_WORK_S
        self.warm_s = INITIAL_WORK_S * INITIAL_WARM_RATIO
        self.mean_s = self.cold_s
        self._last_cold_s = self.cold_s
        # Of objects known to be warm, of others at their home, and elsewhere.
        self._durations = tuple(DurationHistogram() for _ in range(3))
        self.home_warm_chance = INITIAL_HOME_WARM_CHANCE
        self._response_bytes: float | None = None

    def expected_bytes(self, is_large: bool) -> int:
        """Returns the expected size of a response in bytes.

        Args:
            is_large: Whether to assume a large response before the first
                measurement.
        """
        if self._response_bytes is None:
            return INITIAL_LARGE_BYTES if is_large else 0
        return round(self._response_bytes)

    def record_response_bytes(self, size: int) -> None:
        """Records the size of a response."""
        if self._response_bytes is None:
            self._response_bytes = float(size)
        self._response_bytes += _SAMPLE_WEIGHT * (size - self._response_bytes)

    def expected(self, known_warm: bool, is_home: bool) -> float:
        """Returns the expected work time in seconds.

        Args:
            known_warm: Whether the object is known to be warm at the server.
            is_home: Whether the server is a home of the object.
        """
        if known_warm:
            return self.warm_s
        if is_home:
            chance = self.home_warm_chance
            return chance * self.warm_s + (1.0 - chance) * self.cold_s
        return self.cold_s

    def durations(self, known_warm: bool, is_home: bool) -> DurationHistogram:
        """Returns the durations relative to the expected ones.

        Args:
            known_warm: Whether the object is known to be warm at the server.
            is_home: Whether the server is a home of the object.
        """
        return self._durations[0 if known_warm else 1 if is_home else 2]

    def record_work(
        self, work_s: float, known_warm: bool, is_home: bool
    ) -> None:
        """Records the work time of a request that did not wait in a queue.

        Args:
            work_s: Duration at the usual pace without the round trip, in
                seconds.
            known_warm: Whether the object was known to be warm at the server.
            is_home: Whether the server is a home of the object.
        """
        self.mean_s += _SAMPLE_WEIGHT * (work_s - self.mean_s)
        was_warm = work_s < (self.warm_s + self.cold_s) / 2
        if known_warm:
            # The server may have evicted the object in the meantime.
            if was_warm or work_s < 2 * self.warm_s:
                self.warm_s += _SAMPLE_WEIGHT * (work_s - self.warm_s)
        elif is_home:
            self.home_warm_chance += _SAMPLE_WEIGHT * (
                was_warm - self.home_warm_chance
            )
            if not was_warm:
                self._record_cold(work_s)
        else:
            self._record_cold(work_s)
        self.cold_s = max(self.cold_s, self.warm_s)

    def _record_cold(self, work_s: float) -> None:
        """Records a cold work time; one long request alone counts little."""
        bounded_s = min(
            work_s, max(MAX_LONE_RATIO * self.cold_s, self._last_cold_s)
        )
        self._last_cold_s = work_s
        self.cold_s += _SAMPLE_WEIGHT * (bounded_s - self.cold_s)
