"""Callers for tests of whole fleets, with a record of the answers they got."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random

import aiohttp
import msgspec

from bench.fleet import InstancePlan

KEY = "secret-of-a"
CUSTOMER = "a"
SERVICE = "ledger"
_ATTEMPT_TIMEOUT_S = 1.5
_TRIES = 3


class AnswerRecord(msgspec.Struct):
    """Verdicts and reasons that a caller got for one request id, in order."""

    verdicts: list[str]
    reasons: list[str]


class Callers:
    """Sends non-idempotent requests, each id up to three times.

    A repeat goes to another instance, like that of a caller whose request to
    the first one timed out.
    """

    def __init__(self, instances: list[InstancePlan], seed: int) -> None:
        self._instances = instances
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self.answers: dict[str, AnswerRecord] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Starts requests at a steady rate and waits for all of them."""
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with asyncio.TaskGroup() as group:
                for number in range(int(rate_per_s * duration_s)):
                    due_at = started_at + number / rate_per_s
                    await asyncio.sleep(max(0.0, due_at - loop.time()))
                    group.create_task(self._request(session))

    async def _request(self, session: aiohttp.ClientSession) -> None:
        order = self._random.sample(self._instances, len(self._instances))
        ticket = await self._ticket(session, order)
        if ticket is None:
            self.outcomes["no_lookup"] += 1
            return
        request_id = f"{ticket}/{next(self._numbers)}"
        answers = self.answers[request_id] = AnswerRecord([], [])
        for instance in order[:_TRIES]:
            verdict, reason = await self._send(session, instance, request_id)
            answers.verdicts.append(verdict)
            answers.reasons.append(reason)
            if verdict == "ran":
                break
        self.outcomes[answers.reasons[-1]] += 1

    async def _ticket(
        self, session: aiohttp.ClientSession, order: list[InstancePlan]
    ) -> str | None:
        for instance in order:
            url = f"http://{instance.caller}/v1/lookup?service={SERVICE}"
            try:
                async with session.get(url, headers=_HEADERS) as response:
                    if response.status == 200:
                        answer = await response.json(content_type=None)
                        return answer["ticket"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return None

    async def _send(
        self,
        session: aiohttp.ClientSession,
        instance: InstancePlan,
        request_id: str,
    ) -> tuple[str, str]:
        url = f"http://{instance.caller}/{SERVICE}/credits"
        headers = _HEADERS | {"X-Radishmux-Request-Id": request_id}
        try:
            async with session.post(
                url, headers=headers, data=b"credit"
            ) as response:
                body = await response.read()
                verdict = response.headers.get("X-Radishmux-Verdict", "")
                if response.status == 200:
                    return verdict, "served"
                return verdict, msgspec.json.decode(body)["reason"]
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return "may_have_run", type(error).__name__


_HEADERS = {"X-Radishmux-Key": KEY, "X-Radishmux-Deadline-Ms": "1200"}
