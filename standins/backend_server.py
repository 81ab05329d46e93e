"""A backend server whose faults are set over HTTP.

`POST /control` takes a JSON object with members of `Faults`; `GET /control`
returns the record of runs. Every other path but `/health` is a request.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import os
import random
import time

import msgspec
import uvloop
from aiohttp import web

ATTEMPT_HEADER = "X-Radishmux-Attempt"
REQUEST_ID_HEADER = "X-Radishmux-Request-Id"
KEY_HEADER = "X-Radishmux-Key"
MAX_BODY_BYTES = 64 * 1024 * 1024


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What the server does wrong; a POST changes the members that it names.

    Attributes:
        state: What the server is: ready, warming, draining.
        health_state: What /health claims, when that differs from `state`.
        health_fails: /health answers 500.
        health_in_flight: What /health claims to have in flight.
        latency_s: Time that a run takes.
        slow_path: Only paths that start with it take `latency_s`.
        cold_factor: Latency factor at the end of `POST`, falling to 1.
        cold_s: Duration of the cold start.
        error_rate: Fraction of runs answered with 500.
        shed_rate: Fraction of requests shed before they run.
        shed_over_slots: Sheds what comes while all slots are in use.
        crash_marker: Exits when the path or body contains it.
        truncate_rate: Fraction of answers cut in the middle.
        late_rate: Fraction of answers delayed by `late_s`.
        late_s: Delay of late answers.
        mismatch_rate: Fraction of answers that belong to another request.
        duplicate_rate: Fraction of answers sent twice.
        duplicate_delay_s: Time between an answer and its duplicate.
        body_bytes: Size of filler in each answer.
        chunked: Answers use chunked encoding.
        silence: Set to true: all connections open now never answer again.
        seed: Seed of the random choices.
    """

    state: str = "ready"
    health_state: str = ""
    health_fails: bool = False
    health_in_flight: int = -1
    latency_s: float = 0.0
    slow_path: str = ""
    cold_factor: float = 1.0
    cold_s: float = 0.0
    error_rate: float = 0.0
    shed_rate: float = 0.0
    shed_over_slots: bool = True
    crash_marker: str = ""
    truncate_rate: float = 0.0
    late_rate: float = 0.0
    late_s: float = 0.0
    mismatch_rate: float = 0.0
    duplicate_rate: float = 0.0
    duplicate_delay_s: float = 0.0
    body_bytes: int = 0
    chunked: bool = False
    silence: bool = False
    seed: int = 1


class Run(msgspec.Struct):
    """One run in the record."""

    request_id: str
    path: str
    method: str
    key_seen: bool
    at: float
    body_bytes: int
    body_sha256: str
    deadline_ms: str
    completed: bool = False


class Record(msgspec.Struct, kw_only=True):
    """What `GET /control` returns."""

    name: str
    version: str
    runs: list[Run]
    shed: int
    max_in_flight: int
    probes: int
    silent_requests: int
    connections: int


class Answer(msgspec.Struct, kw_only=True):
    """Body of the answer to a request."""

    server: str
    service: str
    version: str
    request_id: str
    path: str
    method: str
    body_bytes: int
    body_sha256: str
    filler: str = ""


