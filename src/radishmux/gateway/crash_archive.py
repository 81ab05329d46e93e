"""Keeps records of withheld requests in the store, for a restart of all."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.crash_history import CrashMark, CrashRecord
from radishmux.gateway.events import StoredCrashes, StoredMark
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, ObservableStore
from radishmux.telemetry.logs import state_change

CALL_TIMEOUT_S = 1.0
# The store deletes a record after its longest lease.
LEASE_S = 600
# A customer that makes up crashing requests must not use up the store's calls.
MIN_WRITE_GAP_S = 1.0
_MILLISECONDS = 1000


class CrashArchive:
    """Writes records to the store and converts those read from it.

    Peers hear of crashes from each other; only a restart of the whole fleet
    needs the store. It keeps Unix times, since monotonic ones end with the
    process.

    Args:
        store: The store.
        key: Returns the key of a digest.
        clock: Monotonic time.
    """

    def __init__(
        self,
        store: ObservableStore,
        key: Callable[[str], str],
        clock: Clock,
    ) -> None:
        self._store = store
        self._key = key
        self._clock = clock
        self._next_write_at = clock.now()
        self._writes: set[asyncio.Task[None]] = set()

    def keep(self, record: CrashRecord) -> None:
        """Writes a record in the background, unless one was just written."""
        now = self._clock.now()
        if now < self._next_write_at:
            state_change(f"request {record.digest}", "not archived")
            return
        self._next_write_at = now + MIN_WRITE_GAP_S
        value = msgspec.json.encode(self._encode(record))
        task = asyncio.create_task(self._write(record.digest, value))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    def decode(self, stored: StoredCrashes) -> list[CrashMark]:
        """Returns the marks of a record that was read from the store."""
        now, unix_ms = self._clock.now(), time.time() * _MILLISECONDS
        return [
            CrashMark(
                mark.server,
                mark.version,
                now - max(0.0, (unix_ms - mark.unix_ms) / _MILLISECONDS),
                mark.run_ms / _MILLISECONDS,
            )
            for mark in stored.marks
        ]

    def _encode(self, record: CrashRecord) -> StoredCrashes:
        now, unix_ms = self._clock.now(), time.time() * _MILLISECONDS
        return StoredCrashes(
            subject=record.subject,
            marks=[
                StoredMark(
                    server=mark.server,
                    version=mark.version,
                    unix_ms=round(unix_ms - (now - mark.at) * _MILLISECONDS),
                    run_ms=round(mark.run_s * _MILLISECONDS),
                )
                for mark in record.marks.values()
                if not mark.is_void
            ],
        )

    async def _write(self, digest: str, value: bytes) -> None:
        written = await self._replace(self._key(digest), value)
        if not isinstance(written, Entry):
            state_change(
                f"request {digest}", "not archived", reason=repr(written)
            )

    async def _replace(
        self, key: str, value: bytes
    ) -> Entry | Conflict | Unknown | Unavailable | NotFound:
        """Writes a key, over the value of another instance if there is one."""
        lease = await self._store.grant_lease(LEASE_S, CALL_TIMEOUT_S)
        if isinstance(lease, Unavailable):
            return lease
        written = await self._store.compare_and_swap(
            key, 0, value, CALL_TIMEOUT_S, lease
        )
        if not isinstance(written, Conflict):
            return written
        existing = await self._store.get(key, CALL_TIMEOUT_S)
        if not isinstance(existing, Entry):
            return existing
        return await self._store.compare_and_swap(
            key, existing.revision, value, CALL_TIMEOUT_S, lease
        )
