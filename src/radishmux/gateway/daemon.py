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

from radishmux.allocator import return_freed_memory
from radishmux.gateway.app import GatewayApp
from radishmux.settings.gateway import GatewaySettings, load_gateway
from radishmux.settings.loader import SettingsError
from radishmux.tasks import repeat

SETTINGS_VARIABLE = "RADISHMUX_CONFIG"
EXIT_WRONG_SETTINGS = 2
# The platform may replace the settings file without sending SIGHUP.
WATCH_PERIOD_S = 1.0
# Requests create few reference cycles, and each collection delays requests.
_GC_THRESHOLDS = (20_000, 50, 1_000)

# Modification time in ns, size and inode.
FileVersion = tuple[int, int, int]
_NO_FILE: FileVersion = (0, 0, 0)


class SettingsWatcher:
    """Reloads the settings when their file has changed.

    Args:
        path: The settings file.
        app: The daemon that the new settings are applied to.
        known_version: Version of the file when its settings were last read,
            or shortly before.
    """

    def __init__(
        self, path: pathlib.Path, app: GatewayApp, known_version: FileVersion
    ) -> None:
        self._path = path
        self._app = app
        self._known_version = known_version

    async def check(self) -> None:
        """Reloads the settings if the file differs from the last check."""
        version = _file_version(self._path)
        if version != self._known_version:
            self._known_version = version
            _reload(self._path, self._app)


def _file_version(path: pathlib.Path) -> FileVersion:
    status = path.stat()
    return status.st_mtime_ns, status.st_size, status.st_ino


async def _run(
    path: pathlib.Path, settings: GatewaySettings, version: FileVersion
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with GatewayApp(settings) as app:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, _reload, path, app)
        # Objects created so far live as long as the daemon: freezing them
        # exempts them from later collections.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        watch = asyncio.create_task(
            repeat(
                SettingsWatcher(path, app, version).check,
                WATCH_PERIOD_S,
                "settings file",
            )
        )
        await stop.wait()
        watch.cancel()
        await app.drain()


def _reload(path: pathlib.Path, app: GatewayApp) -> None:
    """Loads the settings file and applies it; logs a file that is wrong."""
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
        # Taken first, so that a change while the daemon starts is noticed.
        version = _file_version(path) if path.exists() else _NO_FILE
        settings = load_gateway(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_WRONG_SETTINGS)
    return_freed_memory()
    uvloop.run(_run(path, settings, version))
