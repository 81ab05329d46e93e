"""Drains of backend servers, graceful shutdown and uploads (I9, I10, I13)."""

from __future__ import annotations

import asyncio
import contextlib
import time

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.backend import Backend
from radishmux.dispatch.pool import CellPool, Waiter
from tests.request_node import headers
from tests.request_parts import backend, eventually
from tests.test_crashes import CELL, fleet

LEAVE_S = 3.0
ATTEMPTS = "x-radishmux-attempts"

pool_step = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(("v1", "v2")), st.booleans()),
    st.tuples(st.just("release"), st.integers(0, 20), st.none()),
    st.tuples(
        st.just("probe"),
        st.integers(0, 2),
        st.sampled_from(("ready", "draining", "listed", "fail")),
    ),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(pool_step, max_size=80))
def test_pool_agrees_with_a_naive_count(steps):
    """Compares the pool with a simple model over random steps.

    Guards against requests to a server that is leaving and against slots that
    are lost or granted twice.
    """
    records = [
        backend("a", "127.0.0.1:1", 1),
        backend("b", "127.0.0.1:2", 2),
        backend("c", "127.0.0.1:3", 3, version="v2"),
    ]
    pool = CellPool("cell")
    pool.set_servers(tuple(records))
    backends = pool.backends
    state = dict.fromkeys("abc", "unknown")
    in_use = dict.fromkeys("abc", 0)
    running: list[Backend] = []
    waiting: list[Waiter] = []

    def record_start(started: Backend) -> None:
        name = started.server.name
        in_use[name] += 1
        assert state[name] == "ready"
        assert in_use[name] <= started.server.slots
        running.append(started)

    def record_grants() -> None:
        for waiter in list(waiting):
            if waiter.granted is not None:
                waiting.remove(waiter)
                assert waiter.granted.server.version == waiter.version
                record_start(waiter.granted)

    for kind, target, detail in steps:
        if kind == "request":
            free = [
                r.name
                for r in records
                if r.version == target
                and state[r.name] == "ready"
                and in_use[r.name] < r.slots
            ]
            acquired = pool.try_acquire(target)
            assert (acquired is not None) == bool(free)
            if acquired is not None:
                record_start(acquired)
            elif detail:
                waiter = Waiter(target, lambda: None)
                if pool.enqueue(waiter):
                    waiting.append(waiter)
        elif kind == "release" and running:
            finished = running.pop(target % len(running))
            in_use[finished.server.name] -= 1
            pool.release(finished)
        elif kind == "probe":
            probed = backends[target]
            name = probed.server.name
            if detail == "fail":
                probed.mark_down()
                state[name] = "down" if state[name] != "gone" else "gone"
            elif detail == "listed":
                probed.mark_leaving()
                state[name] = "gone"
            else:
                probed.apply_probe(detail, probed.in_use, probed.in_use, False)
                if state[name] != "gone":
                    state[name] = detail
            pool.serve_queue()
        record_grants()
        assert pool.in_use == sum(in_use.values())


@pytest.mark.parametrize("source", ["endpoint", "list"])
async def test_a_leaving_server_gets_no_new_requests(source):
    """Guards I9: none 3 s after its health endpoint or the list reports it."""
    async with fleet(1, 2) as ((node,), servers, session):
        leaving = servers[0]
        await leaving.control(latency_s=0.2)
        if source == "endpoint":
            await leaving.control(state="draining")
        else:
            node.parts.members.leaving.add("b0")
        reported_at = time.time()
        statuses = []

        async def send() -> None:
            async with session.get(
                f"{node.url}/poles/x", headers=headers()
            ) as response:
                await response.read()
                statuses.append(response.status)

        while time.time() < reported_at + LEAVE_S + 1.0:
            await asyncio.gather(*(send() for _ in range(4)))
        late = [
            run
            for run in await leaving.runs()
            if run["at"] > reported_at + LEAVE_S
        ]
        assert not late
        assert set(statuses) == {200}
        assert all(run["completed"] for run in await leaving.runs())


