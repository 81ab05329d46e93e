"""Load generator on plain sockets, for measurements on loopback.

It polls without sleeping, because event loops round their timers up to a
millisecond, which is as long as the times measured here. Latencies count
from the planned time of a request, so that a slow server cannot hide its
queue by slowing the generator down.
"""

from __future__ import annotations

import random
import re
import selectors
import socket
import time
from collections import deque
from collections.abc import Iterator

import msgspec
from hdrh.histogram import HdrHistogram

_RECEIVE_BYTES = 65_536
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)
_MICROSECONDS = 1e6
# Range of the histogram: 1 microsecond to 60 s with 3 digits.
_HISTOGRAM = (1, 60_000_000, 3)
# Requests that are unanswered this long after the last planned one are lost.
_DRAIN_S = 3.0


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run measured.

    Attributes:
        per_s: Good answers per second.
        good: Answers with status 200.
        bad: Other answers, broken connections and lost requests.
        planned_per_s: Rate of an open run; 0 for a closed one.
        cpu_us: Processor time of the server for each good answer. It depends
            less on what else the machine does than times and rates.
    """

    per_s: float
    good: int
    bad: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    planned_per_s: float = 0.0
    cpu_us: float = 0.0


class _Connection:
    """A connection with at most one request in flight."""

    __slots__ = ("_address", "received", "socket", "started")

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.received = b""
        self.started = 0.0
        self.socket = self._connect()

    def _connect(self) -> socket.socket:
        connected = socket.create_connection(self._address, 5.0)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.setblocking(False)
        return connected

    def reconnect(self) -> None:
        """Replaces a connection that the server closed."""
        self.socket.close()
        self.received = b""
        self.socket = self._connect()

    def receive(self) -> bytes | None:
        """Returns a complete response, or None while it is incomplete.

        Raises:
            ConnectionError: The connection ended.
        """
        chunk = self.socket.recv(_RECEIVE_BYTES)
        if not chunk:
            raise ConnectionResetError
        self.received += chunk
        if not _complete(self.received):
            return None
        response, self.received = self.received, b""
        return response


def _complete(received: bytes) -> bool:
    head_end = received.find(b"\r\n\r\n")
    if head_end < 0:
        return False
    head = received[: head_end + 2]
    length = _CONTENT_LENGTH.search(head)
    if length is not None:
        return len(received) >= head_end + 4 + int(length[1])
    if _CHUNKED.search(head):
        return received.endswith(b"0\r\n\r\n")
    return True


class Load:
    """Sends requests to one address.

    A context manager that owns its connections.

    Args:
        address: `ip:port`.
        requests: Complete HTTP/1.1 requests; each is sent in turn.
        connections: Number of connections, each with one request at a time.
    """

    def __init__(
        self, address: str, requests: Iterator[bytes], connections: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._requests = requests
        self._selector = selectors.DefaultSelector()
        self._connections = [
            _Connection((host, int(port))) for _ in range(connections)
        ]
        for one in self._connections:
            self._selector.register(one.socket, selectors.EVENT_READ, one)
        self._free = deque(self._connections)
        self._latencies: list[float] = []
        self._bad = 0

    def __enter__(self) -> Load:
        return self

    def __exit__(self, *exc: object) -> None:
        for one in self._connections:
            one.socket.close()
        self._selector.close()

    def closed(self, duration_s: float) -> LoadResult:
        """Keeps every connection busy for `duration_s`."""
        self._reset()
        start = time.perf_counter()
        end = start + duration_s
        while (now := time.perf_counter()) < end:
            while self._free:
                self._send(now)
            self._poll()
        elapsed_s = time.perf_counter() - start
        good = len(self._latencies)
        self._drain()
        return self._result(elapsed_s, good)

    def open(self, per_s: float, duration_s: float, seed: int) -> LoadResult:
        """Sends at random times with a fixed mean rate.

        Requests that find no free connection wait for one.
        """
        self._reset()
        rng = random.Random(seed)
        due: deque[float] = deque()
        start = time.perf_counter()
        planned_until = start + rng.expovariate(per_s)
        end = start + duration_s
        while (now := time.perf_counter()) < end or due:
            while planned_until <= now and planned_until < end:
                due.append(planned_until)
                planned_until += rng.expovariate(per_s)
            while due and self._free:
                self._send(due.popleft())
            self._poll()
            if now > end + _DRAIN_S:
                self._bad += len(due)
                break
        self._drain()
        return self._result(duration_s, len(self._latencies), per_s)

    def _reset(self) -> None:
        self._latencies = []
        self._bad = 0

    def _send(self, planned: float) -> None:
        connection = self._free.popleft()
        connection.started = planned
        try:
            connection.socket.sendall(next(self._requests))
        except OSError:
            self._fail(connection)

    def _poll(self) -> None:
        for key, _ in self._selector.select(0):
            connection = key.data
            try:
                response = connection.receive()
            except BlockingIOError:
                continue
            except OSError:
                self._fail(connection)
                continue
            if response is None:
                continue
            if response.startswith(b"HTTP/1.1 200"):
                self._latencies.append(time.perf_counter() - connection.started)
            else:
                self._bad += 1
            self._free.append(connection)

    def _fail(self, connection: _Connection) -> None:
        self._bad += connection not in self._free
        self._selector.unregister(connection.socket)
        connection.reconnect()
        self._selector.register(
            connection.socket, selectors.EVENT_READ, connection
        )
        if connection not in self._free:
            self._free.append(connection)

    def _drain(self) -> None:
        """Waits for the answers in flight; late ones are lost."""
        ends = time.perf_counter() + _DRAIN_S
        while len(self._free) < len(self._connections):
            if time.perf_counter() > ends:
                for one in self._connections:
                    if one not in self._free:
                        self._fail(one)
                return
            self._poll()

    def _result(
        self, elapsed_s: float, good: int, planned_per_s: float = 0.0
    ) -> LoadResult:
        histogram = HdrHistogram(*_HISTOGRAM)
        for latency_s in self._latencies:
            histogram.record_value(max(1, int(latency_s * _MICROSECONDS)))

        def quantile(percent: float) -> float:
            return histogram.get_value_at_percentile(percent) / 1000

        return LoadResult(
            per_s=round(good / elapsed_s, 1),
            good=good,
            bad=self._bad,
            p50_ms=quantile(50),
            p99_ms=quantile(99),
            max_ms=quantile(100),
            planned_per_s=round(planned_per_s, 1),
        )
