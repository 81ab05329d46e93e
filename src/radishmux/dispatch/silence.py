"""Finds connections on which nothing comes any more.

Pure: the caller passes the time and does the probing.
"""

from __future__ import annotations

from radishmux.dispatch.connections import Call, Connections

# A request without a byte for this long is suspicious.
SILENT_AFTER_S = 1.0
# Lower bound of the time derived from a route's latency; each suspicion
# costs a probe of about 6 ms.
MIN_SILENT_AFTER_S = 0.2
# A server that answers slowly must not be probed all the time.
PROBE_INTERVAL_S = 0.5


class ConnectionWatchdog:
    """Requests in flight on connections that may be silent."""

    def __init__(self) -> None:
        self._calls: dict[Call, float] = {}
        self._probed_at: dict[str, float] = {}

    def add(self, call: Call, silent_after_s: float = SILENT_AFTER_S) -> None:
        """Watches a call until `remove`."""
        self._calls[call] = min(
            SILENT_AFTER_S, max(MIN_SILENT_AFTER_S, silent_after_s)
        )

    def remove(self, call: Call) -> None:
        """Ends the watch; may be called more than once."""
        self._calls.pop(call, None)

    def connections_to_probe(self, now: float) -> list[Connections]:
        """Returns servers to probe on a fresh connection now."""
        found: dict[str, Connections] = {}
        for call, silent_after_s in self._calls.items():
            if not _is_suspect(call, silent_after_s, now):
                continue
            address = call.connections.address
            probed_at = self._probed_at.get(address)
            if probed_at is None or now - probed_at >= PROBE_INTERVAL_S:
                found[address] = call.connections
        for address in found:
            self._probed_at[address] = now
        return list(found.values())

    def on_probe_succeeded(
        self, connections: Connections, now: float
    ) -> list[Call]:
        """Takes a successful probe.

        Starts the next generation if a call of the present one is silent.

        Returns:
            The silent calls, each reported once.
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
    # A fresh connection was answered by the server's kernel just now, so a
    # long wait on it shows a slow server rather than a silent connection.
    return (
        call.reused and call.sent and now - call.last_byte_at >= silent_after_s
    )
