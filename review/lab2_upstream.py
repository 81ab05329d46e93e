"""Stand-in for an upstream: runs requests in slots and registers itself."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

HEARTBEAT_S = 1.5


class Request:
    """One request at an upstream; names of headers are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")


class Upstream:
    """A sound upstream of one service.

    Args:
        store: The store in which it registers itself.
        service: Name of its service.
        zone: Its zone.
        work_s: Returns how long the work on a request takes.
        note: Called with what happens: kind, upstream and request.
        crashes: Returns after how long a request crashes it; None: never.
    """

    starts = 0

    def __init__(
        self, store, service, zone, work_s, note, crashes=lambda request: None,
        slots=6, cold_s=0.0,
    ):
        self.store = store
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.note = note
        self.crashes = crashes
        self.slots = slots
        self.cold_s = cold_s
        self.name = ""
        self.host, self.port = "127.0.0.1", 0
        self.is_up = False
        self.running = 0
        self._writers = set()
        self._server = None
        self._beat = None
        self._born = 0
        self._sequence = 0
        self._cold_until = 0.0

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, is_cold=False, name=None):
        """Starts a new incarnation, by default with a new id."""
        Upstream.starts += 1
        self.name = name or f"i-{Upstream.starts:04d}"
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.running = 0
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._cold_until = time.monotonic() + (self.cold_s if is_cold else 0.0)
        self._beat = asyncio.create_task(self._register())

    async def _register(self):
        while True:
            self._sequence += 1
            cold_s = max(0.0, self._cold_until - time.monotonic())
            self.store.put(
                f"servers/{self.name}",
                {
                    "Service": self.service,
                    "Address": self.address,
                    "Zone": self.zone,
                    "Version": "v1",
                    "Slots": self.slots,
                    "State": "ready",
                    "ColdRemainingS": round(cold_s, 3),
                    "Sequence": self._sequence,
                    "born": self._born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends at once; its entry lapses after three heartbeats."""
        self.is_up = False
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        key, sequence = f"servers/{self.name}", self._sequence
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._lapse, key, sequence
        )

    def leave(self):
        """Removes its entry; it goes on serving until `crash`."""
        self._beat.cancel()
        self.store.delete(f"servers/{self.name}")

    def _lapse(self, key, sequence):
        known = self.store.value(key)
        if known and known["Sequence"] == sequence:
            self.store.delete(key)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await self._read(reader)
                if not await self._answer(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    @staticmethod
    async def _read(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ")
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Request(method, target, headers, body)

    async def _answer(self, request, reader, writer):
        """Answers one request; False if the connection has ended."""
        expected = request.headers.get("target-instance", self.name)
        if expected != self.name:
            self._send(writer, 421, request, [("Instance-Id", self.name)])
            return True
        self.note("arrival", self, request)
        if self.running >= self.slots:
            self._send(writer, 503, request, [("Not-Executed", "1")])
            return True
        self.running += 1
        started_at = time.monotonic()
        self.note("run", self, request)
        try:
            crash_s = self.crashes(request)
            work_s = self.work_s(request) if crash_s is None else crash_s
            remaining_ms = float(request.headers.get("deadline-remaining", 1e6))
            is_late = remaining_ms / 1000 < work_s
            until = started_at + min(work_s, remaining_ms / 1000)
            # An upstream drops a request when its connection closes.
            while (left_s := until - time.monotonic()) > 0:
                await asyncio.sleep(min(0.02, left_s) if left_s > 0.003 else 0)
                if reader.at_eof() or writer.transport.is_closing():
                    self.note("dropped", self, request)
                    return False
        finally:
            self.running -= 1
        if is_late:
            self.note("deadline", self, request)
            self._send(writer, 504, request, [("Server-Seal", "s.late")])
            return True
        if crash_s is not None:
            self.note("crash", self, request)
            self.crash()
            return False
        self.note("done", self, request)
        self._send(writer, 200, request, [("Server-Seal", f"s.{request.id}")])
        return True

    def _send(self, writer, status, request, headers):
        body = json.dumps({"server": self.name, "id": request.id}).encode()
        headers = [
            ("Request-Id", request.id),
            ("Server-Load", f"{self.running},0,{self.slots}"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body)
