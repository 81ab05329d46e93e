"""Shared parts of the stand-in servers."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence

from aiohttp import web


async def serve(
    app: web.Application, listen: Sequence[str], cancels: bool = False
) -> None:
    """Serves `app` until SIGTERM or SIGINT.

    Prints one line `listening ADDRESS` for each address when ready.

    Args:
        app: The application.
        listen: `ip:port` of each listener; port 0 takes a free one.
        cancels: Whether a handler is cancelled when its client closes the
            connection.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.2, handler_cancellation=cancels
    )
    await runner.setup()
    for address in listen:
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()
    for host, port, *_ in runner.addresses:
        print(f"listening {host}:{port}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def local_address(request: web.Request) -> str:
    """Returns the `ip:port` at which the request came in."""
    transport = request.transport
    if transport is None:
        return ""
    host, port, *_ = transport.get_extra_info("sockname")
    return f"{host}:{port}"


def abort(request: web.Request) -> None:
    """Resets the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
