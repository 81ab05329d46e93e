"""Decides whether this instance can reach the backend servers; no I/O.

An instance may be partitioned from all servers while its callers, its peers and
the store still reach it. A failed connection alone does not show that: the
server may be gone. Several failures, or silence, are a reason to probe servers
of different failure domains, and contact is lost if none of them accepts a
connection.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from radishmux.steer.servers import Server

# Servers that have refused connections since the latest one was opened, from
# which on contact is doubted. One may have failed on its own.
MIN_FAILED_SERVERS = 2
# Time without any response, while requests wait at several servers, after which
# contact is doubted. Most requests are answered within a second.
SILENT_AFTER_S = 1.0
MIN_SILENT_SERVERS = 2
# Servers probed at a time, in different failure domains if there are as many.
PROBED_SERVERS = 3


class ServerContact:
    """What connections and responses show about the reach of this instance.

    Times are seconds of a monotonic clock.
    """

    __slots__ = (
        "_broken_at",
        "_doubted_at",
        "_failed_servers",
        "_is_lost",
        "_responded_at",
        "_waiting",
        "_waiting_since",
    )

    def __init__(self) -> None:
        self._is_lost = False
        # Servers that have refused a connection since one was opened.
        self._failed_servers: set[str] = set()
        # Number of requests in flight by server.
        self._waiting: dict[str, int] = {}
        self._waiting_since = math.inf
        self._responded_at = -math.inf
        self._broken_at = -math.inf
        # Start of the probes that found contact lost.
        self._doubted_at = -math.inf

    @property
    def is_lost(self) -> bool:
        """Whether no new connection to any server can be opened."""
        return self._is_lost

    def trusts_open_connections(self, now: float) -> bool:
        """Returns whether open connections still work.

        They may do so although no new ones can be opened. If contact is lost,
        a response since then has to show it.
        """
        if not self._is_lost:
            return True
        return (
            self._responded_at > max(self._doubted_at, self._broken_at)
            and self._silent_s(now) < SILENT_AFTER_S
        )

    def needs_probe(self, now: float) -> bool:
        """Returns whether servers are to be probed now."""
        is_silent = (
            len(self._waiting) >= MIN_SILENT_SERVERS
            and self._silent_s(now) >= SILENT_AFTER_S
        )
        has_failures = len(self._failed_servers) >= MIN_FAILED_SERVERS
        return self._is_lost or is_silent or has_failures

    def record_opened(self, now: float) -> None:
        """Records a connection that a server has accepted."""
        self._is_lost = False
        self._failed_servers.clear()
        self._waiting_since = max(self._waiting_since, now)

    def record_refused(self, server: str) -> None:
        """Records a connection to a server that could not be opened."""
        self._failed_servers.add(server)

    def record_broken(self, now: float) -> None:
        """Records an open connection that broke before its response."""
        self._broken_at = now

    def record_sent(self, server: str, now: float) -> None:
        """Records a request that waits for a connection or a response."""
        if not self._waiting:
            self._waiting_since = now
        self._waiting[server] = self._waiting.get(server, 0) + 1

    def record_end(self, server: str) -> None:
        """Records the end of a request, regardless of its outcome."""
        self._waiting[server] -= 1
        if not self._waiting[server]:
            del self._waiting[server]

    def record_response(self, now: float) -> None:
        """Records a response of any server."""
        self._responded_at = now
        self._waiting_since = now

    def record_probes(self, started_at: float) -> None:
        """Records that no probed server has accepted a connection.

        Args:
            started_at: Time at which the probes began.
        """
        if not self._is_lost:
            self._is_lost = True
            self._doubted_at = started_at

    def _silent_s(self, now: float) -> float:
        """Returns how long requests have waited without any response."""
        return now - self._waiting_since if self._waiting else 0.0


def accepts_connections(server: Server) -> bool:
    """Returns whether a server is expected to accept connections."""
    return not server.entry.draining and not server.is_leaving


def probe_targets(
    servers: Iterable[Server],
    region: str,
    failure_domain: str,
    rng: random.Random,
) -> list[Server]:
    """Returns the servers to probe, which change from time to time.

    They are in different failure domains, the own one and the own region first:
    a partition between regions is no loss of all servers.

    Args:
        servers: All servers that may accept connections.
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        rng: Chooses among the servers of a domain.
    """
    candidates = list(servers)
    rng.shuffle(candidates)
    candidates.sort(
        key=lambda server: (
            server.entry.failure_domain != failure_domain,
            server.region != region,
        )
    )
    by_domain: dict[str, Server] = {}
    for server in candidates:
        by_domain.setdefault(server.entry.failure_domain, server)
    chosen = list(by_domain.values())[:PROBED_SERVERS]
    others = [server for server in candidates if server not in chosen]
    return chosen + others[: PROBED_SERVERS - len(chosen)]
