"""Outcomes that the HTTP client reports when a server or connection fails.

A caller may get only the complete response to its own request. After any
failure the client must say whether the request may have run, and a response
that never ends must not exhaust the memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import weakref

import pytest

from radishmux.clock import SystemClock
from radishmux.dispatch import http_client
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.verdict import Verdict

REQUEST = [b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"]


@contextlib.contextmanager
def full_listener():
    """Yields the address of a listener at which connections hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield "{}:{}".format(*listener.getsockname())


class ScriptedServer:
    """Answers each request on any connection with the next script.

    A script is a list of steps: bytes to send, or the name of an action (reset,
    close, pause, hang).
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = 0
        self.connections = 0
        self._writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        # Their finalizers would raise once the event loop is closed.
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
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


def encode_response(body, request_id="1", extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n%b\r\n%b"
        % (request_id.encode(), len(body), extra, body)
    )


def is_response_to_request_1(headers):
    return all(value == "1" for name, value in headers if name == "request-id")


async def send(server, connections=None, timeout_s=2.0):
    clock = SystemClock()
    pool = connections or ServerConnectionPool(server.address, clock)
    try:
        return await pool.send(
            REQUEST, clock.now() + timeout_s, accepts=is_response_to_request_1
        )
    finally:
        if connections is None:
            pool.close()


async def test_idle_connection_does_not_hold_its_last_request():
    """Guards against bodies that are kept as long as a connection is idle.

    The function that checks the response refers to the whole request.
    """

    class Check:
        def __call__(self, headers):
            return True

    async with ScriptedServer([encode_response(b"a")]) as server:
        clock = SystemClock()
        pool = ServerConnectionPool(server.address, clock)
        check = Check()
        alive = weakref.ref(check)
        outcome = await pool.send(REQUEST, clock.now() + 2.0, accepts=check)
        del check
        assert isinstance(outcome, ServerResponse)
        assert pool.has_idle
        assert alive() is None
        pool.close()


async def test_unframed_response_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"
    async with ScriptedServer([head, b"all of it", "close"]) as server:
        response = await send(server)
    assert isinstance(response, ServerResponse)
    assert response.body == b"all of it"


async def test_unframed_response_that_is_reset_is_not_complete():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"
    async with ScriptedServer([head, b"half", "reset"]) as server:
        response = await send(server)
    assert isinstance(response, NoResponse)
    assert response.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_unframed_response_during_an_upload_is_not_complete(ending):
    """Guards against partial responses that look complete.

    A server responds while the request body is still being written, sends a
    part of its response and gives the connection up. Closing a socket with
    unread input resets the connection too.
    """
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"
    body = b"x" * 8_000_000
    request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    async with ScriptedServer([head, b"half", ending]) as server:
        pool = ServerConnectionPool(server.address, SystemClock())
        response = await pool.send(
            [request % len(body), body], SystemClock().now() + 2.0
        )
        pool.close()
    assert isinstance(response, NoResponse)
    assert response.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_response_without_a_valid_status_is_a_failure(status):
    """Guards against answers of failing servers whose status is no status.

    The server keeps the connection open: the caller must not wait either.
    """
    response = encode_response(b"a").replace(b"200", status.encode())
    async with ScriptedServer([response, "hang"]) as server:
        outcome = await send(server)
    assert isinstance(outcome, NoResponse)
    assert outcome.reason == "malformed_response"
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_truncated_response_is_not_complete():
    half = encode_response(b"0123456789")[:-4]
    async with ScriptedServer([half, "close"]) as server:
        response = await send(server)
    assert isinstance(response, NoResponse)
    assert response.reason == "truncated_response"


async def test_late_response_to_another_request_is_skipped():
    late = encode_response(b"for another", request_id="0")
    async with ScriptedServer([late, encode_response(b"mine")]) as server:
        response = await send(server)
    assert isinstance(response, ServerResponse)
    assert response.body == b"mine"


async def test_second_response_belongs_to_no_request():
    twice = encode_response(b"one") + encode_response(b"two")
    async with ScriptedServer([twice], [encode_response(b"next")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        first = await send(server, connections)
        second = await send(server, connections)
        connections.close()
    assert first.body == b"one"
    assert second.body == b"next"
    assert server.connections == 2


async def test_bytes_on_an_idle_connection_close_it():
    async with ScriptedServer(
        [encode_response(b"one"), "pause", encode_response(b"stray")],
        [encode_response(b"next")],
    ) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await asyncio.sleep(0.05)
        second = await send(server, connections)
        connections.close()
    assert second.body == b"next"
    assert server.connections == 2


async def test_idle_connection_is_reused():
    async with ScriptedServer(
        [encode_response(b"a")], [encode_response(b"b")]
    ) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 1


async def test_connection_close_is_respected():
    closing = encode_response(b"a", extra=b"Connection: close\r\n")
    async with ScriptedServer([closing], [encode_response(b"b")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 2


async def test_keep_alive_time_is_respected():
    short = encode_response(b"a", extra=b"Keep-Alive: timeout=0\r\n")
    async with ScriptedServer([short], [encode_response(b"b")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        await send(server, connections)
        await send(server, connections)
        connections.close()
    assert server.connections == 2


@pytest.mark.parametrize(
    "script", [["close"], ["reset"], [b"no http at all\r\n\r\n"]]
)
async def test_request_on_broken_connection_may_have_run(script):
    async with ScriptedServer(script) as server:
        response = await send(server)
    assert isinstance(response, NoResponse)
    assert response.verdict is Verdict.MAY_HAVE_RUN


async def test_request_on_refused_connection_has_not_run():
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{probe.getsockname()[1]}"
    clock = SystemClock()
    connections = ServerConnectionPool(address, clock)
    response = await connections.send(REQUEST, clock.now() + 1.0)
    probe.close()
    assert isinstance(response, NoResponse)
    assert response.verdict is Verdict.NOT_RUN
    assert response.connection_failed


# BUDGET: a process that ended was taken for a broken connection, since its
# listener still accepted one after its connections were closed.
@pytest.mark.parametrize("closes_after_s", [0.0, 0.01, 0.04])
async def test_listener_that_closes_after_the_connections_is_refused(
    closes_after_s, monkeypatch
):
    assert closes_after_s < http_client.LISTENER_END_S
    # Longer than this process stands still on a busy machine.
    monkeypatch.setattr(http_client, "LISTENER_END_S", 0.5)
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connections = ServerConnectionPool(address, SystemClock())
    asyncio.get_running_loop().call_later(closes_after_s, listener.close)
    assert await connections.is_refused(1.0)
    assert connections.open_count == 0


async def test_server_that_keeps_a_connection_open_is_not_refused():
    async with ScriptedServer([encode_response(b"a")]) as server:
        connections = ServerConnectionPool(server.address, SystemClock())
        assert not await connections.is_refused(1.0)
        # Its connection serves the next request.
        await send(server, connections)
        connections.close()
    assert server.connections == 1


async def test_server_that_closes_each_connection_is_not_refused():
    async def close(reader, writer):
        writer.close()

    async with await asyncio.start_server(close, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connections = ServerConnectionPool(address, SystemClock())
        assert not await connections.is_refused(1.0)
    assert connections.open_count == 0


async def test_no_response_by_the_deadline_may_have_run():
    async with ScriptedServer(["hang"]) as server:
        response = await send(server, timeout_s=0.05)
    assert isinstance(response, NoResponse)
    assert response.verdict is Verdict.MAY_HAVE_RUN
    assert response.reason == "deadline_passed"


async def test_interim_responses_are_skipped():
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    async with ScriptedServer([interim, encode_response(b"a")]) as server:
        response = await send(server)
    assert response.body == b"a"


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
    """Sends the same bytes repeatedly until the client closes.

    Args:
        start: Bytes that are sent once, first.
        piece: Bytes that are repeated.
    """

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
# What a server can send before it notices the close: the socket buffers of both
# sides at the system's largest default size, and a few iterations of the event
# loop.
MAX_UNREAD_BYTES = 16 * 1024 * 1024


# A faulty server sends bytes without end that are not the body of the response,
# such as headers, interim responses or responses to other requests.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n", LINE),
        (b"HTTP/1.1 200 OK\r\nX-More: ", b"x" * 8_000),
        (b"", b"HTTP/1.1 103 Early Hints\r\n" + LINE + b"\r\n"),
        (CHUNKED + b"0\r\n", LINE),
        (CHUNKED + b"5;x=", b"x" * 8_000),
        (b"", encode_response(b"", request_id="0") * 100),
        (b"", encode_response(b"x" * 60_000, request_id="0")),
        (b"", b"\r\n" * 4_000),
    ],
    ids=[
        "headers",
        "header",
        "interim",
        "trailers",
        "chunk-extension",
        "other-responses",
        "large-other-responses",
        "blank-lines",
    ],
)
async def test_endless_head_is_aborted_early(start, piece):
    async with EndlessServer(start, piece) as server:
        response = await send(server, timeout_s=20.0)
        assert isinstance(response, NoResponse)
        assert response.verdict is Verdict.MAY_HAVE_RUN
        assert response.reason != "deadline_passed"
        await asyncio.wait_for(server.closed.wait(), 2)
        assert server.sent < MAX_UNREAD_BYTES


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        CHUNKED + b"fffffffff\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    ],
    ids=["unframed", "chunk", "length"],
)
async def test_endless_body_uses_bounded_memory(start):
    limit = 4 * 1024 * 1024
    memory = ResponseMemory(limit)
    async with EndlessServer(start, b"x" * 100_000) as server:
        clock = SystemClock()
        endless = ServerConnectionPool(server.address, clock, memory)
        response = await send(server, endless, timeout_s=20.0)
        assert response.reason == "memory_full"
        assert memory.used_bytes == 0
        await asyncio.wait_for(server.closed.wait(), 2)
        assert server.sent < limit + MAX_UNREAD_BYTES


async def test_endless_response_does_not_abort_others():
    memory = ResponseMemory(4 * 1024 * 1024)
    clock = SystemClock()
    start = b"HTTP/1.1 200 OK\r\n\r\n"
    head, body = (
        encode_response(b"x" * 200_000)[:100_000],
        encode_response(b"x" * 200_000),
    )
    async with (
        EndlessServer(start, b"x" * 100_000) as bad,
        ScriptedServer([head, "pause", "pause", body[100_000:]]) as good,
    ):
        responses = await asyncio.gather(
            send(good, ServerConnectionPool(good.address, clock, memory)),
            send(bad, ServerConnectionPool(bad.address, clock, memory), 20.0),
        )
    assert isinstance(responses[0], ServerResponse)
    assert len(responses[0].body) == 200_000
    assert responses[1].reason == "memory_full"
    assert memory.used_bytes == 0


# A request waited for a connection that no server could accept any more.
async def test_waits_for_a_connection_can_be_given_up():
    clock = SystemClock()
    with full_listener() as address:
        pool = ServerConnectionPool(address, clock, connect_timeout_s=60.0)
        request = asyncio.create_task(pool.send(REQUEST, clock.now() + 60.0))
        await asyncio.sleep(0.05)
        assert not request.done()
        pool.give_up_connecting(0.1)
        async with asyncio.timeout(1.0):
            outcome = await request
        assert isinstance(outcome, NotSent)
        assert outcome.connection_failed
        assert pool.open_count == 0
