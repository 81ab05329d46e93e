"""In-memory store with leases on a manual clock and fault injection."""

from __future__ import annotations

from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry


class LeaseStore:
    """Keys and leases; each instance calls the store through `client`."""

    def __init__(self, clock):
        self.clock = clock
        self.keys = {}
        self.leases = {}
        self.revision = 0
        self.attempts = []
        self.is_down = False

    def client(self, name):
        return StoreClient(self, name)

    def expire(self):
        now = self.clock.now()
        expired = {
            lease_id
            for lease_id, expires_at in self.leases.items()
            if expires_at <= now
        }
        for lease_id in expired:
            del self.leases[lease_id]
        self.keys = {
            key: (entry, lease_id)
            for key, (entry, lease_id) in self.keys.items()
            if lease_id not in expired
        }

    def put(self, key, expected, value, lease_id):
        self.expire()
        found = self.keys.get(key)
        if (found[0].revision if found else 0) != expected:
            return Conflict("newer revision")
        if lease_id and lease_id not in self.leases:
            return Unavailable("no such lease")
        self.revision += 1
        entry = Entry(value, self.revision)
        self.keys[key] = (entry, lease_id)
        return entry


class StoreClient:
    """Store client of one instance.

    The responses to the next `lose_next` writes are lost. `on_read` runs once,
    when the store has answered a read and before the caller gets the answer.
    `on_write` runs once, before a write reaches the store. Both simulate a
    process that is suspended or whose packets are delayed.
    """

    def __init__(self, store, name):
        self._store = store
        self.name = name
        self.lose_next = 0
        self.on_read = None
        self.on_write = None

    async def get(self, key, timeout_s):
        self._store.expire()
        if self._store.is_down:
            return Unavailable("down")
        found = self._store.keys.get(key)
        hook, self.on_read = self.on_read, None
        if hook is not None:
            await hook()
        return found[0] if found else NotFound("absent")

    async def compare_and_swap(
        self, key, expected_revision, value, timeout_s, lease_id=0
    ):
        self._store.attempts.append((self._store.clock.now(), self.name, key))
        hook, self.on_write = self.on_write, None
        if hook is not None:
            await hook()
        if self._store.is_down:
            return Unavailable("down")
        result = self._store.put(key, expected_revision, value, lease_id)
        if self.lose_next:
            self.lose_next -= 1
            return Unknown("lost")
        return result

    async def grant_lease(self, ttl_s, timeout_s):
        if self._store.is_down:
            return Unavailable("down")
        lease_id = max(self._store.leases, default=0) + 1 + self._store.revision
        self._store.leases[lease_id] = self._store.clock.now() + ttl_s
        self.ttl_s = ttl_s
        return lease_id

    async def keep_lease(self, lease_id, timeout_s):
        self._store.expire()
        if self._store.is_down:
            return Unavailable("down")
        if lease_id not in self._store.leases:
            return 0.0
        self._store.leases[lease_id] = self._store.clock.now() + self.ttl_s
        return float(self.ttl_s)

    async def revoke_lease(self, lease_id, timeout_s):
        if self._store.is_down:
            return Unavailable("down")
        self._store.leases.pop(lease_id, None)
        self._store.keys = {
            key: value
            for key, value in self._store.keys.items()
            if value[1] != lease_id
        }
        return True
