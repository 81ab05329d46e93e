"""Tests responses to invalid input: error message, verdict, counter."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource

import aiohttp
import pytest

from radishmux.http import bodies
from radishmux.http import server as http_server
from tests.request_node import Node, headers, run_node
from tests.request_parts import KEY, NodeParts


@pytest.fixture
async def node():
    node = Node(NodeParts([]))
    async with run_node(node):
        yield node


class Answer:
    """A response parsed from the bytes that a caller received."""

    def __init__(self, raw: bytes) -> None:
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        self.headers = dict(
            line.lower().split(": ", 1) for line in lines[1:] if ": " in line
        )
        self.refusal = json.loads(body) if body.startswith(b"{") else {}


async def _send(node: Node, *pieces: bytes, pause_s: float = 0.0) -> Answer:
    host, port = node.caller.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    async def write() -> None:
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)

    writing = asyncio.create_task(write())
    raw = b""
    with contextlib.suppress(OSError):
        async with asyncio.timeout(20):
            while not raw.endswith(b"}"):
                piece = await reader.read(65536)
                raw += piece
                if not piece:
                    break
    writing.cancel()
    writer.close()
    return Answer(raw)


def _request(
    *lines: str, target: str = "/poles/x", method: str = "GET", key: str = KEY
) -> bytes:
    head = [f"{method} {target} HTTP/1.1", "Host: x"]
    if key:
        head.append(f"X-Radishmux-Key: {key}")
    return "\r\n".join([*head, *lines, "", ""]).encode()


CASES = {
    "unknown_key": (401, [_request(key="wrong")]),
    "no_key": (401, [_request(key="")]),
    "header_too_large": (431, [_request("X-Long: " + "x" * 20_000)]),
    "body_too_large": (
        413,
        [_request(f"Content-Length: {10**9}", method="POST"), b"x" * 1000],
    ),
    "malformed_request_id": (
        400,
        [_request("X-Radishmux-Request-Id: 1", method="POST")],
    ),
    "unknown_service": (404, [_request(target="/none/x")]),
    "bad_deadline": (400, [_request("X-Radishmux-Deadline-Ms: -5")]),
    "malformed_request": (
        400,
        [
            _request("Content-Length: 1", "Content-Length: 2", method="POST"),
            b"xx",
        ],
    ),
    "malformed_body": (
        400,
        [
            _request("Transfer-Encoding: chunked", method="POST"),
            b"zz\r\nbody\r\n",
        ],
    ),
    "malformed_target": (400, [_request(target="/poles/../admin")]),
}


@pytest.mark.parametrize("reason", CASES)
async def test_invalid_input_gets_an_error_with_a_verdict(node, reason):
    status, pieces = CASES[reason]
    answer = await _send(node, *pieces)
    assert answer.status == status, answer.refusal
    assert answer.refusal["reason"] == reason
    assert answer.refusal["message"]
    assert answer.refusal["verdict"] == "not_run"
    assert answer.headers["x-radishmux-verdict"] == "not_run"
    metrics = node.parts.metrics
    counted = metrics.value("invalid_requests_total", reason=reason)
    counted += metrics.value("requests_total", outcome=reason)
    assert counted >= 1


async def test_content_length_and_chunking_together_are_refused(node):
    """Request smuggling: no request may be hidden in the body of another."""
    smuggled = _request(target="/poles/hidden")
    answer = await _send(
        node,
        _request(
            "Content-Length: 4",
            "Transfer-Encoding: chunked",
            method="POST",
        )
        + b"0\r\n\r\n"
        + smuggled,
    )
    assert answer.status == 400
    assert answer.refusal["verdict"] == "not_run"


async def test_header_sent_byte_by_byte_times_out(node, monkeypatch):
    """A caller must not hold a connection forever by sending slowly."""
    monkeypatch.setattr(http_server, "HEADER_TIMEOUT_S", 0.5)
    pieces = [bytes([byte]) for byte in _request("X-Long: " + "x" * 900)]
    answer = await _send(node, *pieces, pause_s=0.02)
    assert answer.status == 408
    assert answer.refusal["reason"] == "request_too_slow"
    assert answer.refusal["verdict"] == "not_run"


async def test_body_sent_byte_by_byte_times_out(node, monkeypatch):
    monkeypatch.setattr(bodies, "BODY_IDLE_S", 0.5)
    head = _request("Content-Length: 1000", method="POST")
    answer = await _send(node, head, *[b"x"] * 1000, pause_s=0.02)
    assert answer.status == 408
    assert answer.refusal["reason"] == "body_too_slow"
    assert answer.refusal["verdict"] == "not_run"


async def test_large_bodies_take_bounded_memory(node):
    """Bodies are streamed: 30 callers send 60 MB each at the same time."""

    async def pieces():
        for _ in range(60):
            yield b"x" * 1_000_000

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    async with aiohttp.ClientSession(node.url) as session:

        async def upload() -> int:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.put(
                    "/poles/upload/1", data=pieces(), headers=headers()
                ) as response:
                    return response.status
            return 0

        await asyncio.gather(*(upload() for _ in range(30)))
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    print(f"grown by {grown_kb} KB")
    # 256 KB per request and direction, plus the pieces that this test creates.
    assert grown_kb < 30 * (2 * 256 + 2 * 1000)
