"""Runs each non-idempotent request at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from radishmux.clock import Clock
from radishmux.dispatch.exchange import Answer, Exchange
from radishmux.once.ledger import Begun, Entry, Repeat, RequestLedger
from radishmux.once.recording import RecordingStream
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal, Verdict

Result = Answer | Refusal

# The event loop keeps weak references to tasks only.
_closing: set[asyncio.Future[None]] = set()


class AtMostOnce:
    """Puts the ledger before the rest of the request flow.

    A request goes on when its caller leaves, so that a repeat finds out what
    became of it.
    """

    def __init__(
        self,
        ledger: RequestLedger,
        steer: Callable[[Exchange], Awaitable[Result]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._ledger = ledger
        self._steer = steer
        self._clock = clock
        self._metrics = metrics
        self._running: dict[Entry, asyncio.Task[Result]] = {}

    @property
    def in_flight_count(self) -> int:
        """Requests that run now."""
        return len(self._running)

    async def run(self, exchange: Exchange) -> Result:
        """Runs a request, or answers what became of an earlier one."""
        begun = self._ledger.begin(
            exchange.customer,
            exchange.request_id,
            self._clock.now(),
            _fingerprint(exchange),
        )
        self._metrics.count("ledger_total", outcome=_ledger_outcome(begun))
        if isinstance(begun, Refusal):
            return begun
        if isinstance(begun, Begun):
            # Goes on when the caller leaves, so that a repeat finds out.
            task = asyncio.create_task(self._run(begun.entry, exchange))
            self._running[begun.entry] = task
            task.add_done_callback(
                lambda _: self._running.pop(begun.entry, None)
            )
            return await _shielded(task)
        if begun.entry.fingerprint != _fingerprint(exchange):
            return _may_have_run(
                "request_id_reused",
                "Another request with this id came before.",
                422,
            )
        if begun.outcome is None:
            await self._wait_for_first(begun.entry, exchange.deadline)
        outcome = begun.outcome
        if outcome is not None:
            return outcome
        return _may_have_run(
            "still_running", "The first request has not ended.", 409
        )

    async def _wait_for_first(self, entry: Entry, deadline: float) -> None:
        task = self._running.get(entry)
        if task is not None:
            wait_s = max(0.0, deadline - self._clock.now())
            await asyncio.wait((task,), timeout=wait_s)

    async def _run(self, entry: Entry, exchange: Exchange) -> Result:
        result: Result = _may_have_run("failed", "The request broke off.", 502)
        try:
            result = await self._steer(exchange)
        finally:
            if isinstance(result, Refusal) or result.stream is None:
                self._ledger.finish(entry, result)
        if isinstance(result, Answer) and result.stream is not None:
            result.stream = RecordingStream(self._ledger, entry, result)
        return result


async def _shielded(task: asyncio.Task[Result]) -> Result:
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_close_unread)
        raise


def _close_unread(task: asyncio.Task[Result]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, Answer) and result.stream is not None:
        closing = asyncio.ensure_future(result.stream.aclose())
        _closing.add(closing)
        closing.add_done_callback(_closing.discard)


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


def _ledger_outcome(begun: Begun | Repeat | Refusal) -> str:
    if isinstance(begun, Refusal):
        return begun.reason
    return "begun" if isinstance(begun, Begun) else "repeated"
