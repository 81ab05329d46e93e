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
from radishmux.settings.gateway import GatewaySettings
from radishmux.settings.loader import SettingsError, load

SETTINGS_VARIABLE = "RADISHMUX_CONFIG"
EXIT_WRONG_SETTINGS = 2
# Requests leave few cycles; frequent collections would show as latency.
_GC_THRESHOLDS = (20_000, 50, 1_000)


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
        await stop.wait()
        await app.drain()


def _reload(path: pathlib.Path, app: GatewayApp) -> None:
    """Applies the settings that can change while the daemon runs."""
    try:
        settings = load(path, GatewaySettings)
    except SettingsError as error:
        logger.error("settings not reloaded: {}", error)
        return
    app.reload(settings)


def main() -> None:
    """Runs the daemon until SIGTERM, then drains and exits."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "gateway.jsonc"))
    try:
        settings = load(path, GatewaySettings)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_WRONG_SETTINGS)
    uvloop.run(_run(path, settings))
