"""A caller that leaves, with a blocking socket."""

from __future__ import annotations

import socket
import struct


class DepartingCaller:
    """A caller that acts while the event loop of the test stands still.

    A test that does not await blocks the server like a stopped process.

    Args:
        address: `ip:port` of the server.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)))

    def send(self, data):
        self.socket.sendall(data)

    def close(self):
        self.socket.close()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.socket.close()

    def half_close(self):
        self.socket.shutdown(socket.SHUT_WR)


# The ways to leave, by name.
LEAVE = {
    "close": DepartingCaller.close,
    "reset": DepartingCaller.reset,
    "half-close": DepartingCaller.half_close,
}
