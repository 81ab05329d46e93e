"""`radishctl request`: explains a request from the logs of gateways."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import msgspec
import typer

from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit

# State changes of a server or the instance that are shown with a request.
_MAX_CHANGES = 5


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of a log.

    Whatever stands before the first brace of a line is dropped, since
    platforms put their own time and machine there; other lines are skipped.
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


def explain(request: str, lines: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Returns what the logs say about a request.

    Args:
        request: Id of the request.
        lines: Structured lines in the order in which they were written.

    Returns:
        The lines about it, each with the last changes of state, before it and
        on the same instance, of the servers that it was sent to, of the
        configuration and of the store.
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
                    "known": _known(line, instance, changes),
                }
            )
    return {"request": request, "answers": found}


def _known(
    line: dict[str, Any],
    instance: str,
    changes: dict[tuple[str, str], dict[str, Any]],
) -> list[dict[str, Any]]:
    subjects = [
        f"backend server {attempt['server']}"
        for attempt in line.get("attempts", ())
    ]
    subjects += ["configuration", "store", "instance"]
    known = [
        changes[(instance, subject)]
        for subject in subjects
        if (instance, subject) in changes
    ]
    return known[:_MAX_CHANGES]


def describe(result: dict[str, Any]) -> str:
    """Returns an explanation for people."""
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
        if "last_failure" in line:
            parts.append(f"    last failure: {line['last_failure']}")
        if "detail" in line:
            parts.append(f"    {line['detail']}")
        parts.extend(
            f"    known: {one['subject']} was {one['state']}"
            f" since {one['time']}"
            for one in answer["known"]
        )
    return "\n".join(parts)


def request(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    log: Annotated[
        list[pathlib.Path],
        typer.Option("--log", help="Log file of a gateway; may be repeated."),
    ],
    output: Output = TEXT,
) -> None:
    """Explains how a request was answered, from gateways' log files."""
    lines: list[dict[str, Any]] = []
    for path in log:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{path}: {error.strerror}"
            raise CliError(message, ExitCode.WRONG_INPUT) from error
        lines.extend(read_lines(text.splitlines()))
    result = explain(request_id, lines)
    if not result["answers"]:
        raise CliError(f"no line about {request_id}", ExitCode.NOT_FOUND)
    emit(result, output, describe(result))
