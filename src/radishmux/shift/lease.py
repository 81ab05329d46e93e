"""The controller lease: at most one instance moves shifts at a time."""

from __future__ import annotations

import msgspec

from radishmux.clock import Clock
from radishmux.outcome import NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, Store

CONTROLLER_KEY = "radishmux/controller"
TTL_S = 5
# The lease counts as held until this long before the store may end it.
SAFETY_S = 0.5
# After this much of its time a lease is renewed.
RENEW_AFTER_S = TTL_S / 3


class Holder(msgspec.Struct, frozen=True):
    """Value of the lease's key.

    Attributes:
        instance: Name of the holder.
        incarnation: Its incarnation.
    """

    instance: str
    incarnation: int


class ControllerLease:
    """Takes, renews and gives back the lease.

    Time is counted by the monotonic clock from before the call that granted
    or renewed the lease, so this side ends before the store's. A process that
    was frozen sees on its own clock that the lease has ended.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        store: Store,
        clock: Clock,
        timeout_s: float = 1.0,
    ) -> None:
        self._value = msgspec.json.encode(Holder(instance, incarnation))
        self._store = store
        self._clock = clock
        self._timeout_s = timeout_s
        self._lease_id = 0
        self._sent_at = float("-inf")
        self._held_until = float("-inf")

    def is_held(self) -> bool:
        """Returns whether the lease is surely in force at this moment."""
        return self._clock.now() < self._held_until

    async def ensure(self) -> bool:
        """Takes or renews the lease if that is due and possible."""
        if self.is_held():
            if self._clock.now() - self._sent_at >= RENEW_AFTER_S:
                await self._renew()
            return self.is_held()
        self._forget()
        await self._take()
        return self.is_held()

    async def release(self) -> None:
        """Gives the lease back so that another instance need not wait."""
        lease_id = self._lease_id
        self._forget()
        if lease_id:
            await self._store.revoke_lease(lease_id, self._timeout_s)

    def _forget(self) -> None:
        self._lease_id = 0
        self._held_until = float("-inf")

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        left_s = await self._store.keep_lease(self._lease_id, self._timeout_s)
        if isinstance(left_s, Unavailable):
            return
        if left_s <= 0:
            self._forget()
            return
        self._hold(sent_at, left_s)

    async def _take(self) -> None:
        entry = await self._store.get(CONTROLLER_KEY, self._timeout_s)
        if not isinstance(entry, NotFound):
            # Another's, one of this process that will lapse, or unreadable.
            return
        sent_at = self._clock.now()
        lease_id = await self._store.grant_lease(TTL_S, self._timeout_s)
        if isinstance(lease_id, Unavailable):
            return
        self._lease_id = lease_id
        result: object = await self._store.compare_and_swap(
            CONTROLLER_KEY, 0, self._value, self._timeout_s, lease_id
        )
        if isinstance(result, Unknown):
            result = await self._read_back()
        if isinstance(result, Entry):
            self._hold(sent_at, TTL_S)
            return
        await self.release()

    async def _read_back(self) -> Entry | None:
        entry = await self._store.get(CONTROLLER_KEY, self._timeout_s)
        if isinstance(entry, Entry) and entry.value == self._value:
            return entry
        return None

    def _hold(self, sent_at: float, ttl_s: float) -> None:
        self._sent_at = sent_at
        self._held_until = sent_at + min(ttl_s, TTL_S) - SAFETY_S
