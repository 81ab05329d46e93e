"""Store access through a peer while there is no direct contact.

An instance that cannot reach the store itself sends its calls to a peer that
can (StoreRelay). The peer makes the call with its own driver and never
passes it on, so that calls do not travel in circles.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

import xxhash

from radishmux.clock import Clock
from radishmux.instances.interface import Instance
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.peer import messages
from radishmux.peer.link import PeerUnavailable
from radishmux.registry import Registry
from radishmux.store.interface import Denied, Entry, Rejected, Store

# A call that has waited this long for its answer shows that direct contact is
# lost, before its own timeout of up to 3 s. A store of the platform answers in
# milliseconds.
DIRECT_WAIT_S = 1.0
# While calls are relayed, one read in this time also goes to the store
# directly, to notice that it can be reached again.
PROBE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 1.0
# A peer that has just lost its own contact says so at once, and a second is
# asked; more would multiply the load of an outage that hits everyone.
MAX_RELAY_PEERS = 2
# Time that the relaying peer's answer needs to travel back.
_TRAVEL_S = 0.25
# Keys that peers may use: those of this product.
KEY_PREFIX = "radishmux/"

Relayed = Callable[[Store, Any, float], Awaitable[Any]]
_operations: Registry[str, Relayed] = Registry("relayed operation")


class Members(Protocol):
    """What this part needs of membership.view.MembershipView."""

    @property
    def own(self) -> Instance:
        """This instance."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances with this one."""


class Bus(Protocol):
    """What this part needs of peer.bus.PeerBus."""

    def handle(self, message_type: type) -> Any:
        """Returns a decorator that registers the handler of a message."""

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message to a peer and returns its reply."""


class MetricsSink(Protocol):
    """Takes counters."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""


