"""The old version on one route and region, as the yardstick of the new one."""

from __future__ import annotations

import math
from collections import deque
from functools import cache

# Error rate assumed before the old version has served anything.
PRIOR_REQUESTS = 500
PRIOR_ERRORS = 0.5
# The long rate forgets slowly, the recent one follows common faults, such as
# a database that fails for both versions.
LONG_REQUESTS = 20_000
RECENT_REQUESTS = 15
RECENT_PRIOR_REQUESTS = 3
# A fault means this many more errors per request than the old version has.
EXTRA_ERRORS = 0.10
# Without recent requests of the old version nothing tells common faults from
# those of the new version, so only a much higher rate counts.
STALE_S = 10.0
STALE_RATE = 0.05
STALE_EXTRA_ERRORS = 0.30

# A new version may be this much slower without being at fault.
TOLERANCE = 1.2
TOLERANCE_S = 0.0005
# Requests of the more frequent version, before and after one of the other,
# that the latter is compared with. Each is used once, so that comparisons are
# independent; taking both sides keeps a change of load from looking like a
# difference between the versions.
BEFORE = 4
AFTER = 4
# Weight that a request keeps when another one is counted, to find the version
# that is more frequent now.
KEPT_COUNT = 0.95
# Ranks of a slower version follow Beta(SLOW_SHAPES, 1) with these weights:
# wide and narrow distributions of latency.
SLOW_SHAPES = ((0.4, 2.0), (0.6, 7.0))


class ErrorBaseline:
    """Error rate of the old version, never estimated too low for long."""

    __slots__ = ("_errors", "_requests", "_recent", "_recent_requests", "_at")

    def __init__(self) -> None:
        self._errors = 0.0
        self._requests = 0.0
        self._recent = 0.0
        self._recent_requests = 0.0
        self._at = float("-inf")

    def add(self, failed: bool, now: float) -> None:
        """Takes the outcome of a request of the old version."""
        if now - self._at > STALE_S:
            self._recent = self._recent_requests = 0.0
        self._at = now
        keep = 1 - 1 / LONG_REQUESTS
        self._errors = self._errors * keep + failed
        self._requests = self._requests * keep + 1
        keep = 1 - 1 / RECENT_REQUESTS
        self._recent = self._recent * keep + failed
        self._recent_requests = self._recent_requests * keep + 1

    def recent_rate(self, now: float) -> float:
        """Returns the error rate of the latest requests; 0 without any.

        It is one standard deviation too high: while many requests of both
        versions fail, an estimate that is too low counts for more against the
        new version than one that is too high counts for it.
        """
        if now - self._at > STALE_S:
            return 0.0
        requests = self._recent_requests + RECENT_PRIOR_REQUESTS
        rate = self._recent / requests
        return rate + math.sqrt(rate * (1 - rate) / requests)

    def log_ratios(self, common_rate: float, now: float) -> tuple[float, float]:
        """Returns the evidence of one success and of one failure.

        Args:
            common_rate: Recent error rate of the old version on all routes.
            now: Monotonic seconds.
        """
        stale = now - self._at > STALE_S
        rate = min(
            max(self._long_rate(), self.recent_rate(now), common_rate), 0.9
        )
        if stale:
            rate = max(rate, STALE_RATE)
        extra = STALE_EXTRA_ERRORS if stale else EXTRA_ERRORS
        faulty = rate + extra * (1 - rate)
        failure = math.log(faulty / rate)
        success = math.log((1 - faulty) / (1 - rate))
        return success, failure

    def _long_rate(self) -> float:
        errors = self._errors + PRIOR_ERRORS
        return errors / (self._requests + PRIOR_REQUESTS)


@cache
def _rank_log_ratios(compared: int) -> tuple[float, ...]:
    """Returns the evidence of each rank among `compared` old requests.

    Without a fault each rank has the chance 1 / (compared + 1).
    """
    result = []
    for rank in range(compared + 1):
        chance = sum(
            weight * _beta_binomial(rank, compared, shape)
            for weight, shape in SLOW_SHAPES
        )
        result.append(math.log(chance * (compared + 1)))
    return tuple(result)


def _beta_binomial(rank: int, compared: int, shape: float) -> float:
    log_chance = (
        math.lgamma(compared + 1)
        - math.lgamma(rank + 1)
        + math.lgamma(rank + shape)
        - math.lgamma(compared + shape + 1)
        + math.log(shape)
    )
    return math.exp(log_chance)


class LatencyComparison:
    """Compares latencies of both versions that follow each other closely.

    Each request of the rarer version is ranked among the latest unused ones of
    the other version before it and the first ones after it.
    """

    __slots__ = ("_counts", "_rare_is_new", "_before", "_single", "_others")

    def __init__(self) -> None:
        self._counts = [0.0, 0.0]
        self._rare_is_new = True
        self._before: deque[tuple[float, float]] = deque(maxlen=BEFORE)
        self._single: float | None = None
        self._others: list[float] = []

    def add(self, latency_s: float, is_new: bool, now: float) -> float | None:
        """Takes a latency and returns the evidence of a comparison, if any."""
        judged = latency_s / TOLERANCE - TOLERANCE_S if is_new else latency_s
        self._count(is_new)
        if is_new is self._rare_is_new:
            evidence = self._close()
            self._single = judged
            self._others = [
                other for at, other in self._before if now - at <= STALE_S
            ]
            self._before.clear()
            return evidence
        if self._single is None:
            self._before.append((now, judged))
            return None
        self._others.append(judged)
        # Those before are at most BEFORE, so the bound is on the sum.
        if len(self._others) < BEFORE + AFTER:
            return None
        return self._close()

    def _count(self, is_new: bool) -> None:
        counts = self._counts
        counts[not is_new] *= KEPT_COUNT
        counts[is_new] = counts[is_new] * KEPT_COUNT + 1
        rare_is_new = counts[True] <= counts[False]
        if rare_is_new is not self._rare_is_new:
            self._rare_is_new = rare_is_new
            self._before.clear()
            self._single = None

    def _close(self) -> float | None:
        single, others = self._single, self._others
        self._single = None
        if single is None or not others:
            return None
        lower = sum(other < single for other in others)
        rank = lower if self._rare_is_new else len(others) - lower
        return _rank_log_ratios(len(others))[rank]
