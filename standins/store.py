"""Stand-in for the store: a subset of etcd's JSON gateway, with faults.

Run as `python -m standins.store --listen 127.0.0.1:0`. Several `--listen`
options give several addresses of the same store, which can be cut one by
one, as when one instance is partitioned from the store.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from typing import Any

import msgspec
from aiohttp import web

from standins._cli import abort, local_address, serve
from standins._store_state import Event, Pair, StoreState

_EXPIRY_PERIOD_S = 0.05
_MAX_BODY_BYTES = 4 * 1024 * 1024
# Paths by the name under which calls are counted.
_WRITES = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with the store; POST /control sets these fields.

    Attributes:
        latency_ms: Delay before a call takes effect.
        answer_latency_ms: Delay between the effect and the answer.
        down: "no", "hang" (no answer, no effect) or "refuse" (reset).
        lose_answers: Number of coming writes whose answer is lost after
            they took effect.
        lost_answer: How an answer is lost: "reset" or "hang".
        hold_watches: Whether watches say nothing, as when they lag.
        stale_reads: Whether reads and new watches show the state of the
            moment at which this was set.
    """

    latency_ms: float = 0.0
    answer_latency_ms: float = 0.0
    down: str = "no"
    lose_answers: int = 0
    lost_answer: str = "reset"
    hold_watches: bool = False
    stale_reads: bool = False


