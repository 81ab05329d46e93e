"""Keeps this instance's record in the store under a lease."""

from __future__ import annotations

import math

from radishmux.clock import Clock
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, ObservableStore
from radishmux.tasks import Background, repeat
from radishmux.telemetry.logs import state_change

# A dead instance's record is gone this long after its last renewal.
LEASE_S = 4
RENEW_PERIOD_S = 1.2
CALL_TIMEOUT_S = 1.0


class Registrar(Background):
    """Registers an instance while it is entered.

    Args:
        store: The store.
        key: Key of the record.
        record: The record.
        clock: Monotonic time.
        min_lease_s: Shortest lease that the store grants.
    """

    def __init__(
        self,
        store: ObservableStore,
        key: str,
        record: bytes,
        clock: Clock,
        min_lease_s: float,
    ) -> None:
        self._store = store
        self._key = key
        self._record = record
        self._clock = clock
        self._lease_s = max(LEASE_S, math.ceil(min_lease_s))
        self._lease_id = 0
        self._registered = False
        self._renewed_at = -math.inf

    @property
    def is_registered(self) -> bool:
        """Whether the record is in the store for certain."""
        age_s = self._clock.now() - self._renewed_at
        return self._registered and age_s < self._lease_s

    async def withdraw(self) -> None:
        """Removes the record; call when callers should go elsewhere."""
        await self._stop()
        if self._lease_id:
            ended = await self._store.revoke_lease(
                self._lease_id, CALL_TIMEOUT_S
            )
            if isinstance(ended, Unavailable):
                state_change(
                    "registration", "left to lapse", reason=ended.reason
                )

    async def _run(self) -> None:
        await repeat(self._step, RENEW_PERIOD_S, "registration")

    async def _step(self) -> None:
        asked_at = self._clock.now()
        if not self._lease_id:
            lease = await self._store.grant_lease(self._lease_s, CALL_TIMEOUT_S)
            if isinstance(lease, Unavailable):
                return None
            self._lease_id = lease
            self._registered = False
        else:
            kept = await self._store.keep_lease(self._lease_id, CALL_TIMEOUT_S)
            if isinstance(kept, Unavailable):
                return None
            if kept <= 0:
                state_change("registration", "lapsed", "WARNING")
                self._lease_id = 0
                self._registered = False
                return await self._step()
        # The lease runs from the arrival of the call, which is later.
        self._renewed_at = asked_at
        if not self._registered:
            await self._register()
        return None

    async def _register(self) -> None:
        """Writes the record; there is none as a rule, so it is not read first.

        The process before this one, or a write whose answer was lost, may
        have left one.
        """
        written = await self._write(0)
        if isinstance(written, Conflict):
            held = await self._store.get(self._key, CALL_TIMEOUT_S)
            if isinstance(held, NotFound):
                written = await self._write(0)
            elif isinstance(held, Unavailable):
                return
            else:
                written = await self._write(held.revision)
        if isinstance(written, NotFound):
            self._lease_id = 0
        elif isinstance(written, (Conflict, Unknown, Unavailable)):
            return
        else:
            self._registered = True
            state_change("registration", "in the store", key=self._key)

    async def _write(
        self, revision: int
    ) -> Entry | Conflict | Unknown | Unavailable:
        return await self._store.compare_and_swap(
            self._key, revision, self._record, CALL_TIMEOUT_S, self._lease_id
        )
