"""What one instance has seen of one backend server; pure."""

from __future__ import annotations

import math
from collections import OrderedDict

# Time after which a load that a server reported says nothing any more; about
# two requests' duration. From then on what it reports on the average counts.
REPORT_VALID_S = 1.5
# Time in which that average follows its reports, and half-life with which it
# is forgotten without any.
MEAN_LOAD_S = 2.0
MEAN_LOAD_HALF_LIFE_S = 6.0
# Half-lives of bad experience: a server is tried again after a few of them.
SLOWNESS_HALF_LIFE_S = 4.0
FAILURE_HALF_LIFE_S = 3.0
# Weight of the newest outcome in the moving averages.
_OUTCOME_WEIGHT = 0.25
# Pause after a connection that failed, doubled with each further failure.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
# Pause after a request was shed, about the time in which a full server ends a
# few requests.
SHED_PAUSE_S = 0.06
# Objects remembered per server; more than servers are known to keep warm.
MAX_OBJECTS = 256


class LoadReport:
    """Load that a server reported with a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it runs at the same time.
    """

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class ServerState:
    """Load, speed and faults of a backend server as seen by this instance.

    Attributes:
        in_flight: Requests of this instance that it has not answered.
        paused_until: Monotonic time until which it gets nothing.
        last_sent_at: Monotonic time of the latest request.
    """

    __slots__ = (
        "_failure",
        "_failure_at",
        "_failures_in_row",
        "_mean_others",
        "_objects",
        "_others",
        "_others_at",
        "_slowness",
        "_slowness_at",
        "in_flight",
        "last_sent_at",
        "paused_until",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.paused_until = -math.inf
        self.last_sent_at = -math.inf
        self._others = 0.0
        self._mean_others = 0.0
        self._others_at = -math.inf
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure = 0.0
        self._failure_at = 0.0
        self._failures_in_row = 0
        self._objects: OrderedDict[int, float] = OrderedDict()

    def load(self, now: float) -> float:
        """Returns the estimated requests at the server, ours included."""
        age_s = now - self._others_at
        mean = self._mean_others * 0.5 ** (age_s / MEAN_LOAD_HALF_LIFE_S)
        if age_s >= REPORT_VALID_S:
            return self.in_flight + mean
        weight = age_s / REPORT_VALID_S
        others = (1.0 - weight) * self._others + weight * mean
        return self.in_flight + others

    def slowness(self, now: float) -> float:
        """Returns how many times longer than usual it works, from 1."""
        decay = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def failure_share(self, now: float) -> float:
        """Returns the recent share of requests that it failed, 0 to 1."""
        decay = 0.5 ** ((now - self._failure_at) / FAILURE_HALF_LIFE_S)
        return self._failure * decay

    def is_warm(self, key: int) -> bool:
        """Whether it handled an object for this instance lately."""
        return key in self._objects

    def record_sent(self, now: float) -> None:
        """Counts a request."""
        self.in_flight += 1
        self.last_sent_at = now

    def record_end(self) -> None:
        """Counts the end of a request, whatever its outcome."""
        self.in_flight -= 1

    def apply_load_report(self, report: LoadReport, now: float) -> None:
        """Takes the load that came with a response, after `ended`."""
        total = report.running + report.waiting
        self._others = max(0.0, float(total - self.in_flight))
        # Reports that come close together say the same.
        age_s = min(1e3, now - self._others_at)
        weight = 1.0 - math.exp(-age_s / MEAN_LOAD_S)
        self._mean_others += weight * (self._others - self._mean_others)
        self._others_at = now

    def record_response(
        self, ratio: float, key: int | None, now: float
    ) -> None:
        """Takes a response.

        Args:
            ratio: Its duration relative to what was expected.
            key: Object that it concerned, if that matters.
            now: Monotonic seconds.
        """
        slowness = self.slowness(now)
        self._slowness = max(
            1.0, slowness + _OUTCOME_WEIGHT * (ratio - slowness)
        )
        self._slowness_at = now
        self._note_outcome(0.0, now)
        self._failures_in_row = 0
        if key is not None:
            self._objects[key] = now
            self._objects.move_to_end(key)
            if len(self._objects) > MAX_OBJECTS:
                self._objects.popitem(last=False)

    def record_failure(self, now: float) -> None:
        """Takes a failure of a request that reached the server."""
        self._note_outcome(1.0, now)

    def record_connection_failure(self, now: float) -> None:
        """Takes a connection that could not be opened or broke."""
        pause = FIRST_PAUSE_S * 2**self._failures_in_row
        self._failures_in_row += 1
        self.paused_until = now + min(pause, MAX_PAUSE_S)
        self._note_outcome(1.0, now)
        # What it held warm is gone if it has started again.
        self._objects.clear()

    def record_shed(self, now: float) -> None:
        """Takes a request that the server shed: its queue is full."""
        self.record_failure(now)
        self.paused_until = max(self.paused_until, now + SHED_PAUSE_S)

    def _note_outcome(self, failed: float, now: float) -> None:
        share = self.failure_share(now)
        self._failure = share + _OUTCOME_WEIGHT * (failed - share)
        self._failure_at = now