class StoreStandIn:
    """The HTTP handlers of the stand-in."""

    def __init__(self) -> None:
        self._state = StoreState()
        self._faults = Faults()
        self._down_at: dict[str, str] = {}
        self._stale_at: set[str] = set()
        self._stale: dict[str, Pair] = {}
        self._calls: collections.Counter[str] = collections.Counter()
        self._open_watches = 0

    def build(self) -> web.Application:
        """Returns the application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        routes = {
            "/v3/kv/range": ("range", self._range),
            "/v3/kv/txn": ("txn", self._txn),
            "/v3/lease/grant": ("lease_grant", self._grant),
            "/v3/lease/keepalive": ("lease_keepalive", self._keepalive),
            "/v3/kv/lease/revoke": ("lease_revoke", self._revoke),
            "/v3/lease/revoke": ("lease_revoke", self._revoke),
        }
        for path, (name, answer) in routes.items():
            app.router.add_post(path, self._faulty(name, answer))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/control", self._show)
        app.router.add_post("/control", self._control)
        app.cleanup_ctx.append(self._expiry)
        return app

    def _faulty(self, name: str, answer: Any) -> Any:
        """Returns a handler that applies the faults around `answer`."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self._calls[name] += 1
            body = msgspec.json.decode(await request.read())
            faults = self._faults
            if faults.latency_ms:
                await asyncio.sleep(faults.latency_ms / 1000)
            await self._hold_if_down(request)
            self._state.expire()
            response = answer(body, local_address(request))
            await self._notify()
            if name in _WRITES and self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
                await self._drop(request, self._faults.lost_answer)
            if self._faults.answer_latency_ms:
                await asyncio.sleep(self._faults.answer_latency_ms / 1000)
            return response

        return handle

    async def _hold_if_down(self, request: web.Request) -> None:
        down = self._down(local_address(request))
        if down != "no":
            await self._drop(request, down)

    async def _drop(self, request: web.Request, how: str) -> None:
        """Never answers; with "hang" the connection stays open."""
        if how != "hang":
            abort(request)
            raise web.HTTPServiceUnavailable
        while request.transport is not None:
            await asyncio.sleep(_EXPIRY_PERIOD_S)
        raise web.HTTPServiceUnavailable

    def _down(self, address: str) -> str:
        return self._down_at.get(address, self._faults.down)

    def _is_stale(self, address: str) -> bool:
        return self._faults.stale_reads or address in self._stale_at

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._state.revision)}

    def _range(self, body: Any, address: str) -> web.Response:
        pairs = self._state.pairs
        if self._is_stale(address):
            pairs = self._stale
        pair = pairs.get(body["key"])
        answer: dict[str, Any] = {"header": self._header()}
        if pair is not None:
            answer |= {"kvs": [pair.to_json()], "count": "1"}
        return _json(answer)

    def _txn(self, body: Any, address: str) -> web.Response:
        succeeded = all(
            self._state.mod_revision(one["key"])
            == int(one.get("mod_revision", 0))
            for one in body.get("compare", [])
        )
        branch = body.get("success" if succeeded else "failure") or []
        puts = [one["request_put"] for one in branch]
        for put in puts:
            lease_id = int(put.get("lease", 0))
            if lease_id and lease_id not in self._state.leases:
                return _no_lease()
        for put in puts:
            lease_id = int(put.get("lease", 0))
            self._state.put(put["key"], put.get("value", ""), lease_id)
        answer: dict[str, Any] = {"header": self._header()}
        if succeeded:
            answer["succeeded"] = True
        if puts:
            done = {"response_put": {"header": self._header()}}
            answer["responses"] = [done for _ in puts]
        return _json(answer)

    def _grant(self, body: Any, address: str) -> web.Response:
        ttl_s = int(body["TTL"])
        lease_id = self._state.grant(ttl_s)
        return _json(
            {
                "header": self._header(),
                "ID": str(lease_id),
                "TTL": str(ttl_s),
            }
        )

    def _keepalive(self, body: Any, address: str) -> web.Response:
        result: dict[str, Any] = {"header": self._header(), "ID": body["ID"]}
        ttl_s = self._state.keep(int(body["ID"]))
        if ttl_s:
            result["TTL"] = str(ttl_s)
        return _json({"result": result})

    def _revoke(self, body: Any, address: str) -> web.Response:
        if not self._state.end_lease(int(body["ID"])):
            return _no_lease()
        return _json({"header": self._header()})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._calls["watch"] += 1
        body = msgspec.json.decode(await request.read())
        create = body["create_request"]
        await self._hold_if_down(request)
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        created = {"header": self._header(), "created": True}
        await _write_line(response, {"result": created})
        self._open_watches += 1
        try:
            await self._send_events(request, response, create)
        except (ConnectionError, OSError):
            pass
        finally:
            self._open_watches -= 1
        return response

    async def _send_events(
        self, request: web.Request, response: web.StreamResponse, create: Any
    ) -> None:
        key = create["key"]
        start = int(create.get("start_revision", 0))
        position = 0 if start else len(self._state.events)
        address = local_address(request)
        while request.transport is not None:
            down = self._down(address)
            if down == "refuse":
                abort(request)
                return
            held = self._faults.hold_watches or self._is_stale(address)
            if down == "no" and not held:
                events = self._state.events
                while position < len(events):
                    event = events[position]
                    position += 1
                    pair = event.pair
                    if pair.key == key and pair.mod_revision >= start:
                        await _write_line(response, _event_result(event))
            await self._wait_for_change(position)

    async def _wait_for_change(self, position: int) -> None:
        changed = self._state.changed
        try:
            async with asyncio.timeout(1.0), changed:
                if len(self._state.events) <= position:
                    await changed.wait()
                else:
                    # Held back by a fault; the condition does not change.
                    await asyncio.wait_for(changed.wait(), _EXPIRY_PERIOD_S)
        except TimeoutError:
            pass

    async def _notify(self) -> None:
        async with self._state.changed:
            self._state.changed.notify_all()

    async def _show(self, request: web.Request) -> web.Response:
        calls = dict(self._calls)
        return _json(
            {
                "calls": calls,
                "reads": calls.get("range", 0),
                "writes": sum(calls.get(name, 0) for name in _WRITES),
                "open_watches": self._open_watches,
                "leases": len(self._state.leases),
                "revision": self._state.revision,
                "faults": msgspec.to_builtins(self._faults),
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        """Sets faults.

        Beside the fields of `Faults`: `listener` limits `down` and
        `stale_reads` to one address; `lapse_leases` ends all leases now;
        `reset_counts` forgets the counted calls.
        """
        change = msgspec.json.decode(await request.read())
        if change.pop("lapse_leases", False):
            for lease_id in list(self._state.leases):
                self._state.end_lease(lease_id)
        if change.pop("reset_counts", False):
            self._calls.clear()
        if change.get("stale_reads") and not self._faults.stale_reads:
            self._stale = dict(self._state.pairs)
        listener = change.pop("listener", None)
        if listener is not None:
            self._set_at(listener, change)
        elif "down" in change:
            self._down_at.clear()
        fields = msgspec.to_builtins(self._faults) | change
        try:
            self._faults = msgspec.convert(fields, Faults)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        await self._notify()
        return await self._show(request)

    def _set_at(self, listener: str, change: dict[str, Any]) -> None:
        """Takes the faults of one address out of `change`."""
        if "down" in change:
            self._down_at[listener] = change.pop("down")
        if "stale_reads" in change:
            self._stale_at.discard(listener)
            if change.pop("stale_reads"):
                self._stale_at.add(listener)

    async def _expiry(self, app: web.Application) -> Any:
        async def expire() -> None:
            while True:
                await asyncio.sleep(_EXPIRY_PERIOD_S)
                if self._state.expire():
                    await self._notify()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def _json(answer: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(answer), content_type="application/json"
    )


def _no_lease() -> web.Response:
    message = "etcdserver: requested lease not found"
    return web.json_response(
        {"error": message, "code": 5, "message": message}, status=404
    )


def _event_result(event: Event) -> dict[str, Any]:
    described: dict[str, Any] = {"kv": event.pair.to_json()}
    if event.kind != "PUT":
        described["type"] = event.kind
    header = {"revision": str(event.pair.mod_revision)}
    return {"result": {"header": header, "events": [described]}}


async def _write_line(response: web.StreamResponse, line: Any) -> None:
    await response.write(msgspec.json.encode(line) + b"\n")


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", action="append", required=True)
    arguments = parser.parse_args()
    asyncio.run(serve(StoreStandIn().build(), arguments.listen))


if __name__ == "__main__":
    main()
