"""Checks the rules of duties and of refusals after a wait; pure.

They are stricter than the users': calls count when they reach the API, also
those that it does not accept, and no fault excuses a holder.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

from soak.checks import CHECKS, NOT_RUN, Violation
from soak.components import LEASE_S
from soak.records import DutyCall, History

# A process makes no call within this time of its start, since it waits for a
# lease first. Calls of the process before it may still arrive.
_START_S = 1.0
# A refusal that took longer came after a wait.
_WAITED_S = 0.3


def _process(history: History, call: DutyCall) -> str:
    """Returns the name of the process that made a call."""
    starts = history.starts.get(call.holder, [])
    number = sum(one + _START_S <= call.at for one in starts)
    return f"{call.holder}#{number}"


def _by_arrival(history: History) -> list[DutyCall]:
    return sorted(history.duty_calls, key=lambda one: one.at)


@CHECKS.register("DUTY_TOKEN")
def _tokens(history: History) -> Iterator[Violation]:
    """No two holders use the same token."""
    holders: dict[int, str] = {}
    for call in _by_arrival(history):
        process = _process(history, call)
        first = holders.setdefault(call.token, process)
        if process != first:
            detail = f"token {call.token} of {first} and {process}"
            yield Violation("DUTY_TOKEN", call.at, detail)


@CHECKS.register("DUTY_ORDER")
def _order(history: History) -> Iterator[Violation]:
    """Tokens never go back, and holders never act A, B, A within a lease."""
    highest = 0
    acted: dict[str, float] = {}
    latest = ""
    for call in _by_arrival(history):
        process = _process(history, call)
        if call.token < highest:
            detail = f"{process} with token {call.token} after {highest}"
            yield Violation("DUTY_ORDER", call.at, detail)
        highest = max(highest, call.token)
        if call.holder != latest:
            ago_s = call.at - acted.get(call.holder, float("-inf"))
            if ago_s <= LEASE_S:
                detail = f"{process}, {latest} and {process} in {ago_s:.2f} s"
                yield Violation("DUTY_ORDER", call.at, detail)
        latest = call.holder
        acted[latest] = call.at


@CHECKS.register("DUTY_REPORT")
def _reports(history: History) -> Iterator[Violation]:
    """All reports of one window are equal."""
    known: dict[int, DutyCall] = {}
    for call in _by_arrival(history):
        first = known.setdefault(call.window, call)
        if call.counts != first.counts:
            detail = (
                f"window {call.window}: {first.counts} of {first.holder},"
                f" {call.counts} of {call.holder}"
            )
            yield Violation("DUTY_REPORT", call.at, detail)


@CHECKS.register("DUTY_FENCED")
def _fenced(history: History) -> Iterator[Violation]:
    """A holder that got 409 makes no call with its token after a lease."""
    fenced_at: dict[tuple[str, int], float] = {}
    for call in _by_arrival(history):
        holder = (_process(history, call), call.token)
        since = fenced_at.get(holder, float("inf"))
        if call.status == 409 and call.is_answered:
            fenced_at[holder] = min(call.ended_at, since)
        late_s = call.at - since
        if late_s > LEASE_S:
            detail = f"{holder[0]} with token {call.token}, {late_s:.2f} s"
            yield Violation("DUTY_FENCED", call.at, f"{detail} after its 409")


@CHECKS.register("NOT_RUN")
def _refused_repeatable(history: History) -> Iterator[Violation]:
    """REFUSED for requests that may be repeated."""
    ran = {run.id: run.server for run in history.runs}
    for call in history.calls:
        if call.status in NOT_RUN and call.idempotent and call.id in ran:
            waited_s = call.ended_at - call.sent_at
            detail = f"{call.id}: {call.status} after {waited_s:.2f} s"
            yield Violation(
                "NOT_RUN", call.sent_at, f"{detail}, ran at {ran[call.id]}"
            )


def summary(history: History) -> str:
    """Returns what the checks of this module had to look at."""
    statuses = collections.Counter(one.status for one in history.duty_calls)
    accepted = [one for one in history.duty_calls if one.status == 200]
    refused = [one for one in history.calls if one.status == 503]
    waited = sum(one.ended_at - one.sent_at > _WAITED_S for one in refused)
    return (
        f"duty: {len(history.duty_calls)} calls {dict(statuses)},"
        f" {len({one.window for one in accepted})} windows,"
        f" {len({one.token for one in history.duty_calls})} tokens;"
        f" {len(refused)} answers 503, {waited} of them after a wait"
    )
