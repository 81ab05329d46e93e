"""`radishctl refusals`: counts what gateways refused, and why."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any

import typer

from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.request_commands import LogFiles, read_logs

_ANSWERED = "answered"
# Outcomes that begin with none of these are refusals.
_NOT_REFUSED = (_ANSWERED, "caller_left", "connection_ends", "cancelled")
_RELAYED = "relayed"


def refusals_by_reason(
    lines: Iterable[dict[str, Any]], service: str = ""
) -> list[dict[str, Any]]:
    """Counts the refused requests by service, class and reason.

    Args:
        lines: Log entries.
        service: The only service to count; empty: all.

    Returns:
        For each service and class, the requests that ended, the share that
        was answered, and the refusals by reason; sorted by service and class,
        requests that were refused before their class was known last.
    """
    found: dict[tuple[str, int | None], dict[str, Any]] = {}
    for line in lines:
        outcome = line.get("outcome", "")
        if line.get("event") != "request" or outcome == _RELAYED:
            continue
        name = line.get("service", "")
        if service and name != service:
            continue
        priority = line.get("priority")
        entry = found.setdefault(
            (name, priority),
            {
                "service": name,
                "priority": priority,
                "requests": 0,
                "answered": 0,
                "refused": {},
            },
        )
        entry["requests"] += 1
        entry["answered"] += outcome.startswith(_ANSWERED)
        if not outcome.startswith(_NOT_REFUSED):
            reason = line.get("no_room") or outcome.split(" ")[0]
            refused = entry["refused"]
            refused[reason] = refused.get(reason, 0) + 1
    return [
        found[key]
        for key in sorted(
            found, key=lambda key: (not key[0], key[0], key[1] or 0)
        )
    ]


def refusals_text(entries: list[dict[str, Any]]) -> str:
    """Formats the result of `refusals_by_reason` as text."""
    parts = []
    for entry in entries:
        name = entry["service"] or "without a service"
        priority = entry["priority"]
        if priority is not None:
            name += f", class {priority}"
        parts.append(
            f"{name}: {entry['answered']} of {entry['requests']} answered"
        )
        parts.extend(
            f"  {reason}: {count}"
            for reason, count in sorted(
                entry["refused"].items(), key=lambda item: -item[1]
            )
        )
    return "\n".join(parts)


def refusals(
    log: LogFiles,
    service: Annotated[
        str, typer.Option(help="The only service to list.")
    ] = "",
    output: Output = TEXT,
) -> None:
    """Counts refused requests in gateways' logs by service, class, reason."""
    entries = refusals_by_reason(read_logs(log), service)
    emit({"refusals": entries}, output, refusals_text(entries))
