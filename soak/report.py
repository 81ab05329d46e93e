"""Shows what a run saw, with a timeline."""

from __future__ import annotations

import collections

from rich.console import Console
from rich.table import Table

from soak.duty_checks import summary
from soak.run import Outcome

_COLUMNS = 60
_MARKS = {
    "gateway": "g",
    "store": "s",
    "server": "b",
    "servers": "b",
    "holder": "g",
    "api": "a",
    "callers": "c",
    "crashing": "x",
    "configuration": "o",
    "key": "o",
}


def show(outcome: Outcome, console: Console) -> None:
    """Prints counts, the timeline and the broken rules."""
    schedule = outcome.schedule
    statuses = collections.Counter(
        call.status or "none" for call in outcome.history.calls
    )
    console.print(
        f"seed {schedule.seed}: {schedule.gateways} gateways"
        f" (full mesh up to {schedule.full_mesh_max}), {schedule.servers}"
        f" servers, {len(schedule.faults)} faults; {outcome.calls} calls,"
        f" {outcome.served} served, {outcome.runs} runs"
    )
    console.print(f"answers: {dict(statuses.most_common())}")
    console.print(summary(outcome.history))
    console.print(timeline(outcome))
    for one in outcome.violations:
        console.print(
            f"BROKEN {one.rule} at {_at(outcome, one.at)}: {one.detail}"
        )
    if not outcome.violations:
        console.print("no rule broken")


def timeline(outcome: Outcome) -> Table:
    """Returns faults and the part of requests served, over time."""
    history = outcome.history
    started_at = min((call.sent_at for call in history.calls), default=0.0)
    step_s = max(1e-3, history.ended_at - started_at) / _COLUMNS
    table = Table(box=None, show_header=False, padding=(0, 1))
    rows: dict[str, list[str]] = {}
    for one in (*history.disruptions, *history.api_faults):
        row = rows.setdefault(one.target or "store", [" "] * _COLUMNS)
        first = int((one.since - started_at) / step_s)
        until = min(one.until, history.ended_at)
        last = int((until - started_at) / step_s)
        mark = _MARKS[one.kind.partition("_")[0]]
        for column in range(max(0, first), min(_COLUMNS, last + 1)):
            row[column] = mark
    for name in sorted(rows):
        table.add_row(name, "".join(rows[name]))
    if history.stalls:
        table.add_row("the run stood still", _stalls(outcome, started_at))
    table.add_row("served", _served(outcome, started_at, step_s))
    table.add_row("", f"0 s, {step_s * _COLUMNS:.0f} s at the end")
    return table


def _stalls(outcome: Outcome, started_at: float) -> str:
    return ", ".join(
        f"{one.since - started_at:.1f} s for {one.until - one.since:.2f} s"
        for one in outcome.history.stalls
    )


def _served(outcome: Outcome, started_at: float, step_s: float) -> str:
    """Returns a digit for each column: tenths of the requests served."""
    counts = [[0, 0] for _ in range(_COLUMNS)]
    for call in outcome.history.calls:
        column = min(_COLUMNS - 1, int((call.sent_at - started_at) / step_s))
        counts[column][0] += 1
        counts[column][1] += call.status == 200
    return "".join(
        " " if not sent else str(min(9, 10 * served // sent))
        for sent, served in counts
    )


def _at(outcome: Outcome, moment: float) -> str:
    first = min(call.sent_at for call in outcome.history.calls)
    return f"{moment - first:.2f} s"
