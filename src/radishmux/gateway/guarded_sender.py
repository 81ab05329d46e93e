"""Sends requests to backend servers unless servers crash under them."""

from __future__ import annotations

import asyncio
from collections import Counter

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
        self._checks: set[asyncio.Task[None]] = set()
        # Number of checks in progress by digest.
        self._checking: Counter[str] = Counter()

    async def send(self, attempt: Attempt) -> ServerResponse | NoResponse:
        """Sends a request once.

        Returns:
            The response of a server that ran the request, or why there is
            none; NotSent with the reason `CRASHES` if it must not run.
        """
        await self._guard.wait_informed()
        version = attempt.choice.server.entry.version
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
        attempt.obstacle = lambda: self._obstacle(attempt, on_trial)
        sent_at = self._clock.now()
        try:
            outcome = await self._sender.send(attempt)
            if isinstance(outcome, ServerResponse):
                self._guard.record_completed(attempt.digest, version)
            elif outcome.connection_failed and not isinstance(outcome, NotSent):
                self._checking[attempt.digest] += 1
                # Goes on if the caller leaves or its deadline passes.
                check = asyncio.create_task(self._check(attempt, sent_at))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
                if self._is_suspicious(attempt.digest):
                    await asyncio.shield(check)
        finally:
            if on_trial:
                self._guard.end_trial(attempt.digest, version)
        return outcome

    def _is_suspicious(self, digest: str) -> bool:
        """Whether the cause of a broken connection decides what comes next.

        The first crash of a request changes nothing for it, so that a retry
        need not wait.
        """
        return self._checking[digest] > 1 or self._guard.is_marked(digest)

    def _obstacle(self, attempt: Attempt, on_trial: bool) -> str:
        """Returns why a request must not be sent any more, or an empty string.

        Servers may have crashed while it waited for a connection.
        """
        version = attempt.choice.server.entry.version
        match self._guard.decide(attempt.digest, version):
            case CrashVerdict.WITHHELD:
                return CRASHES
            case CrashVerdict.TRIAL if not on_trial:
                return CRASHES
        return ""

    async def _check(self, attempt: Attempt, sent_at: float) -> None:
        """Marks a request if the server that broke the connection has ended."""
        server = attempt.choice.server
        broken_at = self._clock.now()
        try:
            has_ended = await self._detector.has_ended(server, broken_at)
        finally:
            self._checking[attempt.digest] -= 1
            if not self._checking[attempt.digest]:
                del self._checking[attempt.digest]
        if has_ended:
            subject = f"{server.entry.service} {attempt.customer}".rstrip()
            await self._guard.record_crash(
                attempt.digest,
                f"{subject} {attempt.route.name}",
                server,
                sent_at,
                broken_at,
            )
