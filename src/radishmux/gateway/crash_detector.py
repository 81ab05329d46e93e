"""Finds out whether a backend server whose connection broke has ended."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from radishmux.clock import Clock
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.server_connections import ServerConnections
from radishmux.membership.record import InstanceRecord
from radishmux.steer.server_contact import accepts_connections, probe_targets
from radishmux.steer.servers import Server

# Shortest time between two checks whether a server has ended. A server with too
# many connections also closes new ones.
MIN_CHECK_GAP_S = 0.25


class CrashDetector:
    """Tells the end of a server from a broken connection and from a cut link.

    A server that has ended refuses connections while other servers are
    reached. Concurrent questions about a server share one answer.

    Args:
        own: Record of this instance.
        fleet: The servers.
        connections: Connections to the servers.
        response_age_s: Returns the time since any server last responded, given
            the monotonic time.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        fleet: FleetState,
        connections: ServerConnections,
        response_age_s: Callable[[float], float],
        clock: Clock,
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._connections = connections
        self._response_age_s = response_age_s
        self._clock = clock
        self._rng = random.Random()
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, server: Server, broken_at: float) -> bool:
        """Returns whether a server has ended.

        Args:
            server: The server.
            broken_at: Monotonic time at which a connection to it broke.
        """
        task = self._checks.get(server.name)
        if task is None:
            task = asyncio.create_task(self._check(server, broken_at))
            self._checks[server.name] = task
            task.add_done_callback(
                lambda _: self._checks.pop(server.name, None)
            )
        return await asyncio.shield(task)

    async def wait_ended(self, server: Server, until: float) -> float | None:
        """Waits until a server ends without having said that it leaves.

        Args:
            server: The server.
            until: Monotonic time until which to wait.

        Returns:
            The monotonic time at which it was found to have ended; None if it
            has not, or if its end was planned.
        """
        while (left_s := until - self._clock.now()) > 0:
            is_broken = await self._connections.wait_broken(server, left_s)
            if self._has_left(server):
                return None
            if is_broken:
                broken_at = self._clock.now()
                if await self.has_ended(server, broken_at):
                    return broken_at
                await asyncio.sleep(MIN_CHECK_GAP_S)
        return None

    def _has_left(self, server: Server) -> bool:
        known = self._fleet.servers.get(server.name)
        return known is None or known.is_leaving or known.entry.draining

    async def _check(self, server: Server, broken_at: float) -> bool:
        if not await self._connections.is_refused(server):
            return False
        now = self._clock.now()
        if self._response_age_s(now) < now - broken_at:
            return True
        others = [
            other
            for other in self._fleet.servers.all()
            if other is not server and accepts_connections(other)
        ]
        targets = probe_targets(
            others, self._own.region, self._own.failure_domain, self._rng
        )
        return any(await asyncio.gather(*map(self._connections.probe, targets)))
