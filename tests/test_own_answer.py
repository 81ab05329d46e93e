"""A caller gets the complete response to its own request, or an error (I6).

Backend servers send responses late, truncated, twice, or to another request.
If such a response were accepted, a caller would get another caller's data or a
truncated body that looks complete.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import aiohttp

from tests.request_node import Node, headers, run_node
from tests.request_parts import NodeParts, backend, backend_process, eventually

SEED = 20266
REQUESTS = 10_000
CONCURRENT = 100
SLOTS = 40


async def test_10000_callers_get_their_own_response_or_an_error():
    """Sends 10,000 requests to servers with all these faults at 5 % each."""
    print(f"seed {SEED}")
    rng = random.Random(SEED)
    outcomes: collections.Counter[str] = collections.Counter()
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(
                backend_process(f"b{i}", slots=SLOTS)
            )
            for i in range(3)
        ]
        for number, server in enumerate(servers):
            await server.control(
                late_rate=0.05,
                late_s=0.3,
                mismatch_rate=0.05,
                truncate_rate=0.05,
                duplicate_rate=0.05,
                duplicate_delay_s=0.002,
                latency_s=0.002,
                chunked=number == 1,
                body_bytes=(0, 3000, 200_000)[number],
                seed=SEED + number,
            )
        records = [
            backend(f"b{i}", server.address, SLOTS)
            for i, server in enumerate(servers)
        ]
        node = Node(NodeParts(records))
        await stack.enter_async_context(run_node(node))
        pool = await eventually(lambda: node.runtime.pool("poles/r1/0"))
        await eventually(lambda: pool.slots == 3 * SLOTS)
        connector = aiohttp.TCPConnector(limit=CONCURRENT)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(node.url, connector=connector)
        )
        numbers = iter(range(REQUESTS))

        async def caller() -> None:
            for number in numbers:
                outcomes[await _send(session, number, rng)] += 1

        await asyncio.gather(*(caller() for _ in range(CONCURRENT)))
        await eventually(lambda: node.runtime.in_use == 0)
    print(outcomes)
    assert outcomes["wrong"] == 0
    assert sum(outcomes.values()) == REQUESTS
    assert outcomes["own"] > REQUESTS / 2
    assert {"cancelled", "cut", "may_have_run"} <= set(outcomes)


async def _send(
    session: aiohttp.ClientSession, number: int, rng: random.Random
) -> str:
    path = f"/item/{number}"
    timeout_s = 0.05 if rng.random() < 0.05 else 5.0
    deadline_ms = "200" if rng.random() < 0.5 else "2000"
    try:
        async with session.get(
            f"/poles{path}",
            headers=headers(deadline_ms=deadline_ms),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            body = await response.json()
            if "X-Radishmux-Served-By" not in response.headers:
                return body["verdict"]
            complete = body["path"] == path and response.status == 200
            return "own" if complete else "wrong"
    except aiohttp.ClientPayloadError:
        return "cut"
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError):
        return "cut"
    except TimeoutError:
        return "cancelled"
