"""The controller lease, by which at most one instance controls the shifts."""

from __future__ import annotations

import msgspec

from radishmux.clock import Clock
from radishmux.outcome import NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, Store

CONTROLLER_KEY = "radishmux/controller"
TTL_S = 5
# The lease counts as held until this long before the store may end it.
SAFETY_MARGIN_S = 0.5
# The lease is renewed this long after it was granted or last renewed.
RENEW_AFTER_S = TTL_S / 3


class Holder(msgspec.Struct, frozen=True):
    """Value stored at the lease's key.

    Attributes:
        instance: Name of the instance that holds the lease.
        incarnation: Incarnation of that instance.
    """

    instance: str
    incarnation: int


class ControllerLease:
    """Acquires, renews and releases the lease.

    The time to live is counted on the monotonic clock from before the call
    that granted or renewed the lease, so the lease expires here before it
    expires in the store. A process that was suspended therefore notices the
    expiry by its own clock.
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
        self._renewed_at = float("-inf")
        self._held_until = float("-inf")

    def is_held(self) -> bool:
        """Returns whether the lease is certainly in force now."""
        return self._clock.now() < self._held_until

    async def ensure(self) -> bool:
        """Acquires the lease, or renews it when that is due.

        Returns:
            Whether this instance holds the lease now.
        """
        if self.is_held():
            if self._clock.now() - self._renewed_at >= RENEW_AFTER_S:
                await self._renew()
            return self.is_held()
        self._clear()
        await self._acquire()
        return self.is_held()

    async def release(self) -> None:
        """Revokes the lease so that another instance need not wait for it."""
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            await self._store.revoke_lease(lease_id, self._timeout_s)

    def _clear(self) -> None:
        self._lease_id = 0
        self._held_until = float("-inf")

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        remaining_s = await self._store.keep_lease(
            self._lease_id, self._timeout_s
        )
        if isinstance(remaining_s, Unavailable):
            return
        if remaining_s <= 0:
            self._clear()
            return
        self._start_term(sent_at, remaining_s)

    async def _acquire(self) -> None:
        entry = await self._store.get(CONTROLLER_KEY, self._timeout_s)
        if not isinstance(entry, NotFound):
            # Another instance holds the lease, a lease of this process has yet
            # to lapse, or the store is unavailable.
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
            self._start_term(sent_at, TTL_S)
            return
        await self.release()

    async def _read_back(self) -> Entry | None:
        """Returns the entry if a write with unknown result has succeeded."""
        entry = await self._store.get(CONTROLLER_KEY, self._timeout_s)
        if isinstance(entry, Entry) and entry.value == self._value:
            return entry
        return None

    def _start_term(self, sent_at: float, ttl_s: float) -> None:
        """Counts the lease as held for `ttl_s` after `sent_at`, less a margin.

        Args:
            sent_at: Monotonic seconds before the call to the store.
            ttl_s: Remaining time to live that the store returned.
        """
        self._renewed_at = sent_at
        self._held_until = sent_at + min(ttl_s, TTL_S) - SAFETY_MARGIN_S
