"""Sends requests to backend servers unless servers crash under them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from functools import partial
from typing import Any

from radishmux.clock import Clock
from radishmux.dispatch.crash_history import CrashVerdict
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.gateway.crash_detector import CrashDetector
from radishmux.gateway.crash_guard import CRASHES, CrashGuard
from radishmux.gateway.sender import Attempt, ServerSender
from radishmux.gateway.sent_request import SentRequest
from radishmux.verdict import Verdict

# Time after the deadline of a request until which its server may still run it:
# its clock may be late, and so may the news of its end.
OBSERVED_AFTER_S = 1.0
# Requests without an answer whose servers are observed at the same time.
MAX_OBSERVED = 1000


class GuardedSender:
    """Sends a request with regard to the servers that crashed under it.

    Args:
        sender: Sends the requests.
        guard: Says which requests may be sent.
        detector: Finds out whether a server has ended.
        clock: Monotonic time.
    """

    def __init__(
        self,
        sender: ServerSender,
        guard: CrashGuard,
        detector: CrashDetector,
        clock: Clock,
    ) -> None:
        self._sender = sender
        self._guard = guard
        self._detector = detector
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        # Number of requests without an answer whose servers are observed.
        self._observed = 0
        # Number of checks in progress by digest.
        self._checking: Counter[str] = Counter()

    async def send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        """Sends a request once.

        Returns:
            The response of a server that ran the request, or why there is
            none; NotSent with the reason `CRASHES` if it must not run.
        """
        await self._guard.wait_informed()
        server = attempt.choice.server
        version = server.entry.software
        self._guard.adopt(
            attempt.digest, attempt.service_digest, server.entry.service
        )
        verdict = self._guard.decide(attempt.digest, version)
        if verdict is CrashVerdict.WITHHELD:
            return NotSent(CRASHES)
        attempt.is_suspected = verdict is not CrashVerdict.FREE
        on_trial = verdict is CrashVerdict.TRIAL
        if on_trial:
            left_s = attempt.deadline - self._clock.now()
            if not await self._guard.acquire_trial(
                attempt.digest, version, left_s
            ):
                return NotSent(CRASHES)
        # Must not hold the attempt, which would be a cycle then.
        attempt.obstacle = partial(
            self._obstacle, attempt.digest, version, on_trial
        )
        sent = SentRequest(attempt, self._clock.now(), on_trial)
        try:
            outcome = await self._sender.send(attempt)
        except BaseException:
            # The caller has left, or has an answer of another attempt.
            self._leave(sent, attempt)
            raise
        if isinstance(outcome, ServerResponse):
            self._guard.record_completed(
                attempt.digest, server, attempt.service_digest
            )
            self._end_trial(sent)
        elif outcome.verdict is Verdict.NOT_RUN:
            self._end_trial(sent)
        elif outcome.connection_failed:
            self._checking[sent.digest] += 1
            # Goes on if the caller leaves or its deadline passes.
            check = self._start(self._check(sent))
            if self._is_suspicious(sent.digest):
                await asyncio.shield(check)
        else:
            self._leave(sent, attempt)
        return outcome

    def _leave(self, sent: SentRequest, attempt: Attempt) -> None:
        """Goes on observing the server of a request that got no answer."""
        if attempt.sent_at is None or self._observed >= MAX_OBSERVED:
            self._end_trial(sent)
            return
        sent.sent_at = attempt.sent_at
        until = max(attempt.deadline, self._clock.now()) + OBSERVED_AFTER_S
        self._observed += 1
        self._start(self._observe(sent, until))

    async def _observe(self, sent: SentRequest, until: float) -> None:
        """Marks a request if its server ends while it may still run it."""
        try:
            broken_at = await self._detector.wait_ended(sent.server, until)
            if broken_at is not None:
                await self._record_crash(sent, broken_at)
        finally:
            self._observed -= 1
            self._end_trial(sent)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _end_trial(self, sent: SentRequest) -> None:
        if sent.is_on_trial:
            self._guard.end_trial(sent.digest, sent.server.entry.software)

    def _is_suspicious(self, digest: str) -> bool:
        """Whether the cause of a broken connection decides what comes next.

        The first crash of a request changes nothing for it, so that a retry
        need not wait.
        """
        return self._checking[digest] > 1 or self._guard.is_marked(digest)

    def _obstacle(self, digest: str, version: str, on_trial: bool) -> str:
        """Returns why a request must not be sent any more, or an empty string.

        Servers may have crashed while it waited for a connection.
        """
        match self._guard.decide(digest, version):
            case CrashVerdict.WITHHELD:
                return CRASHES
            case CrashVerdict.TRIAL if not on_trial:
                return CRASHES
        return ""

    async def _check(self, sent: SentRequest) -> None:
        """Marks a request if the server that broke the connection has ended."""
        broken_at = self._clock.now()
        try:
            try:
                has_ended = await self._detector.has_ended(
                    sent.server, broken_at
                )
            finally:
                self._checking[sent.digest] -= 1
                if not self._checking[sent.digest]:
                    del self._checking[sent.digest]
            if has_ended:
                await self._record_crash(sent, broken_at)
        finally:
            self._end_trial(sent)

    async def _record_crash(self, sent: SentRequest, broken_at: float) -> None:
        await self._guard.record_crash(
            sent.digest,
            sent.subject,
            sent.server,
            sent.sent_at,
            broken_at,
            sent.service_digest,
        )
