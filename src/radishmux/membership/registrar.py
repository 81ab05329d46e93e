"""Keeps this instance's record in the store under a lease."""

from __future__ import annotations

import asyncio
import math
from types import TracebackType

from radishmux.clock import Clock
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import ObservableStore
from radishmux.tasks import repeat
from radishmux.telemetry.logs import state_change

# A dead instance's record is gone this long after its last renewal.
LEASE_S = 4
RENEW_PERIOD_S = 1.2
CALL_TIMEOUT_S = 1.0


class Registrar:
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
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Registrar:
        self._task = asyncio.create_task(
            repeat(self._step, RENEW_PERIOD_S, "registration")
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def withdraw(self) -> None:
        """Removes the record; call when callers should go elsewhere."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._lease_id:
            ended = await self._store.revoke_lease(
                self._lease_id, CALL_TIMEOUT_S
            )
            if isinstance(ended, Unavailable):
                state_change(
                    "registration", "left to lapse", reason=ended.reason
                )

    async def _step(self) -> None:
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
                return await self._step()
        if not self._registered:
            await self._register()
        return None

    async def _register(self) -> None:
        held = await self._store.get(self._key, CALL_TIMEOUT_S)
        if isinstance(held, NotFound):
            revision = 0
        elif isinstance(held, Unavailable):
            return
        else:
            revision = held.revision
        written = await self._store.compare_and_swap(
            self._key, revision, self._record, CALL_TIMEOUT_S, self._lease_id
        )
        if isinstance(written, NotFound):
            self._lease_id = 0
        elif isinstance(written, (Conflict, Unknown, Unavailable)):
            return
        else:
            self._registered = True
            state_change("registration", "in the store", key=self._key)
