"""Records when the process of the run itself stood still."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from types import TracebackType

from soak.records import Stall

_PERIOD_S = 0.05
# Shorter than the bounds of all checks.
_MIN_STALL_S = 0.2


class StallMonitor:
    """Watches the event loop; an async context manager.

    All proxies run in this process. While it stands still, it holds up what
    gateways have sent in time, and a check may blame them for it.

    Args:
        stalls: Takes what is found.
        now: Returns Unix seconds.
    """

    def __init__(
        self, stalls: list[Stall], now: Callable[[], float] = time.time
    ) -> None:
        self._stalls = stalls
        self._now = now
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> StallMonitor:
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _watch(self) -> None:
        while True:
            since = self._now()
            await asyncio.sleep(_PERIOD_S)
            until = self._now()
            if until - since > _PERIOD_S + _MIN_STALL_S:
                self._stalls.append(Stall(since=since, until=until))
