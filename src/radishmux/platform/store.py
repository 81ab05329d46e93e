"""Client of the platform's metadata store, which speaks HTTP with JSON."""

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
from radishmux.platform._records import first_part
from radishmux.platform._store_documents import (
    EventList,
    Item,
    Lease,
    RangePage,
    WriteResult,
)
from radishmux.store.interface import (
    Changes,
    Entry,
    HistoryLost,
    KeyChange,
    Rejected,
)
from radishmux.store.revision import MAX_ERA, era_of, in_era, number_of
from radishmux.telemetry.logs import state_change
from radishmux.verdict import Verdict

# Several round trips between regions. If a SYN packet is lost, or was sent
# during a network partition, a new connection attempt after this time is faster
# than the retransmission by the operating system.
CONNECT_TIMEOUT_S = 0.5
_REJECTED_STATUSES = frozenset({429, 503})
# Number of restorations of the store, plus one, in each of its responses.
_ERA = "store-era"


class PlatformStore:
    """Client of the store at one address.

    It is an async context manager that closes its connections on exit.

    The store may be restored from a copy: it then has lost its latest writes
    and leases, and hands out their revisions and ids again. The era in its
    responses tells. Revisions that were read in one era are outdated in a later
    one, and leases that were granted have ended.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._connections = ServerConnectionPool(
            address,
            clock,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            use_tcp_keepalive=True,
        )
        self._call_count = 0
        # The latest era that a response named; 0 before the first one.
        self._era = 0
        # Era in which each lease was granted.
        self._lease_eras: dict[int, int] = {}

    @property
    def calls(self) -> int:
        """Number of calls made since the client was created."""
        return self._call_count

    @property
    def era(self) -> int:
        """The latest era that a response named; 0 before the first one."""
        return self._era

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
        """Returns the value and revision of a key."""
        reply = await self._call(
            "GET", f"kv-key?Key={quote(key, safe='')}", None, timeout_s
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 404:
            return NotFound(key)
        item = _decode(reply, Item)
        if isinstance(item, Unavailable):
            return item
        value = _decode_value(item)
        if value is None:
            return Unavailable(f"value of {key} is not base64")
        return Entry(value, in_era(self._era, item.revision))

    async def list_keys(
        self, prefix: str, timeout_s: float
    ) -> Changes | Unavailable:
        """Reads all keys with a prefix, page by page.

        All pages are of one era, but do not form one snapshot. The returned
        revision is that of the first page, so a watch that starts there
        delivers every change made during the listing.
        """
        found: list[KeyChange] = []
        as_of: int | None = None
        after, era = "", None
        while True:
            path = f"kv-range?PathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            reply = await self._call("GET", path, None, timeout_s)
            page = (
                reply
                if isinstance(reply, Unavailable)
                else _decode(reply, RangePage)
            )
            if isinstance(page, Unavailable):
                return page
            if era is not None and era != self._era:
                return Unavailable("restored while its keys were listed")
            era = self._era
            as_of = in_era(era, page.as_of) if as_of is None else as_of
            found.extend(_key_change(item, era) for item in page.items)
            if not page.has_more or not page.items:
                return Changes(tuple(found), as_of)
            after = page.items[-1].key

    async def changes_after(
        self, prefix: str, revision: int, wait_s: float, timeout_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Waits up to `wait_s` for changes of a prefix after a revision.

        The history is lost for a revision of an earlier era, even if the store
        has changes after the same number.
        """
        number = number_of(revision)
        path = (
            f"kv-watch?PathPrefix={quote(prefix, safe='')}"
            f"&after={number}&WaitMs={round(wait_s * 1000)}"
        )
        reply = await self._call("GET", path, None, wait_s + timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if self._era != era_of(revision):
            return HistoryLost(f"restored, now in era {self._era}")
        if reply.status == 410:
            return HistoryLost(f"history after {number}")
        events = _decode(reply, EventList)
        if isinstance(events, Unavailable):
            return events
        changes = tuple(_key_change(item, self._era) for item in events.events)
        return Changes(changes, max(revision, in_era(self._era, events.as_of)))

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Entry | Conflict | Unknown | Unavailable:
        """Writes `value` if the key still has `expected_revision`.

        A revision of an earlier era conflicts. If the store turns out to have
        been restored since, the key may have had that revision by chance, and
        the outcome is unknown.
        """
        written = await self.transact(
            {key: expected_revision}, {key: value}, (), timeout_s, lease_id
        )
        return Entry(value, written) if isinstance(written, int) else written

    async def transact(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        deletes: tuple[str, ...],
        timeout_s: float,
        lease_id: int = 0,
    ) -> int | Conflict | Unknown | Unavailable:
        """Writes and deletes keys if some keys have the expected revisions.

        Revisions and eras are compared as in `compare_and_swap`.

        Args:
            expected: Revision of each key; 0: it must not exist.
            puts: Values to write.
            deletes: Keys to delete.
            timeout_s: Time limit.
            lease_id: Lease of the written keys; 0: none.

        Returns:
            The revision of the write.
        """
        revisions = [revision for revision in expected.values() if revision]
        if any(era_of(revision) != self._era for revision in revisions):
            return Conflict("an earlier era")
        body = {
            "Expected": [
                {"Key": key, "Revision": number_of(revision)}
                for key, revision in expected.items()
            ],
            "Puts": [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "LeaseId": lease_id,
                }
                for key, value in puts.items()
            ],
            "Deletes": list(deletes),
        }
        reply = await self._write("kv-txn", body, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 412:
            return Conflict(", ".join(expected))
        if reply.status == 404:
            return NotFound(f"lease {lease_id}")
        written = _decode(reply, WriteResult)
        if isinstance(written, Unavailable):
            return Unknown(written.reason)
        if any(era_of(revision) != self._era for revision in revisions):
            return Unknown("restored before the write")
        return in_era(self._era, written.revision)

    async def delete(
        self, key: str, timeout_s: float
    ) -> bool | Unknown | Unavailable:
        """Deletes a key at any revision; returns whether the store did so."""
        body = {"Expected": [], "Puts": [], "Deletes": [key]}
        reply = await self._write("kv-txn", body, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        return reply.status == 200

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Creates a lease and returns its id."""
        reply = await self._write("kv-lease", {"TtlS_time": ttl_s}, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        lease = _decode(reply, Lease)
        if isinstance(lease, Unavailable):
            return lease
        self._lease_eras[lease.lease_id] = self._era
        return lease.lease_id

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease.

        A lease of an earlier era has ended: its id may be that of another
        instance's lease now, and its keys may be lost.

        Returns:
            The time to live in seconds, or 0 if the lease has already ended.
        """
        reply = await self._write(f"kv-keep/{lease_id}", None, timeout_s)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 404 or self._lease_eras.get(lease_id) != self._era:
            self._lease_eras.pop(lease_id, None)
            return 0.0
        lease = _decode(reply, Lease)
        return lease if isinstance(lease, Unavailable) else lease.ttl_s

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Ends a lease; returns whether the store did so."""
        reply = await self._call(
            "DELETE", f"kv-lease-end/{lease_id}", None, timeout_s
        )
        if isinstance(reply, Unavailable):
            return reply
        return reply.status == 200

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Yields the values of a key that are written after a revision.

        Ends when the store is unavailable.
        """
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
        """Sends one request to the store.

        Returns:
            The response; Unknown if there is none but the request may still
            take effect; Unavailable if the request has no effect.
        """
        self._call_count += 1
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
        if not self._follow_era(reply):
            return Unknown("response of an earlier era")
        if reply.status in _REJECTED_STATUSES:
            return Rejected(f"status {reply.status}")
        return reply

    def _follow_era(self, reply: ServerResponse) -> bool:
        """Notes the era that a response names; False if it is an earlier one.

        A response without a readable era is taken for one of the latest era.
        """
        text = first_part(reply.header(_ERA) or "")
        if not (text.isascii() and text.isdigit()) or int(text) > MAX_ERA:
            return True
        era = int(text)
        if era > self._era:
            if self._era:
                state_change("store", "restored", "WARNING", era=era)
            self._era = era
        return era == self._era


def _decode(reply: ServerResponse, kind: Any) -> Any:
    if reply.status != 200:
        return Unavailable(f"status {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable answer: {error}")


def _key_change(item: Item, era: int) -> KeyChange:
    revision = in_era(era, item.revision)
    return KeyChange(item.key, _decode_value(item), revision)


def _decode_value(item: Item) -> bytes | None:
    """Returns the decoded value.

    Returns:
        None if the key was deleted, empty bytes if the value is not base64.
    """
    if item.deleted:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b""
