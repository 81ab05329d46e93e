"""Relays store calls through a peer while the store is unreachable.

An instance that cannot reach the store directly sends its calls as StoreRelay
messages to a peer that can. The peer makes the call with its own store driver
and never forwards it to another peer, which rules out forwarding loops.
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

# Direct contact counts as lost when a call has waited this long for its answer.
# Call timeouts of up to 3 s would detect the loss later. The platform's store
# normally answers within milliseconds.
DIRECT_WAIT_S = 1.0
# While calls are relayed, at most one read per period also goes directly to the
# store, to detect that it is reachable again.
PROBE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 1.0
# A peer without contact to the store replies so at once, and the call then goes
# to a second peer. More attempts would multiply the load during an outage that
# affects every instance.
MAX_RELAY_PEERS = 2
# Part of the timeout reserved for the reply's way back from the relaying peer.
_REPLY_TRANSIT_S = 0.25
# Peers may access only the keys of this product.
KEY_PREFIX = "radishmux/"

RelayedOperation = Callable[[Store, Any, float], Awaitable[Any]]
_operations: Registry[str, RelayedOperation] = Registry("relayed operation")


class Members(Protocol):
    """The part of membership.view.MembershipView that the relay uses."""

    @property
    def own(self) -> Instance:
        """This instance."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances, including this instance."""


