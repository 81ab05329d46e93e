"""Store driver for the JSON gateway of etcd v3."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import AsyncIterator, Sequence
from typing import Any, Protocol

import aiohttp
import msgspec

from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, Rejected, store_drivers

# A value of 1 MB is 1.4 MB in base64; longer lines are not from a store.
_MAX_LINE_BYTES = 4 * 1024 * 1024
# A watch that says nothing for this long may be half-open. It is opened
# again from the same revision, so that no event is lost.
WATCH_IDLE_S = 30.0
_WATCH_CONNECT_S = 2.0


class MetricsSink(Protocol):
    """Takes counters and durations."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram."""


class _NotSent(Unavailable):
    """No connection was made, so the call cannot have taken effect."""

    __slots__ = ()


@store_drivers.register("etcd")
class EtcdStore:
    """Calls the JSON gateway of an etcd v3 cluster.

    An async context manager. Reads try the addresses in turn within their
    timeout. Writes are sent once: a second attempt is made only when no
    connection was made for the first.

    Args:
        addresses: `ip:port` of each gateway, in order of preference.
        metrics: Takes counts and durations of the calls.
    """

    def __init__(self, addresses: Sequence[str], metrics: MetricsSink) -> None:
        self._addresses = tuple(addresses)
        self._metrics = metrics
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> EtcdStore:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"Content-Type": "application/json"},
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(
        self, key: str, timeout_s: float
    ) -> Entry | NotFound | Unavailable:
        """Reads a key with a linearizable read."""
        body = {"key": _to_base64(key.encode())}
        answer = await self._read("get", "/v3/kv/range", body, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        found = answer.get("kvs") or []
        if not found:
            return NotFound(f"no key {key}")
        try:
            return _to_entry(found[0])
        except (KeyError, ValueError) as error:
            return Unavailable(f"malformed answer: {error!r}")

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Entry | Conflict | Unknown | Unavailable:
        """Writes `value` if the key still has `expected_revision`."""
        encoded_key = _to_base64(key.encode())
        put = {"key": encoded_key, "value": _to_base64(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        body = {
            "compare": [
                {
                    "key": encoded_key,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [{"request_put": put}],
        }
        answer = await self._write("swap", "/v3/kv/txn", body, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        if not answer.get("succeeded", False):
            return Conflict(f"{key} no longer has {expected_revision}")
        try:
            return Entry(value, int(answer["header"]["revision"]))
        except (KeyError, TypeError, ValueError) as error:
            return Unknown(f"malformed answer: {error!r}")

    async def grant_lease(
        self, ttl_s: int, timeout_s: float
    ) -> int | Unavailable:
        """Returns the id of a new lease."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        answer = await self._write(
            "grant_lease", "/v3/lease/grant", body, timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        try:
            return int(answer["ID"])
        except (KeyError, ValueError) as error:
            return Unavailable(f"malformed answer: {error!r}")

    async def keep_lease(
        self, lease_id: int, timeout_s: float
    ) -> float | Unavailable:
        """Renews a lease and returns the remaining seconds; 0: lapsed.

        The remaining time counts from some moment between the sending of
        the call and its answer; a holder counts it from before the call.
        """
        body = {"ID": str(lease_id)}
        answer = await self._write(
            "keep_lease", "/v3/lease/keepalive", body, timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        try:
            return max(0.0, float(answer["result"].get("TTL", 0)))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return Unavailable(f"malformed answer: {error!r}")

    async def revoke_lease(
        self, lease_id: int, timeout_s: float
    ) -> bool | Unavailable:
        """Ends a lease; False when it had already lapsed."""
        body = {"ID": str(lease_id)}
        answer = await self._write(
            "revoke_lease", "/v3/kv/lease/revoke", body, timeout_s
        )
        if isinstance(answer, Rejected):
            return False
        return answer if isinstance(answer, Unavailable) else True

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Yields each value from `from_revision` on.

        A deletion is yielded as an entry with revision 0. The iterator ends
        when the connection does or when the store says nothing for
        `WATCH_IDLE_S`; events in between are had by watching again from the
        last revision plus one, or by a read when the store has compacted it.
        """
        body = {
            "create_request": {
                "key": _to_base64(key.encode()),
                "start_revision": str(from_revision),
            }
        }
        address = self._addresses[self._preferred]
        self._metrics.count(
            "store_calls_total", operation="watch", outcome="opened"
        )
        try:
            async with self._open_session().post(
                f"http://{address}/v3/watch",
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(
                    sock_connect=_WATCH_CONNECT_S, sock_read=WATCH_IDLE_S
                ),
            ) as response:
                if response.status != 200:
                    return
                async for line in _lines(response.content):
                    result = msgspec.json.decode(line).get("result", {})
                    if result.get("canceled"):
                        return
                    for event in result.get("events", []):
                        yield _event_entry(event)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            KeyError,
            ValueError,  # Includes errors of msgspec.
        ):
            self._avoid(address)

    async def _read(
        self, operation: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any] | Unavailable:
        deadline = time.monotonic() + timeout_s
        failure: Unavailable = Unavailable("no address")
        for attempts_left in range(len(self._addresses), 0, -1):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            answer = await self._call(
                operation, path, body, remaining / attempts_left
            )
            if not isinstance(answer, Unavailable):
                return answer
            failure = answer
        if isinstance(failure, Rejected):
            return failure
        return Unavailable(failure.reason)

    async def _write(
        self, operation: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any] | Unavailable:
        deadline = time.monotonic() + timeout_s
        failure: Unavailable = Unavailable("no address")
        for _ in self._addresses:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            answer = await self._call(operation, path, body, remaining)
            if not isinstance(answer, _NotSent):
                return answer
            failure = answer
        return failure

    async def _call(
        self, operation: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any] | Unavailable:
        """Makes one attempt at the preferred address."""
        address = self._addresses[self._preferred]
        started = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._post(address, path, body)
        except (aiohttp.ClientConnectorError, ConnectionRefusedError) as error:
            answer = _NotSent(f"{address}: {error}")
        except TimeoutError:
            answer = Unknown(f"{address}: no answer in {timeout_s:.3f} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            answer = Unknown(f"{address}: {type(error).__name__}: {error}")
        if isinstance(answer, (_NotSent, Unknown)):
            self._avoid(address)
        self._metrics.count(
            "store_calls_total",
            operation=operation,
            outcome=_outcome_label(answer),
        )
        self._metrics.observe(
            "store_call_seconds",
            time.monotonic() - started,
            operation=operation,
        )
        return answer

    async def _post(
        self, address: str, path: str, body: Any
    ) -> dict[str, Any] | Unavailable:
        async with self._open_session().post(
            f"http://{address}{path}", data=msgspec.json.encode(body)
        ) as response:
            payload = await response.read()
            if response.status == 200:
                answer = msgspec.json.decode(payload)
                if isinstance(answer, dict):
                    return answer
                return Unknown(f"{address}: answer is no object")
            reason = f"{address}: HTTP {response.status}"
            # The gateway answers 4xx before it does anything; after 5xx the
            # cluster may still carry out the call.
            if 400 <= response.status < 500:
                return Rejected(reason)
            return Unknown(reason)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError("EtcdStore is used outside its context")
        return self._session

    def _avoid(self, address: str) -> None:
        """Prefers the next address, unless another call already did so."""
        if self._addresses[self._preferred] == address:
            self._preferred = (self._preferred + 1) % len(self._addresses)


def _to_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _to_entry(pair: dict[str, Any]) -> Entry:
    value = base64.b64decode(pair.get("value", ""), validate=True)
    return Entry(value, int(pair["mod_revision"]))


def _event_entry(event: dict[str, Any]) -> Entry:
    if event.get("type", "PUT") == "DELETE":
        return Entry(b"", 0)
    return _to_entry(event["kv"])


def _outcome_label(answer: dict[str, Any] | Unavailable) -> str:
    if isinstance(answer, Unavailable):
        return type(answer).__name__.lstrip("_").lower()
    return "answered"


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yields the JSON lines of a streamed answer.

    Raises:
        ValueError: A line is longer than any value of the store.
    """
    pending = bytearray()
    async for chunk in content.iter_any():
        pending += chunk
        *lines, rest = pending.split(b"\n")
        for line in lines:
            if line.strip():
                yield bytes(line)
        pending = bytearray(rest)
        if len(pending) > _MAX_LINE_BYTES:
            raise ValueError("line of the watch is too long")
