"""Permits for requests to servers that name a limit."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishmux.share.permit_buckets import PermitBuckets

WINDOW_S = 4.0


def allowed(limit_per_s):
    """Returns the users' bound on the requests in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


# Guards against permits beyond the bound while instances disagree about the
# holder of a server, whatever the limit and the times of the questions.
@given(
    limit_per_s=st.floats(0.0, 200.0),
    gaps_s=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=400),
)
def test_two_holders_together_stay_within_the_bound(limit_per_s, gaps_s):
    holders = PermitBuckets(), PermitBuckets()
    granted = []
    for now in itertools.accumulate(gaps_s):
        for holder in holders:
            while holder.take("s", limit_per_s, now) == 0.0:
                granted.append(now)
    for n, start in enumerate(granted):
        in_window = sum(at <= start + WINDOW_S for at in granted[n:])
        assert in_window <= allowed(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [0.3, 4.4, 60.0])
def test_questions_follow_the_limit_and_use_it(limit_per_s):
    buckets = PermitBuckets()
    seconds, instances = 120.0, 50
    next_ask_at = [n / instances for n in range(instances)]
    asked = granted = 0
    now = 0.0
    while now < seconds:
        asked += 1
        wait_s = buckets.take("s", limit_per_s, now)
        granted += wait_s == 0.0
        n = next_ask_at.index(now)
        # Its next request to that server, if it may ask again by then.
        next_ask_at[n] = now + max(wait_s, 0.5)
        now = min(next_ask_at)
    assert 0.6 * limit_per_s <= granted / seconds <= limit_per_s
    # At most one question a second of each instance, if no permit is granted.
    assert asked / seconds <= instances + limit_per_s


def test_server_that_accepts_nothing_is_asked_now_and_then():
    buckets = PermitBuckets()
    granted = sum(buckets.take("s", 0.0, now / 10) == 0.0 for now in range(400))
    assert 5 <= granted <= 12