async def test_a_shutdown_interrupts_no_request():
    """Guards I10: cells move to another instance; requests in flight finish.

    Requests would fail if the holder broke them off when it gives up a cell, or
    if nobody waited for the handover while the cell has no dispatcher.
    """
    async with fleet(2, 2) as (nodes, servers, session):
        for server in servers:
            await server.control(latency_s=0.3)
        holder = next(n for n in nodes if n.runtime.pool(CELL) is not None)
        other = next(n for n in nodes if n is not holder)
        statuses = []

        async def traffic(count: int) -> None:
            for _ in range(count):
                async with session.get(
                    f"{other.url}/poles/x",
                    headers=headers(deadline_ms="5000"),
                ) as response:
                    await response.read()
                    statuses.append(response.status)

        callers = [asyncio.create_task(traffic(8)) for _ in range(4)]
        await eventually(lambda: holder.runtime.in_use)
        # The release messages are lost at first, so that the cell has no
        # dispatcher for a while and requests must wait for the handover.
        holder.fleet.cut.add(other.parts.name)
        for node in nodes:
            node.parts.members.leaving.add(holder.parts.name)
        await eventually(lambda: holder.runtime.pool(CELL) is None)
        answered_before_loss = len(statuses)
        await eventually(lambda: other.caller_app.in_flight == 4)
        assert other.runtime.pool(CELL) is None
        holder.fleet.cut.clear()
        await eventually(lambda: other.runtime.pool(CELL))
        assert len(statuses) < 32 and answered_before_loss < 32
        assert holder.runtime.pool(CELL) is None
        await asyncio.gather(*callers)
        assert set(statuses) == {200}, statuses
        await eventually(lambda: holder.peer_app.in_flight == 0)
        runs = [run for s in servers for run in await s.runs()]
        assert all(run["completed"] for run in runs)
        for server in servers:
            assert (await server.control())["max_in_flight"] <= 4


async def test_requests_that_wait_for_a_connection_move_with_the_cell():
    """Guards I10: a holder that has sent nothing yet leaves it to the next one.

    It would answer 503, although the caller has time to wait for the handover.
    """
    async with fleet(2, 2) as (nodes, servers, session):
        holder = next(n for n in nodes if n.runtime.pool(CELL) is not None)
        other = next(n for n in nodes if n is not holder)
        is_connected = asyncio.Event()
        for backend_server in holder.runtime.pool(CELL).backends:
            connections = holder.runtime.connections(backend_server)
            _delay_connecting(connections, is_connected)

        async def send() -> tuple[int, str]:
            async with session.get(
                f"{other.url}/poles/x", headers=headers(deadline_ms="5000")
            ) as response:
                await response.read()
                return response.status, response.headers[ATTEMPTS]

        calls = [asyncio.create_task(send()) for _ in range(4)]
        await eventually(lambda: holder.runtime.in_use == 4)
        for node in nodes:
            node.parts.members.leaving.add(holder.parts.name)
        await eventually(lambda: holder.runtime.pool(CELL) is None)
        is_connected.set()
        assert await asyncio.gather(*calls) == [(200, "1")] * 4
        runs = [run for server in servers for run in await server.runs()]
        assert len(runs) == 4


def _delay_connecting(connections, is_connected: asyncio.Event) -> None:
    """Lets requests to a server wait before they have a connection."""
    send = connections.send

    async def send_later(*request):
        await is_connected.wait()
        return await send(*request)

    connections.send = send_later


async def test_an_upload_waits_for_a_slot_and_is_resumed_after_a_drain():
    """Guards I13: no upload is refused because all slots are in use.

    Uploads may wait for a slot until their deadline. One that fails because of
    the drain is sent again by the caller under the same request id.
    """
    async with fleet(1, 1) as ((node,), (server,), session):
        await server.control(latency_s=1.2)
        refused = []
        photo = b"damaged cart" * 50_000

        async def upload(number: int) -> tuple[int, dict]:
            request_id = f"{node.ticket()}/{number}"
            for _ in range(5):
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.put(
                        f"{node.url}/poles/upload/{number}",
                        data=photo,
                        headers=headers(id=request_id, deadline_ms="20000"),
                    ) as response:
                        body = await response.json()
                        if response.status == 200:
                            return 200, body
                        refused.append(body["reason"])
                        assert body["verdict"] in ("not_run", "may_have_run")
            return 0, {}

        uploads = [asyncio.create_task(upload(n)) for n in range(12)]
        await eventually(lambda: node.runtime.in_use == 4)
        await server.control(state="draining")
        pool = node.runtime.pool(CELL)
        await eventually(lambda: pool.backends[0].state == "draining")
        await server.control(state="ready", latency_s=0.05)
        for status, body in await asyncio.gather(*uploads):
            assert status == 200
            assert body["body_bytes"] == len(photo)
        assert not {"no_slot", "queue_full"} & set(refused), refused