class Bus(Protocol):
    """The part of peer.bus.PeerBus that the relay uses."""

    def handle(self, message_type: type) -> Any:
        """Returns a decorator that registers a message type's handler."""

    async def request(
        self, instance: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message to a peer and returns its reply."""


class MetricsSink(Protocol):
    """Receives counter increments."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter with this name and these labels."""


class RelayedStore:
    """A Store that calls through a peer when it has no direct contact.

    Args:
        direct: The store driver of this instance.
        bus: Sends and receives StoreRelay messages.
        members: Lists the live instances, from which peers are chosen.
        clock: Monotonic clock.
        metrics: Counts the relayed calls by outcome.
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
        # Send times of the direct calls in flight, oldest first.
        self._pending_sent_at: list[float] = []
        # Send times of the latest direct call that the store answered and of
        # the latest one that failed.
        self._last_answered_sent_at = -math.inf
        self._last_failed_sent_at = -math.inf
        self._last_probe_at = -math.inf
        self._probe_tasks: set[asyncio.Task[Any]] = set()
        bus.handle(messages.StoreRelay)(self.on_store_relay)

    @property
    def has_direct_contact(self) -> bool:
        """Whether the store is considered directly reachable.

        It is unless the latest completed direct call failed, or the oldest
        call in flight has waited for `DIRECT_WAIT_S` while the store answered
        no newer call. Calls are ordered by their send times, so that a late
        failure of an old call does not hide the answer to a newer one.
        """
        if (
            self._last_failed_sent_at >= self._last_answered_sent_at
            and self._last_failed_sent_at > -math.inf
        ):
            return False
        if not self._pending_sent_at:
            return True
        oldest = self._pending_sent_at[0]
        waited_s = self._clock.now() - oldest
        return waited_s < DIRECT_WAIT_S or self._last_answered_sent_at > oldest

    async def get(
        self, key: str, timeout_s: float
    ) -> Entry | NotFound | Unavailable:
        """Reads a key."""
        if not self.has_direct_contact:
            self._probe(key)
        message = messages.StoreRelay(operation="get", key=key)
        return await self._execute(message, timeout_s)

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
        answer = await self._execute(message, timeout_s)
        if isinstance(answer, Entry):
            # A peer's reply does not carry the value back.
            return Entry(value, answer.revision)
        return answer

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Returns the id of a new lease."""
        message = messages.StoreRelay(operation="grant_lease", ttl_s=ttl_s)
        answer = await self._execute(message, timeout_s)
        return answer if isinstance(answer, Unavailable) else answer.lease_id

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease and returns its remaining seconds, 0 if expired."""
        message = messages.StoreRelay(operation="keep_lease", lease_id=lease_id)
        answer = await self._execute(message, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return answer.remaining_s

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Revokes a lease, which deletes the keys attached to it."""
        message = messages.StoreRelay(
            operation="revoke_lease", lease_id=lease_id
        )
        answer = await self._execute(message, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return answer.remaining_s > 0

    def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Watches a key directly, because watches are not relayed."""
        return self._direct.watch(key, from_revision)

    async def on_store_relay(self, message: Any, sender: Any) -> Any:
        """Makes a store call for a peer, using only the direct driver."""
        if not self.has_direct_contact:
            # An instance that makes no store calls itself would otherwise not
            # detect that the store is reachable again.
            self._probe(KEY_PREFIX)
            return _reply("unavailable", reason="no direct contact")
        key = message.key or KEY_PREFIX  # Lease operations have no key.
        if message.operation not in _operations or not key.startswith(
            KEY_PREFIX
        ):
            return _reply("unavailable", reason="operation not relayed")
        timeout_s = (message.timeout_ms or 0) / 1000
        return _to_reply(await self._call_direct(message, timeout_s))

    async def _execute(self, message: Any, timeout_s: float) -> Any:
        """Makes a store call directly or through a peer.

        Returns:
            An Entry, an Unavailable or one of its subclasses, or a
            StoreRelayed for successful lease operations.
        """
        if self.has_direct_contact:
            return await self._call_direct(message, timeout_s)
        started = self._clock.now()
        answer = await self._relay(message, timeout_s)
        if not _had_no_effect(answer):
            return answer
        # No peer could make the call. The store may be slow rather than
        # unreachable, so the rest of the timeout goes to a direct call.
        remaining_s = timeout_s - (self._clock.now() - started)
        if remaining_s <= 0:
            return answer
        return await self._call_direct(message, remaining_s)

    async def _call_direct(self, message: Any, timeout_s: float) -> Any:
        """Makes a direct call and records whether the store answered.

        A Denied call was not sent, so it counts neither as answered nor as
        failed.
        """
        sent_at = self._clock.now()
        self._pending_sent_at.append(sent_at)
        try:
            answer = await _operations[message.operation](
                self._direct, message, timeout_s
            )
        finally:
            self._pending_sent_at.remove(sent_at)
        if not isinstance(answer, Unavailable) or isinstance(
            answer, (NotFound, Conflict, Rejected)
        ):
            self._last_answered_sent_at = max(
                self._last_answered_sent_at, sent_at
            )
        elif not isinstance(answer, Denied):
            self._last_failed_sent_at = max(self._last_failed_sent_at, sent_at)
        return answer

    def _probe(self, key: str) -> None:
        """Starts a direct read at most once per `PROBE_PERIOD_S`."""
        now = self._clock.now()
        if now - self._last_probe_at < PROBE_PERIOD_S:
            return
        self._last_probe_at = now
        message = messages.StoreRelay(operation="get", key=key)
        task = asyncio.create_task(self._call_direct(message, PROBE_TIMEOUT_S))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _relay(self, message: Any, timeout_s: float) -> Any:
        """Makes a call through peers, one after the other.

        A read divides the time left among the peers not yet tried, because it
        can be repeated after an unknown outcome. Any other operation gives
        each peer all the time left, and goes to the next peer only if it
        certainly had no effect.
        """
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
                max(share_s - _REPLY_TRANSIT_S, share_s / 2) * 1000
            )
            reply = await self._bus.request(name, message, share_s)
            answer = _from_reply(reply)
            outcome = getattr(reply, "outcome", None) or "lost"
            self._metrics.count("store_relays_total", outcome=outcome)
            is_read = message.operation == "get"
            if not _had_no_effect(answer) and not (
                is_read and isinstance(answer, Unknown)
            ):
                return answer
            failure = answer
        return failure

    def _relay_peers(self) -> list[str]:
        """Returns the peers to relay through, those of other regions first.

        A fault that cuts this instance off from the store often affects its
        whole region. Within each group, a hash of both instance names orders
        the peers, so that instances spread their calls over different peers.
        """
        own = self._members.own
        peers = [
            peer
            for peer in self._members.live()
            if peer.instance != own.instance
        ]
        peers.sort(
            key=lambda peer: (
                peer.region == own.region,
                xxhash.xxh3_64_intdigest(
                    f"{own.instance}|{peer.instance}".encode()
                ),
            )
        )
        return [peer.instance for peer in peers[:MAX_RELAY_PEERS]]


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
    return _reply("lease", lease_id=lease_id)


@_operations.register("keep_lease")
async def _keep_lease(store: Store, message: Any, timeout_s: float) -> Any:
    remaining_s = await store.keep_lease(message.lease_id or 0, timeout_s)
    if isinstance(remaining_s, Unavailable):
        return remaining_s
    return _reply("lease", remaining_s=remaining_s)


@_operations.register("revoke_lease")
async def _revoke_lease(store: Store, message: Any, timeout_s: float) -> Any:
    ended = await store.revoke_lease(message.lease_id or 0, timeout_s)
    if isinstance(ended, Unavailable):
        return ended
    return _reply("lease", remaining_s=float(ended))


def _had_no_effect(answer: Any) -> bool:
    """Whether the call certainly had no effect and can be repeated.

    NotFound and Conflict are answers of the store: repeating the call would
    gain nothing. After Unknown the call may have taken effect.
    """
    return isinstance(answer, Unavailable) and not isinstance(
        answer, (NotFound, Conflict, Unknown)
    )


def _reply(outcome: str, **fields: Any) -> Any:
    return messages.StoreRelayed(outcome=outcome, **fields)


# Subclasses come before their base classes: the first match is used.
_OUTCOMES: tuple[tuple[str, type[Unavailable]], ...] = (
    ("not_found", NotFound),
    ("conflict", Conflict),
    ("unknown", Unknown),
    ("unavailable", Unavailable),
)


def _to_reply(answer: Any) -> Any:
    if isinstance(answer, Entry):
        return _reply("entry", value=answer.value, revision=answer.revision)
    for outcome, kind in _OUTCOMES:
        if isinstance(answer, kind):
            return _reply(outcome, reason=answer.reason)
    return answer


def _from_reply(reply: Any) -> Any:
    if isinstance(reply, PeerUnavailable):
        # A refused connection means that the peer never received the message.
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
