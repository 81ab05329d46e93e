"""Limits the store calls of an instance to its share of the store's capacity.

The store handles several hundred writes and about two thousand reads a
second for the whole fleet, and meters every call.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from radishmux.clock import Clock
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Denied, Entry, Store


class CallKind(enum.Enum):
    """Kind of a call in the store's metering; a watch is one read."""

    READ = "read"
    WRITE = "write"


# Capacity for the whole fleet. The platform states "several hundred" writes a
# second, of which this is the low end, and "about two thousand" reads.
STORE_CALLS_PER_S = {CallKind.READ: 2_000.0, CallKind.WRITE: 300.0}
# Fleets of up to this size leave each instance the same allowance, so that
# today's 10 instances together use at most a tenth of the store's capacity.
# Larger fleets share the whole capacity.
FULL_ALLOWANCE_FLEET_SIZE = 100
# Size of a full bucket in seconds of its rate: joins and retries of
# compare-and-swap come in bursts.
_BURST_S = 5.0


def allowance_per_s(kind: CallKind, fleet_size: int) -> float:
    """Returns the calls per second of each of `fleet_size` instances."""
    return STORE_CALLS_PER_S[kind] / max(FULL_ALLOWANCE_FLEET_SIZE, fleet_size)


class CallBudget:
    """Token buckets for reads and writes; does no I/O."""

    __slots__ = ("_at", "_tokens", "_used")

    def __init__(self, now: float) -> None:
        self._at = now
        self._tokens = {
            kind: allowance_per_s(kind, 0) * _BURST_S for kind in CallKind
        }
        self._used = dict.fromkeys(CallKind, 0)

    @property
    def used(self) -> dict[CallKind, int]:
        """Number of calls allowed since the start, by kind."""
        return dict(self._used)

    def try_acquire(self, kind: CallKind, fleet_size: int, now: float) -> bool:
        """Takes a token for a call; returns False if there is none."""
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        for refilled, tokens in self._tokens.items():
            rate = allowance_per_s(refilled, fleet_size)
            # A bucket that cannot hold a whole token would never allow a call.
            limit = max(1.0, rate * _BURST_S)
            self._tokens[refilled] = min(limit, tokens + elapsed * rate)
        if self._tokens[kind] < 1.0:
            return False
        self._tokens[kind] -= 1.0
        self._used[kind] += 1
        return True


class MetricsSink(Protocol):
    """Receives counters."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""


class BudgetedStore:
    """A Store that rejects calls over the budget.

    A denied call is not sent, so a denied write has no effect.

    Args:
        store: Makes the calls.
        fleet_size: Returns the number of instances that share the store.
        clock: Monotonic time.
        metrics: Receives counts of denied calls.
    """

    def __init__(
        self,
        store: Store,
        fleet_size: Callable[[], int],
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._store = store
        self._fleet_size = fleet_size
        self._clock = clock
        self._metrics = metrics
        self._budget = CallBudget(clock.now())

    @property
    def budget(self) -> CallBudget:
        """The budget, for its counts of calls."""
        return self._budget

    async def get(
        self, key: str, timeout_s: float
    ) -> Entry | NotFound | Unavailable:
        """Reads a key."""
        denied = self._deny(CallKind.READ, "get")
        if denied is not None:
            return denied
        return await self._store.get(key, timeout_s)

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Entry | Conflict | Unknown | Unavailable:
        """Writes `value` if the key still has `expected_revision`."""
        denied = self._deny(CallKind.WRITE, "swap")
        if denied is not None:
            return denied
        return await self._store.compare_and_swap(
            key, expected_revision, value, timeout_s, lease_id
        )

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Returns the id of a new lease."""
        denied = self._deny(CallKind.WRITE, "grant_lease")
        if denied is not None:
            return denied
        return await self._store.grant_lease(ttl_s, timeout_s)

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease and returns the remaining seconds."""
        denied = self._deny(CallKind.WRITE, "keep_lease")
        if denied is not None:
            return denied
        return await self._store.keep_lease(lease_id, timeout_s)

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Ends a lease and deletes its keys."""
        denied = self._deny(CallKind.WRITE, "revoke_lease")
        if denied is not None:
            return denied
        return await self._store.revoke_lease(lease_id, timeout_s)

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Yields each later value; ends at once when denied."""
        if self._deny(CallKind.READ, "watch") is not None:
            return
        async for entry in self._store.watch(key, from_revision):
            yield entry

    def _deny(self, kind: CallKind, operation: str) -> Denied | None:
        if self._budget.try_acquire(
            kind, self._fleet_size(), self._clock.now()
        ):
            return None
        self._metrics.count("store_calls_denied_total", operation=operation)
        return Denied(f"budget of {kind.value} calls is used up")
