"""Checks the ledger against a naive model.

A request with the verdict "not run" has not run (invariant I7), and a
non-idempotent request runs at most once (invariant I8).
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.exchange import BackendResponse
from radishmux.once.ledger import (
    MAX_RECORDED_BODY_BYTES,
    NewRequest,
    RepeatedRequest,
    RequestLedger,
)
from radishmux.once.tickets import TICKET_LIFETIME_S, TicketIssuer, TicketState
from radishmux.verdict import Refusal, Verdict

CUSTOMERS = ("alice", "bob")
OUTCOMES = ("not_run", "may_have_run", "small", "large")

step_strategy = st.one_of(
    st.tuples(
        st.just("begin"),
        st.sampled_from(CUSTOMERS),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    st.tuples(st.just("finish"), st.integers(0, 9), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("advance"), st.sampled_from((0.5, 60.0, 599.0))),
)


def _outcome(kind: str):
    if kind in ("not_run", "may_have_run"):
        return Refusal(verdict=Verdict(kind), reason=kind, message="m")
    size = 10 if kind == "small" else MAX_RECORDED_BODY_BYTES + 1
    return BackendResponse(200, [], b"x" * size)


@settings(max_examples=300, deadline=None)
@given(st.lists(step_strategy, max_size=60))
def test_ledger_agrees_with_a_naive_model(steps):
    """Guards against a second run, a lost record and a wrong refusal."""
    issuer = TicketIssuer("i1", 7, key=b"k")
    ledger = RequestLedger(issuer, max_entries=4)
    now = 1000.0
    tickets = [(issuer.issue(now), now)] * 1
    tickets += [(issuer.issue(now + 100), now + 100)]
    tickets += [(issuer.issue(now + 400), now + 400)]
    # "running", or the kind of the outcome, by customer and request id.
    states_by_key: dict[tuple[str, str], str] = {}
    running_entries = []
    for step in steps:
        if step[0] == "advance":
            now += step[1]
        elif step[0] == "begin":
            _, customer, ticket_number, suffix = step
            ticket, issued_at = tickets[ticket_number]
            request_id = f"{ticket}/{suffix}"
            key = (customer, request_id)
            live_states = {
                live_key: state
                for live_key, state in states_by_key.items()
                if now < _issued_at(tickets, live_key[1]) + TICKET_LIFETIME_S
            }
            result = ledger.begin(customer, request_id, now)
            if now >= issued_at + TICKET_LIFETIME_S:
                assert result.verdict is Verdict.MAY_HAVE_RUN
            elif key in live_states:
                assert isinstance(result, RepeatedRequest)
                expected = {
                    "running": None,
                    "may_have_run": Verdict.MAY_HAVE_RUN,
                }.get(live_states[key], Verdict.RAN)
                outcome = result.outcome
                assert (outcome and outcome.verdict) == expected
                assert isinstance(outcome, BackendResponse) == (
                    live_states[key] == "small"
                )
            elif len(live_states) >= 4:
                assert result.reason == "ledger_full"
                assert result.verdict is Verdict.NOT_RUN
            else:
                assert isinstance(result, NewRequest)
                states_by_key[key] = "running"
                running_entries.append((key, result.entry))
        elif running_entries:
            key, entry = running_entries.pop(step[1] % len(running_entries))
            ledger.finish(entry, _outcome(step[2]))
            if step[2] == "not_run":
                del states_by_key[key]
            else:
                states_by_key[key] = step[2]
        assert len(ledger) <= 4


def _issued_at(tickets, request_id: str) -> float:
    ticket = request_id.split("/")[0]
    return next(issued_at for issued, issued_at in tickets if issued == ticket)


def test_tickets_of_other_incarnations_and_forged_tickets_are_rejected():
    """Guards against running an id that another process may have run.

    A restarted instance has no records of its earlier incarnation.
    """
    issuer = TicketIssuer("i1", 7)
    ticket = issuer.issue(5.0)
    assert issuer.state(ticket, 6.0) is TicketState.VALID
    later_issuer = TicketIssuer("i1", 8)
    owner = later_issuer.owner_of(ticket)
    assert owner is not None and not later_issuer.is_this_incarnation(owner)
    forged = ticket.replace("~5000~", "~9000~")
    assert issuer.state(forged, 6.0) is TicketState.FORGED
    ledger = RequestLedger(issuer)
    assert not RequestLedger(later_issuer).cannot_have_run(f"{ticket}/1", 6.0)
    assert ledger.cannot_have_run(f"{ticket}/1", 6.0)
    assert not ledger.cannot_have_run(f"{ticket}/1", 605.0)
    ledger.begin("alice", f"{ticket}/1", 6.0)
    assert not ledger.cannot_have_run(f"{ticket}/1", 6.0)
