"""Background tasks, and loops that continue after an exception."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from loguru import logger


async def repeat(
    step: Callable[[], Awaitable[object]], period_s: float, name: str
) -> None:
    """Runs a step forever, with a pause after each run.

    If the step raises an exception, it is logged and the step runs again after
    the pause. If the loop ended instead, the instance would look healthy while
    one of its components has stopped, because the event loop reports the
    exception only when the task object is freed.

    Args:
        step: Coroutine function to run.
        period_s: Pause between two runs, in seconds.
        name: Name of the component, for the log line.
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
        """Cancels the task and waits until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Body of the task, which subclasses implement."""
        raise NotImplementedError
