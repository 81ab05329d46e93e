"""Limits what the connections of a sanic server hold in memory."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from radishmux.http.memory_budget import budget_bytes

# Memory of a connection beside its buffers, with its task and its request.
_CONNECTION_BYTES = 16 * 1024
CHECK_PERIOD_S = 0.05


class BufferMonitor:
    """Closes connections while all of them hold too much.

    sanic has no limit for all connections together. It stops reading one that
    holds 64 KB which its handler has not taken.

    Args:
        max_bytes: What all of them may hold that is not read or not sent.
    """

    def __init__(self, max_bytes: int | None = None) -> None:
        self._max_bytes = budget_bytes(None) if max_bytes is None else max_bytes

    def excess(self, connections: Iterable[Any]) -> list[Any]:
        """Returns the connections to close.

        Those without a request in progress come first, and the largest of
        them.

        Args:
            connections: All open connections of the server.
        """
        sizes = {
            one: _size(one) for one in connections if one.transport is not None
        }
        too_much = sum(sizes.values()) - self._max_bytes
        closed = []
        if too_much > 0:
            # An instance of sanic's Http is true while a request is handled.
            for one in sorted(
                sizes, key=lambda one: (bool(one.http), -sizes[one])
            ):
                if too_much <= 0:
                    break
                too_much -= sizes[one]
                closed.append(one)
        return closed


def _size(connection: Any) -> int:
    return (
        _CONNECTION_BYTES
        + len(connection.recv_buffer)
        + connection.transport.get_write_buffer_size()
    )
