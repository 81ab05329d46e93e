"""Proof of I3 with daemon processes: revocation on open connections.

Guards against a key that goes on working on a connection opened before its
revocation, and on an instance that was frozen while it was revoked.
"""

from __future__ import annotations

import asyncio
import http.client
import os
import signal
import time

import msgspec

from bench.fleet import Fleet, plan_instances
from radishmux.config.document import ConfigWriter
from radishmux.config.model import (
    Configuration,
    Customer,
    Region,
    Route,
    Service,
)
from radishmux.keys.check import key_digest
from radishmux.store.etcd import EtcdStore
from tests.fakes import FakeMetrics

# I3: a revoked key stops working everywhere within 5 s.
_BOUND_S = 5.0
_TIMEOUT_S = 20.0
_REGIONS = [
    Region(name=name, failure_domains=[f"{name}-a"])
    for name in ("accra", "kumasi", "tamale")
]


class _Caller:
    """A caller with one connection that stays open."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(
            address, timeout=_TIMEOUT_S
        )
        self._connection.connect()
        self._socket = self._connection.sock

    def send(self, key: str) -> None:
        assert self._connection.sock is self._socket, "connection was closed"
        self._connection.request(
            "GET", "/v1/lookup?service=poles", headers={"X-Radishmux-Key": key}
        )

    def status(self) -> int:
        response = self._connection.getresponse()
        response.read()
        return response.status

    def ask(self, key: str) -> int:
        self.send(key)
        return self.status()


def _set_keys(store: str, *keys: str) -> None:
    configuration = Configuration(
        regions=_REGIONS,
        services=[
            Service(
                name="poles",
                routes=[Route(name="all")],
                stable_version="v1",
            )
        ],
        customers=[
            Customer(
                name="clinic",
                rate_per_s=1_000,
                burst=1_000,
                key_digests=[key_digest(key) for key in keys],
            )
        ],
    )

    async def write() -> None:
        async with EtcdStore([store], FakeMetrics()) as client:
            writer = ConfigWriter(client, "operator")
            result = await writer.update(
                lambda old: msgspec.structs.replace(
                    configuration, version=old.version
                )
            )
            assert isinstance(result, Configuration), result

    asyncio.run(write())


def _until(callers: list[_Caller], key: str, status: int, ends: float) -> None:
    while any(caller.ask(key) != status for caller in callers):
        assert time.monotonic() < ends
        time.sleep(0.02)


def test_revoked_key_stops_on_open_connections_and_after_a_freeze():
    with Fleet(stop_s=0.0) as fleet:
        fleet.start_platform(plan_instances(_REGIONS, 1))
        _set_keys(fleet.store, "k1", "k2")
        fleet.start_daemons()
        fleet.wait_ready()
        callers = [_Caller(one.caller) for one in fleet.instances]
        _until(callers, "k1", 200, time.monotonic() + _TIMEOUT_S)

        # Without this the frozen instance would find the new version in a
        # socket's buffer when it goes on, before it looks at the request.
        fleet.control(fleet.store, hold_watches=True)
        frozen, *others = callers
        pid = fleet.daemon(fleet.instances[0].instance).pid
        os.kill(pid, signal.SIGSTOP)
        try:
            _set_keys(fleet.store, "k2")
            ends = time.monotonic() + _BOUND_S
            _until(others, "k1", 401, ends)
            assert [caller.ask("k2") for caller in others] == [200, 200]
            # Waits in the frozen instance's socket until the bound is over.
            frozen.send("k1")
            while time.monotonic() < ends:
                _until(others, "k1", 401, ends + _BOUND_S)
                time.sleep(0.1)
        finally:
            os.kill(pid, signal.SIGCONT)
        assert frozen.status() in (401, 503)
        _until([frozen], "k1", 401, time.monotonic() + _BOUND_S)
        _until([frozen], "k2", 200, time.monotonic() + _BOUND_S)
