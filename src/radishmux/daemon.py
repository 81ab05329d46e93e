"""Entry point of radishmuxd, the daemon of an entry instance."""

from __future__ import annotations

import asyncio
import gc
import pathlib
import signal
from typing import Annotated

import typer
import uvloop
from loguru import logger

from radishmux.app import App
from radishmux.settings.daemon import DaemonSettings
from radishmux.settings.loader import SettingsError, load

EXIT_OK = 0
EXIT_WRONG_SETTINGS = 2

# A full collection traverses the configuration, which causes latency peaks with
# the default thresholds. The oldest generation is therefore collected rarely.
_GC_THRESHOLDS = (5_000, 50, 1_000)


async def _run(path: pathlib.Path, settings: DaemonSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with App(settings) as app:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, _reload, path, app)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        await stop.wait()
        await app.drain()


def _reload(path: pathlib.Path, app: App) -> None:
    """Reads the settings file again and applies what can change at run time.

    If the file is invalid, the current settings stay in force.
    """
    try:
        settings = load(path, DaemonSettings)
    except SettingsError as error:
        logger.error("settings not reloaded: {}", error)
        return
    app.reload(settings)


def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="Settings file, JSON with comments.")
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Only check the settings.")
    ] = False,
) -> None:
    """Runs an entry instance until SIGTERM, then drains and exits."""
    try:
        loaded = load(settings, DaemonSettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_WRONG_SETTINGS) from error
    if check:
        typer.echo(f"{settings}: valid")
        raise typer.Exit(EXIT_OK)
    uvloop.run(_run(settings, loaded))


def main() -> None:
    """Runs the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
