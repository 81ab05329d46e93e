"""Log lines of the limits that backend servers name."""

from __future__ import annotations

import math

from radishmux.telemetry.logs import state_change

# Minimum change of a limit that is logged, relative to the logged limit.
_MIN_CHANGE = 0.2


class LimitLog:
    """Logs when a server's limit begins, ends or changes."""

    def __init__(self) -> None:
        self._logged: dict[str, float] = {}

    def write(self, server: str, limit_per_s: float) -> None:
        """Logs the limit of a server unless it has hardly changed.

        Args:
            server: Name of the server.
            limit_per_s: Its limit; inf if it names none any more.
        """
        logged = self._logged.get(server)
        if limit_per_s == math.inf:
            if self._logged.pop(server, None) is not None:
                state_change(f"backend server {server}", "unlimited")
            return
        if (
            logged is not None
            and abs(limit_per_s - logged) < _MIN_CHANGE * logged
        ):
            return
        self._logged[server] = limit_per_s
        state_change(
            f"backend server {server}", "limited", limit_per_s=limit_per_s
        )

    def retain_only(self, servers: set[str]) -> None:
        """Forgets all other servers."""
        for name in self._logged.keys() - servers:
            del self._logged[name]
