"""Stand-in for the platform's store: keys, watches, transactions, leases."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

PAGE = 50
HISTORY_S = 20.0


class Store:
    """A store at one loopback address, with all of its state in memory."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.address = ""
        self.cuts = 0
        self._waiting = set()
        self._server = None
        self._expiry = None

    async def start(self, host="127.0.0.1"):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self):
        self._expiry.cancel()
        self._server.close()

    def put(self, key, document, lease=0):
        """Writes a JSON document; returns the revision."""
        return self._put(key, json.dumps(document).encode(), lease)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.items.pop(key)
            self._record({"Key": key, "Revision": self.revision, "Deleted": True})

    @property
    def waiting(self):
        """Number of watches that wait for a change."""
        return len(self._waiting)

    def cut_watches(self):
        """Closes the connections of all watches that are waiting."""
        for writer in list(self._waiting):
            self.cuts += 1
            writer.transport.abort()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    def _put(self, key, value, lease):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": known["Created"] if known else self.revision,
            "LeaseId": lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def _record(self, event):
        self.events.append((time.monotonic(), event))
        old = time.monotonic() - HISTORY_S
        while self.events and self.events[0][0] < old:
            self.events.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (_, at) in self.leases.items() if at <= now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease)
        for key in [k for k, i in self.items.items() if i["LeaseId"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *fields = head.decode("latin-1").split("\r\n")
                method, target, _ = line.split(" ")
                size = 0
                for field in fields:
                    name, _, value = field.partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size)
                is_watch = "/kv-watch?" in target
                if is_watch:
                    self._waiting.add(writer)
                try:
                    status, document = await self._answer(method, target, body)
                finally:
                    self._waiting.discard(writer)
                data = b"" if document is None else json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        call = path.removeprefix("/api/")
        if call == "kv-key":
            item = self.items.get(query["Key"])
            return (200, item | {"AsOf": self.revision}) if item else (404, None)
        if call == "kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": found[:PAGE],
                "HasMore": len(found) > PAGE,
                "AsOf": self.revision,
            }
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-txn":
            return self._txn(json.loads(body))
        if call == "kv-lease":
            ttl_s = json.loads(body)["TtlS_time"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"LeaseId": self.next_lease, "TtlS_time": ttl_s}
        name, _, number = call.partition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, None
        if name == "kv-keep":
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"TtlS_time": ttl_s}
        self._end(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if self.events and after < self.events[0][1]["Revision"] - 1:
                return 410, None
            found = [
                event
                for _, event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _txn(self, body):
        for row in body["Expected"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                keys = [one["Key"] for one in body["Expected"]]
                return 412, {
                    "items": [self.items[k] for k in keys if k in self.items]
                }
        for put in body["Puts"]:
            lease = put.get("LeaseId", 0)
            if lease and lease not in self.leases:
                return 404, None
        for put in body["Puts"]:
            value = base64.b64decode(put["Value"])
            self._put(put["Key"], value, put.get("LeaseId", 0))
        for key in body["Deletes"]:
            self.delete(key)
        return 200, {"Revision": self.revision}
