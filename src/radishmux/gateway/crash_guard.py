"""Keeps requests that crash backend servers from crashing many."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from radishmux.clock import Clock
from radishmux.dispatch.crash_history import (
    CrashHistory,
    CrashMark,
    CrashVerdict,
)
from radishmux.gateway._crash_codec import encode_record, merge_record
from radishmux.gateway.crash_archive import CrashArchive
from radishmux.gateway.events import CrashesPut, Event
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender
from radishmux.peer.link import PeerUnavailable
from radishmux.rendezvous import rank
from radishmux.steer.servers import Server
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

# Timeout of a question to an arbiter, which may be in another region.
ARBITER_TIMEOUT_S = 0.25
# Instances asked for one trial when arbiters do not answer.
MAX_ARBITERS_TRIED = 2
# Records that changed within this time are told to the peers: several report
# periods, and the way through two hubs.
TOLD_S = 6.0
MAX_TOLD = 50
MAX_TOLD_STARTED = 500
# Longest time for which a started instance holds requests until it has heard
# which ones crash servers. It asks for reports when it knows its peers.
MAX_UNINFORMED_S = 0.5
# Further records of suspected requests in each report, in turn, for instances
# that were started or cut off.
MAX_REPEATED = 10
# Peers are told at once of a crash, but not more often than this.
ANNOUNCE_PERIOD_S = 0.1
# Longest time for which an answer waits until they have been told: the
# announcement before it, and a round trip between regions.
MAX_TELL_S = 0.25
# Reason of a request that was not sent since servers crashed under it.
CRASHES = "request_crashes"
_MILLISECONDS = 1000
# States of requests in the log.
_CLEARED = "cleared"
_STATES = {
    CrashVerdict.FREE: _CLEARED,
    CrashVerdict.CAREFUL: "marked",
    CrashVerdict.TRIAL: "suspected",
    CrashVerdict.WITHHELD: "withheld",
}
_UNEVENTFUL = frozenset({_CLEARED, _STATES[CrashVerdict.CAREFUL]})

Announce = Callable[[bool], Coroutine[Any, Any, object]]


async def _announce_to_none(is_suspect: bool) -> None:
    """Tells nobody, until the reports have been started."""


class CrashGuard:
    """Admits requests with regard to the servers that crashed under them.

    Each suspected request has an arbiter, an instance chosen by rendezvous
    hashing, that lets one run on trial at a time. What instances know of
    crashes travels with their reports, and with questions to arbiters and the
    answers.

    Args:
        own: Record of this instance.
        history: Marks of the requests.
        peers: The other instances.
        bus: Connections to the peers.
        archive: Keeps records in the store.
        metrics: Counts the crashes.
        clock: Monotonic time.

    Attributes:
        announce: Tells the peers of new marks at once; its argument is whether
            a request became suspected by them.
    """

    def __init__(
        self,
        own: InstanceRecord,
        history: CrashHistory,
        peers: Peers,
        bus: PeerBus,
        archive: CrashArchive,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._history = history
        self._peers = peers
        self._bus = bus
        self._archive = archive
        self._metrics = metrics
        self._clock = clock
        self.announce: Announce = _announce_to_none
        # Whether marks were added that have not been announced yet, and
        # whether one of them made a request suspected.
        self._has_news = self._has_suspect = False
        self._announcements: asyncio.Task[None] | None = None
        self._told = asyncio.Event()
        # Monotonic time until which each request runs on trial, as the arbiter.
        self._trials: dict[str, float] = {}
        self._notifications: set[asyncio.Task[Any]] = set()
        self._next_repeated = 0
        self._is_informed = asyncio.Event()
        bus.handle(messages.TrialRequest)(self._on_request)

    @property
    def suspected_count(self) -> int:
        """Number of requests that run on trial or not at all."""
        return len(self._history.suspected())

    def decide(self, digest: str, version: str) -> CrashVerdict:
        """Returns how a request may be sent to servers of certain software."""
        return self._history.decide(digest, version, self._clock.now())

    def adopt(self, digest: str, service_digest: str, service: str) -> None:
        """Adds what older builds know of a request to its record.

        Instances of two builds run side by side while a fleet is upgraded.

        Args:
            digest: Digest of the request.
            service_digest: Digest by which older builds know the request.
            service: Service that is to run it.
        """
        known = self._history.get(service_digest)
        if known is None:
            return
        self._history.merge(
            digest,
            known.subject,
            [
                CrashMark(
                    mark.server,
                    f"{service} {mark.version}",
                    mark.at,
                    mark.run_s,
                    mark.is_void,
                )
                for mark in known.marks.values()
            ],
            [f"{service} {version}" for version in known.cleared_versions],
            self._clock.now(),
        )

    def is_marked(self, digest: str) -> bool:
        """Whether servers crashed under a request, and none completed it."""
        record = self._history.get(digest)
        return record is not None and any(
            not mark.is_void for mark in record.marks.values()
        )

    def withheld_s(self, digest: str, versions: Iterable[str]) -> float:
        """Returns for how long no server of some versions may get a request.

        Returns:
            Seconds; 0 if a server of one of the versions may get it.
        """
        record = self._history.get(digest)
        if record is None:
            return 0.0
        now = self._clock.now()
        return max(
            0.0,
            min(
                (record.withheld_until(one) - now for one in versions),
                default=0.0,
            ),
        )

    async def acquire_trial(
        self, digest: str, version: str, duration_s: float
    ) -> bool:
        """Asks the arbiter of a request whether it may run on trial.

        The caller calls `end_trial` after the run.

        Args:
            digest: Digest of the request.
            version: Service and version of the server that is to run it.
            duration_s: Longest time of the run.
        """
        is_granted = await self._ask_arbiter(digest, version, duration_s)
        outcome = "granted" if is_granted else "denied"
        self._metrics.count("gateway_crash_trials_total", outcome=outcome)
        return is_granted

    def end_trial(self, digest: str, version: str) -> None:
        """Tells the arbiter that a run on trial has ended."""
        self._start(self._ask_arbiter(digest, version, 0.0))

    def record_completed(
        self, digest: str, server: Server, service_digest: str = ""
    ) -> None:
        """Records that a server has completed a request.

        Args:
            digest: Digest of the request.
            server: The server.
            service_digest: Digest by which older builds know the request.
        """
        now = self._clock.now()
        version = server.entry.software
        if self._history.get(service_digest) is not None:
            self._history.record_completed(
                service_digest, server.entry.version, now
            )
        if self._history.record_completed(digest, version, now):
            self._log(digest, _CLEARED, version=version)
            self._announce(is_suspect=False)

    async def record_crash(
        self,
        digest: str,
        subject: str,
        server: Server,
        sent_at: float,
        broken_at: float,
        service_digest: str = "",
    ) -> None:
        """Records that a server has ended while it had a request.

        If the request became suspected by it, waits until the peers have been
        told, but not for long: its caller may repeat it at any of them.

        Args:
            digest: Digest of the request.
            subject: Service, customer and route, for the logs.
            server: The server.
            sent_at: Monotonic time at which the request was sent to it.
            broken_at: Monotonic time at which the connection broke.
            service_digest: Digest by which older builds know the request.
        """
        entry = server.entry
        now = self._clock.now()
        name = f"{entry.name}/{entry.started_ms}"
        run_s = broken_at - sent_at
        mark = CrashMark(name, entry.software, broken_at, run_s)
        if not self._history.mark(digest, subject, mark, now):
            return
        if service_digest:
            mark = CrashMark(name, entry.version, broken_at, run_s)
            self._history.mark(service_digest, subject, mark, now)
        self._metrics.count("gateway_crash_marks_total", service=entry.service)
        verdict = self._history.decide(digest, entry.software, now)
        self._log(digest, _STATES[verdict], server=entry.name)
        record = self._history.get(digest)
        if record is not None and verdict is CrashVerdict.WITHHELD:
            self._archive.keep(record)
        is_suspect = verdict is not CrashVerdict.CAREFUL
        self._announce(is_suspect)
        if is_suspect:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_TELL_S):
                    await self._told.wait()

    def expire(self) -> None:
        """Forgets marks at the end of their lifetime, and ended trials."""
        now = self._clock.now()
        self._history.expire(now)
        self._trials = {
            digest: until
            for digest, until in self._trials.items()
            if until > now
        }

    async def wait_informed(self) -> None:
        """Waits until a started instance has heard of its peers' records.

        It waits for a short time only: they may not answer.
        """
        if self._is_informed.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_UNINFORMED_S):
                await self._is_informed.wait()
        self._is_informed.set()

    def set_alone(self) -> None:
        """Records that there is no peer to hear of records from."""
        self._is_informed.set()

    def encode_records(self, to_started: bool = False) -> list[Any]:
        """Returns the records that the next report tells a peer.

        Args:
            to_started: Whether the peer has just started, so that it may know
                none.
        """
        now = self._clock.now()
        if to_started:
            suspected = self._history.suspected()[-MAX_TOLD_STARTED:]
            return [encode_record(record, now) for record in suspected]
        told = self._history.recent(TOLD_S, now)[:MAX_TOLD]
        older = [
            record
            for record in self._history.suspected()
            if now - record.changed_at > TOLD_S
        ]
        if older:
            first = self._next_repeated % len(older)
            self._next_repeated = first + MAX_REPEATED
            told += (older[first:] + older[:first])[:MAX_REPEATED]
        return [encode_record(record, now) for record in told]

    def apply_records(self, records: Iterable[Any], sender: str) -> None:
        """Merges the records of a peer's report."""
        self._is_informed.set()
        now = self._clock.now()
        for record in records:
            merge_record(self._history, record, sender, now)

    def on_event(self, event: Event, now: float) -> None:
        """Merges a record that an instance has kept in the store."""
        if isinstance(event, CrashesPut):
            marks = self._archive.decode(event.crashes)
            subject = event.crashes.subject
            self._history.merge(event.digest, subject, marks, (), now)

    async def _ask_arbiter(
        self, digest: str, version: str, duration_s: float
    ) -> bool:
        usable = self._peers.usable(self._clock.now())
        names = [record.instance for record in usable]
        ranked = rank([*names, self._own.instance], digest)
        for arbiter in ranked[:MAX_ARBITERS_TRIED]:
            if arbiter == self._own.instance:
                return self._grant(digest, version, duration_s)
            record = self._history.get(digest)
            if record is None:
                return True
            request = messages.TrialRequest(
                record=encode_record(record, self._clock.now()),
                version=version,
                duration_ms=round(duration_s * _MILLISECONDS),
            )
            reply = await self._bus.request(arbiter, request, ARBITER_TIMEOUT_S)
            if isinstance(reply, messages.TrialAnswer):
                if reply.record is not None:
                    self.apply_records([reply.record], arbiter)
                return bool(reply.granted)
            if isinstance(reply, PeerUnavailable) and duration_s == 0.0:
                break
        return False

    async def _on_request(self, message: Any, sender: Sender) -> Any:
        now = self._clock.now()
        if (
            not merge_record(
                self._history, message.record, sender.instance, now
            )
            or message.version is None
            or message.duration_ms is None
        ):
            return messages.Done(accepted=False, reason="incomplete")
        digest = message.record.digest
        granted = self._grant(
            digest, message.version, message.duration_ms / _MILLISECONDS
        )
        record = self._history.get(digest)
        return messages.TrialAnswer(
            granted=granted,
            record=None if record is None else encode_record(record, now),
        )

    def _grant(self, digest: str, version: str, duration_s: float) -> bool:
        """Lets a request run on trial, as its arbiter; 0 s end the run."""
        now = self._clock.now()
        record = self._history.get(digest)
        gap_s = record.trial_gap_s(version) if record is not None else 0.0
        if duration_s <= 0.0:
            if not gap_s:
                self._trials.pop(digest, None)
            return False
        match self._history.decide(digest, version, now):
            case CrashVerdict.WITHHELD:
                return False
            case CrashVerdict.TRIAL:
                if self._trials.get(digest, now) > now:
                    return False
                self._trials[digest] = now + max(duration_s, gap_s)
        return True

    def _announce(self, is_suspect: bool) -> None:
        self._has_news = True
        self._has_suspect |= is_suspect
        self._told.clear()
        if self._announcements is None or self._announcements.done():
            self._announcements = self._start(self._announce_news())

    async def _announce_news(self) -> None:
        while self._has_news:
            is_suspect, self._has_suspect = self._has_suspect, False
            self._has_news = False
            # Peers that do not answer must not delay the next announcement.
            self._start(self._tell(is_suspect))
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _tell(self, is_suspect: bool) -> None:
        await self.announce(is_suspect)
        if not self._has_news:
            self._told.set()

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)
        return task

    def _log(self, digest: str, state: str, **fields: Any) -> None:
        record = self._history.get(digest)
        if record is None:
            return
        marks = record.marks.values()
        state_change(
            f"request {digest}",
            state,
            "INFO" if state in _UNEVENTFUL else "WARNING",
            belongs_to=record.subject,
            crashed=[mark.server for mark in marks if not mark.is_void],
            **fields,
        )
