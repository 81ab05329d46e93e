"""Requests at the edge of the limits of a listener."""

from __future__ import annotations

import pytest

from radishmux.config.routing import CallerLimits
from radishmux.http.memory_budget import MIB, MemoryBudget
from radishmux.http.pipelined import PipelinedServer
from radishmux.http.response import Response
from tests.gateway.test_pipelined import Caller, _until

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def count_fields(request):
    return Response(200, [], str(len(request.headers)).encode())


def serve(handler=count_fields, **options):
    return PipelinedServer("127.0.0.1:0", handler, CallerLimits(), **options)


# A bound on the number of fields would refuse requests of legal size.
async def test_legal_head_with_very_many_fields_is_served():
    fields = b"a:\r\n" * 4_000
    async with serve() as server, Caller(server) as caller:
        caller.writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n")
        assert (await caller.read_response())[::2] == (200, b"4001")


# Trailers were appended to the headers, also a second Host or key.
async def test_trailer_is_not_a_header():
    async with serve() as server, Caller(server) as caller:
        caller.writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nApi-Key: b\r\n\r\n"
        )
        assert (await caller.read_response())[::2] == (200, b"2")


@pytest.mark.parametrize("size", [1_000, 10 * MIB])
async def test_request_is_refused_by_its_head(size):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    async with (
        serve(check_head=lambda request: Response(404, [])) as server,
        Caller(server) as caller,
    ):
        is_small = size == 1_000
        caller.writer.write(head + b"x" * size * is_small)
        status, fields, _ = await caller.read_response()
        assert status == 404
        assert server.held_bytes == 0
        # A small body is skipped and the connection used again.
        assert (fields.get("connection") == "close") is not is_small
        if is_small:
            caller.writer.write(GET)
            assert (await caller.read_response())[0] == 200


async def test_listener_without_bodies_refuses_one_at_once():
    async with serve(takes_bodies=False) as server, Caller(server) as caller:
        caller.writer.write(b"GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
        assert (await caller.read_response())[0] == 413


# More requests than may wait, in one read, must all be answered in order.
async def test_requests_sent_ahead_are_all_answered():
    async with serve() as server, Caller(server) as caller:
        caller.writer.write(GET * 1_000)
        for _ in range(1_000):
            assert (await caller.read_response())[0] == 200


# An upload that stopped held the memory for as long as its caller liked.
async def test_stalled_upload_makes_room_and_has_not_run():
    reasons, budget = [], MemoryBudget(MIB)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
    async with (
        serve(budget=budget, on_rejected=reasons.append) as server,
        Caller(server) as stalled,
        Caller(server) as caller,
    ):
        stalled.writer.write(head + b"x" * 800_000)
        await _until(lambda: server.held_bytes == 800_000)
        # The rate of what has stopped falls below that of what arrives.
        await _until(
            lambda: all(
                one.progress(one._loop.time()) < 400_000
                for one in server._connections
            )
        )
        caller.writer.write(head + b"x" * 900_000)
        assert (await caller.read_response())[0] == 200
        assert (await stalled.read_response())[0] == 408
    assert reasons == ["upload_given_up"]
    assert budget.used_bytes < MIB
