"""Sends requests to the backend servers of the cells of this instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from radishmux.clock import Clock
from radishmux.dispatch.attempt import Failure, ReceivedResponse, Sender
from radishmux.dispatch.backend import Backend
from radishmux.dispatch.cell_runtime import CellRuntime
from radishmux.dispatch.crashes import CrashDecision, CrashMarks
from radishmux.dispatch.exchange import (
    BackendResponse,
    Exchange,
    Headers,
    combine_verdicts,
)
from radishmux.dispatch.observer import Observer
from radishmux.dispatch.pool import CellPool, Waiter
from radishmux.dispatch.protocols import Gate, Keys, VersionSource
from radishmux.dispatch.refusals import (
    crash_marked,
    failed_attempt,
    key_revoked,
    no_backend_server,
    no_permit,
    no_slot,
    not_dispatcher,
    queue_full,
    retry_budget_exhausted,
)
from radishmux.dispatch.retry_budget import RetryBudget
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.http.headers import response_headers
from radishmux.http.refusals import with_verdict
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.traces import Tracer
from radishmux.verdict import Refusal

MAX_ATTEMPTS = 3
# Longest wait for a slot; uploads may wait until their deadline.
MAX_QUEUE_WAIT_S = 1.0
# Longest wait for the dispatch gate to open. A process that was paused gets its
# permit back within a few heartbeats.
MAX_GATE_WAIT_S = 1.0
_GATE_POLL_S = 0.02


class Dispatcher:
    """Dispatches requests for the cells that this instance holds.

    Args:
        clock: Monotonic time.
        runtime: The held cells and the connections to their servers.
        gate: Whether this instance may dispatch now.
        keys: Checks again whether the key of a request is valid.
        versions: Chooses the version for each attempt.
        observer: Receives the outcome of each attempt.
        marks: Crash marks of requests.
        watch: Tracks calls in flight to find silent connections.
        metrics: Counts queue waits and denied retries.
        tracer: Records a span for each attempt.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        runtime: CellRuntime,
        gate: Gate,
        keys: Keys,
        versions: VersionSource,
        observer: Observer,
        marks: CrashMarks,
        watch: ConnectionWatchdog,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._clock = clock
        self._runtime = runtime
        self._gate = gate
        self._keys = keys
        self._versions = versions
        self._observer = observer
        self._marks = marks
        self._sender = Sender(clock, watch)
        self._budgets: dict[str, RetryBudget] = {}
        self._metrics = metrics
        self._tracer = tracer

    async def dispatch(self, exchange: Exchange) -> BackendResponse | Refusal:
        """Sends a request to a backend server of `exchange.cell`.

        Failed attempts are retried on another server where that is allowed.
        Updates the attempts and the verdict of `exchange`.

        Returns:
            The response of a backend server, or the refusal for the caller.
        """
        failure_refusal: Refusal | None = None
        avoid: Backend | None = None
        is_paid = False
        while True:
            pool = self._runtime.pool(exchange.cell)
            if pool is None:
                return _final_refusal(
                    exchange, failure_refusal, not_dispatcher()
                )
            if not await self._wait_for_gate(exchange):
                is_given_up = self._runtime.pool(exchange.cell) is None
                return _final_refusal(
                    exchange,
                    failure_refusal,
                    not_dispatcher() if is_given_up else no_permit(),
                )
            exclusive = False
            if self._marks:
                decision = self._marks.decide(
                    exchange.digest, exchange.cell, self._clock.now()
                )
                if decision not in _RUNNABLE:
                    return _final_refusal(
                        exchange, failure_refusal, crash_marked(decision)
                    )
                exclusive = decision is CrashDecision.EXCLUSIVE
            acquired = await self._acquire(pool, exchange, avoid, exclusive)
            if isinstance(acquired, Refusal):
                return _final_refusal(exchange, failure_refusal, acquired)
            # The key may have been revoked meanwhile: a request may wait longer
            # than a revocation takes to reach this instance.
            if not self._key_is_valid(exchange):
                pool.release(acquired)
                return _final_refusal(exchange, failure_refusal, key_revoked())
            if not is_paid and not self._try_spend_budget(exchange):
                pool.release(acquired)
                self._metrics.count(
                    "retries_denied_total", service=exchange.service
                )
                return _final_refusal(
                    exchange, failure_refusal, retry_budget_exhausted()
                )
            result = await self._run_attempt(
                pool, acquired, exchange, exclusive
            )
            if isinstance(result, BackendResponse):
                return result
            is_paid = result.is_held_back
            if is_paid:
                # The next attempt takes the place of one that was not sent.
                exchange.attempts -= 1
                if self._may_retry(exchange):
                    continue
            exchange.verdict = combine_verdicts(
                exchange.verdict, result.verdict
            )
            failure_refusal = failed_attempt(result)
            avoid = acquired
            if not self._may_retry(exchange):
                return with_verdict(failure_refusal, exchange.verdict)

    def _key_is_valid(self, exchange: Exchange) -> bool:
        credential = exchange.credential
        return credential is None or self._keys.is_still_valid(
            credential.digest,
            exchange.customer,
            credential.config_version,
            self._clock.now(),
        )

    async def _wait_for_gate(self, exchange: Exchange) -> bool:
        """Waits up to MAX_GATE_WAIT_S until this instance may dispatch.

        Returns:
            Whether it may dispatch. False also if the cell was given up.
        """
        if self._gate.is_open():
            return True
        give_up_at = min(exchange.deadline, self._clock.now() + MAX_GATE_WAIT_S)
        while not self._gate.is_open():
            if self._runtime.pool(exchange.cell) is None:
                return False
            if self._clock.now() + _GATE_POLL_S >= give_up_at:
                return False
            await asyncio.sleep(_GATE_POLL_S)
        return True

    async def _acquire(
        self,
        pool: CellPool,
        exchange: Exchange,
        avoid: Backend | None,
        exclusive: bool,
    ) -> Backend | Refusal:
        give_up_at = exchange.deadline
        if not exchange.route.upload:
            give_up_at = min(give_up_at, self._clock.now() + MAX_QUEUE_WAIT_S)
        while True:
            version = self._choose_version(pool, exchange)
            if version is None:
                return no_backend_server()
            if pool.server_count(version) < 2:
                avoid = None  # The version has no other server.
            backend = pool.try_acquire(version, avoid, exclusive)
            if backend is not None:
                return backend
            backend = await self._wait_for_slot(
                pool, version, avoid, exclusive, give_up_at
            )
            if not isinstance(backend, Backend):
                return backend
            if self._versions.is_usable(exchange, version):
                return backend
            # The version was stopped while the request waited.
            pool.release(backend)

    def _choose_version(self, pool: CellPool, exchange: Exchange) -> str | None:
        version = self._versions.choose(exchange, self._clock.now())
        if pool.has_usable_server(version):
            return version
        other = self._versions.fallback(exchange, version)
        if other is not None and pool.has_usable_server(other):
            return other
        return version if pool.server_count(version) else None

    async def _wait_for_slot(
        self,
        pool: CellPool,
        version: str,
        avoid: Backend | None,
        exclusive: bool,
        give_up_at: float,
    ) -> Backend | Refusal:
        started_at = self._clock.now()
        woken = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            version, lambda: _set_woken(woken), avoid=avoid, exclusive=exclusive
        )
        if not pool.enqueue(waiter):
            return queue_full(pool)
        try:
            async with asyncio.timeout(give_up_at - started_at):
                await woken
        except TimeoutError:
            pool.cancel(waiter)
            return no_slot(pool)
        except BaseException:
            pool.cancel(waiter)
            raise
        self._metrics.observe(
            "queue_wait_seconds", self._clock.now() - started_at, cell=pool.name
        )
        if waiter.granted is None:  # The cell was given up.
            return not_dispatcher()
        return waiter.granted

    def _try_spend_budget(self, exchange: Exchange) -> bool:
        """Returns whether the retry budget allows the next attempt."""
        budget = self._budgets.get(exchange.service)
        if budget is None:
            budget = self._budgets[exchange.service] = RetryBudget()
        now = self._clock.now()
        if exchange.attempts:
            return budget.try_retry(now)
        budget.record_first_attempt(now)
        return True

    async def _run_attempt(
        self,
        pool: CellPool,
        backend: Backend,
        exchange: Exchange,
        exclusive: bool,
    ) -> BackendResponse | Failure:
        kind = "retry" if exchange.attempts else "first"
        exchange.attempts += 1
        started_at = self._clock.now()
        if exclusive:
            self._marks.begin_exclusive_run(exchange.digest)
        received: ReceivedResponse | Failure | None = None
        crashed = False
        try:
            received = await self._send(pool, backend, exchange, started_at)
            if isinstance(received, Failure) and (
                received.refused or received.broken
            ):
                crashed = await self._runtime.on_connection_failure(
                    backend, exchange, received
                )
        finally:
            if exclusive:
                is_harmless = received is not None and not crashed
                self._runtime.end_exclusive_run(exchange.digest, is_harmless)
            if (
                not isinstance(received, ReceivedResponse)
                or received.stream is None
            ):
                pool.release(backend)
        self._observer.record_attempt(
            exchange, backend, kind, received, started_at, crashed
        )
        if isinstance(received, Failure):
            return received
        if received.stream is not None:
            received.stream.on_close(
                self._stream_close_callback(
                    pool, backend, exchange, received, started_at
                )
            )
        return BackendResponse(
            received.status,
            response_headers(received.headers.items()),
            received.body,
            received.stream,
            received.length,
            backend.server.name,
            exchange.attempts,
        )

    async def _send(
        self,
        pool: CellPool,
        backend: Backend,
        exchange: Exchange,
        started_at: float,
    ) -> ReceivedResponse | Failure:
        with self._tracer.span(
            "attempt",
            exchange.traceparent,
            backend_server=backend.server.name,
            version=backend.server.version,
        ) as span:
            received = await self._sender.send(
                self._runtime.connections(backend),
                self._send_gate(exchange, pool),
                exchange.method,
                exchange.target,
                self._request_headers(exchange, started_at, span.traceparent),
                exchange.body,
                exchange.deadline,
                self._observer.silent_after_s(exchange),
            )
            if isinstance(received, Failure):
                span.set("outcome", received.reason)
            else:
                span.set("status", received.status)
        return received

    def _send_gate(
        self, exchange: Exchange, pool: CellPool
    ) -> Callable[[], bool]:
        cell = exchange.cell

        def is_open() -> bool:
            # A process that was paused may get here long after the deadline.
            return (
                self._runtime.pool(cell) is pool
                and self._gate.is_open()
                and self._clock.now() < exchange.deadline
            )

        return is_open

    def _stream_close_callback(
        self,
        pool: CellPool,
        backend: Backend,
        exchange: Exchange,
        received: ReceivedResponse,
        started_at: float,
    ) -> Callable[[bool], None]:
        def on_close(complete: bool) -> None:
            pool.release(backend)
            self._observer.record_stream_end(
                exchange, backend, received.status, started_at, complete
            )

        return on_close

    def _request_headers(
        self, exchange: Exchange, now: float, traceparent: str
    ) -> Headers:
        remaining_ms = max(1, int((exchange.deadline - now) * 1000))
        headers = [
            *exchange.headers,
            ("X-Radishmux-Deadline-Ms", str(remaining_ms)),
        ]
        if exchange.request_id:
            headers.append(("X-Radishmux-Request-Id", exchange.request_id))
        headers.append(("traceparent", traceparent))
        return headers

    def _may_retry(self, exchange: Exchange) -> bool:
        if exchange.attempts >= MAX_ATTEMPTS:
            return False
        if not exchange.idempotent and not exchange.verdict.retriable:
            return False
        if not exchange.body.can_be_sent:
            return False
        return self._clock.now() < exchange.deadline


_RUNNABLE = (CrashDecision.UNMARKED, CrashDecision.EXCLUSIVE)


def _set_woken(woken: asyncio.Future[Any]) -> None:
    if not woken.done():
        woken.set_result(None)


def _final_refusal(
    exchange: Exchange, failure_refusal: Refusal | None, refusal: Refusal
) -> Refusal:
    """Returns the refusal for a request that gets no further attempt.

    Args:
        exchange: The request.
        failure_refusal: Refusal for its last failed attempt, if it had one.
        refusal: Why it cannot be attempted now.
    """
    # The reason of a failed attempt is more useful to the caller than the
    # reason why it was not retried.
    return with_verdict(failure_refusal or refusal, exchange.verdict)
