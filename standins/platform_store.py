"""Stand-in for the users' platform: its metadata store, with faults.

Run as `python -m standins.platform_store --listen 127.0.0.1:0`.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import time
from typing import Any

import msgspec
from aiohttp import web

from standins._cli import abort, local_address, serve
from standins._store_state import Event, Pair, StoreState

_PAGE = 50
_EXPIRY_PERIOD_S = 0.05


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with the store; POST /control sets these fields.

    Attributes:
        down: "no", "hang", "reset" or "busy" (503).
        lose_answers: Number of the next writes that take effect and whose
            connection is then reset in place of a response.
        compact: Set to true: discards the history of changes now.
        copy: Set to true: makes a copy of the state now.
        restore_s: Restores a copy of the state that is at least this many
            seconds old; 0 restores the one made by `copy`; negative: none.
        rewrite: Whether writes of `/put` since that copy are repeated after the
            restore.
    """

    down: str = "no"
    lose_answers: int = 0
    compact: bool = False
    copy: bool = False
    restore_s: float = -1.0
    rewrite: bool = True


class PlatformStoreStandIn:
    """The HTTP handlers of the stand-in."""

    def __init__(self) -> None:
        self._state = StoreState()
        self._faults = Faults()
        self._calls: collections.Counter[str] = collections.Counter()
        self._oldest = 0
        self._era = 1
        # Monotonic time and value of the latest `/put` of each key.
        self._outer_writes: dict[str, tuple[float, str | None]] = {}
        # By address of a listener: the addresses that its clients see in place
        # of those of the servers.
        self._views: dict[str, dict[str, str]] = {}

    def build(self) -> web.Application:
        """Returns the application."""
        app = web.Application()
        routes = (
            ("GET", "/api/kv-key", self._key),
            ("GET", "/api/kv-range", self._range),
            ("GET", "/api/kv-watch", self._watch),
            ("POST", "/api/kv-txn", self._txn),
            ("POST", "/api/kv-lease", self._lease),
            ("POST", "/api/kv-keep/{lease}", self._keep),
            ("DELETE", "/api/kv-lease-end/{lease}", self._end),
        )
        for method, path, answer in routes:
            app.router.add_route(method, path, self._faulty(path, answer))
        # What the operator and the servers write, without conditions.
        app.router.add_post("/put", self._put)
        app.router.add_post("/views", self._set_views)
        app.router.add_get("/control", self._show)
        app.router.add_post("/control", self._control)
        app.on_response_prepare.append(self._add_era)
        app.cleanup_ctx.append(self._expiry)
        return app

    def _faulty(self, path: str, answer: Any) -> Any:
        async def handle(request: web.Request) -> web.StreamResponse:
            self._calls[path] += 1
            if self._faults.down == "busy":
                return web.Response(status=503)
            if self._faults.down != "no":
                await self._drop(request, self._faults.down)
            response = await answer(request)
            self._apply_view(request, response)
            await self._notify()
            if request.method == "POST" and self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
                await self._drop(request, "reset")
            return response

        return handle

    def _apply_view(self, request: web.Request, response: web.Response) -> None:
        """Replaces the addresses of servers by those of the client's view."""
        view = self._views.get(local_address(request))
        if not view or not response.body:
            return
        document = msgspec.json.decode(response.body)
        for item in (
            document,
            *document.get("items", ()),
            *document.get("events", ()),
        ):
            if "Value" not in item:
                continue
            value = base64.b64decode(item["Value"]).decode()
            for address, seen in view.items():
                value = value.replace(f'"{address}"', f'"{seen}"')
            item["Value"] = base64.b64encode(value.encode()).decode()
        response.body = msgspec.json.encode(document)

    async def _set_views(self, request: web.Request) -> web.Response:
        """Sets how the clients of each listener see servers' addresses."""
        self._views = await request.json()
        return web.Response()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self._era)

    async def _drop(self, request: web.Request, how: str) -> None:
        while how == "hang" and request.transport is not None:
            await asyncio.sleep(_EXPIRY_PERIOD_S)
        abort(request)
        raise web.HTTPServiceUnavailable

    async def _notify(self) -> None:
        async with self._state.changed:
            self._state.changed.notify_all()

    async def _key(self, request: web.Request) -> web.Response:
        pair = self._state.pairs.get(request.query["Key"])
        if pair is None:
            return web.Response(status=404)
        return _json(_item(pair) | {"AsOf": self._state.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query.get("PathPrefix", "")
        after = request.query.get("after", "")
        found = [
            pair
            for key, pair in sorted(self._state.pairs.items())
            if key.startswith(prefix) and key > after
        ]
        return _json(
            {
                "items": [_item(pair) for pair in found[:_PAGE]],
                "HasMore": len(found) > _PAGE,
                "AsOf": self._state.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get("PathPrefix", "")
        after = int(request.query["after"])
        wait_s = int(request.query["WaitMs"]) / 1000
        if not self._oldest <= after <= self._state.revision:
            return web.Response(status=410)

        def found() -> list[Event]:
            return [
                event
                for event in self._state.events
                if event.pair.mod_revision > after
                and event.pair.key.startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._state.changed:
                await self._state.changed.wait_for(found)
        except TimeoutError:
            pass
        if after > self._state.revision:
            return web.Response(status=410)
        events = [_event(event) for event in found()]
        return _json({"events": events, "AsOf": self._state.revision})

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        state = self._state
        expected = {one["Key"]: one["Revision"] for one in body["Expected"]}
        if any(state.mod_revision(key) != at for key, at in expected.items()):
            pairs = [state.pairs[key] for key in expected if key in state.pairs]
            items = [_item(pair) for pair in pairs]
            return _json({"items": items}, status=412)
        for put in body["Puts"]:
            lease = put.get("LeaseId", 0)
            if lease and lease not in state.leases:
                return web.Response(status=404)
            state.put(put["Key"], put["Value"], lease)
        for key in body["Deletes"]:
            state.delete(key)
        return _json({"Revision": state.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["TtlS_time"]
        lease = self._state.grant(ttl_s)
        return _json({"LeaseId": lease, "TtlS_time": ttl_s})

    async def _keep(self, request: web.Request) -> web.Response:
        ttl_s = self._state.keep(int(request.match_info["lease"]))
        if not ttl_s:
            return web.Response(status=404)
        return _json({"TtlS_time": ttl_s})

    async def _end(self, request: web.Request) -> web.Response:
        ended = self._state.end_lease(int(request.match_info["lease"]))
        return web.Response(status=200 if ended else 404)

    async def _put(self, request: web.Request) -> web.Response:
        """Writes or, without a value, deletes the keys of an object."""
        for key, value in (await request.json()).items():
            self._outer_writes[key] = (time.monotonic(), value)
            self._put_outer(key, value)
        await self._notify()
        return _json({"Revision": self._state.revision})

    def _put_outer(self, key: str, value: str | None) -> None:
        if value is None:
            self._state.delete(key)
        else:
            self._state.put(key, value, 0)

    async def _restore(self, age_s: float, rewrite: bool) -> None:
        """Goes back to an older copy of the state, as another era."""
        copied_at = self._state.restore(age_s)
        self._era += 1
        self._oldest = min(self._oldest, self._state.revision)
        for key, (at, value) in self._outer_writes.items():
            if rewrite and at > copied_at:
                self._put_outer(key, value)
        await self._notify()

    async def _show(self, request: web.Request) -> web.Response:
        return _json(
            {
                "calls": self._calls,
                "keys": list(self._state.pairs),
                "revision": self._state.revision,
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        known = msgspec.to_builtins(self._faults)
        change = await request.json()
        self._faults = msgspec.convert(known | change, Faults)
        if self._faults.compact:
            self._faults.compact = False
            self._oldest = self._state.revision
            self._state.events.clear()
        if self._faults.copy:
            self._state.copy(mark=True)
            self._faults.copy = False
        if self._faults.restore_s >= 0:
            await self._restore(self._faults.restore_s, self._faults.rewrite)
            self._faults.restore_s = -1.0
        return _json(msgspec.to_builtins(self._faults))

    async def _expiry(self, app: web.Application) -> Any:
        async def run() -> None:
            while True:
                await asyncio.sleep(_EXPIRY_PERIOD_S)
                if self._state.expire():
                    await self._notify()
                self._state.copy()

        task = asyncio.create_task(run())
        yield
        task.cancel()


def _item(pair: Pair) -> dict[str, Any]:
    return {
        "Key": pair.key,
        "Value": pair.value,
        "Revision": pair.mod_revision,
        "Created": pair.create_revision,
        "LeaseId": pair.lease,
    }


def _event(event: Event) -> dict[str, Any]:
    if event.kind == "PUT":
        return _item(event.pair)
    pair = event.pair
    return {"Key": pair.key, "Revision": pair.mod_revision, "Deleted": True}


def _json(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/json",
    )


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", action="append", required=True)
    listen = parser.parse_args().listen
    asyncio.run(serve(PlatformStoreStandIn().build(), listen))


if __name__ == "__main__":
    main()
