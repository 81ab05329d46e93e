"""Concurrent attempts at one request."""

from __future__ import annotations

import asyncio
from types import TracebackType

from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.steer.hedging import HedgePlan


class AttemptGroup:
    """Attempts at one request that are in flight; a context manager.

    Attempts that are still in flight at the exit are cancelled.

    Attributes:
        tasks: Tasks of the attempts in flight.
        next_attempt_at: Monotonic time at which another attempt is due.
        hedge_plan: When a second attempt may start beside the first one; None
            if further ones wait for the usual delay.
    """

    __slots__ = ("hedge_plan", "next_attempt_at", "tasks")

    def __init__(self, next_attempt_at: float) -> None:
        self.tasks: set[asyncio.Task[ServerResponse | NoResponse]] = set()
        self.next_attempt_at = next_attempt_at
        self.hedge_plan: HedgePlan | None = None

    def __enter__(self) -> AttemptGroup:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self.tasks:
            task.cancel()
