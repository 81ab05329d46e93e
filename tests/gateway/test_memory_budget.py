"""Decisions of the shared limits: who is given up when they are reached."""

from __future__ import annotations

import pytest

from radishmux.http._progress import Progress
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.memory_budget import MIB, MemoryBudget, budget_bytes

LIMIT = 1_600


class Caller:
    """A connection with a fixed progress."""

    def __init__(self, size=0, rate=0.0, can_give_up=True):
        self.size = size
        self.rate = rate
        self.can_give_up = can_give_up
        self.is_serving = not can_give_up
        self.is_given_up = False

    def progress(self, now):
        return self.rate

    def give_up(self):
        self.size = 0
        self.is_given_up = True

    close_for_another = give_up


def full_budget(*callers):
    budget = MemoryBudget(LIMIT, lambda: 0.0)
    for one in callers:
        budget.set_size(one, one.size)
    return budget


# Bodies that stopped just short of their end kept all others out.
def test_slowest_upload_is_given_up_for_a_new_one():
    stalled, fast = Caller(800), Caller(800, rate=100.0)
    budget = full_budget(stalled, fast)
    assert budget.allows(Caller(rate=50.0), 500)
    assert stalled.is_given_up
    assert not fast.is_given_up
    assert budget.used_bytes == 1_300


def test_slowest_upload_of_all_gets_no_more():
    fast = Caller(1_600, rate=100.0)
    budget = full_budget(fast)
    assert not budget.allows(Caller(rate=1.0), 500)
    assert not fast.is_given_up


# Requests at a server may have run: giving them up frees no memory at once.
def test_complete_requests_are_not_given_up():
    served = Caller(1_600, can_give_up=False)
    budget = full_budget(served)
    assert not budget.allows(Caller(), 10)
    assert budget.allows(Caller(), 10, is_essential=True)
    assert not served.is_given_up


# A socket does not tell when it has sent a response, so that the memory of
# callers who have read theirs was still counted.
def test_memory_that_was_freed_silently_is_used_again():
    reader = Caller(1_600, can_give_up=False)
    budget = full_budget(reader)
    reader.size = 100
    assert budget.allows(Caller(), 500)
    assert budget.used_bytes == 600


@pytest.mark.parametrize("memory_mb", [None, 96, 200, 552])
def test_budget_leaves_memory_for_the_process(memory_mb):
    budget = budget_bytes(memory_mb)
    assert budget <= (memory_mb or 200) * MIB / 2
    # The largest body that a configuration may allow fits in.
    assert memory_mb == 96 or budget > 70 * MIB


def test_progress_counts_recent_bytes_only():
    progress = Progress()
    progress.start(0.0)
    progress.add(1_000, 0.5)
    assert progress.rate(0.5) == 2_000
    assert progress.rate(1.5) == 1_000
    assert progress.rate(4.0) == 0


# A crowd of idle connections took all descriptors.
def test_oldest_unused_connection_is_closed_for_a_new_one():
    limit = ConnectionLimit()
    limit.max_connections = 3
    serving, idle, used = Caller(can_give_up=False), Caller(), Caller()
    for one in (serving, idle, used):
        assert limit.add(one)
    limit.touch(idle)
    assert limit.add(Caller())
    assert used.is_given_up
    assert not idle.is_given_up
    assert not serving.is_given_up


def test_new_connection_is_closed_if_all_others_are_serving():
    limit = ConnectionLimit()
    limit.max_connections = 1
    assert limit.add(Caller(can_give_up=False))
    assert not limit.add(Caller())


def test_limits_leave_the_reserved_descriptors():
    limit = ConnectionLimit(400)
    assert limit.max_connections + limit.max_requests + limit.backlog < 200
