"""Waits with a progress display on standard error."""

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

# A version is in force everywhere within 5 s (I11); the rest is margin.
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


def progress_display(form: OutputFormat) -> Progress:
    """Returns a display that is silent for JSON and outside terminals."""
    console = Console(stderr=True)
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:g}/{task.total:g}"),
        TimeElapsedColumn(),
        console=console,
        disable=form is OutputFormat.JSON or not console.is_terminal,
        transient=True,
    )


def wait_in_force(
    addresses: list[str], version: int, form: OutputFormat
) -> None:
    """Waits until instances have a version of the configuration in force.

    Raises:
        CliError: Some have not after 15 s; the message names them.
    """
    if addresses:
        run(_wait_in_force(addresses, version, form))


async def _wait_in_force(
    addresses: list[str], version: int, form: OutputFormat
) -> None:
    ends = time.monotonic() + _IN_FORCE_TIMEOUT_S
    behind = list(addresses)
    with progress_display(form) as progress:
        task = progress.add_task(
            f"version {version} in force", total=len(addresses)
        )
        while behind and time.monotonic() < ends:
            answers = await fetch_all(behind, "/v1/status")
            behind = [
                address
                for address, status in answers.items()
                if isinstance(status, Unavailable)
                or status.get("config_version", 0) < version
            ]
            progress.update(task, completed=len(addresses) - len(behind))
            if behind:
                await asyncio.sleep(_POLL_S)
    if behind:
        names = ", ".join(behind)
        raise CliError(
            f"version {version} is stored but not in force on {names}",
            ExitCode.UNAVAILABLE,
        )
