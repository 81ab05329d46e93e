"""Counts in a sliding window against a count of all events."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from radishmux.steer._sliding_count import SlidingCount

WINDOW_S = 5.0
STEP_S = WINDOW_S / 10


# Guards against counts that are kept although a part of the window has expired.
@pytest.mark.parametrize("gap_s", [0.01, 0.5, 2.0, 6.0])
def test_counts_are_those_of_the_parts_in_the_window(gap_s):
    rng = random.Random(3)
    counted = SlidingCount(WINDOW_S)
    # Start and events of each part.
    parts: list[tuple[float, list[int]]] = []
    now = 1_000.0
    for _ in range(1_000):
        now += rng.expovariate(1 / gap_s)
        parts = [one for one in parts if one[0] > now - WINDOW_S]
        if rng.random() < 0.7:
            kind = rng.randrange(3)
            counted.add(kind, now)
            if not parts or now >= parts[-1][0] + STEP_S:
                parts.append((now, []))
            parts[-1][1].append(kind)
        expected = Counter(kind for _, kinds in parts for kind in kinds)
        assert counted.counts(now) == expected


def test_counts_expire_without_further_events():
    counted = SlidingCount(WINDOW_S)
    counted.add("a", 10.0)
    assert counted.counts(14.9) == {"a": 1}
    assert counted.counts(15.0) == {}
