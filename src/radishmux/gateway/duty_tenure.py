"""Makes the store calls by which an instance holds a duty."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from radishmux.duties.clocks import DutyClock, Reading
from radishmux.duties.holder import Change, DutyHolder, Step
from radishmux.duties.record import DutyRecord
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, ObservableStore
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

# The clocks are compared with the end of the lease this often, and before each
# call.
STEP_PERIOD_S = 0.1
# Shorter than a renewal period, so that a lost call does not use up the lease.
CALL_TIMEOUT_S = 0.8
_MILLISECONDS = 1000


class DutyStore(ObservableStore, Protocol):
    """A store with transactions over several keys."""

    @property
    def era(self) -> int:
        """The latest known era."""

    async def transact(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        deletes: tuple[str, ...],
        timeout_s: float,
    ) -> int | Conflict | Unknown | Unavailable:
        """Writes and deletes keys if some have the expected revisions."""


class DutyTenure(BackgroundTask):
    """Acquires, renews and releases one duty; an async context manager.

    Args:
        duty: Name of the duty.
        key: Key of its record.
        holder: Decides which call is due.
        instance: Name of this instance.
        incarnation: Incarnation of this process.
        ttl_s: Duration of the lease, in seconds.
        store: The store.
        clock: The clocks of this machine.
        on_change: Called after the duty was acquired or lost.
    """

    def __init__(
        self,
        duty: str,
        key: str,
        holder: DutyHolder,
        instance: str,
        incarnation: int,
        ttl_s: int,
        store: DutyStore,
        clock: DutyClock,
        on_change: Callable[[Change], None],
    ) -> None:
        self._duty = duty
        self._key = key
        self._holder = holder
        self._instance = instance
        self._incarnation = incarnation
        self._ttl_s = ttl_s
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._calls: dict[Step, Callable[[Reading], Awaitable[None]]] = {
            Step.GRANT: self._grant,
            Step.CREATE: self._create,
            Step.READ: self._read,
            Step.RENEW: self._renew,
            Step.RELEASE: self._release,
        }

    @property
    def token(self) -> int:
        """The fencing token; 0 while the duty is not held."""
        return self._holder.token

    @property
    def key(self) -> str:
        """Key of the holder's record."""
        return self._key

    def may_act(self) -> bool:
        """Whether the duty is certainly held at this moment."""
        return self._holder.may_act(self._clock.read(), self._store.era)

    def on_fenced(self, token: int) -> None:
        """Stops at once, since a higher token than `token` was seen."""
        self._holder.on_fenced(token, self._clock.read())
        self._report_changes()

    def on_record(self, record: DutyRecord | None, revision: int) -> None:
        """Takes the record that the store's watch delivers."""
        now = self._clock.read()
        self._holder.on_era(self._store.era, now)
        self._holder.on_record(record, revision, now)
        self._report_changes()

    def leave(self) -> None:
        """Stops at once and releases the duty in the background."""
        self._holder.leave(self._clock.read())
        self._report_changes()

    async def step(self) -> None:
        """Makes the calls that are due."""
        while True:
            now = self._clock.read()
            step = self._holder.next_step(now, self._store.era)
            self._report_changes()
            if step is Step.NONE:
                return
            await self._calls[step](now)
            self._report_changes()

    async def _run(self) -> None:
        await repeat(self.step, STEP_PERIOD_S, f"duty {self._duty}")

    async def _grant(self, now: Reading) -> None:
        lease = await self._store.grant_lease(self._ttl_s, CALL_TIMEOUT_S)
        if isinstance(lease, Unavailable):
            self._holder.on_grant_failed(self._clock.read())
        else:
            self._holder.on_granted(lease, now)

    async def _create(self, now: Reading) -> None:
        record = DutyRecord(
            holder=self._instance,
            incarnation=self._incarnation,
            lease_id=self._holder.lease_id,
            since_ms=round(self._clock.wall() * _MILLISECONDS),
        )
        written = await self._store.compare_and_swap(
            self._key,
            0,
            msgspec.json.encode(record),
            CALL_TIMEOUT_S,
            self._holder.lease_id,
        )
        now = self._clock.read()
        self._holder.on_era(self._store.era, now)
        if isinstance(written, Entry):
            self._holder.on_created(written.revision, now)
        elif isinstance(written, Unknown):
            self._holder.on_create_lost(now)
        else:
            self._holder.on_create_refused(now)

    async def _read(self, now: Reading) -> None:
        found = await self._store.get(self._key, CALL_TIMEOUT_S)
        now = self._clock.read()
        if isinstance(found, NotFound):
            self._holder.on_read(None, 0, now)
        elif isinstance(found, Unavailable):
            self._holder.on_read_failed(now)
        else:
            try:
                record = msgspec.json.decode(found.value, type=DutyRecord)
            except msgspec.DecodeError:
                record = DutyRecord("", 0, 0)
            self._holder.on_read(record, found.revision, now)

    async def _renew(self, now: Reading) -> None:
        remaining_s = await self._store.keep_lease(
            self._holder.lease_id, CALL_TIMEOUT_S
        )
        self._holder.on_era(self._store.era, self._clock.read())
        if isinstance(remaining_s, Unavailable):
            self._holder.on_renewal_failed(self._clock.read())
        elif remaining_s <= 0:
            self._holder.on_lapsed(self._clock.read())
        else:
            self._holder.on_renewed(now, remaining_s)

    async def _release(self, now: Reading) -> None:
        """Deletes the own record, unless another one has replaced it.

        If the call fails, the record lapses with its lease.
        """
        await self._store.transact(
            {self._key: self._holder.release_revision},
            {},
            (self._key,),
            CALL_TIMEOUT_S,
        )
        self._holder.on_released()

    def _report_changes(self) -> None:
        for change, reason, token in self._holder.take_changes():
            state_change(
                f"duty {self._duty}",
                change.value,
                "INFO" if change is Change.HELD else "WARNING",
                token=token,
                reason=reason,
            )
            self._on_change(change)
