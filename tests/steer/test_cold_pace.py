"""Requests of all instances to one cold server."""

from __future__ import annotations

import pytest

from radishmux.steer.cold_pace import ColdRateLimiter
from tests.gateway.parts import server

# The users' bound: rate x overrun + slack in any second.
OVERRUN = 1.5
SLACK = 5


@pytest.mark.parametrize("rate", [3.8, 13.0])
@pytest.mark.parametrize("count", [1, 9, 60])
def test_all_instances_together_keep_to_the_rate(rate, count):
    names = [f"i{n}" for n in range(count)]
    paces = [ColdRateLimiter(name) for name in names]
    for pace in paces:
        pace.set_instances(frozenset(names))
        pace.set_rates({"s": rate})
    cold = server("x")
    sent = []
    for step in range(500):
        now = step * 0.01
        sent += [now for pace in paces if pace.try_acquire(cold, now)]
    assert sent
    for start in sent:
        within = sum(start <= at < start + 1.0 for at in sent)
        assert within <= rate * OVERRUN + SLACK


@pytest.mark.parametrize("rate", [3.8, 13.0])
def test_two_views_of_the_fleet_keep_to_the_rate(rate):
    """Half of the instances have not heard of the other half's death."""
    names = [f"i{n}" for n in range(10)]
    paces = [ColdRateLimiter(name) for name in names]
    for pace in paces[:5]:
        pace.set_instances(frozenset(names[:5]))
    for pace in paces[5:]:
        pace.set_instances(frozenset(names[5:]))
    for pace in paces:
        pace.set_rates({"s": rate})
    cold = server("x")
    sent = []
    for step in range(500):
        now = step * 0.01
        sent += [now for pace in paces if pace.try_acquire(cold, now)]
    for start in sent:
        within = sum(start <= at < start + 1.0 for at in sent)
        assert within <= rate * OVERRUN + SLACK


def test_service_without_a_rate_is_not_paced():
    pace = ColdRateLimiter("i")
    assert all(pace.try_acquire(server("x"), 0.0) for _ in range(100))
