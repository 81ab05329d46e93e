"""Tests requests through one instance to a backend server process."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from radishmux.once.tickets import TicketIssuer
from tests.request_node import Node, headers, run_node
from tests.request_parts import NodeParts, backend, backend_process, eventually


@pytest.fixture
async def path():
    async with backend_process() as server:
        node = Node(NodeParts([backend("b1", server.address)]))
        async with run_node(node), aiohttp.ClientSession(node.url) as session:
            pool = await eventually(lambda: node.runtime.pool("poles/r1/0"))
            await eventually(lambda: pool.slots)
            yield node, server, session


async def test_a_request_reaches_the_backend_server_without_its_key(path):
    node, server, session = path
    async with session.get(
        "/poles/status?pole=7", headers=headers(accept="text/plain")
    ) as response:
        assert response.status == 200, await response.text()
        assert response.headers["X-Radishmux-Verdict"] == "ran"
        assert response.headers["X-Radishmux-Served-By"] == "b1"
        assert response.headers["X-Radishmux-Attempts"] == "1"
        body = await response.json()
    assert body["path"] == "/status?pole=7"
    (run,) = await server.runs()
    assert not run["key_seen"]
    assert int(run["deadline_ms"]) <= 10_000
    assert node.chooser.observations[0].failed is False


async def test_large_bodies_pass_in_both_directions(path):
    node, server, session = path
    await server.control(body_bytes=3_000_000, chunked=True)
    data = b"photo" * 400_000
    async with session.put(
        "/poles/upload/1", data=data, headers=headers()
    ) as response:
        assert response.status == 200, await response.text()
        body = await response.json()
    assert body["body_bytes"] == len(data)
    assert len(body["filler"]) == 3_000_000
    await eventually(lambda: node.runtime.in_use == 0)


async def test_a_truncated_response_is_detectable(path):
    node, server, session = path
    for body_bytes, chunked in ((10, False), (500_000, False), (10, True)):
        await server.control(
            body_bytes=body_bytes, chunked=chunked, truncate_rate=1.0
        )
        try:
            async with session.get("/poles/x", headers=headers()) as response:
                refusal = await response.json()
                assert response.status == 502
                assert refusal["verdict"] == "may_have_run"
        except aiohttp.ClientPayloadError:
            pass  # The connection was aborted before the end of the body.
    await eventually(lambda: node.runtime.in_use == 0)


async def test_a_repeated_request_gets_the_recorded_response(path):
    node, server, session = path
    async with session.post("/poles/write", headers=headers()) as response:
        assert response.status == 428
        ticket = (await response.json())["ticket"]
    bodies = []
    for _ in range(2):
        async with session.post(
            "/poles/write/1", headers=headers(id=f"{ticket}/1"), data=b"x"
        ) as response:
            assert response.status == 200, await response.text()
            bodies.append(await response.read())
    assert bodies[0] == bodies[1]
    assert len(await server.runs()) == 1


async def test_lookups_return_a_ticket_and_check_the_key(path):
    node, server, session = path
    async with session.get(
        "/v1/lookup", params={"service": "poles"}, headers=headers()
    ) as response:
        assert response.status == 200
        assert "ticket" in await response.json()
    wrong = {"X-Radishmux-Key": "wrong"}
    async with session.get(
        "/v1/lookup", params={"service": "poles"}, headers=wrong
    ) as response:
        assert response.status == 401
        assert (await response.json())["verdict"] == "not_run"


async def test_request_of_an_earlier_incarnation_may_have_run(path):
    """A restarted ticket owner has no ledger of its earlier incarnation.

    It must therefore not refuse a request with the verdict "not run".
    """
    node, server, session = path
    earlier = TicketIssuer("i1", node.parts.incarnation - 1)
    request_id = f"{earlier.issue(node.parts.clock.now())}/1"
    entry = Node(NodeParts([], "i2"))
    owner = node.parts.members.instances[0]
    async with run_node(entry), aiohttp.ClientSession(entry.url) as other:
        entry.parts.members.instances.append(owner)
        for either in (session, other):
            async with either.post(
                "/poles/write/1", headers=headers(id=request_id)
            ) as response:
                refusal = await response.json()
                assert refusal["reason"] == "ticket_owner_gone"
                assert refusal["verdict"] == "may_have_run"
    assert not await server.runs()


async def test_key_revoked_while_a_request_waits_refuses_it(path):
    """An upload may wait for a slot longer than it takes to revoke a key."""
    node, server, session = path
    await server.control(latency_s=0.3)
    slots = node.runtime.pool("poles/r1/0").slots

    async def upload(number: int) -> int:
        async with session.put(
            f"/poles/upload/{number}", data=b"x", headers=headers()
        ) as response:
            await response.read()
            return response.status

    in_progress = [asyncio.create_task(upload(n)) for n in range(slots)]
    await eventually(lambda: node.runtime.in_use == slots)
    waiting = asyncio.create_task(upload(slots))
    await eventually(lambda: node.runtime.pool("poles/r1/0").queued == 1)
    node.parts.keys.revoked = True
    assert await waiting == 401
    assert await asyncio.gather(*in_progress) == [200] * slots
    assert len(await server.runs()) == slots
