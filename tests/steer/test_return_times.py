"""Times at which callers that were refused in a burst return."""

from __future__ import annotations

import random

from radishmux.steer.return_times import ReturnTimes

RATE_PER_S = 20.0


def test_refused_callers_return_as_fast_as_they_can_be_served():
    """Guards against a second burst of callers that were refused together."""
    rng = random.Random(1)
    times = ReturnTimes()
    pauses = [
        times.pause_s(1, 0.5, 4, RATE_PER_S, 30.0, 0.0, rng.random())
        for _ in range(100)
    ]
    assert min(pauses) > 0.2
    for begin_s in range(1, 4):
        returns = sum(begin_s <= pause < begin_s + 1 for pause in pauses)
        assert 16 <= returns <= 24


def test_urgent_callers_return_before_others():
    """Guards against urgent requests that find the others there already."""
    times = ReturnTimes()
    for _ in range(20):
        times.pause_s(2, 1.0, 0, RATE_PER_S, 30.0, 0.0, 0.5)
    assert times.pause_s(0, 0.0, 0, RATE_PER_S, 30.0, 0.0, 0.5) < 0.1
    assert times.pause_s(2, 1.0, 0, RATE_PER_S, 30.0, 0.0, 0.5) > 1.0
    # Those that have returned are not counted any more.
    assert times.pause_s(2, 1.0, 0, RATE_PER_S, 30.0, 5.0, 0.5) < 0.1


def test_callers_keep_most_of_their_time():
    """Guards against pauses that clients do not honour, all of one length."""
    rng = random.Random(1)
    for rate_per_s in (0.0, 0.1):
        times = ReturnTimes()
        pauses = [
            times.pause_s(0, 0.0, 9, rate_per_s, 1.5, 0.0, rng.random())
            for _ in range(50)
        ]
        assert max(pauses) < 0.5
        assert max(pauses) - min(pauses) > 0.2


def test_urgent_callers_return_before_others_where_there_is_no_room():
    """Guards against classes that return in the order of their jitter only."""
    pauses = [
        ReturnTimes().pause_s(one, one / 2, 9, 0.1, 1.5, 0.0, 0.5)
        for one in range(3)
    ]
    assert pauses == sorted(set(pauses))
