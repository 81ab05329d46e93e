"""Guards against background loops that end unnoticed after an exception."""

from __future__ import annotations

import asyncio

from radishmux.tasks import repeat


async def test_a_failing_step_is_run_again():
    runs = 0
    enough = asyncio.Event()

    async def step() -> None:
        nonlocal runs
        runs += 1
        if runs >= 3:
            enough.set()
        raise ValueError("a step that always fails")

    loop = asyncio.create_task(repeat(step, 0.0, "test"))
    async with asyncio.timeout(5.0):
        await enough.wait()
    loop.cancel()
    assert runs >= 3
