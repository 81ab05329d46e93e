"""Compares a new version with the old one on one route in one region."""

from __future__ import annotations

import math
from collections import deque
from functools import cache

# Prior of the old version's long-term error rate, used until it has served
# requests.
PRIOR_REQUESTS = 500
PRIOR_ERRORS = 0.5
# Time constants, in requests, of the exponentially decaying error rates. The
# long-term rate changes slowly; the recent rate follows faults common to both
# versions, such as a failing database.
LONG_TERM_REQUESTS = 20_000
RECENT_REQUESTS = 15
# Error-free requests that are added to the recent ones as a prior.
RECENT_PRIOR_REQUESTS = 3
# A faulty version is assumed to fail this fraction of the requests that the
# old version would have served.
EXTRA_ERROR_RATE = 0.10
# Without recent requests of the old version, common faults cannot be told
# from faults of the new version, so only a much higher error rate is evidence.
STALE_AFTER_S = 10.0
STALE_ERROR_RATE = 0.05
STALE_EXTRA_ERROR_RATE = 0.30

# A new version may be this much slower without being faulty.
LATENCY_TOLERANCE_FACTOR = 1.2
LATENCY_TOLERANCE_S = 0.0005
# Numbers of requests of the more frequent version, before and after a request
# of the rarer version, that the latter is compared with. Each request is used
# once, so that the comparisons are independent. Requests from both sides are
# used so that a change in load does not look like a difference between the
# versions.
COMPARED_BEFORE = 4
COMPARED_AFTER = 4
# Decay per request of the counts that tell which version is rarer now.
COUNT_DECAY = 0.95
# Under the fault hypothesis, the rank of a slower version follows a mixture of
# Beta(shape, 1) distributions, given as (weight, shape). The shapes cover wide
# and narrow latency distributions.
SLOW_SHAPES = ((0.4, 2.0), (0.6, 7.0))


class ErrorBaseline:
    """Error rate of the old version.

    The estimate follows a rising error rate within a few requests, because an
    estimate that is too low would count against the new version.
    """

    __slots__ = (
        "_long_term_errors",
        "_long_term_requests",
        "_recent_errors",
        "_recent_requests",
        "_updated_at",
    )

    def __init__(self) -> None:
        self._long_term_errors = 0.0
        self._long_term_requests = 0.0
        self._recent_errors = 0.0
        self._recent_requests = 0.0
        self._updated_at = float("-inf")

    def add(self, failed: bool, now: float) -> None:
        """Adds the outcome of one request of the old version.

        Args:
            failed: Whether the version failed the request.
            now: Monotonic seconds.
        """
        if now - self._updated_at > STALE_AFTER_S:
            self._recent_errors = self._recent_requests = 0.0
        self._updated_at = now
        decay = 1 - 1 / LONG_TERM_REQUESTS
        self._long_term_errors = self._long_term_errors * decay + failed
        self._long_term_requests = self._long_term_requests * decay + 1
        decay = 1 - 1 / RECENT_REQUESTS
        self._recent_errors = self._recent_errors * decay + failed
        self._recent_requests = self._recent_requests * decay + 1

    def recent_rate(self, now: float) -> float:
        """Returns the recent error rate plus one standard deviation.

        While many requests of both versions fail, an underestimate counts
        more against the new version than an overestimate counts for it, hence
        the standard deviation. Without recent requests the rate is 0.
        """
        if now - self._updated_at > STALE_AFTER_S:
            return 0.0
        requests = self._recent_requests + RECENT_PRIOR_REQUESTS
        rate = self._recent_errors / requests
        return rate + math.sqrt(rate * (1 - rate) / requests)

    def log_ratios(self, common_rate: float, now: float) -> tuple[float, float]:
        """Returns the log likelihood ratios of a success and of a failure.

        Each is the logarithm of the likelihood of that outcome for a faulty
        new version, divided by its likelihood for a good one.

        Args:
            common_rate: Recent error rate of the old version on all routes.
            now: Monotonic seconds.
        """
        is_stale = now - self._updated_at > STALE_AFTER_S
        rate = min(
            max(self._long_term_rate(), self.recent_rate(now), common_rate), 0.9
        )
        if is_stale:
            rate = max(rate, STALE_ERROR_RATE)
        extra = STALE_EXTRA_ERROR_RATE if is_stale else EXTRA_ERROR_RATE
        faulty_rate = rate + extra * (1 - rate)
        failure = math.log(faulty_rate / rate)
        success = math.log((1 - faulty_rate) / (1 - rate))
        return success, failure

    def _long_term_rate(self) -> float:
        errors = self._long_term_errors + PRIOR_ERRORS
        return errors / (self._long_term_requests + PRIOR_REQUESTS)


