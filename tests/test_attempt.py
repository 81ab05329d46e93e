"""Tests single attempts: sent once, right verdict, own response only."""

from __future__ import annotations

import asyncio

import pytest

from radishmux.clock import SystemClock
from radishmux.dispatch.attempt import Failure, ReceivedResponse, Sender
from radishmux.dispatch.connections import Connections
from radishmux.dispatch.exchange import RequestBody
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.verdict import Verdict
from tests.request_parts import eventually

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """A server that takes its responses, of all connections, from a list.

    None closes the connection. `unsolicited` is sent after each response
    without a request for it.
    """

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.responses: list[bytes | None] = []
        self.unsolicited = b""

    async def serve(self, reader, writer) -> None:
        while True:
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, OSError):
                return
            self.requests.append(request.split(b" ", 1)[0])
            response = self.responses.pop(0)
            if response is None:
                writer.close()
                return
            writer.write(response)
            if self.unsolicited:
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(self.unsolicited)


@pytest.fixture
async def server():
    server = ScriptedServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    connections = Connections(f"{host}:{port}")
    clock = SystemClock()
    sender = Sender(clock, ConnectionWatchdog())

    async def send(method="GET", gate=lambda: True, deadline_s=2.0):
        return await sender.send(
            connections,
            gate,
            method,
            "/x",
            [],
            RequestBody(b""),
            clock.now() + deadline_s,
        )

    server.send = send
    server.connections = connections
    server.listener = listener
    yield server
    await connections.close()
    listener.close()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
async def test_a_request_on_a_closing_connection_is_not_sent_again(
    server, method
):
    """Guards against retries by the HTTP library itself."""
    server.responses = [OK, None, OK]
    assert isinstance(await server.send(), ReceivedResponse)
    failure = await server.send(method)
    assert isinstance(failure, Failure)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert server.requests == [b"GET", method.encode()]


async def test_an_unsolicited_response_is_not_delivered(server):
    """Guards against delivering a late duplicate to the next request."""
    server.unsolicited = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
    server.responses = [OK, OK]
    assert (await server.send()).body == b"ok"
    idle = server.connections._connector._conns
    await eventually(
        lambda: any(p.should_close for pool in idle.values() for p, _ in pool)
    )
    assert (await server.send()).body == b"ok"


async def test_a_closed_gate_writes_nothing(server):
    server.responses = [OK]
    for _ in range(2):
        failure = await server.send(gate=lambda: False)
        assert failure.verdict is Verdict.NOT_RUN
    assert server.requests == []
    assert isinstance(await server.send(), ReceivedResponse)


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "deadline_passed"),
        (b"HTTP/1.1 200 OK\r\n\r\nok", "unframed_response"),
        (b"nonsense\r\n\r\n", "connection_broken"),
        (
            b"HTTP/1.1 200 OK\r\nX-Radishmux-Attempt: other\r\n"
            b"Content-Length: 2\r\n\r\nok",
            "mismatched_response",
        ),
    ],
)
async def test_an_unusable_response_may_have_run_and_closes_its_connection(
    server, response, reason
):
    server.responses = [response, OK]
    failure = await server.send(deadline_s=0.3)
    assert (failure.verdict, failure.reason) == (Verdict.MAY_HAVE_RUN, reason)
    assert (await server.send()).body == b"ok"


async def test_a_refused_connection_did_not_run(server):
    server.listener.close()
    await server.listener.wait_closed()
    failure = await server.send()
    assert failure.refused
    assert failure.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_response_without_a_valid_status_is_a_failure(server, status):
    """Guards against answers of failing servers whose status is no status."""
    server.responses = [OK.replace(b"200", status.encode())]
    failure = await server.send()
    assert isinstance(failure, Failure)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.reason == "malformed_response"