class RelayedStore:
    """A Store that falls back to a peer's access.

    Args:
        direct: This instance's own access.
        bus: Sends and takes StoreRelay.
        members: Names the peers.
        clock: Monotonic time.
        metrics: Takes counts of relayed calls.
    """

    def __init__(
        self,
        direct: Store,
        bus: Bus,
        members: Members,
        clock: Clock,
        metrics: MetricsSink,
    ) -> None:
        self._direct = direct
        self._bus = bus
        self._members = members
        self._clock = clock
        self._metrics = metrics
        # Direct calls without an answer yet, by the time of sending.
        self._pending: list[float] = []
        self._answered_at = -math.inf
        self._failed_at = -math.inf
        self._probed_at = -math.inf
        self._probes: set[asyncio.Task[Any]] = set()
        bus.handle(messages.StoreRelay)(self.on_store_relay)

    @property
    def has_direct_contact(self) -> bool:
        """Whether the latest direct call was answered, or none was made.

        Times are those of sending, so that a late failure of an old call
        does not hide the answer to a newer one.
        """
        if self._failed_at >= self._answered_at and self._failed_at > -math.inf:
            return False
        if not self._pending:
            return True
        oldest = self._pending[0]
        waited_s = self._clock.now() - oldest
        return waited_s < DIRECT_WAIT_S or self._answered_at > oldest

    async def get(
        self, key: str, timeout_s: float
    ) -> Entry | NotFound | Unavailable:
        """Reads a key."""
        if not self.has_direct_contact:
            self._probe(key)
        message = messages.StoreRelay(operation="get", key=key)
        return await self._run(message, timeout_s)

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Entry | Conflict | Unknown | Unavailable:
        """Writes `value` if the key still has `expected_revision`."""
        message = messages.StoreRelay(
            operation="compare_and_swap",
            key=key,
            expected_revision=expected_revision,
            value=value,
            lease_id=lease_id,
        )
        answer = await self._run(message, timeout_s)
        if isinstance(answer, Entry):
            # A peer's reply does not carry the value back.
            return Entry(value, answer.revision)
        return answer

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Returns the id of a new lease."""
        message = messages.StoreRelay(operation="grant_lease", ttl_s=ttl_s)
        answer = await self._run(message, timeout_s)
        return answer if isinstance(answer, Unavailable) else answer.lease_id

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease and returns the remaining seconds; 0: lapsed."""
        message = messages.StoreRelay(operation="keep_lease", lease_id=lease_id)
        answer = await self._run(message, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return answer.remaining_s

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Ends a lease and deletes its keys."""
        message = messages.StoreRelay(
            operation="revoke_lease", lease_id=lease_id
        )
        answer = await self._run(message, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return answer.remaining_s > 0

    def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Watches directly; watches are not relayed."""
        return self._direct.watch(key, from_revision)

    async def on_store_relay(self, message: Any, sender: Any) -> Any:
        """Makes a call for a peer, with this instance's own access only."""
        if not self.has_direct_contact:
            # Without calls of its own, this instance would not notice that
            # the store can be reached again.
            self._probe(KEY_PREFIX)
            return _relayed("unavailable", reason="no direct contact")
        key = message.key or KEY_PREFIX  # Lease operations name no key.
        if message.operation not in _operations or not key.startswith(
            KEY_PREFIX
        ):
            return _relayed("unavailable", reason="operation not relayed")
        timeout_s = (message.timeout_ms or 0) / 1000
        return _to_message(await self._call(message, timeout_s))

    async def _run(self, message: Any, timeout_s: float) -> Any:
        """Makes a call directly or through a peer.

        Returns:
            An Entry, a sentinel, or StoreRelayed for operations on leases.
        """
        if self.has_direct_contact:
            return await self._call(message, timeout_s)
        started = self._clock.now()
        answer = await self._relay(message, timeout_s)
        if not _was_not_made(answer):
            return answer
        # No peer has contact either. The store may only be slow.
        remaining_s = timeout_s - (self._clock.now() - started)
        if remaining_s <= 0:
            return answer
        return await self._call(message, remaining_s)

    async def _call(self, message: Any, timeout_s: float) -> Any:
        """Makes a direct call and notes whether the store answered."""
        sent_at = self._clock.now()
        self._pending.append(sent_at)
        try:
            answer = await _operations[message.operation](
                self._direct, message, timeout_s
            )
        finally:
            self._pending.remove(sent_at)
        if not isinstance(answer, Unavailable) or isinstance(
            answer, (NotFound, Conflict, Rejected)
        ):
            self._answered_at = max(self._answered_at, sent_at)
        elif not isinstance(answer, Denied):
            self._failed_at = max(self._failed_at, sent_at)
        return answer

    def _probe(self, key: str) -> None:
        """Reads directly, beside the relayed read, once in a while."""
        now = self._clock.now()
        if now - self._probed_at < PROBE_PERIOD_S:
            return
        self._probed_at = now
        message = messages.StoreRelay(operation="get", key=key)
        task = asyncio.create_task(self._call(message, PROBE_TIMEOUT_S))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _relay(self, message: Any, timeout_s: float) -> Any:
        deadline = self._clock.now() + timeout_s
        failure = Unavailable("no peer to relay through")
        names = self._relay_peers()
        for position, name in enumerate(names):
            share_s = deadline - self._clock.now()
            if message.operation == "get":
                share_s /= len(names) - position
            if share_s <= 0:
                break
            message.timeout_ms = int(
                max(share_s - _TRAVEL_S, share_s / 2) * 1000
            )
            reply = await self._bus.request(name, message, share_s)
            answer = _from_reply(reply)
            outcome = getattr(reply, "outcome", None) or "lost"
            self._metrics.count("store_relays_total", outcome=outcome)
            is_read = message.operation == "get"
            if not _was_not_made(answer) and not (
                is_read and isinstance(answer, Unknown)
            ):
                return answer
            failure = answer
        return failure

    def _relay_peers(self) -> list[str]:
        """Returns the peers to ask, other regions' first.

        What cuts this instance off from the store often cuts off its region
        as well. Among equals, instances spread over different peers.
        """
        own = self._members.own
        others = [
            one for one in self._members.live() if one.instance != own.instance
        ]
        others.sort(
            key=lambda one: (
                one.region == own.region,
                xxhash.xxh3_64_intdigest(
                    f"{own.instance}|{one.instance}".encode()
                ),
            )
        )
        return [one.instance for one in others[:MAX_RELAY_PEERS]]


@_operations.register("get")
async def _get(store: Store, message: Any, timeout_s: float) -> Any:
    return await store.get(message.key, timeout_s)


@_operations.register("compare_and_swap")
async def _compare_and_swap(
    store: Store, message: Any, timeout_s: float
) -> Any:
    return await store.compare_and_swap(
        message.key,
        message.expected_revision or 0,
        message.value or b"",
        timeout_s,
        message.lease_id or 0,
    )


@_operations.register("grant_lease")
async def _grant_lease(store: Store, message: Any, timeout_s: float) -> Any:
    lease_id = await store.grant_lease(message.ttl_s or 0, timeout_s)
    if isinstance(lease_id, Unavailable):
        return lease_id
    return _relayed("lease", lease_id=lease_id)


@_operations.register("keep_lease")
async def _keep_lease(store: Store, message: Any, timeout_s: float) -> Any:
    remaining_s = await store.keep_lease(message.lease_id or 0, timeout_s)
    if isinstance(remaining_s, Unavailable):
        return remaining_s
    return _relayed("lease", remaining_s=remaining_s)


@_operations.register("revoke_lease")
async def _revoke_lease(store: Store, message: Any, timeout_s: float) -> Any:
    ended = await store.revoke_lease(message.lease_id or 0, timeout_s)
    if isinstance(ended, Unavailable):
        return ended
    return _relayed("lease", remaining_s=float(ended))


def _was_not_made(answer: Any) -> bool:
    """Whether the call certainly had no effect and may be made again."""
    return isinstance(answer, Unavailable) and not isinstance(
        answer, (NotFound, Conflict, Unknown)
    )


def _relayed(outcome: str, **fields: Any) -> Any:
    return messages.StoreRelayed(outcome=outcome, **fields)


# Subclasses before their bases.
_OUTCOMES: tuple[tuple[str, type[Unavailable]], ...] = (
    ("not_found", NotFound),
    ("conflict", Conflict),
    ("unknown", Unknown),
    ("unavailable", Unavailable),
)


def _to_message(answer: Any) -> Any:
    if isinstance(answer, Entry):
        return _relayed("entry", value=answer.value, revision=answer.revision)
    for outcome, kind in _OUTCOMES:
        if isinstance(answer, kind):
            return _relayed(outcome, reason=answer.reason)
    return answer


def _from_reply(reply: Any) -> Any:
    if isinstance(reply, PeerUnavailable):
        # A refused connection shows that the peer never saw the message.
        kind = Unavailable if reply.refused else Unknown
        return kind(f"relay: {reply.reason}")
    if not isinstance(reply, messages.StoreRelayed):
        return Unknown("relay: unexpected reply")
    if reply.outcome == "entry":
        return Entry(reply.value or b"", reply.revision or 0)
    if reply.outcome == "lease":
        return messages.StoreRelayed(
            outcome="lease",
            lease_id=reply.lease_id or 0,
            remaining_s=reply.remaining_s or 0.0,
        )
    for outcome, kind in _OUTCOMES:
        if reply.outcome == outcome:
            return kind(f"relay: {reply.reason}")
    return Unknown(f"relay: unknown outcome {reply.outcome!r}")
