"""Reads the state of shifts from the store and formats reports on them."""

from __future__ import annotations

import asyncio
import datetime
import time
from collections.abc import AsyncIterator

import msgspec

from radishmux.cli.connection import open_store
from radishmux.cli.errors import CliError, ExitCode, error_from
from radishmux.outcome import NotFound, Unavailable
from radishmux.shift import document
from radishmux.shift.document import ShiftDocument, ShiftRecord
from radishmux.shift.report import ShiftReport
from radishmux.store.interface import Entry

_CALL_TIMEOUT_S = 2.0
# The store meters every read, and shares change every few seconds at most.
_POLL_S = 2.0
_PPM = 1_000_000


async def read_shifts(addresses: list[str]) -> ShiftDocument:
    """Returns the document of all shifts; empty when there is none.

    Raises:
        CliError: The store cannot be reached.
    """
    async with open_store(addresses) as store:
        entry = await store.get(document.SHIFTS_KEY, _CALL_TIMEOUT_S)
    if isinstance(entry, NotFound):
        return ShiftDocument()
    if isinstance(entry, Unavailable):
        raise error_from(entry)
    return _decode(entry)


async def watch_shift(
    addresses: list[str], name: str, timeout_s: float
) -> AsyncIterator[ShiftRecord]:
    """Yields the record of a shift after each change, until the timeout.

    Reads are retried while the store is unavailable.
    """
    deadline = time.monotonic() + timeout_s
    revision = -1
    async with open_store(addresses) as store:
        while time.monotonic() < deadline:
            entry = await store.get(document.SHIFTS_KEY, _CALL_TIMEOUT_S)
            if isinstance(entry, Entry) and entry.revision != revision:
                revision = entry.revision
                for record in _decode(entry).shifts:
                    if record.name == name:
                        yield record
            remaining_s = deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(_POLL_S, remaining_s)))


def report_text(report: ShiftReport) -> str:
    """Formats a report as text, with one line per event."""
    event_lines = [
        f"  {_format_time(event.at)}  {event.state.value:<10}"
        f" {_format_percent(event.share_ppm):>6}  {event.reason}"
        for event in report.events
    ]
    return "\n".join([report.sentences, *event_lines])


def _decode(entry: Entry) -> ShiftDocument:
    try:
        return document.decode(entry.value)
    except msgspec.DecodeError as error:
        raise CliError(
            f"{document.SHIFTS_KEY} in the store cannot be read: {error}",
            ExitCode.UNAVAILABLE,
        ) from error


def _format_percent(ppm: int) -> str:
    return f"{100 * ppm / _PPM:.3g}%"


def _format_time(unix_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")
