"""Cancels the handlers of callers whose leaving sanic does not see."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from sanic.exceptions import RequestCancelled

from radishmux.http._remote_end import RemoteEnd


class DepartureMonitor:
    """Cancels the handlers of callers that have left.

    sanic cancels a handler when it reads the end of input. It stops reading
    while a handler does not take a large body, such as that of an upload that
    waits for a slot, and while a large request waits behind another one.
    """

    def __init__(self) -> None:
        self._remote_ends: dict[Any, RemoteEnd] = {}

    def check(self, connections: Iterable[Any]) -> None:
        """Cancels the handlers of departed callers that are not being read.

        Args:
            connections: All open connections of the server.
        """
        known, self._remote_ends = self._remote_ends, {}
        for connection in list(connections):
            http, transport = connection.http, connection.transport
            # An instance of sanic's Http is true while a request is handled.
            if not http or transport is None or transport.is_reading():
                continue
            remote_end = known.get(connection) or RemoteEnd(transport)
            self._remote_ends[connection] = remote_end
            if remote_end.is_closed() and connection._task is not None:
                http.exception = RequestCancelled()
                connection._task.cancel()
