"""The mixed load of the demo: request kinds of both users, and a caller."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

import aiohttp
import msgspec

from bench.fleet import InstancePlan

SEED = 20_261_204
_REQUESTS = 600
_CONCURRENCY = 24
_PHOTO_BYTES = 300_000
_DEADLINE_MS = "5000"


class Kind(msgspec.Struct, frozen=True):
    """One kind of request in the mixed load.

    Attributes:
        weight: Share of the load, relative to the other kinds.
        customer: Empty for a public route.
    """

    label: str
    weight: int
    customer: str
    method: str
    path: str
    body_bytes: int = 0


KINDS: dict[str, tuple[Kind, ...]] = {
    "association": (
        Kind("look up a round", 10, "grand-hopital", "GET", "/rounds/rounds/7"),
        Kind("public calendar", 2, "", "GET", "/rounds/calendar"),
        Kind(
            "log a tray lot", 5, "residences-du-cap", "POST", "/logs/lots", 80
        ),
        Kind(
            *("dock photo", 1, "traiteur-laurier", "PUT", "/photos/carts/9"),
            _PHOTO_BYTES,
        ),
        Kind(
            *("confirm a credit", 3, "lavoir-central", "POST"),
            *("/credits/confirm", 60),
        ),
        Kind(
            *("above its rate", 8, "residence-saint-roch", "GET"),
            "/rounds/rounds/8",
        ),
        Kind("wrong key", 1, "nobody", "GET", "/rounds/rounds/7"),
    ),
    "trust": (
        Kind("pole status", 10, "market-traders", "GET", "/poles/status/3"),
        Kind("public board", 2, "", "GET", "/poles/board"),
        Kind(
            *("refill order", 4, "pump-crews-accra", "POST"),
            *("/refills/orders", 80),
        ),
        Kind("open a valve", 2, "pump-crews-tamale", "POST", "/refills/valves"),
        Kind("payment", 3, "community-funds", "POST", "/payments/pay", 60),
        Kind(
            *("inspection photo", 1, "district-officers", "PUT"),
            *("/inspections/photos/4", _PHOTO_BYTES),
        ),
        Kind("above its rate", 16, "clinics", "GET", "/poles/status/5"),
        Kind("wrong key", 1, "nobody", "GET", "/poles/status/3"),
    ),
}


class RequestResult(msgspec.Struct, frozen=True):
    """Result of one request."""

    kind: str
    outcome: str
    verdict: str
    attempts: int
    latency_s: float


class Caller:
    """Sends requests like a caller: a lookup, then the request itself."""

    def __init__(
        self, session: aiohttp.ClientSession, instances: Sequence[InstancePlan]
    ) -> None:
        self._session = session
        self._instances = instances
        self._random = random.Random(SEED)
        self._count = 0

    async def send(self, kind: Kind) -> RequestResult:
        """Looks up an instance and sends one request to it."""
        started = time.perf_counter()
        entry = self._random.choice(self._instances)
        headers = headers_of(kind)
        address, ticket = await self._look_up(kind, entry, headers)
        self._count += 1
        if kind.method != "GET" and ticket:
            headers["X-Radishmux-Request-Id"] = f"{ticket}/{self._count}"
        return await self.send_to(address, kind, headers, started)

    async def send_to(
        self, address: str, kind: Kind, headers: dict[str, str], started: float
    ) -> RequestResult:
        """Sends one request to the instance at `address`.

        Args:
            address: Address for callers, `ip:port`.
            kind: Kind of the request.
            headers: Headers of the request.
            started: Start of the request, as of `time.perf_counter`.
        """
        try:
            async with self._session.request(
                kind.method,
                f"http://{address}{kind.path}",
                data=b"x" * kind.body_bytes if kind.body_bytes else None,
                headers=headers,
            ) as response:
                body = await response.read()
                return _request_result(kind, response, body, started)
        except (OSError, aiohttp.ClientError, TimeoutError) as error:
            spent = time.perf_counter() - started
            return RequestResult(
                kind.label, type(error).__name__, "may_have_run", 0, spent
            )

    async def _look_up(
        self, kind: Kind, entry: InstancePlan, headers: dict[str, str]
    ) -> tuple[str, str]:
        service = kind.path.split("/")[1]
        url = f"http://{entry.caller}/v1/lookup"
        query = {"service": service, "region": entry.region}
        async with self._session.get(
            url, params=query, headers=headers
        ) as response:
            if response.status != 200:
                return entry.caller, ""
            answer = await response.json(content_type=None)
            named = answer["instances"]
            address = named[0]["address"] if named else entry.caller
            return address, answer["ticket"]


def headers_of(kind: Kind) -> dict[str, str]:
    """Returns the headers that a caller sends with each request."""
    headers = {"X-Radishmux-Deadline-Ms": _DEADLINE_MS}
    if kind.customer:
        headers["X-Radishmux-Key"] = f"demo-{kind.customer}"
    return headers


def _request_result(
    kind: Kind, response: aiohttp.ClientResponse, body: bytes, started: float
) -> RequestResult:
    outcome = "served"
    if response.status != 200:
        outcome = f"status {response.status}"
        if b'"reason"' in body:
            outcome = msgspec.json.decode(body)["reason"]
    return RequestResult(
        kind.label,
        outcome,
        response.headers.get("X-Radishmux-Verdict", ""),
        int(response.headers.get("X-Radishmux-Attempts", "0")),
        time.perf_counter() - started,
    )


async def mixed_load(
    kinds: Sequence[Kind], instances: Sequence[InstancePlan]
) -> list[RequestResult]:
    """Sends the mixed load and returns the result of each request."""
    chooser = random.Random(SEED)
    chosen = chooser.choices(
        kinds, [kind.weight for kind in kinds], k=_REQUESTS
    )
    waiting = iter(chosen)
    answers: list[RequestResult] = []
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, instances)

        async def work() -> None:
            for kind in waiting:
                answers.append(await caller.send(kind))

        await asyncio.gather(*(work() for _ in range(_CONCURRENCY)))
    return answers
