"""State of a backend server as observed by one instance; no I/O."""

from __future__ import annotations

import math
from collections import OrderedDict, deque

# Time over which a load report loses its weight, about the duration of two
# requests. After that, the average of earlier reports is used.
REPORT_VALID_S = 1.5
# Time constant of that average, and its half-life without new reports.
MEAN_LOAD_S = 2.0
MEAN_LOAD_HALF_LIFE_S = 6.0
# Time for which the latest pace counts, since it changes every few hundred
# milliseconds. After that, the mean of earlier reports is used.
PACE_VALID_S = 0.3
# Time constant of that mean, and the largest weight of one report in it.
MEAN_PACE_S = 3.0
MAX_PACE_WEIGHT = 0.2
# Time for which the mean holds without new reports, and its half-life after
# that, so that a server that was slow is tried again.
MEAN_PACE_VALID_S = 10.0
MEAN_PACE_HALF_LIFE_S = 30.0
# Ratio of actual to expected duration up to which one outcome alone counts. A
# longer one counts in full only if the outcome before it was long, too, since
# some requests take long on any server.
MAX_LONE_RATIO = 2.0
# Half-lives of slowness and failures; a server is used again after a few.
SLOWNESS_HALF_LIFE_S = 4.0
FAILURE_HALF_LIFE_S = 3.0
# Weight of the newest outcome in the moving averages.
_OUTCOME_WEIGHT = 0.25
# Backoff after a connection failure, doubled with each further failure.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
# Pause after a request was shed, about the time in which a full server
# completes a few requests.
SHED_PAUSE_S = 0.06
# Objects tracked per server; more than servers are known to keep warm.
MAX_OBJECTS = 256
# Latest requests whose times are kept, to know which of them are part of a load
# that a peer reports: more than are sent to a small server before the report.
_MAX_SENT_TIMES = 16


