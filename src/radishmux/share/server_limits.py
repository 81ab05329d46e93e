"""Limits that backend servers in need name in their responses; pure."""

from __future__ import annotations

import math


class ServerLimit:
    """Latest known limit of one server.

    Attributes:
        limit_per_s: Requests per second that the server accepts from all
            instances together; inf if it names no limit.
        observed_at: Monotonic time of the response that said so.
    """

    __slots__ = ("limit_per_s", "observed_at")

    def __init__(self) -> None:
        self.limit_per_s = math.inf
        self.observed_at = -math.inf


class ServerLimits:
    """Limits of the backend servers, as far as one instance knows them."""

    def __init__(self) -> None:
        self._limits: dict[str, ServerLimit] = {}

    @property
    def limited_count(self) -> int:
        """Number of servers that name a limit."""
        return sum(
            known.limit_per_s < math.inf for known in self._limits.values()
        )

    def get(self, server: str) -> ServerLimit | None:
        """Returns what is known of a server; None if it never named a limit."""
        return self._limits.get(server)

    def limit_per_s(self, server: str) -> float:
        """Returns the limit of a server; inf if it names none."""
        known = self._limits.get(server)
        return math.inf if known is None else known.limit_per_s

    def is_limited(self, server: str) -> bool:
        """Whether the server names a limit."""
        return self.limit_per_s(server) < math.inf

    def observe(
        self, server: str, limit_per_s: float, observed_at: float
    ) -> bool:
        """Applies what a response says, unless a newer one is known.

        Args:
            server: Name of the server.
            limit_per_s: The limit that it names; inf if it names none.
            observed_at: Monotonic time of the response.

        Returns:
            Whether the limit has changed.
        """
        known = self._limits.get(server)
        if known is None:
            if limit_per_s == math.inf:
                return False
            known = self._limits[server] = ServerLimit()
        if observed_at < known.observed_at:
            return False
        changed = limit_per_s != known.limit_per_s
        known.limit_per_s = limit_per_s
        known.observed_at = observed_at
        return changed

    def retain_only(self, servers: set[str]) -> None:
        """Drops the limits of all other servers."""
        for name in self._limits.keys() - servers:
            del self._limits[name]
