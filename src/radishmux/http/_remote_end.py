"""Tells whether the other end of a connection has closed it."""

from __future__ import annotations

import asyncio
import select

# Period of the checks of connections that are not being read.
DEPARTURE_CHECK_S = 0.1
# POLLERR and POLLHUP are reported as well, without being asked for.
_CLOSED = select.POLLRDHUP


class RemoteEnd:
    """The other end of an open connection.

    An event loop sees the end of input behind the data before it, and only on
    a connection that it reads. The kernel knows it at once.

    Args:
        transport: The connection.
    """

    __slots__ = ("_poll", "_transport")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket"), _CLOSED)

    def is_closed(self) -> bool:
        """Whether the other end has closed, half-closed or reset it.

        Also true if this end is closing.
        """
        # The kernel may have reused the descriptor of a closed transport.
        return self._transport.is_closing() or bool(self._poll.poll(0))
