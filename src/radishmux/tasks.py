"""Background tasks whose failure is seen."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


def start_task(work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
    """Starts a task that logs the exception that ends it.

    The event loop reports such an exception only when the task object is
    freed, which does not happen while its owner keeps it.

    Args:
        work: What the task runs.
        name: Appears in the log line.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logger.opt(exception=error).error("task {} failed", task.get_name())
