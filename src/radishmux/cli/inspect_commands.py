"""`radishctl status`, `explain` and `report`."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Annotated, Any

import typer
from msgspec.structs import replace

from radishmux.cli.connection import (
    DEFAULT_ADMIN,
    DEFAULT_STORE,
    AdminAddresses,
    StoreAddresses,
    fetch_all,
    read_document,
    run,
)
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.shift_records import read_shifts, report_text
from radishmux.config.model import Shift
from radishmux.outcome import NotFound, Unavailable
from radishmux.shift.document import ShiftRecord
from radishmux.shift.plan import Planner
from radishmux.shift.report import build_report

_MS_PER_S = 1e3


def status(
    admin: AdminAddresses = DEFAULT_ADMIN, output: Output = TEXT
) -> None:
    """Shows the state of instances."""
    answers = run(fetch_all(admin, "/v1/status"))
    reached = [
        answer for answer in answers.values() if not _is_unavailable(answer)
    ]
    rows = []
    for address, answer in answers.items():
        if isinstance(answer, Unavailable):
            rows.append({"admin": address, "error": answer.reason})
        else:
            rows.append({"admin": address, **answer})
    single = len(rows) == 1 and bool(reached)
    emit(rows[0] if single else {"instances": rows}, output)
    if not reached:
        raise CliError("no instance responded", ExitCode.UNAVAILABLE)


def explain(
    trace_id: Annotated[
        str, typer.Argument(help="Trace id, from the traceparent header.")
    ],
    admin: AdminAddresses = DEFAULT_ADMIN,
    output: Output = TEXT,
) -> None:
    """Explains how a traced request was handled."""
    explanations = run(fetch_all(admin, f"/v1/explain/{trace_id}"))
    traces = run(fetch_all(admin, f"/v1/traces/{trace_id}"))
    spans = merge_spans(list(traces.values()))
    found = {
        address: answer
        for address, answer in explanations.items()
        if not _is_unavailable(answer) and answer
    }
    if not spans and not found:
        _raise_no_trace(trace_id, [*explanations.values()])
    result = {"trace_id": trace_id, "explanations": found, "spans": spans}
    emit(result, output, explanation_text(result))


def report(
    shift: Annotated[
        str | None, typer.Argument(help="Name of a shift; default: all shifts.")
    ] = None,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Prints a plain-language report on shifts."""
    records = run(read_shifts(store)).shifts
    shifts = run(read_document(store)).configuration.shifts
    found = [
        record
        for record in (*records, *proposed_shifts(shifts, records, time.time()))
        if shift in (None, record.name)
    ]
    if shift is not None and not found:
        raise CliError(f"no shift named {shift}", ExitCode.NOT_FOUND)
    reports = [build_report(record, time.time()) for record in found]
    text = "\n\n".join(map(report_text, reports)) or "There are no shifts."
    emit({"reports": reports}, output, text)


def proposed_shifts(
    shifts: Iterable[Shift], records: Iterable[ShiftRecord], now: float
) -> list[ShiftRecord]:
    """Returns records of the shifts that no controller has accepted yet.

    Args:
        shifts: The shifts of the configuration.
        records: Records that controllers have stored.
        now: Unix time.
    """
    known = {record.name for record in records}
    planner = Planner()
    return [
        replace(planner.propose(shift, 0, False, now), accepted_at=0.0)
        for shift in shifts
        if shift.name not in known
    ]


def merge_spans(answers: list[Any]) -> list[dict[str, Any]]:
    """Merges spans of several instances, without duplicates, by start time."""
    spans: dict[str, dict[str, Any]] = {}
    for answer in answers:
        if _is_unavailable(answer):
            continue
        listed = answer.get("spans", []) if isinstance(answer, dict) else answer
        for span in listed:
            spans.setdefault(span["span_id"], span)
    return sorted(spans.values(), key=lambda span: span["start_unix_s"])


def span_tree(spans: list[dict[str, Any]]) -> list[str]:
    """Returns one line per span, indented below its parent."""
    known = {span["span_id"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = {}
    for span in spans:
        parent = span["parent_id"] if span["parent_id"] in known else ""
        children.setdefault(parent, []).append(span)
    lines: list[str] = []

    def add(parent: str, depth: int) -> None:
        for span in children.get(parent, []):
            lines.append("  " * depth + _span_line(span))
            add(span["span_id"], depth + 1)

    add("", 0)
    return lines


def explanation_text(result: dict[str, Any]) -> str:
    """Formats the result of `explain` as text."""
    lines = [f"trace {result['trace_id']}"]
    for address, answer in result["explanations"].items():
        lines.append(f"explained by {address}:")
        lines.extend(f"  {line}" for line in _answer_lines(answer))
    if result["spans"]:
        lines.append("spans:")
        lines.extend(f"  {line}" for line in span_tree(result["spans"]))
    return "\n".join(lines)


def _span_line(span: dict[str, Any]) -> str:
    attributes = " ".join(
        f"{name}={value}" for name, value in span["attributes"].items()
    )
    duration_ms = span["duration_s"] * _MS_PER_S
    error = f" error: {span['error']}" if span.get("error") else ""
    return (
        f"{span['name']} on {span['instance']}: {duration_ms:.2f} ms"
        f" {attributes}{error}".rstrip()
    )


def _answer_lines(answer: Any) -> list[str]:
    if isinstance(answer, dict):
        return [f"{name}: {value}" for name, value in answer.items()]
    if isinstance(answer, list):
        return [str(item) for item in answer]
    return [str(answer)]


def _is_unavailable(answer: Any) -> bool:
    return isinstance(answer, Unavailable)


def _raise_no_trace(trace_id: str, answers: list[Any]) -> None:
    if all(
        _is_unavailable(answer) and not isinstance(answer, NotFound)
        for answer in answers
    ):
        raise CliError("no instance responded", ExitCode.UNAVAILABLE)
    raise CliError(
        f"no instance has spans of trace {trace_id}: it was not sampled, or"
        " its spans were dropped",
        ExitCode.NOT_FOUND,
    )
