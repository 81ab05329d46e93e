"""Guards the at-most-once decision against a naive model (I7, I8)."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.exchange import Answer
from radishmux.once.ledger import (
    MAX_RECORDED_BODY_BYTES,
    Begun,
    Repeat,
    RequestLedger,
)
from radishmux.once.tickets import TICKET_LIFE_S, TicketIssuer, TicketState
from radishmux.verdict import Refusal, Verdict

CUSTOMERS = ("alice", "bob")
OUTCOMES = ("not_run", "may_have_run", "small", "large")

step = st.one_of(
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
    return Answer(200, [], b"x" * size)


@settings(max_examples=300, deadline=None)
@given(st.lists(step, max_size=60))
def test_ledger_agrees_with_a_naive_record(steps):
    """Guards against a second run, a lost record and a false refusal."""
    issuer = TicketIssuer("i1", 7, key=b"k")
    ledger = RequestLedger(issuer, max_entries=4)
    now = 1000.0
    tickets = [(issuer.issue(now), now)] * 1
    tickets += [(issuer.issue(now + 100), now + 100)]
    tickets += [(issuer.issue(now + 400), now + 400)]
    model: dict[tuple[str, str], str] = {}  # running, may_have_run, ...
    open_entries = []
    for one in steps:
        if one[0] == "advance":
            now += one[1]
        elif one[0] == "begin":
            _, customer, ticket_number, suffix = one
            ticket, issued = tickets[ticket_number]
            request_id = f"{ticket}/{suffix}"
            key = (customer, request_id)
            live = {
                known: state
                for known, state in model.items()
                if now < _issued(tickets, known[1]) + TICKET_LIFE_S
            }
            result = ledger.begin(customer, request_id, now)
            if now >= issued + TICKET_LIFE_S:
                assert result.verdict is Verdict.MAY_HAVE_RUN
            elif key in live:
                assert isinstance(result, Repeat)
                expected = {
                    "running": None,
                    "may_have_run": Verdict.MAY_HAVE_RUN,
                }.get(live[key], Verdict.RAN)
                outcome = result.outcome
                assert (outcome and outcome.verdict) == expected
                assert isinstance(outcome, Answer) == (live[key] == "small")
            elif len(live) >= 4:
                assert result.reason == "ledger_full"
                assert result.verdict is Verdict.NOT_RUN
            else:
                assert isinstance(result, Begun)
                model[key] = "running"
                open_entries.append((key, result.entry))
        elif open_entries:
            key, entry = open_entries.pop(one[1] % len(open_entries))
            ledger.finish(entry, _outcome(one[2]))
            if one[2] == "not_run":
                del model[key]
            else:
                model[key] = one[2]
        assert len(ledger) <= 4


def _issued(tickets, request_id: str) -> float:
    ticket = request_id.split("/")[0]
    return next(issued for one, issued in tickets if one == ticket)


def test_a_ticket_of_another_incarnation_or_a_changed_one_is_no_ticket():
    """Guards against running an id whose record another process lost."""
    issuer = TicketIssuer("i1", 7)
    ticket = issuer.issue(5.0)
    assert issuer.state(ticket, 6.0) is TicketState.VALID
    later = TicketIssuer("i1", 8)
    owner = later.owner_of(ticket)
    assert owner is not None and not later.is_this_incarnation(owner)
    forged = ticket.replace("~5000~", "~9000~")
    assert issuer.state(forged, 6.0) is TicketState.FORGED
    ledger = RequestLedger(issuer)
    assert not RequestLedger(later).cannot_have_run(f"{ticket}/1", 6.0)
    assert ledger.cannot_have_run(f"{ticket}/1", 6.0)
    assert not ledger.cannot_have_run(f"{ticket}/1", 605.0)
    ledger.begin("alice", f"{ticket}/1", 6.0)
    assert not ledger.cannot_have_run(f"{ticket}/1", 6.0)
