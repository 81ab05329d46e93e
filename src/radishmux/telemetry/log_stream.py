"""A log stream on standard output that never blocks and stays bounded."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections import deque
from types import TracebackType

# Lines that wait to be written; further ones are dropped and counted.
MAX_LINES = 4_000
FLUSH_PERIOD_S = 0.1
_MAX_WRITE_BYTES = 64 * 1024


class BoundedLogStream:
    """Collects lines and writes them in the background.

    An async context manager; what is left is written when it is left.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._reported = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the start."""
        return self._dropped

    def write(self, text: str) -> None:
        """Takes one or more whole lines."""
        self.write_bytes(text.encode())

    def write_bytes(self, line: bytes) -> None:
        """Takes one or more whole lines as bytes."""
        if len(self._lines) >= MAX_LINES:
            self._dropped += 1
            return
        self._lines.append(line)

    def flush(self) -> None:
        """Writes what the descriptor takes without blocking."""
        if self._dropped > self._reported and not self._rest:
            self._reported = self._dropped
            note = (
                f'{{"message":"log lines dropped","total":{self._dropped}}}\n'
            )
            self._lines.appendleft(note.encode())
        while self._lines or self._rest:
            pieces = [self._rest]
            size = len(self._rest)
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
                # Nobody reads; nothing else can tell it.
                self._dropped += len(pieces)
                self._rest = b""
                return
            self._rest = data[written:]
            if self._rest:
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
