"""Distribution of request durations relative to the expected ones; no I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate
from operator import mul

# Buckets are a factor of 2**(1/4) wide, so that the error of a duration is
# below a tenth, and reach from a quarter to 64 times the expected duration.
_BUCKETS_PER_OCTAVE = 4
_OCTAVES_BELOW = 2
_BUCKETS = 8 * _BUCKETS_PER_OCTAVE + 1
_ZERO = _OCTAVES_BELOW * _BUCKETS_PER_OCTAVE
_EDGES = tuple(
    2.0 ** ((n - _ZERO) / _BUCKETS_PER_OCTAVE) for n in range(_BUCKETS)
)
_MIDDLES = tuple(edge * 2.0 ** (0.5 / _BUCKETS_PER_OCTAVE) for edge in _EDGES)
_MIDDLES_FROM_LAST = _MIDDLES[::-1]
# Samples at which all counts are halved, so that older ones lose their weight.
MAX_SAMPLES = 512.0
# Samples below which the mean is not used.
MIN_SAMPLES = 16.0
# Samples beyond a duration below which nothing is known of what follows it: a
# few of the 3 in 100 that have a long duration inherently.
MIN_BEYOND = 4.0


class DurationHistogram:
    """Counts ratios of actual to expected durations, the newest most.

    hdrhistogram has no samples with fractions, which cancelled requests need.
    """

    __slots__ = ("_counts", "_tails", "_total", "_weighted_sum")

    def __init__(self) -> None:
        self._counts: list[float] | None = None
        # Count and sum of each bucket and those after it; None after a change.
        self._tails: tuple[list[float], list[float]] | None = None
        self._total = 0.0
        self._weighted_sum = 0.0

    @property
    def mean(self) -> float:
        """Mean ratio; 1 while there are few samples."""
        if self._total < MIN_SAMPLES:
            return 1.0
        return self._weighted_sum / self._total

    def record(self, ratio: float) -> None:
        """Records the duration of a request that got its response."""
        self._add(_bucket(ratio), 1.0)
        if self._total >= MAX_SAMPLES:
            self._halve()

    def record_cancelled(self, ratio: float) -> None:
        """Records a request that was given up after a time.

        It would have taken longer: it is divided among the longer durations in
        proportion to their counts, as in the estimator of Kaplan and Meier.
        Otherwise the requests that are hedged would vanish from the
        distribution that shows that they need to be.
        """
        first = _bucket(ratio)
        counts = self._counts or ()
        beyond = sum(counts[first + 1 :])
        if beyond <= 0.0:
            self._add(first, 1.0)
        else:
            for n in range(first + 1, _BUCKETS):
                if counts[n]:
                    self._add(n, counts[n] / beyond)
        if self._total >= MAX_SAMPLES:
            self._halve()

    def rest(self, ratio: float) -> float:
        """Returns the mean ratio that remains to those that take longer."""
        count, total = self._beyond(ratio)
        return 0.0 if count < MIN_BEYOND else total / count - ratio

    def chance_beyond(self, later: float, ratio: float) -> float:
        """Returns the chance that a request in flight takes even longer.

        Args:
            later: Ratio that it may reach.
            ratio: Ratio that it has reached.
        """
        if later <= ratio:
            return 1.0
        count, _ = self._beyond(ratio)
        return self._beyond(later)[0] / count if count else 0.0

    def first_ratio(
        self, start: float, whole: float, or_end: bool = False
    ) -> float | None:
        """Returns the first ratio at which more than an attempt remains.

        Args:
            start: Ratio from which on to search.
            whole: Duration of an attempt elsewhere, as a ratio.
            or_end: Whether to return the end of what is known otherwise.

        Returns:
            The ratio, or None if there is none.
        """
        if self._counts is None:
            return None
        counts, totals = self._tails or self._compute_tails(self._counts)
        end: float | None = None
        for n in range(bisect_right(_MIDDLES, start), _BUCKETS):
            count = counts[n]
            if count < MIN_BEYOND:
                break
            edge = end = _EDGES[n]
            if edge < start:
                edge = start
            if totals[n] / count - edge > whole:
                return edge
        if end is None or not or_end:
            return None
        return min(end * _EDGES[_ZERO + 1], _EDGES[-1])

    def _compute_tails(
        self, counts: list[float]
    ) -> tuple[list[float], list[float]]:
        from_last = counts[::-1]
        tails = list(accumulate(from_last))
        totals = list(accumulate(map(mul, from_last, _MIDDLES_FROM_LAST)))
        tails.reverse()
        totals.reverse()
        self._tails = (tails, totals)
        return self._tails

    @staticmethod
    def next_edge(ratio: float) -> float:
        """Returns the next ratio at which a decision may change.

        It is larger by a hundredth at least, also if `ratio` is an edge that
        was rounded down.
        """
        n = _bucket(1.01 * ratio)
        return _EDGES[n + 1] if n + 1 < _BUCKETS else math.inf

    def _beyond(self, ratio: float) -> tuple[float, float]:
        """Returns the count and the sum of the ratios above one."""
        count = total = 0.0
        if self._counts is not None:
            for n in range(_bucket(ratio), _BUCKETS):
                if _MIDDLES[n] > ratio:
                    count += self._counts[n]
                    total += self._counts[n] * _MIDDLES[n]
        return count, total

    def _add(self, bucket: int, weight: float) -> None:
        self._tails = None
        if self._counts is None:
            self._counts = [0.0] * _BUCKETS
        self._counts[bucket] += weight
        self._total += weight
        self._weighted_sum += weight * _MIDDLES[bucket]

    def _halve(self) -> None:
        self._tails = None
        if self._counts is not None:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
            self._weighted_sum /= 2


def _bucket(ratio: float) -> int:
    if ratio <= _EDGES[0]:
        return 0
    position = math.floor(math.log2(ratio) * _BUCKETS_PER_OCTAVE) + _ZERO
    return min(position, _BUCKETS - 1)
