"""Tests I2: retries are at most a tenth of the first attempts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.retry_budget import FRACTION, WINDOW_S, RetryBudget

steps = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.001, 0.03, 0.09, 0.4, 1.02, 1.2, 30.0)),
        st.integers(0, 30),
        st.integers(0, 5),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(steps, st.floats(0, 1000))
def test_no_window_before_a_retry_has_too_many_retries(steps, start):
    """Guards against windows with more than 1.1 attempts per first attempt."""
    budget = RetryBudget()
    now = start
    first_attempts: list[float] = []
    retries: list[float] = []
    for pause_s, first_count, retry_count in steps:
        now += pause_s
        for _ in range(first_count):
            budget.record_first_attempt(now)
            first_attempts.append(now)
        for _ in range(retry_count):
            if budget.try_retry(now):
                retries.append(now)
                recent = sum(now - at < WINDOW_S for at in first_attempts)
                used = sum(now - at < WINDOW_S for at in retries)
                assert used <= FRACTION * recent


def test_a_steady_load_gets_nearly_its_whole_budget():
    """Guards against a budget that refuses retries within its fraction."""
    budget = RetryBudget()
    allowed = 0
    for step in range(10_000):
        now = 50.0 + step / 1000
        budget.record_first_attempt(now)
        allowed += budget.try_retry(now)
    assert 0.08 * 10_000 < allowed <= 0.1 * 10_000
