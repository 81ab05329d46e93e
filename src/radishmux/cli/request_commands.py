"""`radishctl request`: explains a request from the logs of gateways."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import msgspec
import typer

from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit

# Most state changes shown with one request.
_MAX_STATE_CHANGES = 5

LogFiles = Annotated[
    list[pathlib.Path],
    typer.Option("--log", help="Log file of a gateway; may be repeated."),
]


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the JSON objects in the lines of a log.

    Text before the first brace of a line is dropped, because platforms prefix
    lines with a time and a machine name. Lines without an object are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = msgspec.json.decode(line[start:].strip())
        except msgspec.DecodeError:
            continue
        if isinstance(found, dict):
            yield found


def read_logs(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Returns the log entries in some files, one file after the other.

    Raises:
        CliError: A file cannot be read.
    """
    lines: list[dict[str, Any]] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{path}: {error.strerror}"
            raise CliError(message, ExitCode.WRONG_INPUT) from error
        lines.extend(read_lines(text.splitlines()))
    return lines


def explain(request: str, lines: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Collects the log entries about a request.

    Args:
        request: Id of the request.
        lines: Log entries in the order in which they were written.

    Returns:
        The entries about the request. Each comes with the latest earlier state
        changes on the same instance: of the servers that received the request,
        the configuration, the store and the instance itself.
    """
    changes: dict[tuple[str, str], dict[str, Any]] = {}
    found = []
    for line in lines:
        instance = line.get("instance", "")
        subject = line.get("subject")
        if subject is not None:
            changes[(instance, subject)] = line
        elif line.get("request") == request:
            found.append(
                {
                    "decision": line,
                    "known": _earlier_changes(line, instance, changes),
                }
            )
    return {"request": request, "answers": found}


def _earlier_changes(
    line: dict[str, Any],
    instance: str,
    changes: dict[tuple[str, str], dict[str, Any]],
) -> list[dict[str, Any]]:
    subjects = [
        f"backend server {attempt['server']}"
        for attempt in line.get("attempts", ())
    ]
    if "digest" in line:
        subjects.append(f"request {line['digest']}")
    subjects += [
        "contact with backend servers",
        "configuration",
        "store",
        "instance",
    ]
    known = [
        changes[(instance, subject)]
        for subject in subjects
        if (instance, subject) in changes
    ]
    return known[:_MAX_STATE_CHANGES]


def explanation_text(result: dict[str, Any]) -> str:
    """Formats the result of `explain` as text."""
    parts = [f"request {result['request']}"]
    for answer in result["answers"]:
        line = answer["decision"]
        parts.append(
            f"  {line['time']}  {line['instance']}: {line['outcome']}"
            f" after {line.get('ms', 0)} ms, configuration"
            f" {line['config_version']:08x}"
        )
        if "route" in line:
            customer = line.get("customer", "nobody")
            parts.append(
                f"    route {line['route']} of service {line['service']},"
                f" customer {customer}"
            )
        for attempt in line.get("attempts", ()):
            warm = "warm" if attempt["warm"] else "not known to be warm"
            parts.append(
                f"    sent to {attempt['server']}: {attempt['expected_ms']} ms"
                f" expected, {attempt['load']} requests there, {warm}"
            )
        parts.extend(
            f"    passed to {peer}, which reaches servers"
            for peer in line.get("relayed_via", ())
        )
        if "digest" in line:
            parts.append(f"    digest {line['digest']}")
        parts.extend(
            f"    {server} broke the connection before an answer began"
            for server in line.get("broken", ())
        )
        if "last_failure" in line:
            parts.append(f"    last failure: {line['last_failure']}")
        if "detail" in line:
            parts.append(f"    {line['detail']}")
        parts.extend(
            f"    known: {change['subject']} was {change['state']}"
            f" since {change['time']}"
            for change in answer["known"]
        )
    return "\n".join(parts)


def request(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    log: LogFiles,
    output: Output = TEXT,
) -> None:
    """Explains from gateways' log files how a request was answered."""
    result = explain(request_id, read_logs(log))
    if not result["answers"]:
        raise CliError(
            f"no log entry about request {request_id}", ExitCode.NOT_FOUND
        )
    emit(result, output, explanation_text(result))
