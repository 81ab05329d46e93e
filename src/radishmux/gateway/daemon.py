"""Entry point of the gateway daemon."""

from __future__ import annotations

import asyncio
import gc
import os
import pathlib
import signal
import sys

import uvloop
from loguru import logger

from radishmux.gateway.app import GatewayApp
from radishmux.settings.gateway import GatewaySettings, load_gateway
from radishmux.settings.loader import SettingsError
from radishmux.tasks import repeat

SETTINGS_VARIABLE = "RADISHMUX_CONFIG"
EXIT_WRONG_SETTINGS = 2
# The platform may replace the file without a signal.
WATCH_PERIOD_S = 1.0
# Requests leave few cycles; frequent collections would show as latency.
_GC_THRESHOLDS = (20_000, 50, 1_000)


class FileWatch:
    """Reloads the settings when their file changes without a signal.

    Args:
        path: The settings file.
        app: Takes the new settings.
    """

    def __init__(self, path: pathlib.Path, app: GatewayApp) -> None:
        self._path = path
        self._app = app
        self._seen = self._stamp()

    async def step(self) -> None:
        """Looks at the file once."""
        stamp = self._stamp()
        if stamp != self._seen:
            self._seen = stamp
            _reload(self._path, self._app)

    def _stamp(self) -> tuple[int, int, int]:
        status = self._path.stat()
        return status.st_mtime_ns, status.st_size, status.st_ino


async def _run(path: pathlib.Path, settings: GatewaySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with GatewayApp(settings) as app:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, _reload, path, app)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        watch = asyncio.create_task(
            repeat(FileWatch(path, app).step, WATCH_PERIOD_S, "settings file")
        )
        await stop.wait()
        watch.cancel()
        await app.drain()


def _reload(path: pathlib.Path, app: GatewayApp) -> None:
    """Applies the settings that can change while the daemon runs."""
    try:
        settings = load_gateway(path)
    except SettingsError as error:
        logger.error("settings not reloaded: {}", error)
        return
    app.reload(settings)


def main() -> None:
    """Runs the daemon until SIGTERM, then drains and exits."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "gateway.jsonc"))
    try:
        settings = load_gateway(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_WRONG_SETTINGS)
    uvloop.run(_run(path, settings))
