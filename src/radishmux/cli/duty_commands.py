"""`radishctl duties`: lists who has done the work for the fleet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.request_commands import LogFiles, read_logs

_DUTY = "duty "
_WINDOW = "usage window "
_HELD = "held"
# States of a window that the API has accepted.
_SENT = frozenset({"sent", "late", "repeated"})
# Windows of which something went wrong; the latest ones are listed.
_PROBLEMS = frozenset(
    {"late", "incomplete", "missed", "refused", "not accepted"}
)
_MAX_PROBLEMS = 20


def duty_holders(lines: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Collects what the log entries say of the fleet's duties.

    Args:
        lines: Log entries of all instances, in any order.

    Returns:
        For each duty, the latest holder (empty if it has lost the duty since),
        since when, its token, the number of changes, the last window sent, and
        the windows of which something went wrong.
    """
    found: dict[str, dict[str, Any]] = {}
    windows: dict[str, Any] = {"last_window": 0, "problems": []}
    for line in sorted(lines, key=lambda one: str(one.get("time", ""))):
        subject = str(line.get("subject") or "")
        if subject.startswith(_DUTY):
            _apply_change(found, subject.removeprefix(_DUTY), line)
        elif subject.startswith(_WINDOW):
            _apply_window(windows, subject.removeprefix(_WINDOW), line)
    return [
        {"duty": name, **entry, **windows}
        for name, entry in sorted(found.items())
    ]


def duties_text(entries: list[dict[str, Any]]) -> str:
    """Formats the result of `duty_holders` as text."""
    parts = []
    for entry in entries:
        holder = entry["holder"] or f"nobody ({entry['reason']})"
        parts.append(
            f"{entry['duty']}  {holder} since {entry['since']},"
            f" token {entry['token']}, {entry['changes']} changes"
        )
        parts.append(f"  last window sent: {entry['last_window'] or 'none'}")
        parts.extend(f"  {problem}" for problem in entry["problems"])
    return "\n".join(parts)


def duties(log: LogFiles, output: Output = TEXT) -> None:
    """Lists from gateways' logs who holds which duty, and since when."""
    entries = duty_holders(read_logs(log))
    emit({"duties": entries}, output, duties_text(entries))


def _apply_change(
    found: dict[str, dict[str, Any]], duty: str, line: dict[str, Any]
) -> None:
    entry = found.setdefault(
        duty,
        {"holder": "", "since": "", "token": 0, "reason": "", "changes": 0},
    )
    token = line.get("token") or 0
    is_held = line.get("state") == _HELD
    if token < entry["token"]:
        # An earlier holder that has noticed its loss late.
        return
    entry["holder"] = line.get("instance", "") if is_held else ""
    entry["since"] = line.get("time", "")
    entry["token"] = token
    entry["reason"] = line.get("reason", "")
    entry["changes"] += is_held


def _apply_window(
    windows: dict[str, Any], window: str, line: dict[str, Any]
) -> None:
    state = line.get("state")
    if state in _SENT and window.isdigit():
        windows["last_window"] = max(windows["last_window"], int(window))
    if state in _PROBLEMS:
        reason = line.get("reason") or line.get("outcome") or ""
        missing = line.get("missing")
        detail = f", {missing} instances missing" if missing else ""
        text = f"window {window} {state} at {line.get('instance', '')}"
        text += f": {reason}" if reason else ""
        windows["problems"] = [*windows["problems"], text + detail]
        windows["problems"] = windows["problems"][-_MAX_PROBLEMS:]
