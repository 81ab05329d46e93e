"""Stand-in for a backend server on the users' platform.

Run as `python -m standins.platform_server --listen 127.0.0.1:0 --name i-1`.
"""

from __future__ import annotations

import argparse
import asyncio
import time
import zlib
from typing import Any, TextIO

import msgspec
from aiohttp import web

from standins._cli import abort, serve

# Each pace of a server lasts this long, and long work takes so many times as
# long as usual.
PACE_S = 0.3
LONG_FACTOR = 7.0


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How the server behaves; POST /control sets these fields.

    Attributes:
        work_ms: Time that a request takes.
        slots: Maximum number of concurrent requests; further ones are shed.
        lose_answers: Number of the next requests that run and whose connection
            is then reset in place of a response.
        limit_per_s: Requests per second from all instances together that the
            server names as its limit; None names none.
        rest_s: Seconds of rest that the server asks for while it rejects every
            request; None rejects none.
        leaving: Whether the responses say that the server is about to leave.
        hang_on: Requests whose path contains this begin to run and get no
            response; empty: none.
        paces: How long work takes, in percent, one value after the other; the
            server reports it as the fourth figure of its load. Empty: as
            usual, and nothing is reported.
        long_share: Share of the requests whose work takes longer, by the hash
            of their id and the server's name.
    """

    work_ms: float = 5.0
    slots: int = 4
    lose_answers: int = 0
    limit_per_s: float | None = None
    rest_s: float | None = None
    leaving: bool = False
    hang_on: str = ""
    paces: list[float] = []
    long_share: float = 0.0


class PlatformServerStandIn:
    """The HTTP handlers of the stand-in."""

    def __init__(
        self,
        name: str,
        record: TextIO | None = None,
        arrivals: TextIO | None = None,
    ) -> None:
        self._name = name
        self._record = record
        self._arrivals = arrivals
        self._behaviour = Behaviour()
        self._running = 0
        self._ran: list[dict[str, str]] = []
        self._arrived: list[dict[str, Any]] = []

    def build(self) -> web.Application:
        """Returns the application."""
        # aiohttp refuses a body of exactly this size.
        app = web.Application(client_max_size=64 * 1024 * 1024 + 1)
        app.router.add_get("/control", self._show)
        app.router.add_post("/control", self._control)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.Response:
        headers = request.headers
        if headers.get("Target-Instance", self._name) != self._name:
            return web.Response(status=421, headers={"Instance-Id": self._name})
        rest_s = self._behaviour.rest_s
        self._record_arrival(headers.get("Request-Id", ""))
        if rest_s is not None:
            return web.Response(
                status=503,
                headers={"Not-Executed": "1", "Retry-After": f"{rest_s}"},
            )
        if self._running >= self._behaviour.slots:
            return web.Response(
                status=503, headers={"Not-Executed": "1"} | self._needs()
            )
        self._running += 1
        try:
            body = await request.read()
            self._record_run(request)
            hang_on = self._behaviour.hang_on
            if hang_on and hang_on in request.path:
                await asyncio.Event().wait()
            await asyncio.sleep(self._work_s(headers.get("Request-Id", "")))
        finally:
            self._running -= 1
        if self._behaviour.lose_answers > 0:
            self._behaviour.lose_answers -= 1
            abort(request)
        request_id = headers.get("Request-Id", "")
        load = [self._running, 0, self._behaviour.slots, *self._pace()]
        return web.Response(
            body=f"{self._name}:{request_id}:".encode() + body,
            headers={
                "Request-Id": request_id,
                "Server-Seal": f"seal-{self._name}",
                "Server-Load": ",".join(map(str, load)),
            }
            | self._needs(),
        )

    def _pace(self) -> list[float]:
        """Returns the present pace, if there is one."""
        paces = self._behaviour.paces
        return [paces[int(time.time() / PACE_S) % len(paces)]] if paces else []

    def _work_s(self, request_id: str) -> float:
        """Returns how long the work of a request takes now."""
        drawn = zlib.crc32(f"{self._name} {request_id}".encode()) / 2**32
        factor = LONG_FACTOR if drawn < self._behaviour.long_share else 1.0
        percent = (*self._pace(), 100.0)[0]
        return self._behaviour.work_ms / 1000 * factor * percent / 100

    def _needs(self) -> dict[str, str]:
        """Returns the headers for the limit and for an imminent departure."""
        headers = {}
        if self._behaviour.limit_per_s is not None:
            headers["Server-Limit"] = f"{self._behaviour.limit_per_s}"
        if self._behaviour.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def _record_arrival(self, request_id: str) -> None:
        """Records that a request has arrived, and what its response says."""
        behaviour = self._behaviour
        arrival = {
            "id": request_id,
            "at": time.time(),
            "limit_per_s": behaviour.limit_per_s,
            "rest_s": behaviour.rest_s,
            "leaving": behaviour.leaving,
        }
        self._arrived.append(arrival)
        if self._arrivals is not None:
            line = arrival | {"server": self._name}
            self._arrivals.write(msgspec.json.encode(line).decode() + "\n")

    def _record_run(self, request: web.Request) -> None:
        """Records that a request begins to run."""
        headers = request.headers
        ran = {
            "id": headers.get("Request-Id", ""),
            "tenant": headers.get("Tenant", ""),
            "key": headers.get("Api-Key", ""),
            "deadline": headers.get("Deadline-Remaining", ""),
            "target": request.raw_path,
        }
        self._ran.append(ran)
        if self._record is not None:
            line = ran | {"server": self._name, "at": time.time()}
            self._record.write(msgspec.json.encode(line).decode() + "\n")

    async def _show(self, request: web.Request) -> web.Response:
        return _json(
            {
                "ran": self._ran,
                "arrived": self._arrived,
                "running": self._running,
            }
        )

    def behave(self, **change: Any) -> None:
        """Changes fields of its behaviour."""
        known = msgspec.to_builtins(self._behaviour)
        self._behaviour = msgspec.convert(known | change, Behaviour)

    async def _control(self, request: web.Request) -> web.Response:
        self.behave(**await request.json())
        return _json(msgspec.to_builtins(self._behaviour))


def _json(document: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document), content_type="application/json"
    )


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", action="append", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument(
        "--record",
        type=argparse.FileType("a", bufsize=1),
        help="File for a line about each request that begins to run.",
    )
    parser.add_argument(
        "--arrivals",
        type=argparse.FileType("a", bufsize=1),
        help="File for a line about each request, also if it is rejected.",
    )
    options = parser.parse_args()
    app = PlatformServerStandIn(
        options.name, options.record, options.arrivals
    ).build()
    asyncio.run(serve(app, options.listen, cancels=True))


if __name__ == "__main__":
    main()
