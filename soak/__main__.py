"""`python -m soak`: plays seeds, replays cases and cuts them down."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from typing import Annotated

import msgspec
import typer
from rich.console import Console

from soak.checks import RECOVERY_S
from soak.component_faults import draw
from soak.faults import Schedule
from soak.report import show
from soak.run import Outcome, play
from soak.shrink import shrink

app = typer.Typer(add_completion=False)
_console = Console(width=120)


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Time in which faults are injected.")
    ] = 20.0,
    recovery: Annotated[
        float, typer.Option(help="Load after the faults, in seconds.")
    ] = RECOVERY_S,
    case: Annotated[
        pathlib.Path | None,
        typer.Option(help="Schedule to play instead, as JSON."),
    ] = None,
    cut: Annotated[
        bool, typer.Option("--shrink", help="Cut a failing schedule down.")
    ] = False,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for logs, records and failing schedules."),
    ] = None,
) -> None:
    """Plays seeds and ends with 1 if a rule was broken."""
    folder = keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    if case is not None:
        schedules = [msgspec.json.decode(case.read_bytes(), type=Schedule)]
    else:
        schedules = [draw(seed + n, seconds) for n in range(count)]
    failed = []
    for schedule in schedules:
        outcome = _play(schedule, folder, recovery)
        show(outcome, _console)
        if outcome.violations:
            failed.append(schedule.seed)
            if cut:
                schedule = asyncio.run(_shrunk(outcome, folder, recovery))
            path = folder / f"failed-{schedule.seed}.json"
            path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
            _console.print(f"schedule: {path}")
    _console.print(f"{len(schedules)} runs, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


def _play(
    schedule: Schedule, folder: pathlib.Path, recovery_s: float
) -> Outcome:
    logs = pathlib.Path(
        tempfile.mkdtemp(prefix=f"{schedule.seed}-", dir=folder)
    )
    return asyncio.run(play(schedule, logs, recovery_s))


async def _shrunk(
    outcome: Outcome, folder: pathlib.Path, recovery_s: float
) -> Schedule:
    rules = {one.rule for one in outcome.violations}

    async def fails(schedule: Schedule) -> bool:
        logs = pathlib.Path(tempfile.mkdtemp(prefix="cut-", dir=folder))
        again = await play(schedule, logs, recovery_s)
        _console.print(
            f"{len(schedule.faults)} faults:"
            f" {sorted({one.rule for one in again.violations})}"
        )
        return any(one.rule in rules for one in again.violations)

    return await shrink(outcome.schedule, fails)


if __name__ == "__main__":
    app()
