"""The record that keeps non-idempotent requests at most once.

Pure: the caller passes the time. An id is entered before dispatch and stays
until its ticket ends, unless the request is known not to have run.
"""

from __future__ import annotations

import heapq

from radishmux.dispatch.exchange import Answer
from radishmux.once.tickets import TicketIssuer, TicketState, split_request_id
from radishmux.verdict import Refusal, Verdict

# A recorded body of this size at most is sent again to a repeat.
MAX_RECORDED_BODY_BYTES = 16 * 1024
MAX_ENTRIES = 100_000
MAX_RECORDED_BYTES = 64 * 1024 * 1024
_COMPACTION_SLACK = 1024

Outcome = Answer | Refusal


class Entry:
    """What is known about one request.

    Attributes:
        fingerprint: Tells requests apart that use the same id.
        outcome: Recorded answer or refusal; None while the request runs.
    """

    __slots__ = ("customer", "fingerprint", "outcome", "request_id", "size")

    def __init__(
        self, customer: str, request_id: str, fingerprint: str
    ) -> None:
        self.customer = customer
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.outcome: Outcome | None = None
        self.size = 0


class Begun:
    """The request was unknown and is now recorded as running."""

    __slots__ = ("entry",)

    def __init__(self, entry: Entry) -> None:
        self.entry = entry


class Repeat:
    """The request is known.

    Attributes:
        outcome: What to answer; None while the first one still runs.
    """

    __slots__ = ("entry",)

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    @property
    def outcome(self) -> Outcome | None:
        """Recorded answer or refusal, if the request has ended."""
        return self.entry.outcome


class RequestLedger:
    """Requests of this incarnation's tickets, by customer and id."""

    def __init__(
        self,
        tickets: TicketIssuer,
        max_entries: int = MAX_ENTRIES,
        max_recorded_bytes: int = MAX_RECORDED_BYTES,
    ) -> None:
        self._tickets = tickets
        self._max_entries = max_entries
        self._max_recorded_bytes = max_recorded_bytes
        self._entries: dict[str, dict[str, Entry]] = {}
        self._expiries: list[tuple[float, str, str]] = []
        self._count = 0
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return self._count

    @property
    def recorded_bytes(self) -> int:
        """Size of the recorded bodies."""
        return self._recorded_bytes

    def knows(self, request_id: str) -> bool:
        """Whether any customer's request with the id is recorded."""
        return request_id in self._entries

    def cannot_have_run(self, request_id: str, now: float) -> bool:
        """Whether no request with this id can have run anywhere.

        True only for a valid ticket of this incarnation, since no other
        process runs requests with it.
        """
        parts = split_request_id(request_id)
        if parts is None:
            return True
        owner = self._tickets.owner_of(parts[0])
        if owner is None or not self._tickets.is_this_incarnation(owner):
            return False
        state = self._tickets.state(parts[0], now)
        if state is TicketState.FORGED:
            return True
        return state is TicketState.VALID and not self.knows(request_id)

    def begin(
        self,
        customer: str,
        request_id: str,
        now: float,
        fingerprint: str = "",
    ) -> Begun | Repeat | Refusal:
        """Records a request before its dispatch."""
        self._drop_expired(now)
        parts = split_request_id(request_id)
        if parts is None:
            return malformed_request_id()
        state = self._tickets.state(parts[0], now)
        if state is TicketState.FORGED:
            return Refusal(
                verdict=Verdict.NOT_RUN,
                reason="forged_ticket",
                message="This instance did not issue the ticket.",
                status=400,
            )
        if state is TicketState.EXPIRED:
            return Refusal(
                verdict=Verdict.MAY_HAVE_RUN,
                reason="ticket_expired",
                message="The ticket has expired; its record is gone.",
                status=409,
            )
        known = self._entries.get(request_id)
        if known is not None and customer in known:
            return Repeat(known[customer])
        if self._count >= self._max_entries:
            return Refusal(
                verdict=Verdict.NOT_RUN,
                reason="ledger_full",
                message="The instance records no more requests now.",
                retry_after_s=1.0,
            )
        entry = Entry(customer, request_id, fingerprint)
        self._entries.setdefault(request_id, {})[customer] = entry
        self._count += 1
        expiry = self._tickets.expires_at(parts[0])
        heapq.heappush(self._expiries, (expiry, request_id, customer))
        self._compact()
        return Begun(entry)

    def finish(self, entry: Entry, outcome: Outcome) -> None:
        """Records how a request ended.

        A request that did not run is forgotten, so that its id can be used
        again.
        """
        if entry.outcome is not None:
            return
        if isinstance(outcome, Refusal) and outcome.verdict is Verdict.NOT_RUN:
            self._forget(entry)
            return
        if self._is_kept(entry):
            entry.outcome = self._recordable(entry, outcome)
        else:
            entry.outcome = not_recorded()

    def _recordable(self, entry: Entry, outcome: Outcome) -> Outcome:
        if isinstance(outcome, Refusal):
            return outcome
        body = outcome.body
        if body is None or len(body) > MAX_RECORDED_BODY_BYTES:
            return not_recorded()
        size = len(body) + sum(len(n) + len(v) for n, v in outcome.headers)
        if self._recorded_bytes + size > self._max_recorded_bytes:
            return not_recorded()
        entry.size = size
        self._recorded_bytes += size
        return outcome

    def _is_kept(self, entry: Entry) -> bool:
        known = self._entries.get(entry.request_id)
        return known is not None and known.get(entry.customer) is entry

    def _forget(self, entry: Entry) -> None:
        if not self._is_kept(entry):
            return
        known = self._entries[entry.request_id]
        del known[entry.customer]
        if not known:
            del self._entries[entry.request_id]
        self._count -= 1
        self._recorded_bytes -= entry.size
        entry.size = 0

    def _compact(self) -> None:
        # Forgotten entries leave their expiry behind.
        if len(self._expiries) <= 2 * self._count + _COMPACTION_SLACK:
            return
        kept = {
            expiry
            for expiry in self._expiries
            if expiry[2] in self._entries.get(expiry[1], ())
        }
        self._expiries = sorted(kept)

    def _drop_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, request_id, customer = heapq.heappop(self._expiries)
            entry = self._entries.get(request_id, {}).get(customer)
            if entry is not None:
                self._forget(entry)


def not_recorded() -> Refusal:
    """Returns the refusal for a repeat whose answer is not kept."""
    return Refusal(
        verdict=Verdict.RAN,
        reason="already_ran",
        message="The request ran; its answer is no longer available.",
        status=409,
    )


def malformed_request_id() -> Refusal:
    """Returns the refusal for an id that is no `<ticket>/<suffix>`."""
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason="malformed_request_id",
        message="The request id must be <ticket>/<suffix>.",
        status=400,
    )
