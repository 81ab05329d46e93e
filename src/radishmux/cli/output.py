"""Output of results and errors, as JSON or as text."""

from __future__ import annotations

import enum
import json
import sys
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table
from typer.core import TyperGroup

from radishmux.cli.errors import CliError


class OutputFormat(enum.Enum):
    """Form of what a command prints."""

    JSON = "json"
    TEXT = "text"


def _remember(context: typer.Context, chosen: OutputFormat) -> OutputFormat:
    # Read again by `ErrorGroup` when the command fails.
    context.find_root().obj = chosen
    return chosen


Output = Annotated[
    OutputFormat,
    typer.Option(
        "--output",
        "-o",
        help="Form of the output.",
        callback=_remember,
        is_eager=True,
    ),
]
TEXT = OutputFormat.TEXT


class ErrorGroup(TyperGroup):
    """Turns a `CliError` into a message and an exit code."""

    def invoke(self, ctx: Any) -> Any:
        """Runs the command."""
        try:
            return super().invoke(ctx)
        except CliError as error:
            print_error(error, ctx.find_root().obj or TEXT)
            raise typer.Exit(int(error.exit_code)) from error


def print_error(error: CliError, form: OutputFormat) -> None:
    """Writes an error to standard error."""
    if form is OutputFormat.JSON:
        document = {
            "error": error.message,
            "exit_code": int(error.exit_code),
        }
        print(json.dumps(document), file=sys.stderr)
    else:
        print(f"error: {error.message}", file=sys.stderr)


def emit(result: Any, form: OutputFormat, text: str | None = None) -> None:
    """Writes a result to standard output.

    Args:
        result: Built-in objects or msgspec Structs.
        form: JSON, or text for people.
        text: The text form, where tables would not say enough.
    """
    plain = msgspec.to_builtins(result)
    if form is OutputFormat.JSON:
        print(json.dumps(plain, indent=2, ensure_ascii=False))
    elif text is not None:
        print(text)
    else:
        render(plain, Console(highlight=False, soft_wrap=True))


def render(plain: Any, console: Console) -> None:
    """Prints an object: single values as lines, lists of objects as tables."""
    if not isinstance(plain, dict):
        console.print(_cell(plain), markup=False)
        return
    for name, value in plain.items():
        if _is_table(value):
            console.print(_table(name, value))
        else:
            console.print(f"{name}: {_cell(value)}", markup=False)


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(row, dict) for row in value)
    )


def _table(title: str, rows: list[dict[str, Any]]) -> Table:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(title=title, title_justify="left", box=None)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_escape(_cell(row.get(name))) for name in columns))
    return table


def _cell(value: Any) -> str:
    if value is None or value in ({}, []):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict):
        return " ".join(f"{name}={_cell(one)}" for name, one in value.items())
    if isinstance(value, list):
        return ", ".join(_cell(one) for one in value)
    return str(value)


def _escape(text: str) -> str:
    # Square brackets are markup in tables.
    return text.replace("[", r"\[")
