"""Probes backend servers while contact with all of them is in doubt."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from radishmux.clock import Clock
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.sender import ServerSender
from radishmux.steer.server_contact import (
    ServerContact,
    accepts_connections,
    probe_targets,
)
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

PROBE_PERIOD_S = 0.25


class ContactMonitor(BackgroundTask):
    """Finds out when this instance loses and regains the servers.

    Args:
        contact: Says when to probe, updated with the outcome.
        fleet: The servers.
        sender: Owns the connections to the servers.
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        on_change: Called when contact is lost or regained.
        clock: Monotonic time.
    """

    def __init__(
        self,
        contact: ServerContact,
        fleet: FleetState,
        sender: ServerSender,
        region: str,
        failure_domain: str,
        on_change: Callable[[], Coroutine[Any, Any, object]],
        clock: Clock,
    ) -> None:
        self._contact = contact
        self._fleet = fleet
        self._sender = sender
        self._region = region
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._clock = clock
        self._rng = random.Random()
        self._was_lost = False
        self._notifications: set[asyncio.Task[object]] = set()

    async def _run(self) -> None:
        await repeat(self._step, PROBE_PERIOD_S, "contact monitor")

    async def _step(self) -> None:
        now = self._clock.now()
        if self._contact.needs_probe(now):
            await self._probe(now)
        if self._contact.is_lost != self._was_lost:
            self._was_lost = self._contact.is_lost
            state_change(
                "contact with backend servers",
                "lost" if self._was_lost else "regained",
                "WARNING" if self._was_lost else "INFO",
                response_age_s=round(self._sender.response_age_s(now), 3),
            )
            # Peers that do not answer must not delay the next probe.
            task = asyncio.create_task(self._on_change())
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)

    async def _probe(self, now: float) -> None:
        targets = probe_targets(
            filter(accepts_connections, self._fleet.servers.all()),
            self._region,
            self._failure_domain,
            self._rng,
        )
        if not targets:
            return
        accepted = await asyncio.gather(
            *map(self._sender.connections.probe, targets)
        )
        if not any(accepted) and not self._contact.is_lost:
            self._contact.record_probes(now)
            self._sender.on_contact_lost()
