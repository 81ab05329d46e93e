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

# Upper bound for one line of a watch stream. A value of 1 MB takes 1.4 MB in
# base64, so a longer line cannot be a valid event.
_MAX_LINE_BYTES = 4 * 1024 * 1024
# The connection of a watch that delivers no data for this long may be
# half-open. The watch then ends, and its caller opens it again from the
# revision after the last event, so that no event is lost.
WATCH_IDLE_S = 30.0
_WATCH_CONNECT_TIMEOUT_S = 2.0


class MetricsSink(Protocol):
    """Receives the call counts and durations of the store driver."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name` with these labels."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds `value` to the histogram `name` with these labels."""


class _NotSent(Unavailable):
    """No connection was established, so the call cannot have taken effect.

    The label `outcome` of the metrics is `notsent`, from the class name.
    """

    __slots__ = ()


@store_drivers.register("etcd")
class EtcdStore:
    """Client of the JSON gateway of an etcd v3 cluster.

    Use it as an async context manager. Reads try the addresses in turn within
    their timeout. A write is retried at another address only when no
    connection could be established, because otherwise the first attempt may
    have taken effect.

    Args:
        addresses: `ip:port` of each gateway, in order of preference.
        metrics: Receives the counts and durations of the calls.
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
        """Returns the current entry of a key, by a linearizable read."""
        body = {"key": _to_base64(key.encode())}
        answer = await self._call_for_read(
            "get", "/v3/kv/range", body, timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        key_values = answer.get("kvs") or []
        if not key_values:
            return NotFound(f"no key {key}")
        try:
            return _decode_entry(key_values[0])
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
        """Writes `value` if the key still has `expected_revision`.

        Args:
            key: Key to write.
            expected_revision: Revision of the last change of the key; 0 if
                the key must not exist.
            value: New value.
            timeout_s: Time limit for the whole call.
            lease_id: Lease that the key is attached to; 0 for none.

        Returns:
            The new entry; Conflict if the key has another revision; Unknown
            if the write may have taken effect; any other Unavailable if it
            has not.
        """
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
        answer = await self._call_for_write(
            "swap", "/v3/kv/txn", body, timeout_s
        )
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
        """Creates a lease with a TTL of `ttl_s` and returns its id."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        answer = await self._call_for_write(
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
        """Renews a lease and returns its remaining seconds.

        The result is 0 if the lease has expired. The remaining time starts
        at an unknown moment between sending the call and receiving the
        answer. To be safe, the lease holder counts it from before the call.
        """
        body = {"ID": str(lease_id)}
        answer = await self._call_for_write(
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
        """Ends a lease; returns False if the store rejects the call.

        The store does so when the lease has already expired.
        """
        body = {"ID": str(lease_id)}
        answer = await self._call_for_write(
            "revoke_lease", "/v3/kv/lease/revoke", body, timeout_s
        )
        if isinstance(answer, Rejected):
            return False
        return answer if isinstance(answer, Unavailable) else True

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[Entry]:
        """Yields each change of a key from `from_revision` on.

        A deletion is yielded as an entry with revision 0. The iterator ends
        without an exception when the connection fails, when the store cancels
        the watch or when it sends nothing for `WATCH_IDLE_S`. To miss no
        event, the caller watches again from the last revision plus one, or
        reads the key if the store has compacted that revision.
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
            async with self._require_session().post(
                f"http://{address}/v3/watch",
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(
                    sock_connect=_WATCH_CONNECT_TIMEOUT_S,
                    sock_read=WATCH_IDLE_S,
                ),
            ) as response:
                if response.status != 200:
                    return
                async for line in _read_lines(response.content):
                    result = msgspec.json.decode(line).get("result", {})
                    if result.get("canceled"):
                        return
                    for event in result.get("events", []):
                        yield _decode_event(event)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            KeyError,
            ValueError,  # Base class of msgspec's decoding errors.
        ):
            self._prefer_next(address)

    async def _call_for_read(
        self, operation: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any] | Unavailable:
        """Makes at most one attempt per address until one succeeds.

        Each attempt gets an equal share of the remaining time.
        """
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
        # A read has no effect, so Unknown and _NotSent do not matter here.
        return Unavailable(failure.reason)

    async def _call_for_write(
        self, operation: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any] | Unavailable:
        """Tries the next address only while no connection is established."""
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
        """Sends the call once, to the preferred address, and measures it."""
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
            self._prefer_next(address)
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
        async with self._require_session().post(
            f"http://{address}{path}", data=msgspec.json.encode(body)
        ) as response:
            payload = await response.read()
            if response.status == 200:
                answer = msgspec.json.decode(payload)
                if isinstance(answer, dict):
                    return answer
                return Unknown(f"{address}: answer is no object")
            reason = f"{address}: HTTP {response.status}"
            # The gateway answers 4xx before it executes the call. After a 5xx
            # the cluster may still execute it.
            if 400 <= response.status < 500:
                return Rejected(reason)
            return Unknown(reason)

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError("EtcdStore used outside its async with block")
        return self._session

    def _prefer_next(self, address: str) -> None:
        """Makes the address after `address` the preferred one.

        Does nothing if a concurrent call has already moved on from `address`.
        """
        if self._addresses[self._preferred] == address:
            self._preferred = (self._preferred + 1) % len(self._addresses)


def _to_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _decode_entry(pair: dict[str, Any]) -> Entry:
    value = base64.b64decode(pair.get("value", ""), validate=True)
    return Entry(value, int(pair["mod_revision"]))


def _decode_event(event: dict[str, Any]) -> Entry:
    if event.get("type", "PUT") == "DELETE":
        return Entry(b"", 0)
    return _decode_entry(event["kv"])


def _outcome_label(answer: dict[str, Any] | Unavailable) -> str:
    if isinstance(answer, Unavailable):
        return type(answer).__name__.lstrip("_").lower()
    return "answered"


async def _read_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yields the JSON lines of a streamed answer, without blank ones.

    Raises:
        ValueError: An incomplete line is longer than `_MAX_LINE_BYTES`.
    """
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        *lines, incomplete = buffer.split(b"\n")
        for line in lines:
            if line.strip():
                yield bytes(line)
        buffer = bytearray(incomplete)
        if len(buffer) > _MAX_LINE_BYTES:
            raise ValueError(
                f"line of the watch stream exceeds {_MAX_LINE_BYTES} bytes"
            )