class BackendServer:
    """State of the stand-in and its HTTP handlers."""

    def __init__(
        self,
        name: str,
        service: str,
        version: str,
        slots: int,
        record_file: str = "",
    ) -> None:
        self._name = name
        self._service = service
        self._version = version
        self._slots = slots
        self._faults = Faults()
        self._random = random.Random(self._faults.seed)
        self._cold_since = time.monotonic()
        self._in_flight = 0
        self._record = Record(
            name=name,
            version=version,
            runs=[],
            shed=0,
            max_in_flight=0,
            probes=0,
            silent_requests=0,
            connections=0,
        )
        self._silent: set[object] = set()
        # Unbuffered, so that the record outlives a killed process.
        self._record_file = -1
        if record_file:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._record_file = os.open(record_file, flags)
        self._server: web.Server | None = None

    async def serve(self, address: str) -> str:
        """Listens and returns the address."""
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._server, host.strip("[]"), int(port), backlog=1024
        )
        bound = server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.protocol in self._silent:
            self._record.silent_requests += 1
            await asyncio.Event().wait()
        if request.path == "/control":
            return await self._control(request)
        if request.path == "/health":
            return self._health()
        return await self._run(request)

    async def _control(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            changes = msgspec.json.decode(await request.read())
            merged = msgspec.to_builtins(self._faults) | changes
            self._faults = msgspec.convert(merged, Faults)
            if "seed" in changes:
                self._random = random.Random(self._faults.seed)
            if "cold_s" in changes:
                self._cold_since = time.monotonic()
            if changes.get("silence"):
                assert self._server is not None
                self._silent = {
                    connection
                    for connection in self._server.connections
                    if connection is not request.protocol
                }
        assert self._server is not None
        self._record.connections = len(self._server.connections)
        return _json(self._record, 200, {"Connection": "close"})

    def _health(self) -> web.Response:
        faults = self._faults
        self._record.probes += 1
        if faults.health_fails:
            return web.Response(status=500)
        in_flight = faults.health_in_flight
        return _json(
            {
                "state": faults.health_state or faults.state,
                "version": self._version,
                "in_flight": self._in_flight if in_flight < 0 else in_flight,
                "slots": self._slots,
            }
        )

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        faults = self._faults
        full = self._in_flight >= self._slots and faults.shed_over_slots
        if full or self._random.random() < faults.shed_rate:
            self._record.shed += 1
            return web.Response(
                status=503, headers={"X-Radishmux-Shed": "1"}, text="shed"
            )
        self._in_flight += 1
        self._record.max_in_flight = max(
            self._record.max_in_flight, self._in_flight
        )
        try:
            return await self._run_in_slot(request)
        finally:
            self._in_flight -= 1

    async def _run_in_slot(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        faults = self._faults
        run = Run(
            request_id=request.headers.get(REQUEST_ID_HEADER, ""),
            path=request.path_qs,
            method=request.method,
            key_seen=KEY_HEADER in request.headers,
            at=time.time(),
            body_bytes=0,
            body_sha256="",
            deadline_ms=request.headers.get("X-Radishmux-Deadline-Ms", ""),
        )
        self._record.runs.append(run)
        if self._record_file >= 0:
            os.write(self._record_file, f"{run.request_id} {run.at}\n".encode())
        digest = hashlib.sha256()
        crash = faults.crash_marker.encode()
        found = bool(crash) and faults.crash_marker in request.path_qs
        async for chunk in request.content.iter_chunked(65536):
            run.body_bytes += len(chunk)
            digest.update(chunk)
            found = found or (bool(crash) and crash in chunk)
        run.body_sha256 = digest.hexdigest()
        if found:
            os._exit(1)
        latency_s = self._latency_s(request.path)
        if latency_s > 0.0:
            await asyncio.sleep(latency_s)
        run.completed = True
        return await self._answer(request, run)

    def _latency_s(self, path: str) -> float:
        faults = self._faults
        if not path.startswith(faults.slow_path):
            return 0.0
        latency_s = faults.latency_s
        if faults.cold_s > 0.0:
            age = (time.monotonic() - self._cold_since) / faults.cold_s
            if age < 1.0:
                latency_s *= faults.cold_factor + (1.0 - faults.cold_factor) * (
                    age
                )
        if faults.late_rate and self._random.random() < faults.late_rate:
            latency_s += faults.late_s
        return latency_s

    async def _answer(
        self, request: web.BaseRequest, run: Run
    ) -> web.StreamResponse:
        faults = self._faults
        draw = self._random.random
        status = 500 if draw() < faults.error_rate else 200
        attempt = request.headers.get(ATTEMPT_HEADER, "")
        request_id, path = run.request_id, run.path
        if faults.mismatch_rate and draw() < faults.mismatch_rate:
            attempt, request_id = f"not-{attempt}", f"not-{request_id}"
            path = f"/not{path}"
        body = msgspec.json.encode(
            Answer(
                server=self._name,
                service=self._service,
                version=self._version,
                request_id=request_id,
                path=path,
                method=run.method,
                body_bytes=run.body_bytes,
                body_sha256=run.body_sha256,
                filler="x" * faults.body_bytes,
            )
        )
        headers = {
            "Content-Type": "application/json",
            ATTEMPT_HEADER: attempt,
            "X-Server": self._name,
        }
        if faults.truncate_rate and draw() < faults.truncate_rate:
            return await self._truncate(request, status, headers, body)
        if faults.duplicate_rate and draw() < faults.duplicate_rate:
            self._duplicate_later(request, headers, body)
        if faults.chunked:
            response = web.StreamResponse(status=status, headers=headers)
            await response.prepare(request)
            half = len(body) // 2
            await response.write(body[:half])
            await response.write(body[half:])
            return response
        return web.Response(status=status, headers=headers, body=body)

    async def _truncate(
        self,
        request: web.BaseRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=status, headers=headers)
        if not self._faults.chunked:
            response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        if request.transport is not None:
            # The bytes written so far are sent, and then the end of stream.
            request.transport.close()
        return response

    def _duplicate_later(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(
            ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *lines]
        )
        transport = request.transport

        def send() -> None:
            if transport is not None and not transport.is_closing():
                transport.write(f"{head}\r\n\r\n".encode() + body)

        asyncio.get_running_loop().call_later(
            max(self._faults.duplicate_delay_s, 0.0001), send
        )


def _json(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )


async def _main(arguments: argparse.Namespace) -> None:
    server = BackendServer(
        arguments.name,
        arguments.service,
        arguments.version,
        arguments.slots,
        arguments.record_file,
    )
    address = await server.serve(arguments.listen)
    print(f"listening {address}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument(
        "--record-file",
        default="",
        help="gets one line per run: its id and Unix time",
    )
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
