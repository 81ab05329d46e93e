"""Checks the total rate of all instances to one cold server."""

from __future__ import annotations

import pytest

from radishmux.steer.cold_pace import ColdRateLimiter
from tests.gateway.parts import server

# The specified limit: rate x OVERRUN + SLACK requests in any second.
OVERRUN = 1.5
SLACK = 5


@pytest.mark.parametrize("rate", [3.8, 13.0])
@pytest.mark.parametrize("count", [1, 9, 60])
def test_all_instances_together_respect_the_rate(rate, count):
    names = [f"i{n}" for n in range(count)]
    limiters = [ColdRateLimiter(name) for name in names]
    for limiter in limiters:
        limiter.set_instances(frozenset(names))
        limiter.set_rates({"s": rate})
    cold = server("x")
    sent = []
    for step in range(500):
        now = step * 0.01
        sent += [now for limiter in limiters if limiter.try_acquire(cold, now)]
    assert sent
    for start in sent:
        within = sum(start <= at < start + 1.0 for at in sent)
        assert within <= rate * OVERRUN + SLACK


@pytest.mark.parametrize("rate", [3.8, 13.0])
def test_two_views_of_the_fleet_respect_the_rate(rate):
    """Each half of the fleet takes the other half for dead."""
    names = [f"i{n}" for n in range(10)]
    limiters = [ColdRateLimiter(name) for name in names]
    for limiter in limiters[:5]:
        limiter.set_instances(frozenset(names[:5]))
    for limiter in limiters[5:]:
        limiter.set_instances(frozenset(names[5:]))
    for limiter in limiters:
        limiter.set_rates({"s": rate})
    cold = server("x")
    sent = []
    for step in range(500):
        now = step * 0.01
        sent += [now for limiter in limiters if limiter.try_acquire(cold, now)]
    for start in sent:
        within = sum(start <= at < start + 1.0 for at in sent)
        assert within <= rate * OVERRUN + SLACK


def test_service_without_a_rate_is_not_limited():
    limiter = ColdRateLimiter("i")
    assert all(limiter.try_acquire(server("x"), 0.0) for _ in range(100))
