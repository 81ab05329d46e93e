"""What is known of a request when its server or connection misbehaves."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from radishmux.clock import SystemClock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.verdict import Verdict

REQUEST = [b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"]


class ScriptedServer:
    """Answers each request of each connection with the next script."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = 0
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, IndexError
        ):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                for step in self.scripts.pop(0):
                    if step == "reset":
                        _reset_on_close(writer)
                        writer.close()
                        return
                    if step == "close":
                        writer.close()
                        return
                    if step == "pause":
                        await asyncio.sleep(0.02)
                        continue
                    if step == "hang":
                        await asyncio.sleep(30)
                    writer.write(step)
                    await writer.drain()


def _reset_on_close(writer):
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def whole(body, request_id="1", extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n%b\r\n%b"
        % (request_id.encode(), len(body), extra, body)
    )


def is_first(headers):
    return all(value == "1" for name, value in headers if name == "request-id")


async def send(server, connections=None, timeout_s=2.0):
    clock = SystemClock()
    own = connections or ServerConnectionPool(server.address, clock)
    try:
        return await own.send(
            REQUEST, clock.now() + timeout_s, accepts=is_first
        )
    finally:
        if connections is None:
            own.close()


async def test_unframed_answer_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"
    async with ScriptedServer([head, b"all of it", "close"]) as server:
        answer = await send(server)
    assert isinstance(answer, ServerResponse)
    assert answer.body == b"all of it"


async def test_unframed_answer_that_is_reset_is_not_complete():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"
    async with ScriptedServer([head, b"half", "reset"]) as server:
        answer = await send(server)
    assert isinstance(answer, NoResponse)
    assert answer.verdict is Verdict.MAY_HAVE_RUN


async def test_truncated_answer_is_not_complete():
    half = whole(b"0123456789")[:-4]
    async with ScriptedServer([half, "close"]) as server:
        answer = await send(server)
    assert isinstance(answer, NoResponse)
    assert answer.reason == "truncated_response"


async def test_late_answer_to_another_request_is_skipped():
    late = whole(b"for another", request_id="0")
    async with ScriptedServer([late, whole(b"mine")]) as server:
        answer = await send(server)
    assert isinstance(answer, ServerResponse)
    assert answer.body == b"mine"


