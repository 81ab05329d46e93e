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
    """Output format of a command."""

    JSON = "json"
    TEXT = "text"


def _store_format(context: typer.Context, chosen: OutputFormat) -> OutputFormat:
    # `ErrorGroup` reads the format from here when the command fails.
    context.find_root().obj = chosen
    return chosen


Output = Annotated[
    OutputFormat,
    typer.Option(
        "--output",
        "-o",
        help="Output format.",
        callback=_store_format,
        is_eager=True,
    ),
]
TEXT = OutputFormat.TEXT


class ErrorGroup(TyperGroup):
    """Command group that prints a `CliError` and exits with its code."""

    def invoke(self, ctx: Any) -> Any:
        """Runs the command and handles a `CliError` that it raises."""
        try:
            return super().invoke(ctx)
        except CliError as error:
            print_error(error, ctx.find_root().obj or TEXT)
            raise typer.Exit(int(error.exit_code)) from error


def print_error(error: CliError, output_format: OutputFormat) -> None:
    """Writes an error to standard error."""
    if output_format is OutputFormat.JSON:
        document = {
            "error": error.message,
            "exit_code": int(error.exit_code),
        }
        print(json.dumps(document), file=sys.stderr)
    else:
        print(f"error: {error.message}", file=sys.stderr)


def emit(
    result: Any, output_format: OutputFormat, text: str | None = None
) -> None:
    """Writes a result to standard output.

    Args:
        result: Built-in objects or msgspec Structs.
        output_format: JSON, or text for people.
        text: Text to print in text format; by default, lines and tables.
    """
    plain = msgspec.to_builtins(result)
    if output_format is OutputFormat.JSON:
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
        return " ".join(f"{name}={_cell(item)}" for name, item in value.items())
    if isinstance(value, list):
        return ", ".join(_cell(item) for item in value)
    return str(value)


def _escape(text: str) -> str:
    # rich reads square brackets in table cells as markup.
    return text.replace("[", r"\[")
