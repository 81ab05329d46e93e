"""Limits the connections of sanic's servers, and what they hold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from sanic.http.constants import Stage

from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.memory_budget import budget_bytes

# Memory of a connection beside its buffers, with its task and its request.
_CONNECTION_BYTES = 16 * 1024
CHECK_PERIOD_S = 0.05


class BufferMonitor:
    """Closes connections while they are too many or hold too much.

    sanic has no limit for all connections together. It stops reading one that
    holds 64 KB which its handler has not taken.

    Args:
        max_connections: Number of connections of one server.
        max_bytes: What all of them may hold that is not read or not sent.
    """

    def __init__(
        self, max_connections: int | None = None, max_bytes: int | None = None
    ) -> None:
        if max_connections is None:
            max_connections = ConnectionLimit().max_connections
        self._max_connections = max_connections
        self._max_bytes = budget_bytes(None) if max_bytes is None else max_bytes

    def excess(self, connections: Iterable[Any]) -> list[tuple[str, Any]]:
        """Returns the connections to close, each with the reason.

        Idle connections come first, then those whose head or body is not
        complete, and the ones that have sent nothing for the longest time of
        these. A complete request is not given up for another connection.

        Args:
            connections: All open connections of the server.
        """
        open_connections = [
            one for one in connections if one.transport is not None
        ]
        sizes = {one: _size(one) for one in open_connections}
        surplus = len(open_connections) - self._max_connections
        too_much = sum(sizes.values()) - self._max_bytes
        if surplus <= 0 and too_much <= 0:
            return []
        closed: list[tuple[str, Any]] = []
        if surplus > 0:
            unused = [
                one
                for one in open_connections
                if not one.http or one.http.request_body
            ]
            unused.sort(key=_last_active)
            for one in unused[:surplus]:
                too_much -= sizes.pop(one)
                closed.append(("connections_full", one))
        for one in sorted(sizes, key=lambda one: (bool(one.http), -sizes[one])):
            if too_much <= 0:
                break
            too_much -= sizes[one]
            closed.append(("memory_full", one))
        return closed


def _size(connection: Any) -> int:
    return (
        _CONNECTION_BYTES
        + len(connection.recv_buffer)
        + connection.transport.get_write_buffer_size()
    )


def _last_active(connection: Any) -> tuple[int, float]:
    # An instance of sanic's Http is true while a request is handled.
    http = connection.http
    if http:
        return 2, connection._time
    in_head = http is not None and http.stage is Stage.REQUEST
    return int(in_head), connection._time
