"""`radishctl crashes`: lists requests under which backend servers crashed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any

import typer

from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.request_commands import LogFiles, read_logs

_SUBJECT = "request "
# Most ids listed of one request, the latest ones.
_MAX_IDS = 10


def crashing_requests(
    lines: Iterable[dict[str, Any]], digest: str = ""
) -> list[dict[str, Any]]:
    """Collects what the log entries say of requests that may crash servers.

    Args:
        lines: Log entries in the order in which they were written.
        digest: Beginning of the digests to list; empty: all.

    Returns:
        For each digest, its service, customer and route, the servers that
        crashed under it, its latest state at each instance, and the ids of
        requests. The one with most servers comes first.
    """
    found: dict[str, dict[str, Any]] = {}
    for line in lines:
        subject = line.get("subject") or ""
        is_state = subject.startswith(_SUBJECT) and "crashed" in line
        name = subject.removeprefix(_SUBJECT) if is_state else ""
        name = name or line.get("digest", "")
        if not name or not name.startswith(digest):
            continue
        entry = found.setdefault(
            name,
            {
                "digest": name,
                "belongs_to": "",
                "servers": [],
                "states": {},
                "requests": [],
            },
        )
        if is_state:
            entry["belongs_to"] = line.get("belongs_to", "")
            entry["states"][line.get("instance", "")] = line["state"]
            servers = dict.fromkeys([*entry["servers"], *line["crashed"]])
            entry["servers"] = list(servers)
        else:
            entry["requests"] = [*entry["requests"], line["request"]]
            entry["requests"] = entry["requests"][-_MAX_IDS:]
    return sorted(found.values(), key=lambda entry: -len(entry["servers"]))


def crashes_text(entries: list[dict[str, Any]]) -> str:
    """Formats the result of `crashing_requests` as text."""
    parts = []
    for entry in entries:
        parts.append(f"{entry['digest']}  {entry['belongs_to']}")
        parts.append(f"  crashed: {', '.join(entry['servers']) or 'none'}")
        parts.extend(
            f"  {state} at {instance}"
            for instance, state in entry["states"].items()
        )
        parts.append(f"  requests: {', '.join(entry['requests']) or 'none'}")
    return "\n".join(parts)


def crashes(
    log: LogFiles,
    digest: Annotated[
        str, typer.Option(help="Beginning of the digests to list.")
    ] = "",
    output: Output = TEXT,
) -> None:
    """Lists from gateways' logs the requests under which servers crashed."""
    entries = crashing_requests(read_logs(log), digest)
    emit({"requests": entries}, output, crashes_text(entries))
