"""Waits for a configuration version, with progress on standard error."""

from __future__ import annotations

import asyncio
import time
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from radishmux.cli.connection import fetch_all, run
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import OutputFormat
from radishmux.outcome import Unavailable

# A version is in force on all instances within 5 s (I11); the rest is margin.
_IN_FORCE_TIMEOUT_S = 15.0
_POLL_S = 0.2

WaitAddresses = Annotated[
    list[str],
    typer.Option(
        "--wait",
        help="Admin address of an instance on which to wait for the change;"
        " may be repeated.",
    ),
]


def progress_display(output_format: OutputFormat) -> Progress:
    """Returns a progress display, disabled for JSON and outside terminals."""
    console = Console(stderr=True)
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:g}/{task.total:g}"),
        TimeElapsedColumn(),
        console=console,
        disable=output_format is OutputFormat.JSON or not console.is_terminal,
        transient=True,
    )


def wait_in_force(
    addresses: list[str], version: int, output_format: OutputFormat
) -> None:
    """Waits until a configuration version is in force on all given instances.

    Raises:
        CliError: The version is not in force on some instances after 15 s;
            the message names them.
    """
    if addresses:
        run(_wait_in_force(addresses, version, output_format))


async def _wait_in_force(
    addresses: list[str], version: int, output_format: OutputFormat
) -> None:
    deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
    pending = list(addresses)
    with progress_display(output_format) as progress:
        task = progress.add_task(
            f"version {version} in force", total=len(addresses)
        )
        while pending and time.monotonic() < deadline:
            answers = await fetch_all(pending, "/v1/status")
            pending = [
                address
                for address, status in answers.items()
                if isinstance(status, Unavailable)
                or status.get("config_version", 0) < version
            ]
            progress.update(task, completed=len(addresses) - len(pending))
            if pending:
                await asyncio.sleep(_POLL_S)
    if pending:
        names = ", ".join(pending)
        raise CliError(
            f"version {version} is stored but not in force on {names}"
            f" after {_IN_FORCE_TIMEOUT_S:g} s",
            ExitCode.UNAVAILABLE,
        )
