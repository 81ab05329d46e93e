"""Ledger of non-idempotent requests, which prevents a second execution.

Does no I/O and reads no clock: callers pass the time. A request id is recorded
before dispatch and kept until its ticket expires, unless the request is known
not to have run.
"""

from __future__ import annotations

import heapq

from radishmux.dispatch.exchange import BackendResponse
from radishmux.once.tickets import TicketIssuer, TicketState, split_request_id
from radishmux.verdict import Refusal, Verdict

# Larger response bodies are not recorded; a repeat then gets `already_ran`.
MAX_RECORDED_BODY_BYTES = 16 * 1024
MAX_ENTRIES = 100_000
MAX_RECORDED_BYTES = 64 * 1024 * 1024
# Stale items of the expiry queue that are tolerated before it is rebuilt.
_COMPACTION_SLACK_ENTRIES = 1024

Outcome = BackendResponse | Refusal


class Entry:
    """The ledger's record of one request.

    Attributes:
        customer: Name of the customer.
        fingerprint: Distinguishes different requests that use the same id.
        outcome: Recorded response or refusal; None while the request runs.
        request_id: `<ticket>/<suffix>`.
        size_bytes: Size of the recorded headers and body.
    """

    __slots__ = (
        "customer",
        "fingerprint",
        "outcome",
        "request_id",
        "size_bytes",
    )

    def __init__(
        self, customer: str, request_id: str, fingerprint: str
    ) -> None:
        self.customer = customer
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.outcome: Outcome | None = None
        self.size_bytes = 0


class NewRequest:
    """The id was not in the ledger and is now recorded as running."""

    __slots__ = ("entry",)

    def __init__(self, entry: Entry) -> None:
        self.entry = entry


class RepeatedRequest:
    """The id is already in the ledger for this customer."""

    __slots__ = ("entry",)

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    @property
    def outcome(self) -> Outcome | None:
        """Recorded response or refusal; None while the first one runs."""
        return self.entry.outcome


class RequestLedger:
    """Records requests with tickets of this incarnation, by id and customer.

    Args:
        tickets: Issuer of this incarnation's tickets.
        max_entries: Number of entries above which new requests are refused.
        max_recorded_bytes: Total size of recorded headers and bodies above
            which responses are no longer recorded.
    """

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
        self._expiry_queue: list[tuple[float, str, str]] = []
        self._entry_count = 0
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return self._entry_count

    @property
    def recorded_bytes(self) -> int:
        """Total size of the recorded headers and bodies."""
        return self._recorded_bytes

    def has_request_id(self, request_id: str) -> bool:
        """Whether a request of any customer with this id is recorded."""
        return request_id in self._entries

    def cannot_have_run(self, request_id: str, now: float) -> bool:
        """Whether no request with this id can have run anywhere.

        True if the id is malformed, or if it names this incarnation and its
        ticket is forged, or valid with no recorded request. No other process
        runs requests with tickets of this incarnation.
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
        return state is TicketState.VALID and not self.has_request_id(
            request_id
        )

    def begin(
        self,
        customer: str,
        request_id: str,
        now: float,
        fingerprint: str = "",
    ) -> NewRequest | RepeatedRequest | Refusal:
        """Records a request before its dispatch.

        Args:
            customer: Name of the customer.
            request_id: `<ticket>/<suffix>`.
            now: Monotonic time, in seconds.
            fingerprint: Distinguishes different requests with the same id.

        Returns:
            `NewRequest` if the request may run, `RepeatedRequest` if it is
            already recorded, or a refusal.
        """
        self._evict_expired(now)
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
        entries_by_customer = self._entries.get(request_id)
        if entries_by_customer is not None and customer in entries_by_customer:
            return RepeatedRequest(entries_by_customer[customer])
        if self._entry_count >= self._max_entries:
            return Refusal(
                verdict=Verdict.NOT_RUN,
                reason="ledger_full",
                message="The instance records no more requests now.",
                retry_after_s=1.0,
            )
        entry = Entry(customer, request_id, fingerprint)
        self._entries.setdefault(request_id, {})[customer] = entry
        self._entry_count += 1
        expiry = self._tickets.expires_at(parts[0])
        heapq.heappush(self._expiry_queue, (expiry, request_id, customer))
        self._compact_expiry_queue()
        return NewRequest(entry)

    def finish(self, entry: Entry, outcome: Outcome) -> None:
        """Records the outcome of a request; later calls have no effect.

        A request that did not run is removed, so that its id can be used
        again.
        """
        if entry.outcome is not None:
            return
        if isinstance(outcome, Refusal) and outcome.verdict is Verdict.NOT_RUN:
            self._remove(entry)
            return
        if self._is_in_ledger(entry):
            entry.outcome = self._outcome_to_record(entry, outcome)
        else:
            entry.outcome = already_ran()

    def _outcome_to_record(self, entry: Entry, outcome: Outcome) -> Outcome:
        if isinstance(outcome, Refusal):
            return outcome
        body = outcome.body
        if body is None or len(body) > MAX_RECORDED_BODY_BYTES:
            return already_ran()
        size_bytes = len(body) + sum(
            len(n) + len(v) for n, v in outcome.headers
        )
        if self._recorded_bytes + size_bytes > self._max_recorded_bytes:
            return already_ran()
        entry.size_bytes = size_bytes
        self._recorded_bytes += size_bytes
        return outcome

    def _is_in_ledger(self, entry: Entry) -> bool:
        entries_by_customer = self._entries.get(entry.request_id)
        return (
            entries_by_customer is not None
            and entries_by_customer.get(entry.customer) is entry
        )

    def _remove(self, entry: Entry) -> None:
        if not self._is_in_ledger(entry):
            return
        entries_by_customer = self._entries[entry.request_id]
        del entries_by_customer[entry.customer]
        if not entries_by_customer:
            del self._entries[entry.request_id]
        self._entry_count -= 1
        self._recorded_bytes -= entry.size_bytes
        entry.size_bytes = 0

    def _compact_expiry_queue(self) -> None:
        # `_remove` leaves the item of the removed entry in the queue.
        if (
            len(self._expiry_queue)
            <= 2 * self._entry_count + _COMPACTION_SLACK_ENTRIES
        ):
            return
        live_expiries = {
            expiry
            for expiry in self._expiry_queue
            if expiry[2] in self._entries.get(expiry[1], ())
        }
        self._expiry_queue = sorted(live_expiries)

    def _evict_expired(self, now: float) -> None:
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, request_id, customer = heapq.heappop(self._expiry_queue)
            entry = self._entries.get(request_id, {}).get(customer)
            if entry is not None:
                self._remove(entry)


def already_ran() -> Refusal:
    """Returns the refusal for a repeat whose response is not recorded."""
    return Refusal(
        verdict=Verdict.RAN,
        reason="already_ran",
        message="The request ran; its answer is no longer available.",
        status=409,
    )


def malformed_request_id() -> Refusal:
    """Returns the refusal for an id other than `<ticket>/<suffix>`."""
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason="malformed_request_id",
        message="The request id must be <ticket>/<suffix>.",
        status=400,
    )
