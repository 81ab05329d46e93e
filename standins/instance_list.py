"""Stand-in for the platform's list of instances.

Run as `python -m standins.instance_list --listen 127.0.0.1:0 --instances
FILE.json`, where the file holds a JSON list of instances.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import time
from typing import Any

import msgspec
from aiohttp import web

from standins._cli import abort, serve

_POLL_S = 0.05


class InstanceListStandIn:
    """The HTTP handlers: the list, its lag and its outages."""

    def __init__(self, instances: list[Any]) -> None:
        # Past lists with the time from which each was true, oldest first.
        self._lists: list[tuple[float, list[Any]]] = [(0.0, instances)]
        self._lag_s = 0.0
        self._down = "no"
        self._reads = 0

    def build(self) -> web.Application:
        """Returns the application."""
        app = web.Application()
        app.router.add_get("/v1/instances", self._list)
        app.router.add_get("/control", self._show)
        app.router.add_post("/control", self._control)
        return app

    def _shown(self) -> list[Any]:
        visible_until = time.monotonic() - self._lag_s
        shown = self._lists[0][1]
        for since, instances in self._lists:
            if since <= visible_until:
                shown = instances
        return shown

    async def _list(self, request: web.Request) -> web.Response:
        self._reads += 1
        if self._down == "refuse":
            abort(request)
        while self._down == "hang" and request.transport is not None:
            await asyncio.sleep(_POLL_S)
        return web.json_response(self._shown())

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "instances": self._lists[-1][1],
                "lag_s": self._lag_s,
                "down": self._down,
                "reads": self._reads,
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        """Changes the list.

        Fields: `instances` replaces the list; `set` maps instance names to
        changed fields; `add` appends instances; `remove` names instances to
        drop; `lag_s`; `down` ("no", "hang" or "refuse").
        """
        change = msgspec.json.decode(await request.read())
        current = change.get("instances", self._lists[-1][1])
        changed_fields = change.get("set", {})
        current = [
            one | changed_fields.get(one["instance"], {}) for one in current
        ]
        removed = set(change.get("remove", []))
        current = [one for one in current if one["instance"] not in removed]
        current += change.get("add", [])
        if current != self._lists[-1][1]:
            self._lists.append((time.monotonic(), current))
        self._lag_s = change.get("lag_s", self._lag_s)
        self._down = change.get("down", self._down)
        return await self._show(request)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", action="append", required=True)
    parser.add_argument("--instances", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    instances = msgspec.json.decode(arguments.instances.read_bytes())
    app = InstanceListStandIn(instances).build()
    asyncio.run(serve(app, arguments.listen))


if __name__ == "__main__":
    main()
