"""Background loops that outlive a failing step."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from loguru import logger


async def repeat(
    step: Callable[[], Awaitable[object]], period_s: float, name: str
) -> None:
    """Runs a step for ever, with a pause after each run.

    A step that fails is logged and run again after the pause. A loop that
    ended instead would leave an instance that looks alive while a part of it
    has stopped, and the event loop reports the exception only when the task
    object is freed.

    Args:
        step: What to run.
        period_s: Pause between two runs, in seconds.
        name: Part that the step belongs to, for the log line.
    """
    while True:
        try:
            await step()
        except Exception:
            logger.exception("{} failed", name)
        await asyncio.sleep(period_s)


class BackgroundTask:
    """An async context manager that runs one task while it is entered."""

    _task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stop()

    async def _stop(self) -> None:
        """Cancels the task and waits for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Does the work until it is cancelled."""
        raise NotImplementedError
