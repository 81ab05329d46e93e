"""Raw connections that misbehave, in large numbers and with little memory."""

from __future__ import annotations

import asyncio
import contextlib
import socket

# The longest that one connection waits for a peer that does not read.
_STALL_S = 2.0
_PIECE_BYTES = 64 * 1024


class Crowd:
    """Connections to one address, which stay open until the block ends."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._sockets = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        for one in self._sockets:
            one.close()

    async def open(self, count, pieces, pause_s=0.0):
        """Opens connections and writes to each of them at once.

        Args:
            count: Number of connections.
            pieces: Bytes that each connection sends, one after the other.
            pause_s: Pause after each of them.
        """
        await asyncio.gather(
            *(self._run(pieces, pause_s) for _ in range(count))
        )

    async def _run(self, pieces, pause_s):
        """Sends until the other end closes or no longer reads."""
        loop = asyncio.get_running_loop()
        one = socket.socket()
        one.setblocking(False)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sockets.append(one)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_STALL_S):
                await loop.sock_connect(one, self._address)
            for piece in pieces:
                for start in range(0, len(piece), _PIECE_BYTES):
                    async with asyncio.timeout(_STALL_S):
                        await loop.sock_sendall(
                            one, piece[start : start + _PIECE_BYTES]
                        )
                await asyncio.sleep(pause_s)


def status_kib(process, field):
    """Returns a field of a process's memory, such as VmRSS, in KiB."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
    raise AssertionError(f"no {field}")
