"""Registers this instance's record in the store under a lease."""

from __future__ import annotations

import math

from radishmux.clock import Clock
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, ObservableStore
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

# The store removes a dead instance's record this long after the last renewal.
LEASE_S = 4
RENEW_PERIOD_S = 1.2
CALL_TIMEOUT_S = 1.0


class Registrar(BackgroundTask):
    """Background task that registers an instance and renews its lease.

    An async context manager; the task runs until exit or `withdraw`.

    Args:
        store: The store.
        key: Key of the record.
        record: The encoded record.
        clock: Monotonic clock.
        min_lease_s: Shortest lease that the store grants, in seconds.
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
        """Whether the record is certain to be in the store.

        False once the lease may have expired since the last renewal.
        """
        age_s = self._clock.now() - self._renewed_at
        return self._registered and age_s < self._lease_s

    async def withdraw(self) -> None:
        """Stops the renewals and revokes the lease, which removes the record.

        Call this when callers should use other instances.
        """
        await self._stop()
        if not self._lease_id:
            return
        # If the store was restored since the last call, the id may be that of
        # another instance's lease.
        outcome: object = await self._store.keep_lease(
            self._lease_id, CALL_TIMEOUT_S
        )
        if outcome == 0:
            return
        if not isinstance(outcome, Unavailable):
            outcome = await self._store.revoke_lease(
                self._lease_id, CALL_TIMEOUT_S
            )
        if isinstance(outcome, Unavailable):
            state_change("registration", "left to lapse", reason=outcome.reason)

    async def _run(self) -> None:
        await repeat(self._renew, RENEW_PERIOD_S, "registration")

    async def _renew(self) -> None:
        """Grants or renews the lease and writes the record if necessary."""
        sent_at = self._clock.now()
        if not self._lease_id:
            lease = await self._store.grant_lease(self._lease_s, CALL_TIMEOUT_S)
            if isinstance(lease, Unavailable):
                return None
            self._lease_id = lease
            self._registered = False
        else:
            remaining_s = await self._store.keep_lease(
                self._lease_id, CALL_TIMEOUT_S
            )
            if isinstance(remaining_s, Unavailable):
                return None
            if remaining_s <= 0:
                state_change("registration", "lapsed", "WARNING")
                self._lease_id = 0
                self._registered = False
                return await self._renew()
        # The store counts the lease from the arrival of the call, so counting
        # from the send time never overestimates the remaining time.
        self._renewed_at = sent_at
        if not self._registered:
            await self._register()
        return None

    async def _register(self) -> None:
        """Writes the record.

        The first write expects that the key is absent, which is the usual
        case. After a conflict the record is read and replaced: the previous
        process of this instance, or a write of this process whose response
        was lost, may have left it there.
        """
        written = await self._write(0)
        if isinstance(written, Conflict):
            existing = await self._store.get(self._key, CALL_TIMEOUT_S)
            if isinstance(existing, NotFound):
                written = await self._write(0)
            elif isinstance(existing, Unavailable):
                return
            else:
                written = await self._write(existing.revision)
        if isinstance(written, NotFound):
            # The lease no longer exists, so the next run grants a new one.
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