@cache
def _rank_log_ratios(compared: int) -> tuple[float, ...]:
    """Returns the log likelihood ratio of each rank among `compared` requests.

    Without a fault, each rank has the probability 1 / (compared + 1).
    """
    result = []
    for rank in range(compared + 1):
        probability = sum(
            weight * _beta_binomial(rank, compared, shape)
            for weight, shape in SLOW_SHAPES
        )
        result.append(math.log(probability * (compared + 1)))
    return tuple(result)


def _beta_binomial(rank: int, compared: int, shape: float) -> float:
    """Returns the beta-binomial probability of a rank for Beta(shape, 1)."""
    log_probability = (
        math.lgamma(compared + 1)
        - math.lgamma(rank + 1)
        + math.lgamma(rank + shape)
        - math.lgamma(compared + shape + 1)
        + math.log(shape)
    )
    return math.exp(log_probability)


class LatencyComparison:
    """Compares latencies of the two versions that were observed close in time.

    Each request of the rarer version is ranked among requests of the more
    frequent version: the latest unused ones before it and the first ones after
    it.
    """

    __slots__ = (
        "_counts",
        "_rarer_is_new",
        "_before",
        "_rarer_latency_s",
        "_compared_s",
    )

    def __init__(self) -> None:
        self._counts = [0.0, 0.0]
        self._rarer_is_new = True
        self._before: deque[tuple[float, float]] = deque(maxlen=COMPARED_BEFORE)
        self._rarer_latency_s: float | None = None
        self._compared_s: list[float] = []

    def add(self, latency_s: float, is_new: bool, now: float) -> float | None:
        """Adds the latency of one request.

        Args:
            latency_s: Latency of the request.
            is_new: Whether the new version served it.
            now: Monotonic seconds.

        Returns:
            The log likelihood ratio of the comparison that this request
            completes, or None if it completes none.
        """
        adjusted_s = (
            latency_s / LATENCY_TOLERANCE_FACTOR - LATENCY_TOLERANCE_S
            if is_new
            else latency_s
        )
        self._count(is_new)
        if is_new is self._rarer_is_new:
            evidence = self._finish_comparison()
            self._rarer_latency_s = adjusted_s
            self._compared_s = [
                before_s
                for at, before_s in self._before
                if now - at <= STALE_AFTER_S
            ]
            self._before.clear()
            return evidence
        if self._rarer_latency_s is None:
            self._before.append((now, adjusted_s))
            return None
        self._compared_s.append(adjusted_s)
        # There may be fewer than COMPARED_BEFORE requests before; later ones
        # then make up for them.
        if len(self._compared_s) < COMPARED_BEFORE + COMPARED_AFTER:
            return None
        return self._finish_comparison()

    def _count(self, is_new: bool) -> None:
        """Updates the decaying counts; starts over if the rarer one changes."""
        counts = self._counts
        counts[not is_new] *= COUNT_DECAY
        counts[is_new] = counts[is_new] * COUNT_DECAY + 1
        rarer_is_new = counts[True] <= counts[False]
        if rarer_is_new is not self._rarer_is_new:
            self._rarer_is_new = rarer_is_new
            self._before.clear()
            self._rarer_latency_s = None

    def _finish_comparison(self) -> float | None:
        rarer_s, compared_s = self._rarer_latency_s, self._compared_s
        self._rarer_latency_s = None
        if rarer_s is None or not compared_s:
            return None
        lower = sum(other_s < rarer_s for other_s in compared_s)
        rank = lower if self._rarer_is_new else len(compared_s) - lower
        return _rank_log_ratios(len(compared_s))[rank]
