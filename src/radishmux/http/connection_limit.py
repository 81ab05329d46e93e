"""Limits the connections that callers and peers keep open."""

from __future__ import annotations

import resource
from collections import OrderedDict
from typing import Protocol

# Used where the system sets no limit.
_MAX_FDS = 1 << 20
# Descriptors of the process that are reserved for files.
RESERVED_FDS = 200
# Fractions of the others for connections that are accepted, and for requests
# that wait for a server, each of which may need a connection to one. The rest
# is for hedges, peers and the store.
_ACCEPTED_FRACTION = 0.45
_REQUESTS_FRACTION = 0.35
# Connections wait in the backlog of a listener until they are accepted all at
# once, before any of them can be closed.
_BACKLOG_FRACTION = 1 / 16
_MAX_BACKLOG = 1024
# Connections that are examined to find one that can be closed.
_MAX_EXAMINED = 64


class LimitedConnection(Protocol):
    """A connection that may have to be closed for another one."""

    @property
    def is_serving(self) -> bool:
        """Whether a complete request is not answered yet."""

    def close_for_another(self) -> None:
        """Closes the connection at once."""


class ConnectionLimit:
    """Keeps the connections of all listeners, and requests, in limits.

    When it is reached, the connection without an unanswered request that has
    been of no use for the longest time is closed.

    Args:
        max_fds: Descriptors that the process may open; None takes the limit
            that the system has set.

    Attributes:
        max_connections: Connections that may be open.
        max_requests: Requests that may be in progress.
        requests: Requests in progress, which the connections count.
        backlog: Connections that each listener may keep waiting.
    """

    def __init__(self, max_fds: int | None = None) -> None:
        system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if system_limit == resource.RLIM_INFINITY:
            system_limit = _MAX_FDS
        max_fds = min(max_fds or system_limit, system_limit)
        usable = max(max_fds - RESERVED_FDS, max_fds // 2)
        self.max_connections = int(usable * _ACCEPTED_FRACTION)
        self.max_requests = int(usable * _REQUESTS_FRACTION)
        self.requests = 0
        self.backlog = max(
            1, min(_MAX_BACKLOG, int(usable * _BACKLOG_FRACTION))
        )
        self._connections: OrderedDict[LimitedConnection, None] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_crowded(self) -> bool:
        """Whether more than half of the connections are in use."""
        return 2 * len(self._connections) > self.max_connections

    def add(self, connection: LimitedConnection) -> bool:
        """Adds a connection; False if it has to be closed."""
        if len(self._connections) >= self.max_connections:
            oldest = self._oldest_unused()
            if oldest is None:
                return False
            del self._connections[oldest]
            oldest.close_for_another()
        self._connections[connection] = None
        return True

    def touch(self, connection: LimitedConnection) -> None:
        """Records that a connection was of use just now."""
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def remove(self, connection: LimitedConnection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)

    def _oldest_unused(self) -> LimitedConnection | None:
        for _ in range(min(_MAX_EXAMINED, len(self._connections))):
            oldest = next(iter(self._connections))
            if not oldest.is_serving:
                return oldest
            self._connections.move_to_end(oldest)
        return None
