"""Detects silent connections, on which the server no longer answers.

A request that waits long may have a slow server or a silent (half-open)
connection. The server is therefore probed on a new connection: if it answers
there, the connection of the request is silent.

This module does no I/O: the caller passes the time and sends the probes.
"""

from __future__ import annotations

from radishmux.dispatch.connections import Call, Connections

# A connection is suspect when its request has received no byte for this long.
SILENT_AFTER_S = 1.0
# Lower bound of the silence limit that is derived from a route's latency,
# because each suspect connection costs a probe of about 6 ms.
MIN_SILENT_AFTER_S = 0.2
# Shortest time between two probes of a server, so that a slow server is not
# probed all the time.
PROBE_INTERVAL_S = 0.5


class ConnectionWatchdog:
    """Tracks requests in flight and finds those on silent connections."""

    def __init__(self) -> None:
        self._calls: dict[Call, float] = {}
        self._probed_at: dict[str, float] = {}

    def add(self, call: Call, silent_after_s: float = SILENT_AFTER_S) -> None:
        """Tracks a call until `remove`.

        Args:
            call: Request in flight.
            silent_after_s: Time without a byte after which its connection is
                suspect; limited to MIN_SILENT_AFTER_S..SILENT_AFTER_S.
        """
        self._calls[call] = min(
            SILENT_AFTER_S, max(MIN_SILENT_AFTER_S, silent_after_s)
        )

    def remove(self, call: Call) -> None:
        """Stops tracking a call; does nothing if it is not tracked."""
        self._calls.pop(call, None)

    def connections_to_probe(self, now: float) -> list[Connections]:
        """Returns the connections whose servers are to be probed now.

        They are those with a suspect call, unless their server was probed less
        than PROBE_INTERVAL_S ago. The probe needs a new connection.
        """
        suspects: dict[str, Connections] = {}
        for call, silent_after_s in self._calls.items():
            if not _is_suspect(call, silent_after_s, now):
                continue
            address = call.connections.address
            probed_at = self._probed_at.get(address)
            if probed_at is None or now - probed_at >= PROBE_INTERVAL_S:
                suspects[address] = call.connections
        for address in suspects:
            self._probed_at[address] = now
        return list(suspects.values())

    def on_probe_succeeded(
        self, connections: Connections, now: float
    ) -> list[Call]:
        """Finds the silent calls to a server that has answered a probe.

        Starts a new generation of the connections if a silent call belongs to
        the current one.

        Returns:
            The silent calls, which are no longer tracked.
        """
        silent = [
            call
            for call, silent_after_s in self._calls.items()
            if call.connections is connections
            and _is_suspect(call, silent_after_s, now)
        ]
        if any(call.generation == connections.generation for call in silent):
            connections.start_generation()
        for call in silent:
            del self._calls[call]
        return silent


def _is_suspect(call: Call, silent_after_s: float, now: float) -> bool:
    # The server's kernel has just accepted a new connection, so a long wait on
    # it means a slow server rather than a silent connection.
    return (
        call.reused and call.sent and now - call.last_byte_at >= silent_after_s
    )
