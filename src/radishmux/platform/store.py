"""Driver of the platform's metadata store: HTTP with JSON bodies."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any
from urllib.parse import quote

import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import (
    Changes,
    Entry,
    HistoryLost,
    KeyChange,
    Rejected,
)
from radishmux.verdict import Verdict

# Several round trips between regions. A packet that was lost, or sent before a
# cut ended, is sent again by the next attempt sooner than by the system.
CONNECT_TIMEOUT_S = 0.5
_REJECTED = frozenset({429, 503})


class _Item(msgspec.Struct, rename="pascal"):
    """An item or an event; every field but the key may be missing."""

    key: str
    value: str = ""
    revision: int = 0
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item] = []
    has_more: bool = msgspec.field(default=False, name="HasMore")
    as_of: int = msgspec.field(default=0, name="AsOf")


class _Events(msgspec.Struct):
    events: list[_Item] = []
    as_of: int = msgspec.field(default=0, name="AsOf")


class _Written(msgspec.Struct, rename="pascal"):
    revision: int = 0


class _Lease(msgspec.Struct):
    lease_id: int = msgspec.field(default=0, name="LeaseId")
    # The name on the wire belongs to a word that occurs twice there.
    ttl_s: float = msgspec.field(default=0.0, name="TtlS_time")


class PlatformStore:
    """The store at one address; an async context manager."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._connections = ServerConnectionPool(
            address,
            clock,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            use_tcp_keepalive=True,
        )
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made since the start."""
        return self._calls

    async def __aenter__(self) -> PlatformStore:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._connections.close()

    async def get(
        self, key: str, timeout_s: float
    ) -> Entry | NotFound | Unavailable:
        """Reads a key."""
        reply = await self._call(
            "GET", f"kv-key?Key={quote(key, safe='')}", None, timeout_s
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 404:
            return NotFound(key)
        item = _decode(reply, _Item)
        if isinstance(item, Unavailable):
            return item
        value = _value(item)
        if value is None:
            return Unavailable(f"value of {key} is not base64")
        return Entry(value, item.revision)

    async def list_keys(
        self, prefix: str, timeout_s: float
    ) -> Changes | Unavailable:
        """Returns all keys with a prefix, page by page.

        Pages are not a snapshot; changes after the first page's revision are
        read again by whoever follows the prefix from there.
        """
        found: list[KeyChange] = []
        as_of: int | None = None
        after = ""
        while True:
            path = f"kv-range?PathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            reply = await self._call("GET", path, None, timeout_s)
            page = (
                reply
                if isinstance(reply, Unavailable)
                else _decode(reply, _Range)
            )
            if isinstance(page, Unavailable):
                return page
            as_of = page.as_of if as_of is None else as_of
            found.extend(_change(item) for item in page.items)
            if not page.has_more or not page.items:
                return Changes(tuple(found), as_of)
            after = page.items[-1].key

    async def changes_after(
        self, prefix: str, revision: int, wait_s: float, timeout_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Waits for changes after a revision."""
        path = (
            f"kv-watch?PathPrefix={quote(prefix, safe='')}"
            f"&after={revision}&WaitMs={round(wait_s * 1000)}"
        )
        reply = await self._call("GET", path, None, wait_s + timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 410:
            return HistoryLost(f"history after {revision}")
        events = _decode(reply, _Events)
        if isinstance(events, Unavailable):
            return events
        changes = tuple(_change(item) for item in events.events)
        return Changes(changes, max(revision, events.as_of))

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Entry | Conflict | Unknown | Unavailable:
        """Writes `value` if the key still has `expected_revision`."""
        put = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "LeaseId": lease_id,
        }
        body = {
            "Expected": [{"Key": key, "Revision": expected_revision}],
            "Puts": [put],
            "Deletes": [],
        }
        reply = await self._write("kv-txn", body, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 412:
            return Conflict(key)
        if reply.status == 404:
            return NotFound(f"lease {lease_id}")
        written = _decode(reply, _Written)
        if isinstance(written, Unavailable):
            return Unknown(written.reason)
        return Entry(value, written.revision)

    async def delete(
        self, key: str, timeout_s: float
    ) -> bool | Unknown | Unavailable:
        """Deletes a key."""
        body = {"Expected": [], "Puts": [], "Deletes": [key]}
        reply = await self._write("kv-txn", body, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        return reply.status == 200

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Returns the id of a new lease."""
        reply = await self._write("kv-lease", {"TtlS_time": ttl_s}, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        lease = _decode(reply, _Lease)
        if isinstance(lease, Unavailable):
            return lease
        return lease.lease_id

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease and returns its time; 0: it has ended."""
        reply = await self._write(f"kv-keep/{lease_id}", None, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 404:
            return 0.0
        lease = _decode(reply, _Lease)
        return lease if isinstance(lease, Unavailable) else lease.ttl_s

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Ends a lease."""
        reply = await self._call(
            "DELETE", f"kv-lease-end/{lease_id}", None, timeout_s
        )
        if isinstance(reply, Unavailable):
            return reply
        return reply.status == 200

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Yields each later value of a key."""
        revision = from_revision
        while True:
            changes = await self.changes_after(key, revision, 10.0, 1.0)
            if isinstance(changes, Unavailable):
                return
            revision = changes.as_of
            for change in changes.changes:
                if change.key == key and change.value is not None:
                    yield Entry(change.value, change.revision)

    async def _write(
        self, path: str, body: Any, timeout_s: float
    ) -> ServerResponse | Unavailable:
        return await self._call("POST", path, body, timeout_s)

    async def _call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> ServerResponse | Unavailable:
        """Makes one call; Unknown if it may still take effect."""
        self._calls += 1
        data = b"" if body is None else msgspec.json.encode(body)
        lines = [f"{method} /api/{path} HTTP/1.1", f"Host: {self._address}"]
        if data:
            lines.append("Content-Type: application/json")
        if method != "GET":
            lines.append(f"Content-Length: {len(data)}")
        head = "\r\n".join([*lines, "\r\n"]).encode()
        reply = await self._connections.send(
            [head, data], self._clock.now() + timeout_s
        )
        if isinstance(reply, NoResponse):
            if reply.verdict is Verdict.NOT_RUN:
                return Unavailable(reply.reason)
            return Unknown(reply.reason)
        if reply.status in _REJECTED:
            return Rejected(f"status {reply.status}")
        return reply


def _decode(reply: ServerResponse, kind: Any) -> Any:
    if reply.status != 200:
        return Unavailable(f"status {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable answer: {error}")


def _change(item: _Item) -> KeyChange:
    return KeyChange(item.key, _value(item), item.revision)


def _value(item: _Item) -> bytes | None:
    """Returns the decoded value; None when deleted or unreadable."""
    if item.deleted:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b""
