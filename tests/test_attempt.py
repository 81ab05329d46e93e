"""Guards the fate of single attempts: sent once, verdicts, own response."""

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


class Script:
    """A server that answers the requests of each connection from a list."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.answers: list[bytes | None] = []
        self.unasked = b""

    async def serve(self, reader, writer) -> None:
        while True:
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, OSError):
                return
            self.requests.append(request.split(b" ", 1)[0])
            answer = self.answers.pop(0)
            if answer is None:
                writer.close()
                return
            writer.write(answer)
            if self.unasked:
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(self.unasked)


@pytest.fixture
async def script():
    script = Script()
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
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

    script.send = send
    script.connections = connections
    script.server = server
    yield script
    await connections.close()
    server.close()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
async def test_a_request_on_a_closing_connection_is_not_sent_again(
    script, method
):
    """Guards against the HTTP library's own resending."""
    script.answers = [OK, None, OK]
    assert isinstance(await script.send(), ReceivedResponse)
    failure = await script.send(method)
    assert isinstance(failure, Failure)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert script.requests == [b"GET", method.encode()]


async def test_an_answer_that_nobody_asked_for_is_not_delivered(script):
    """Guards against the duplicate of one answer answering the next."""
    script.unasked = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
    script.answers = [OK, OK]
    assert (await script.send()).body == b"ok"
    idle = script.connections._connector._conns
    await eventually(
        lambda: any(p.should_close for pool in idle.values() for p, _ in pool)
    )
    assert (await script.send()).body == b"ok"


async def test_a_closed_gate_writes_nothing(script):
    script.answers = [OK]
    for _ in range(2):
        failure = await script.send(gate=lambda: False)
        assert failure.verdict is Verdict.NOT_RUN
    assert script.requests == []
    assert isinstance(await script.send(), ReceivedResponse)


@pytest.mark.parametrize(
    ("answer", "reason"),
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
async def test_an_unusable_answer_may_have_run_and_costs_its_connection(
    script, answer, reason
):
    script.answers = [answer, OK]
    failure = await script.send(deadline_s=0.3)
    assert (failure.verdict, failure.reason) == (Verdict.MAY_HAVE_RUN, reason)
    assert (await script.send()).body == b"ok"


async def test_a_refused_connection_did_not_run(script):
    script.server.close()
    await script.server.wait_closed()
    failure = await script.send()
    assert failure.refused
    assert failure.verdict is Verdict.NOT_RUN
