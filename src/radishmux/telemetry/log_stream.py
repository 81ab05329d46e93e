"""Non-blocking log stream with a bounded queue, for standard output."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections import deque
from types import TracebackType

# Length of the queue of unwritten lines. Further lines are dropped and counted.
MAX_LINES = 4_000
FLUSH_PERIOD_S = 0.1
_MAX_WRITE_BYTES = 64 * 1024


class BoundedLogStream:
    """Queues log lines and writes them from a background task.

    An async context manager. On exit, it writes as many of the queued lines
    as the descriptor accepts without blocking.

    Args:
        descriptor: File descriptor to write to; by default that of standard
            output. It is made non-blocking.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._dropped_reported = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped

    def write(self, text: str) -> None:
        """Queues `text`, which holds one or more complete lines."""
        self.write_bytes(text.encode())

    def write_bytes(self, line: bytes) -> None:
        """Queues `line`, which holds one or more complete lines."""
        if len(self._lines) >= MAX_LINES:
            self._dropped += 1
            return
        self._lines.append(line)

    def flush(self) -> None:
        """Writes queued lines until the descriptor would block."""
        if self._dropped > self._dropped_reported and not self._unwritten:
            self._dropped_reported = self._dropped
            report = (
                f'{{"message":"log lines dropped","total":{self._dropped}}}\n'
            )
            self._lines.appendleft(report.encode())
        while self._lines or self._unwritten:
            pieces = [self._unwritten]
            size = len(self._unwritten)
            while self._lines and size < _MAX_WRITE_BYTES:
                line = self._lines.popleft()
                pieces.append(line)
                size += len(line)
            data = b"".join(pieces)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reading end is closed, so the error cannot be reported
                # anywhere; only the counter of dropped lines shows it.
                self._dropped += len(pieces)
                self._unwritten = b""
                return
            self._unwritten = data[written:]
            if self._unwritten:
                return

    async def __aenter__(self) -> BoundedLogStream:
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
        self.flush()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()