async def test_second_answer_belongs_to_no_request():
    twice = whole(b"one") + whole(b"two")
    async with ScriptedServer([twice], [whole(b"next")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        first = await send(server, connections)
        second = await send(server, connections)
        connections.close()
    assert first.body == b"one"
    assert second.body == b"next"
    assert server.connections == 2


async def test_bytes_on_an_idle_connection_close_it():
    async with ScriptedServer(
        [whole(b"one"), "pause", whole(b"stray")], [whole(b"next")]
    ) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await asyncio.sleep(0.05)
        second = await send(server, connections)
        connections.close()
    assert second.body == b"next"
    assert server.connections == 2


async def test_kept_connection_is_used_again():
    async with ScriptedServer([whole(b"a")], [whole(b"b")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 1


async def test_connection_close_is_respected():
    closing = whole(b"a", extra=b"Connection: close\r\n")
    async with ScriptedServer([closing], [whole(b"b")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 2


async def test_keep_alive_time_is_respected():
    short = whole(b"a", extra=b"Keep-Alive: timeout=0\r\n")
    async with ScriptedServer([short], [whole(b"b")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 2


@pytest.mark.parametrize(
    "script", [["close"], ["reset"], [b"no http at all\r\n\r\n"]]
)
async def test_broken_connection_may_have_run(script):
    async with ScriptedServer(script) as server:
        answer = await send(server)
    assert isinstance(answer, NoResponse)
    assert answer.verdict is Verdict.MAY_HAVE_RUN


async def test_refused_connection_has_not_run():
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{probe.getsockname()[1]}"
    clock = SystemClock()
    connections = ServerConnectionPool(address, clock)
    answer = await connections.send(REQUEST, clock.now() + 1.0)
    probe.close()
    assert isinstance(answer, NoResponse)
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.connection_failed


async def test_no_answer_by_the_deadline_may_have_run():
    async with ScriptedServer(["hang"]) as server:
        answer = await send(server, timeout_s=0.05)
    assert isinstance(answer, NoResponse)
    assert answer.verdict is Verdict.MAY_HAVE_RUN
    assert answer.reason == "deadline_passed"


async def test_interim_answers_are_skipped():
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    async with ScriptedServer([interim, whole(b"a")]) as server:
        answer = await send(server)
    assert answer.body == b"a"


async def test_cancelled_request_closes_its_connection():
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await reader.read()
        closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    clock = SystemClock()
    connections = ServerConnectionPool(address, clock)
    task = asyncio.create_task(connections.send(REQUEST, clock.now() + 5))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.wait_for(closed.wait(), 2.0)
    server.close()
    assert connections.open_count == 0


class EndlessServer:
    """Sends the same bytes again and again until the caller closes."""

    def __init__(self, start, piece):
        self.start, self.piece = start, piece
        self.sent = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.piece)
                self.sent += len(self.piece)
                await writer.drain()
        self.closed.set()


LINE = b"X-More: " + b"x" * 8_000 + b"\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Socket buffers of both sides, by the system's largest default, and some turns
# of the loop.
SLACK_BYTES = 16 * 1024 * 1024


# Servers in trouble: bytes that are no answer come without end, in a head or a
# body, until the caller closes.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n", LINE),
        (b"HTTP/1.1 200 OK\r\nX-More: ", b"x" * 8_000),
        (b"", b"HTTP/1.1 103 Early Hints\r\n" + LINE + b"\r\n"),
        (CHUNKED + b"0\r\n", LINE),
        (CHUNKED + b"5;x=", b"x" * 8_000),
        (b"", whole(b"", request_id="0") * 100),
        (b"", whole(b"x" * 60_000, request_id="0")),
        (b"", b"\r\n" * 4_000),
    ],
    ids=[
        "headers",
        "header",
        "interim",
        "trailers",
        "chunk-extension",
        "other-answers",
        "large-other-answers",
        "blank-lines",
    ],
)
async def test_head_without_end_is_given_up_at_once(start, piece):
    async with EndlessServer(start, piece) as server:
        answer = await send(server, timeout_s=20.0)
        assert isinstance(answer, NoResponse)
        assert answer.verdict is Verdict.MAY_HAVE_RUN
        assert answer.reason != "deadline_passed"
        await asyncio.wait_for(server.closed.wait(), 2)
        assert server.sent < SLACK_BYTES


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        CHUNKED + b"fffffffff\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    ],
    ids=["unframed", "chunk", "length"],
)
async def test_body_without_end_takes_bounded_memory(start):
    limit = 4 * 1024 * 1024
    memory = ResponseMemory(limit)
    async with EndlessServer(start, b"x" * 100_000) as server:
        clock = SystemClock()
        endless = ServerConnectionPool(server.address, clock, memory)
        answer = await send(server, endless, timeout_s=20.0)
        assert answer.reason == "memory_full"
        assert memory.used_bytes == 0
        await asyncio.wait_for(server.closed.wait(), 2)
        assert server.sent < limit + SLACK_BYTES


async def test_answer_without_end_costs_no_other_its_memory():
    memory = ResponseMemory(4 * 1024 * 1024)
    clock = SystemClock()
    start = b"HTTP/1.1 200 OK\r\n\r\n"
    head, body = whole(b"x" * 200_000)[:100_000], whole(b"x" * 200_000)
    async with (
        EndlessServer(start, b"x" * 100_000) as bad,
        ScriptedServer([head, "pause", "pause", body[100_000:]]) as good,
    ):
        answers = await asyncio.gather(
            send(good, ServerConnectionPool(good.address, clock, memory)),
            send(bad, ServerConnectionPool(bad.address, clock, memory), 20.0),
        )
    assert isinstance(answers[0], ServerResponse)
    assert len(answers[0].body) == 200_000
    assert answers[1].reason == "memory_full"
    assert memory.used_bytes == 0
