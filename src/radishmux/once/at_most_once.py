"""At-most-once execution of non-idempotent requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from radishmux.clock import Clock
from radishmux.dispatch.exchange import BackendResponse, Exchange
from radishmux.once.ledger import (
    Entry,
    NewRequest,
    RepeatedRequest,
    RequestLedger,
)
from radishmux.once.recording import RecordingStream
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal, Verdict

Result = BackendResponse | Refusal

# The event loop holds only weak references to tasks; these references keep
# them from being garbage-collected before they finish.
_closing_streams: set[asyncio.Future[None]] = set()


class AtMostOnce:
    """Runs a request only if the ledger has no record of its id.

    A request keeps running when its caller disconnects, so that a repeat with
    the same id gets the outcome.

    Args:
        ledger: Record of the requests that this instance has begun.
        execute: Runs a request on a backend server.
        clock: Source of monotonic time.
        metrics: Receives `ledger_total`.
    """

    def __init__(
        self,
        ledger: RequestLedger,
        execute: Callable[[Exchange], Awaitable[Result]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._ledger = ledger
        self._execute = execute
        self._clock = clock
        self._metrics = metrics
        self._tasks_by_entry: dict[Entry, asyncio.Task[Result]] = {}

    @property
    def in_flight_count(self) -> int:
        """Number of requests in flight."""
        return len(self._tasks_by_entry)

    async def run(self, exchange: Exchange) -> Result:
        """Runs a request, or returns the outcome of an earlier one.

        A repeat waits for the first request, at most until its own deadline.

        Returns:
            The response; or a refusal, among others when the ledger does not
            admit the request, when its id was used for another request, or
            when the first request is still running.
        """
        begin_result = self._ledger.begin(
            exchange.customer,
            exchange.request_id,
            self._clock.now(),
            _fingerprint(exchange),
        )
        self._metrics.count(
            "ledger_total", outcome=_metric_outcome(begin_result)
        )
        if isinstance(begin_result, Refusal):
            return begin_result
        if isinstance(begin_result, NewRequest):
            # A separate task, since it must survive the cancellation of
            # this coroutine when the caller disconnects.
            task = asyncio.create_task(
                self._execute_and_record(begin_result.entry, exchange)
            )
            self._tasks_by_entry[begin_result.entry] = task
            task.add_done_callback(
                lambda _: self._tasks_by_entry.pop(begin_result.entry, None)
            )
            return await _await_shielded(task)
        if begin_result.entry.fingerprint != _fingerprint(exchange):
            return _may_have_run(
                "request_id_reused",
                "Another request with this id came before.",
                422,
            )
        if begin_result.outcome is None:
            await self._wait_for_first(begin_result.entry, exchange.deadline)
        outcome = begin_result.outcome
        if outcome is not None:
            return outcome
        return _may_have_run(
            "still_running",
            "The first request has not ended.",
            409,
        )

    async def _wait_for_first(self, entry: Entry, deadline: float) -> None:
        task = self._tasks_by_entry.get(entry)
        if task is not None:
            timeout_s = max(0.0, deadline - self._clock.now())
            await asyncio.wait((task,), timeout=timeout_s)

    async def _execute_and_record(
        self, entry: Entry, exchange: Exchange
    ) -> Result:
        result: Result = _may_have_run("failed", "The request broke off.", 502)
        try:
            result = await self._execute(exchange)
        finally:
            if isinstance(result, Refusal) or result.stream is None:
                self._ledger.finish(entry, result)
        if isinstance(result, BackendResponse) and result.stream is not None:
            result.stream = RecordingStream(self._ledger, entry, result)
        return result


async def _await_shielded(task: asyncio.Task[Result]) -> Result:
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_close_unread_stream)
        raise


def _close_unread_stream(task: asyncio.Task[Result]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, BackendResponse) and result.stream is not None:
        close_task = asyncio.ensure_future(result.stream.aclose())
        _closing_streams.add(close_task)
        close_task.add_done_callback(_closing_streams.discard)


def _may_have_run(reason: str, message: str, status: int) -> Refusal:
    return Refusal(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        message=message,
        status=status,
    )


def _fingerprint(exchange: Exchange) -> str:
    length = exchange.body.length
    return f"{exchange.service} {exchange.method} {exchange.target} {length}"


def _metric_outcome(
    begin_result: NewRequest | RepeatedRequest | Refusal,
) -> str:
    if isinstance(begin_result, Refusal):
        return begin_result.reason
    return "begun" if isinstance(begin_result, NewRequest) else "repeated"
