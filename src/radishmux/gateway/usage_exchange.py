"""Sends counts to the holder of the usage report, directly or over hubs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Any

from radishmux.duties.hub_batch import HubBatch, WindowUsage
from radishmux.duties.usage_collector import Sources, source_id
from radishmux.duties.usage_outbox import UsageOutbox
from radishmux.gateway._usage_codec import (
    decode_known,
    decode_usages,
    encode_sources,
    encode_usage,
)
from radishmux.membership.hubs import ExchangePlan
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.tasks import BackgroundTask, repeat

# Counts are offered to the holder this often until it has them.
PERIOD_S = 0.25
# Time in which a hub gathers the counts of its members: two periods.
GATHER_S = 0.5
# Timeout of the holder: two round trips between regions and a slow link.
HOLDER_TIMEOUT_S = 1.0
# Sums that the holder refuses in part are sent again this often.
MAX_ROUNDS = 3
# Timeout of a hub, which gathers first. It must be longer than the hub takes:
# a timeout closes the connection, over which the reports go as well.
HUB_TIMEOUT_S = GATHER_S + MAX_ROUNDS * HOLDER_TIMEOUT_S + 0.5
# Pause after the holder itself has not answered. It may be dead, and members
# of all regions would go on sending to it.
DIRECT_PAUSE_S = 2.0
# Time for a leaving instance to hand over its counts. A killed one loses those
# of the open window.
HAND_OVER_S = 0.4

Add = Callable[[int, Sources, dict[str, int]], Sources]


class UsageExchange(BackgroundTask):
    """Exchanges counts; an async context manager.

    Args:
        own: Record of this instance.
        outbox: Counts of this instance.
        bus: Connections to the peers.
        plan: Returns the peers that are hubs.
        holder: Returns the name of the holder and its token; an empty name if
            there is none.
        may_take: Returns whether this instance certainly holds the duty with a
            token.
        add: Adds counts to those that this instance has as the holder.
        unix_s: Returns the true time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        outbox: UsageOutbox,
        bus: PeerBus,
        plan: Callable[[], ExchangePlan],
        holder: Callable[[], tuple[str, int]],
        may_take: Callable[[int], bool],
        add: Add,
        unix_s: Callable[[], float],
    ) -> None:
        self._own = own
        self._source = source_id(own.instance, own.incarnation)
        self._outbox = outbox
        self._bus = bus
        self._plan = plan
        self._holder = holder
        self._may_take = may_take
        self._add = add
        self._unix_s = unix_s
        # What a hub gathers now, with the result for those that wait for it.
        self._batch = HubBatch()
        self._batch_done: asyncio.Task[str] | None = None
        self._flushes: set[asyncio.Task[str]] = set()
        self._direct_at = -math.inf
        bus.handle(messages.UsageReport)(self._on_report)

    async def hand_over(self) -> None:
        """Sends all counts, also those of the open window, when leaving."""
        try:
            async with asyncio.timeout(HAND_OVER_S):
                while True:
                    self._outbox.advance(self._unix_s(), is_leaving=True)
                    name, token = self._holder()
                    if name and not self._outbox.pending(token):
                        return
                    await self._offer(is_direct=True)
                    await asyncio.sleep(HAND_OVER_S / 8)
        except TimeoutError:
            return

    async def _stop(self) -> None:
        for flush in self._flushes:
            flush.cancel()
        await super()._stop()

    async def _run(self) -> None:
        await repeat(self._step, PERIOD_S, "usage exchange")

    async def _step(self) -> None:
        self._outbox.advance(self._unix_s())
        await self._offer(is_direct=False)

    async def _offer(self, is_direct: bool) -> None:
        """Sends the holder the counts that it lacks."""
        name, token = self._holder()
        pending = self._outbox.pending(token)
        if not name or not pending:
            return
        usages = [
            WindowUsage(window, counts, frozenset({self._source}))
            for window, counts in pending.items()
        ]
        plan = self._plan()
        by_hub = not (is_direct or plan.is_mesh)
        is_taken = by_hub and await self._send_by_hub(plan, token, usages)
        if not is_taken and (is_direct or self._unix_s() >= self._direct_at):
            batch = HubBatch()
            batch.add(self._source, usages)
            is_taken = not await self._send(name, token, batch)
            if by_hub and not is_taken:
                self._direct_at = self._unix_s() + DIRECT_PAUSE_S
        if is_taken:
            for window in pending:
                self._outbox.acknowledge(window, token)

    async def _send_by_hub(
        self, plan: ExchangePlan, token: int, usages: list[WindowUsage]
    ) -> bool:
        """Passes counts to a hub; returns whether the holder has them."""
        if plan.is_hub:
            return not await self._gather(token, self._source, usages)
        if not plan.hubs:
            return False
        # The members of a region are divided among its hubs.
        hub = plan.hubs[self._source % len(plan.hubs)]
        reply = await self._bus.request(
            hub, _encode(token, usages, via_hub=True), HUB_TIMEOUT_S
        )
        return isinstance(reply, messages.UsageReceipt) and not reply.refusal

    async def _gather(
        self, token: int, source: int, usages: Iterable[WindowUsage]
    ) -> str:
        """Adds counts to this hub's next message to the holder.

        Returns:
            Why the holder does not have them; empty if it has.
        """
        if self._batch_done is None:
            self._batch_done = asyncio.create_task(self._flush(token))
            self._flushes.add(self._batch_done)
            self._batch_done.add_done_callback(self._flushes.discard)
        self._batch.add(source, usages)
        flush = self._batch_done
        await asyncio.wait((flush,))
        return "the hub stops" if flush.cancelled() else flush.result()

    async def _flush(self, token: int) -> str:
        await asyncio.sleep(GATHER_S)
        batch, self._batch = self._batch, HubBatch()
        self._batch_done = None
        name, present = self._holder()
        if not name or present != token:
            return "the holder has changed"
        return await self._send(name, token, batch)

    async def _send(self, name: str, token: int, batch: HubBatch) -> str:
        """Sends sums to the holder until it has all sources in them.

        Returns:
            Why it does not have them; empty if it has.
        """
        for _ in range(MAX_ROUNDS):
            sums = batch.sums()
            if name == self._own.instance:
                reply = self._take(token, sums)
            else:
                reply = await self._bus.request(
                    name, _encode(token, sums), HOLDER_TIMEOUT_S
                )
            if not isinstance(reply, messages.UsageReceipt):
                return getattr(reply, "reason", "") or "no receipt"
            if reply.refusal:
                return str(reply.refusal)
            batch.on_receipt(decode_known(reply))
            if batch.is_empty:
                return ""
        return "sources arrive in other sums"

    async def _on_report(self, message: Any, sender: Sender) -> Any:
        """Takes counts as the holder, or passes them on as a hub."""
        token, usages = message.token or 0, decode_usages(message)
        name, present = self._holder()
        if not message.via_hub or name == self._own.instance:
            return self._take(token, usages)
        if not name or present != token:
            return _refuse("the holder has changed")
        source = source_id(sender.instance, sender.incarnation)
        return _refuse(await self._gather(token, source, usages))

    def _take(self, token: int, usages: list[WindowUsage]) -> Any:
        """Adds counts to those of this holder and returns the receipt."""
        if not self._may_take(token):
            return _refuse("not the holder")
        known = []
        for usage in usages:
            sources = self._add(usage.window, usage.sources, usage.counts)
            if sources:
                known.append(
                    messages.KnownSources(
                        window=usage.window, sources=encode_sources(sources)
                    )
                )
        return messages.UsageReceipt(refusal="", known=known)


def _encode(
    token: int, usages: list[WindowUsage], via_hub: bool = False
) -> Any:
    return messages.UsageReport(
        token=token,
        windows=[encode_usage(usage) for usage in usages],
        via_hub=via_hub,
    )


def _refuse(reason: str) -> Any:
    return messages.UsageReceipt(refusal=reason, known=[])
