"""Keeps all instances together to the limits that backend servers name."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from loguru import logger

from radishmux.clock import Clock
from radishmux.gateway.limit_log import LimitLog
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.rendezvous import rank
from radishmux.share.holders import TokenHolders
from radishmux.share.permit_buckets import MAX_WAIT_S, PermitBuckets
from radishmux.share.server_limits import ServerLimits
from radishmux.steer.servers import Server
from radishmux.telemetry.metrics import Metrics

# Timeout of a question to a holder, which may be in another region.
HOLDER_TIMEOUT_S = 0.25
# Timeout of a forwarded question. It is shorter because the instance that asked
# first waits with HOLDER_TIMEOUT_S.
FORWARDED_TIMEOUT_S = 0.1
# A holder that did not answer is skipped for this long. By then the reports
# show that it is dead or silent.
UNRESPONSIVE_S = 2.0
# Instances asked for one permit when holders do not answer.
MAX_HOLDERS_TRIED = 2
# Pause before asking again when no holder answers.
NO_HOLDER_WAIT_S = 0.5
_NO_LIMIT = -1.0
_MILLISECONDS = 1000
# Largest age that fits into a message, for limits that are not known here.
_MAX_AGE_MS = 2**31 - 1


class SendPermits:
    """Obtains a permit for each request to a limited server.

    Each limited server has one holder, an instance of the server's region
    chosen by rendezvous hashing, that grants permits at the rate of the limit.
    A part of the limit for each instance would be less than one request in a
    large fleet. What the instances know of a limit travels with the questions
    and answers, so that its end is known to all that want to send.

    Args:
        own: Record of this instance.
        limits: Limits of the servers, updated with what peers know.
        holders: Ranks the instances of the own region.
        peers: The other instances.
        bus: Connections to the peers.
        on_connection_refused: Called with the name of a peer that refuses
            connections, which means that its process has ended.
        metrics: Counts the permits.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        limits: ServerLimits,
        holders: TokenHolders,
        peers: Peers,
        bus: PeerBus,
        on_connection_refused: Callable[[str], None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._limits = limits
        self._buckets = PermitBuckets()
        self._holders = holders
        self._peers = peers
        self._bus = bus
        self._on_connection_refused = on_connection_refused
        self._metrics = metrics
        self._clock = clock
        self._log = LimitLog()
        # Monotonic time until which each peer is not asked.
        self._unresponsive_until: dict[str, float] = {}
        self._notifications: set[asyncio.Task[float]] = set()
        bus.handle(messages.SendPermitRequest)(self._on_request)

    def is_required(self, server: Server) -> bool:
        """Whether a request to a server needs a permit."""
        return self._limits.is_limited(server.name)

    def observe(self, server: Server, limit_per_s: float) -> None:
        """Applies the limit that a response of a server names.

        The holder is told at once when a limit has ended, since the other
        instances learn it there.

        Args:
            server: The server.
            limit_per_s: The limit; inf if the response names none.
        """
        was_limited = self._limits.is_limited(server.name)
        self._learn(server.name, limit_per_s, self._clock.now())
        if was_limited and limit_per_s == math.inf:
            task = asyncio.create_task(self._ask_holder(server))
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)

    async def acquire(self, server: Server) -> float:
        """Obtains a permit for one request to a limited server.

        Returns:
            0 if the request may be sent, else the seconds after which another
            one may get a permit.
        """
        wait_s = await self._ask_holder(server)
        if not self._limits.is_limited(server.name):
            wait_s = 0.0
        self._metrics.count(
            "gateway_send_permits_total",
            service=server.entry.service,
            outcome="denied" if wait_s > 0 else "granted",
        )
        return wait_s

    def retain_only(self, servers: set[str]) -> None:
        """Drops the limits of all other servers."""
        self._limits.retain_only(servers)
        self._buckets.retain_only(servers)
        self._log.retain_only(servers)

    async def _ask_holder(self, server: Server) -> float:
        """Asks the holder of a server; returns 0 or the seconds to wait."""
        tried = 0
        for holder in self._candidates(server):
            if holder == self._own.instance:
                return self._take(server.name)
            if self._unresponsive_until.get(holder, 0.0) > self._clock.now():
                continue
            if tried == MAX_HOLDERS_TRIED:
                break
            tried += 1
            wait_s = await self._ask_peer(holder, server.name, server.region)
            if wait_s is not None:
                return wait_s
        return NO_HOLDER_WAIT_S

    def _candidates(self, server: Server) -> tuple[str, ...]:
        """Returns the instances to ask, the holder first.

        They are those of the server's region or, if none of them is alive, of
        all regions.
        """
        if server.region == self._own.region:
            return self._holders.order(server.name)
        usable = self._peers.usable(self._clock.now())
        in_region = [
            record.instance
            for record in usable
            if record.region == server.region
        ]
        if in_region:
            return rank(in_region, server.name)
        names = [record.instance for record in usable]
        return rank([*names, self._own.instance], server.name)

    def _take(self, server: str) -> float:
        """Takes a permit that this instance grants as the holder."""
        limit_per_s = self._limits.limit_per_s(server)
        if limit_per_s == math.inf:
            return 0.0
        return self._buckets.take(server, limit_per_s, self._clock.now())

    async def _ask_peer(
        self, holder: str, server: str, region: str, is_forwarded: bool = False
    ) -> float | None:
        """Asks a peer; returns None if it gives no usable answer."""
        limit_per_s, age_ms = self._encode_limit(server)
        request = messages.SendPermitRequest(
            server=server,
            limit_per_s=limit_per_s,
            age_ms=age_ms,
            region=region,
            is_forwarded=is_forwarded,
        )
        reply = await self._bus.request(
            holder,
            request,
            FORWARDED_TIMEOUT_S if is_forwarded else HOLDER_TIMEOUT_S,
        )
        if isinstance(reply, PeerUnavailable):
            self._unresponsive_until[holder] = (
                self._clock.now() + UNRESPONSIVE_S
            )
            if reply.refused:
                self._on_connection_refused(holder)
            return None
        if not isinstance(reply, messages.SendPermit):
            # A peer of an older version, which does not know the message.
            return None
        if not self._apply_limit(server, reply) or reply.wait_ms is None:
            logger.warning("permit of {} not used: {}", holder, reply)
            return None
        if reply.granted:
            return 0.0
        wait_s = max(1, reply.wait_ms) / _MILLISECONDS
        return min(MAX_WAIT_S, wait_s)

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        server = message.server
        if not server or not self._apply_limit(server, message):
            return messages.Done(accepted=False, reason="incomplete")
        wait_s = None
        if not message.is_forwarded and message.region == self._own.region:
            wait_s = await self._forward(server)
        if wait_s is None:
            wait_s = self._take(server)
        limit_per_s, age_ms = self._encode_limit(server)
        return messages.SendPermit(
            granted=wait_s == 0.0,
            wait_ms=round(wait_s * _MILLISECONDS),
            limit_per_s=limit_per_s,
            age_ms=age_ms,
        )

    async def _forward(self, server: str) -> float | None:
        """Asks the holder if this instance is not the holder itself.

        The instances of a region agree on the holder sooner than those of
        other regions, which may ask a previous one.

        Returns:
            None if this instance has to answer itself.
        """
        holder = self._holders.order(server)[0]
        unresponsive_until = self._unresponsive_until.get(holder, 0.0)
        if (
            holder == self._own.instance
            or unresponsive_until > self._clock.now()
        ):
            return None
        return await self._ask_peer(
            holder, server, self._own.region, is_forwarded=True
        )

    def _encode_limit(self, server: str) -> tuple[float, int]:
        """Returns the fields of a message for what is known of a limit."""
        known = self._limits.get(server)
        if known is None:
            return _NO_LIMIT, _MAX_AGE_MS
        limit_per_s = known.limit_per_s
        age_s = self._clock.now() - known.observed_at
        return (
            _NO_LIMIT if limit_per_s == math.inf else limit_per_s,
            min(_MAX_AGE_MS, round(age_s * _MILLISECONDS)),
        )

    def _apply_limit(self, server: str, message: Any) -> bool:
        """Learns what a peer knows of a limit; False if it is unreadable."""
        limit_per_s, age_ms = message.limit_per_s, message.age_ms
        if limit_per_s is None or age_ms is None or age_ms < 0:
            return False
        if limit_per_s == _NO_LIMIT:
            limit_per_s = math.inf
        elif not 0 <= limit_per_s < math.inf:
            return False
        # The age does not include the time on the way. Without the longest
        # such time, what passes between two instances would never get old.
        age_s = age_ms / _MILLISECONDS + HOLDER_TIMEOUT_S
        self._learn(server, limit_per_s, self._clock.now() - age_s)
        return True

    def _learn(
        self, server: str, limit_per_s: float, observed_at: float
    ) -> None:
        if self._limits.observe(server, limit_per_s, observed_at):
            self._log.write(server, limit_per_s)
