"""Stand-in for the platform's API for duties, with faults.

Run as `python -m standins.duties_api --listen 127.0.0.1:0`.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from typing import Any

import msgspec
from aiohttp import web

from standins._cli import abort, serve

_POLL_S = 0.05


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with the API; POST /control sets these fields.

    Attributes:
        down: "no", "hang", "reset" or "busy" (429).
        delay_s: Time until a call is executed.
        is_answer_lost: Whether the connection is reset at the time of the call,
            which is executed after `delay_s` all the same.
        require_fence: Whether a token lower than one that was seen is refused.
    """

    down: str = "no"
    delay_s: float = 0.0
    is_answer_lost: bool = False
    require_fence: bool = True


class DutiesApiStandIn:
    """The HTTP handlers and what was accepted."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._calls = 0
        self._highest = 0
        self._accepted: dict[int, dict[str, int]] = {}
        # Holders of each token, by address and name.
        self._holders: dict[int, set[str]] = {}
        self._violations: list[str] = []
        self._fenced = 0
        # All calls as they arrived; status and end are added once executed.
        self._log: list[dict[str, Any]] = []
        self._late: set[asyncio.Task[web.Response]] = set()

    def build(self) -> web.Application:
        """Returns the application."""
        app = web.Application()
        app.router.add_post("/usage", self._usage)
        app.router.add_get("/control", self._show)
        app.router.add_post("/control", self._control)
        return app

    async def _usage(self, request: web.Request) -> web.Response:
        self._calls += 1
        faults = self._faults
        document = await request.json()
        token = int(request.headers["Fencing-Token"])
        call = {
            "holder": request.headers["Duty-Holder"],
            "token": token,
            "window": document["WindowId"],
            "counts": document["Counts"],
            "at": time.time(),
        }
        self._log.append(call)
        if faults.down == "busy":
            call["status"] = 429
            return web.Response(status=429)
        while self._faults.down == "hang" and request.transport is not None:
            await asyncio.sleep(_POLL_S)
        if faults.down != "no":
            abort(request)
            raise web.HTTPServiceUnavailable
        holder = f"{request.remote} {request.headers['Duty-Holder']}"
        executed = asyncio.create_task(
            self._execute(document, token, holder, faults.delay_s)
        )
        executed.add_done_callback(
            lambda task: call.update(
                status=task.result().status, ended_at=time.time()
            )
        )
        self._late.add(executed)
        executed.add_done_callback(self._late.discard)
        if faults.is_answer_lost:
            abort(request)
            raise web.HTTPServiceUnavailable
        response = await asyncio.shield(executed)
        call["is_answered"] = request.transport is not None
        return response

    async def _execute(
        self, document: Any, token: int, holder: str, delay_s: float
    ) -> web.Response:
        await asyncio.sleep(delay_s)
        holders = self._holders.setdefault(token, set())
        holders.add(holder)
        if len(holders) > 1:
            self._violations.append(f"token {token} of {sorted(holders)}")
        if self._faults.require_fence and token < self._highest:
            self._fenced += 1
            return web.Response(status=409)
        self._highest = max(self._highest, token)
        window, counts = document["WindowId"], document["Counts"]
        known = self._accepted.setdefault(window, counts)
        if known != counts:
            self._violations.append(f"window {window}: {known} and {counts}")
        return web.Response()

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": self._calls,
                "fenced": self._fenced,
                "highest": self._highest,
                "accepted": self._accepted,
                "holders": {
                    token: sorted(names)
                    for token, names in self._holders.items()
                },
                "violations": self._violations,
                "log": self._log,
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        known = msgspec.to_builtins(self._faults)
        self._faults = msgspec.convert(known | await request.json(), Faults)
        return web.json_response(msgspec.to_builtins(self._faults))


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", action="append", required=True)
    listen = parser.parse_args().listen
    asyncio.run(serve(DutiesApiStandIn().build(), listen))


if __name__ == "__main__":
    main()
