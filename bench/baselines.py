"""Bare servers that radishmuxd is compared with.

Run as `python -m bench.baselines KIND LISTEN [BACKEND...]`, where KIND is

* `constant`: a sanic handler that returns a constant;
* `pass-through`: a sanic handler that sends the request to a backend server
  with aiohttp and returns the response;
* `backend`: a backend server that answers at once.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys

import aiohttp
import uvloop
from sanic import HTTPResponse, Request, Sanic

# As long as a lookup's answer with three instances and a ticket.
LOOKUP_BODY = (
    b'{"instances":[{"address":"127.0.0.1:20001","region":"montreal"},'
    b'{"address":"127.0.0.1:20011","region":"montreal"},'
    b'{"address":"127.0.0.1:20021","region":"quebec"}],"ttl_s":10.0,'
    b'"ticket":"montreal-a-1.1764800000000.1764800123456.0123456789abcdef"}'
)
BACKEND_BODY = b"r" * 512
HEALTH = b'{"state":"ready","version":"v1","in_flight":0,"slots":64}'
_METHODS = ["GET", "POST", "PUT"]
_JSON = "application/json"


def constant() -> Sanic:
    """Returns the baseline of lookups."""
    app = Sanic("bench_constant", configure_logging=False)

    @app.get("/v1/lookup")
    async def lookup(request: Request) -> HTTPResponse:
        return HTTPResponse(LOOKUP_BODY, content_type=_JSON)

    return app


def backend() -> Sanic:
    """Returns a backend server."""
    app = Sanic("bench_backend", configure_logging=False)

    @app.get("/health")
    async def health(request: Request) -> HTTPResponse:
        return HTTPResponse(HEALTH, content_type=_JSON)

    @app.route("/<path:path>", methods=_METHODS)
    async def answer(request: Request, path: str) -> HTTPResponse:
        return HTTPResponse(BACKEND_BODY)

    return app


def pass_through(backends: list[str]) -> Sanic:
    """Returns the baseline of the request path."""
    app = Sanic("bench_pass_through", configure_logging=False)
    turn = itertools.cycle(backends)
    sessions: list[aiohttp.ClientSession] = []

    @app.route("/<path:path>", methods=_METHODS)
    async def forward(request: Request, path: str) -> HTTPResponse:
        if not sessions:
            connector = aiohttp.TCPConnector(limit=0)
            sessions.append(aiohttp.ClientSession(connector=connector))
        async with sessions[0].request(
            request.method,
            f"http://{next(turn)}/{path}",
            data=request.body or None,
            headers={"X-Radishmux-Deadline-Ms": "2000"},
        ) as response:
            body = await response.read()
            return HTTPResponse(body, response.status)

    return app


async def _serve(app: Sanic, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    server = await app.create_server(
        host=host,
        port=int(port),
        return_asyncio_server=True,
        access_log=False,
    )
    assert server is not None
    await server.startup()
    await server.start_serving()
    print(f"listening {listen}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


def main() -> None:
    """Runs one server until SIGTERM."""
    kind, listen, *backends = sys.argv[1:]
    makers = {
        "constant": constant,
        "backend": backend,
        "pass-through": lambda: pass_through(backends),
    }
    uvloop.run(_serve(makers[kind](), listen))


if __name__ == "__main__":
    main()
