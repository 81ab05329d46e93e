"""`radishctl shift`: start, follow, pause, resume and take back shifts."""

from __future__ import annotations

import datetime
import json
import re
import time
from typing import Annotated

import msgspec
import typer
from rich.progress import Progress, TaskID

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    apply_edit,
    run,
)
from radishmux.cli.edits import set_intent, start_shift
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, OutputFormat, emit
from radishmux.cli.shift_records import report_text, watch_shift
from radishmux.cli.waiting import progress_display
from radishmux.config.model import Shift, ShiftIntent
from radishmux.shift.document import FINAL_STATES, ShiftRecord
from radishmux.shift.report import build_report

app = typer.Typer(no_args_is_help=True, help="Shifts between versions.")

_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)([smhd])$")
_PPM = 1_000_000

ShiftName = Annotated[str, typer.Argument(help="Name of the shift.")]
Timeout = Annotated[
    float, typer.Option(help="Seconds after which to stop following.")
]


def parse_deadline(text: str, now: float) -> float:
    """Returns a deadline as Unix time.

    Args:
        text: A duration such as `90s`, `30m`, `2h` or `1d`, or an ISO 8601
            time with its offset from UTC.
        now: Unix time that a duration is added to.

    Raises:
        CliError: The text has neither form, or the time is in the past.
    """
    match = _DURATION.match(text)
    if match is not None:
        return now + float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        moment = None
    if moment is None or moment.tzinfo is None:
        raise CliError(
            f"deadline {text!r} is neither a duration (30m, 2h) nor an"
            " ISO 8601 time with an offset (2027-01-31T18:00:00+00:00)",
            ExitCode.WRONG_INPUT,
        )
    if moment.timestamp() <= now:
        raise CliError(f"deadline {text} is in the past", ExitCode.WRONG_INPUT)
    return moment.timestamp()


@app.command()
def start(
    name: ShiftName,
    service: Annotated[str, typer.Option(help="Service to shift.")],
    to: Annotated[str, typer.Option(help="Version that gains traffic.")],
    cap: Annotated[
        float,
        typer.Option(
            min=0, max=1, help="Largest fraction of the traffic to move."
        ),
    ],
    deadline: Annotated[
        str, typer.Option(help="Duration (30m, 2h) or ISO 8601 time.")
    ],
    from_version: Annotated[
        str | None,
        typer.Option("--from", help="Version that loses traffic."),
    ] = None,
    canary: Annotated[
        float,
        typer.Option(
            min=0, max=1, help="Fraction of the traffic in the canary phase."
        ),
    ] = 0.02,
    follow_progress: Annotated[
        bool, typer.Option("--follow", help="Follow the shift until it ends.")
    ] = False,
    timeout: Timeout = 86_400.0,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Starts moving a service's traffic to another version."""
    shift = Shift(
        name=name,
        service=service,
        from_version=from_version or "stable",
        to_version=to,
        cap=cap,
        canary=min(canary, cap),
        deadline=parse_deadline(deadline, time.time()),
    )
    accepted = run(apply_edit(store, start_shift(shift, from_version)))
    if follow_progress:
        follow(name, timeout, store, output)
        return
    emit({"shift": name, "version": accepted.version}, output)


@app.command()
def follow(
    name: ShiftName,
    timeout: Timeout = 86_400.0,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Follows a shift until it is done, taken back or impossible.

    As JSON, prints one line for each change.
    """
    run(_follow(name, timeout, store, output))


@app.command()
def pause(
    name: ShiftName,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Pauses a shift at its current share of the traffic."""
    _set_intent(name, ShiftIntent.PAUSE, store, output)


@app.command()
def resume(
    name: ShiftName,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Continues a paused shift."""
    _set_intent(name, ShiftIntent.RUN, store, output)


@app.command("take-back")
def take_back(
    name: ShiftName,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Returns all traffic of a shift to the old version."""
    _set_intent(name, ShiftIntent.TAKE_BACK, store, output)


def _set_intent(
    name: str, intent: ShiftIntent, store: list[str], output: OutputFormat
) -> None:
    accepted = run(apply_edit(store, set_intent(name, intent)))
    emit(
        {
            "shift": name,
            "intent": intent.value,
            "version": accepted.version,
        },
        output,
    )


async def _follow(
    name: str, timeout_s: float, store: list[str], output: OutputFormat
) -> None:
    latest: ShiftRecord | None = None
    with progress_display(output) as progress:
        task = progress.add_task(name, total=100)
        async for record in watch_shift(store, name, timeout_s):
            _print_change(record, latest, output, progress, task)
            latest = record
            if record.state in FINAL_STATES:
                break
    if latest is None:
        raise CliError(
            f"no controller has accepted shift {name} within {timeout_s:g} s",
            ExitCode.NOT_FOUND,
        )
    if latest.state not in FINAL_STATES:
        raise CliError(
            f"shift {name} is {latest.state.value} after {timeout_s:g} s",
            ExitCode.UNAVAILABLE,
        )
    if output is OutputFormat.TEXT:
        print(report_text(build_report(latest, time.time())))


def _print_change(
    record: ShiftRecord,
    previous: ShiftRecord | None,
    output: OutputFormat,
    progress: Progress,
    task: TaskID,
) -> None:
    if record == previous:
        return
    if output is OutputFormat.JSON:
        print(json.dumps(msgspec.to_builtins(record)), flush=True)
        return
    percent = 100 * record.share_ppm / _PPM
    progress.update(
        task,
        completed=percent,
        total=100 * record.cap_ppm / _PPM,
        description=f"{record.name}: {record.state.value}",
    )
    if previous is None or previous.state is not record.state:
        reason = f" ({record.reason})" if record.reason else ""
        print(f"{record.name}: {record.state.value}{reason}", flush=True)
