"""Waiting for the attempts of one request."""

from __future__ import annotations

import asyncio

import pytest

from radishmux.gateway.attempt_group import AttemptGroup


def make_group(*outcomes):
    """Returns a group with a task for each future, and the tasks."""

    async def attempt(outcome):
        return await outcome

    group = AttemptGroup(0.0)
    tasks = [asyncio.create_task(attempt(outcome)) for outcome in outcomes]
    group.tasks.update(tasks)
    return group, tasks


def futures(count):
    loop = asyncio.get_running_loop()
    return [loop.create_future() for _ in range(count)]


async def test_first_attempt_that_ends_is_returned():
    slow, fast = futures(2)
    group, (slow_task, fast_task) = make_group(slow, fast)
    with group:
        asyncio.get_running_loop().call_soon(fast.set_result, "answer")
        assert await group.wait(5.0) == {fast_task}
        assert fast_task.result() == "answer"
        assert group.tasks == {slow_task}


async def test_attempts_that_have_ended_before_are_returned_at_once():
    one, other = futures(2)
    group, tasks = make_group(one, other)
    one.set_result(1)
    other.set_result(2)
    await asyncio.gather(*tasks)
    assert await group.wait(5.0) == set(tasks)
    assert not group.tasks


async def test_time_out_returns_nothing_and_leaves_the_attempts():
    group, tasks = make_group(*futures(1))
    with group:
        assert await group.wait(0.01) == set()
        assert group.tasks == set(tasks)
        assert not tasks[0].done()


# Guards against attempts that go on when their caller has left.
async def test_cancelled_wait_leaves_the_attempts_to_the_group():
    group, tasks = make_group(*futures(1))

    async def serve():
        with group:
            await group.wait(5.0)

    waiting = asyncio.create_task(serve())
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert group.tasks == set(tasks)
    await asyncio.sleep(0)
    assert tasks[0].cancelled()