class LoadReport:
    """Load that a server reported with a response.

    Attributes:
        running: Requests that the server is running.
        waiting: Requests in the server's queue.
        slots: Requests that the server can run concurrently.
        pace: How long work takes on the machine now, relative to the usual
            time; None if the server does not say.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        pace: float | None = None,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace


class ServerState:
    """Load, speed and failures of a backend server, seen by this instance.

    Attributes:
        started_ms: Unix time of the server's start in milliseconds; 0 if it
            is not known.
        in_flight: Requests of this instance without a response so far.
        paused_until: Monotonic time until which the server gets no requests.
        last_sent_at: Monotonic time of the latest request.
        rest_until: Monotonic time until which the server asked for rest.
        reports_pace: Whether the server has reported its pace.
    """

    __slots__ = (
        "_failure_share",
        "_failure_share_at",
        "_before_failures",
        "_consecutive_failures",
        "_last_ratio",
        "_mean_other_load",
        "_mean_pace",
        "_objects",
        "_on_trial",
        "_other_load",
        "_other_load_at",
        "_pace",
        "_pace_at",
        "_sent_times",
        "_slowness",
        "_slowness_at",
        "in_flight",
        "last_sent_at",
        "paused_until",
        "reports_pace",
        "rest_until",
        "started_ms",
    )

    def __init__(self, started_ms: int = 0) -> None:
        self.started_ms = started_ms
        self.in_flight = 0
        self.paused_until = -math.inf
        self.last_sent_at = -math.inf
        self.rest_until = -math.inf
        self._on_trial = False
        self._other_load = 0.0
        self._mean_other_load = 0.0
        self._other_load_at = -math.inf
        self._pace = 1.0
        self._mean_pace = 1.0
        self._pace_at = -math.inf
        self.reports_pace = False
        self._sent_times: deque[float] = deque(maxlen=_MAX_SENT_TIMES)
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._last_ratio = 1.0
        self._failure_share = 0.0
        self._failure_share_at = 0.0
        self._consecutive_failures = 0
        self._objects: OrderedDict[int, float] = OrderedDict()
        # Pause, failure share with its time, and objects before the latest
        # consecutive connection failures.
        self._before_failures: (
            tuple[float, float, float, OrderedDict[int, float]] | None
        ) = None

    @property
    def unavailable_until(self) -> float:
        """Monotonic time until which the server is paused or rests."""
        return max(self.paused_until, self.rest_until)

    @property
    def is_on_trial(self) -> bool:
        """Whether no response has shown yet that a rest has ended."""
        return self._on_trial

    def is_available(self, now: float) -> bool:
        """Returns whether the server may get a request.

        After a rest it gets one at a time until a response shows that it
        accepts requests again. Otherwise many would be turned away.
        """
        if self.paused_until > now or self.rest_until > now:
            return False
        if not self._on_trial:
            return True
        has_trial = self.in_flight > 0 and self.last_sent_at >= self.rest_until
        return not has_trial

    def load(self, now: float) -> float:
        """Returns the estimated requests at the server.

        The estimate includes the requests of this instance.
        """
        age_s = now - self._other_load_at
        mean = self._mean_other_load * 0.5 ** (age_s / MEAN_LOAD_HALF_LIFE_S)
        if age_s >= REPORT_VALID_S:
            return self.in_flight + mean
        weight = age_s / REPORT_VALID_S
        other_load = (1.0 - weight) * self._other_load + weight * mean
        return self.in_flight + other_load

    def paced_s(self, work_s: float, now: float) -> float:
        """Returns how long work takes on the server at its reported pace.

        The latest pace applies to the part that is done while the report is
        valid, the mean pace to the rest.

        Args:
            work_s: Time that the work takes at the usual pace.
            now: Monotonic seconds.
        """
        if not self.reports_pace:
            return work_s
        age_s = now - self._pace_at
        valid_s = PACE_VALID_S - age_s
        if work_s * self._pace <= valid_s:
            return work_s * self._pace
        mean_pace = self._decayed_mean_pace(age_s)
        if valid_s <= 0:
            return work_s * mean_pace
        return valid_s + (work_s - valid_s / self._pace) * mean_pace

    def slowness(self, now: float) -> float:
        """Returns how many times longer than usual requests take, from 1."""
        if self._slowness == 1.0:
            return 1.0
        decay = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def failure_share(self, now: float) -> float:
        """Returns the share of recent requests that failed, from 0 to 1."""
        if not self._failure_share:
            return 0.0
        decay = 0.5 ** ((now - self._failure_share_at) / FAILURE_HALF_LIFE_S)
        return self._failure_share * decay

    def is_warm(self, key: int) -> bool:
        """Returns whether the server recently handled an object."""
        return key in self._objects

    def record_sent(self, now: float) -> None:
        """Counts a request sent to the server."""
        self.in_flight += 1
        self.last_sent_at = now
        self._sent_times.append(now)

    def record_end(self) -> None:
        """Counts the end of a request, regardless of its outcome."""
        self.in_flight -= 1

    def apply_load_report(self, report: LoadReport, now: float) -> None:
        """Applies a load report; call `record_end` for its request first."""
        self._apply_total(report.running + report.waiting, self.in_flight, now)
        if report.pace is not None:
            self._apply_pace(report.pace, now)

    def apply_peer_report(self, total: int, at: float) -> bool:
        """Applies the load that the server told another instance.

        Requests of this instance that were in flight at that time are not
        counted twice. Those that have ended since count as others' requests
        until the next report, so that the load is not underestimated.

        Args:
            total: Requests running and waiting at the server.
            at: Monotonic time of the response, in seconds.

        Returns:
            Whether the report is newer than the known one.
        """
        if at <= self._other_load_at:
            return False
        sent_since = sum(sent_at > at for sent_at in self._sent_times)
        self._apply_total(total, max(0, self.in_flight - sent_since), at)
        return True

    def _apply_total(self, total: int, own: int, now: float) -> None:
        """Applies the requests at the server, `own` of them of this instance.

        Args:
            total: All requests at the server.
            own: Requests of this instance among them.
            now: Monotonic time of the response, in seconds.
        """
        self._other_load = max(0.0, float(total - own))
        # Reports in quick succession carry little new information.
        age_s = min(1e3, now - self._other_load_at)
        weight = 1.0 - math.exp(-age_s / MEAN_LOAD_S)
        self._mean_other_load += weight * (
            self._other_load - self._mean_other_load
        )
        self._other_load_at = now

    def _apply_pace(self, pace: float, now: float) -> None:
        age_s = min(1e3, now - self._pace_at)
        mean_pace = self._decayed_mean_pace(age_s)
        weight = min(MAX_PACE_WEIGHT, 1.0 - math.exp(-age_s / MEAN_PACE_S))
        self._mean_pace = mean_pace + weight * (pace - mean_pace)
        self._pace = pace
        self._pace_at = now
        self.reports_pace = True

    def _decayed_mean_pace(self, age_s: float) -> float:
        outdated_s = max(0.0, age_s - MEAN_PACE_VALID_S)
        decay = 0.5 ** (outdated_s / MEAN_PACE_HALF_LIFE_S)
        return 1.0 + (self._mean_pace - 1.0) * decay

    def record_response(
        self, ratio: float, key: int | None, now: float
    ) -> None:
        """Records a response, or the time waited for one that did not arrive.

        Args:
            ratio: Actual duration relative to the duration that was expected
                with the pace at the time of sending.
            key: Object that the server has handled and keeps warm, if any.
            now: Monotonic seconds.
        """
        slowness = self.slowness(now)
        bounded = min(ratio, max(MAX_LONE_RATIO, self._last_ratio))
        self._last_ratio = ratio
        self._slowness = max(
            1.0, slowness + _OUTCOME_WEIGHT * (bounded - slowness)
        )
        self._slowness_at = now
        self._update_failure_share(0.0, now)
        self._consecutive_failures = 0
        self._before_failures = None
        if key is not None:
            self._objects[key] = now
            self._objects.move_to_end(key)
            if len(self._objects) > MAX_OBJECTS:
                self._objects.popitem(last=False)

    def record_failure(self, now: float) -> None:
        """Records the failure of a request that reached the server."""
        self._update_failure_share(1.0, now)

    def record_connection_failure(self, now: float) -> None:
        """Records a connection that could not be opened or broke."""
        if self._before_failures is None:
            self._before_failures = (
                self.paused_until,
                self._failure_share,
                self._failure_share_at,
                self._objects,
            )
        pause = FIRST_PAUSE_S * 2**self._consecutive_failures
        self._consecutive_failures += 1
        self.paused_until = now + min(pause, MAX_PAUSE_S)
        self._update_failure_share(1.0, now)
        # The server's cache is cold if it has restarted.
        self._objects = OrderedDict()

    def undo_connection_failures(self) -> None:
        """Forgets connection failures that were not the server's fault."""
        if self._before_failures is None or self.paused_until == math.inf:
            return
        paused_until, share, share_at, objects = self._before_failures
        self.paused_until = paused_until
        self._failure_share = share
        self._failure_share_at = share_at
        self._objects = objects
        self._consecutive_failures = 0
        self._before_failures = None

    def record_shed(self, now: float) -> None:
        """Records a request that the server shed because its queue is full."""
        self.record_failure(now)
        self.pause_until(now + SHED_PAUSE_S)

    def record_rest(self, rest_s: float, now: float) -> bool:
        """Records that the server asked for rest.

        Returns:
            Whether it was not resting already.
        """
        is_first = self.rest_until <= now
        self.rest_until = max(self.rest_until, now + rest_s)
        self._on_trial = True
        return is_first

    def record_acceptance(self, now: float) -> None:
        """Records a response that does not ask for rest.

        A response to an earlier request does not end the rest.
        """
        if now >= self.rest_until:
            self._on_trial = False

    def pause_until(self, until: float) -> None:
        """Sends the server nothing until a time; never ends a pause sooner."""
        self.paused_until = max(self.paused_until, until)

    def _update_failure_share(self, failed: float, now: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + _OUTCOME_WEIGHT * (failed - share)
        self._failure_share_at = now
