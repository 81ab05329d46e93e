"""Keeps the verdicts on versions in the store, for a restart of all."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from radishmux.clock import Clock
from radishmux.gateway.events import Event, VerdictsPut
from radishmux.outcome import Unavailable
from radishmux.shift.verdicts import Verdicts, VersionVerdicts
from radishmux.store.interface import ObservableStore
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

STEP_PERIOD_S = 0.3
CALL_TIMEOUT_S = 1.0
# Delay between the instances' attempts to write the same verdicts, so that
# usually only the first instance writes them.
WRITE_STAGGER_S = 0.6


class VerdictArchive(BackgroundTask):
    """Writes verdicts that the store lacks.

    An async context manager that writes while it is entered. The status of a
    rollout says nothing of the orders before it, so that an instance which
    starts after the next order would not know what they have shown.

    Args:
        store: The store.
        key: Returns the key of a service's verdicts.
        verdicts: The verdicts that this instance knows.
        rank: Returns how many instances write before this one.
        clock: Monotonic time.
    """

    def __init__(
        self,
        store: ObservableStore,
        key: Callable[[str], str],
        verdicts: VersionVerdicts,
        rank: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._store = store
        self._key = key
        self._verdicts = verdicts
        self._rank = rank
        self._clock = clock
        self._recorded: dict[str, VerdictsPut] = {}
        # Monotonic time since when the store lacks a service's verdicts.
        self._unrecorded_since: dict[str, float] = {}

    def on_event(self, event: Event, now: float) -> None:
        """Notes what the store holds; ignores other events."""
        if isinstance(event, VerdictsPut):
            self._recorded[event.service] = event

    async def _run(self) -> None:
        await repeat(self._step, STEP_PERIOD_S, "verdicts on versions")

    async def _step(self) -> None:
        now = self._clock.now()
        unrecorded = self._verdicts.unrecorded(
            {name: event.verdicts for name, event in self._recorded.items()}
        )
        for service in self._unrecorded_since.keys() - unrecorded.keys():
            del self._unrecorded_since[service]
        for service, document in unrecorded.items():
            since = self._unrecorded_since.setdefault(service, now)
            if now - since >= WRITE_STAGGER_S * self._rank():
                await self._write(service, document)

    async def _write(self, service: str, document: Verdicts) -> None:
        known = self._recorded.get(service)
        written = await self._store.compare_and_swap(
            self._key(service),
            known.revision if known else 0,
            msgspec.json.encode(document),
            CALL_TIMEOUT_S,
        )
        if isinstance(written, Unavailable):
            # After a conflict, the watch delivers what was written.
            state_change(
                f"verdicts on {service}", "not recorded", reason=repr(written)
            )
            self._unrecorded_since[service] = self._clock.now()
            return
        self._recorded[service] = VerdictsPut(
            service, document, written.revision
        )
