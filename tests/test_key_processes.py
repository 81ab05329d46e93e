"""Checks the revocation of keys with daemon processes (invariant I3).

Guards against a key that still works after its revocation, on a connection
that was opened before or on an instance that was suspended in the meantime.
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

# I3: a revoked key stops working on all instances within 5 s.
_REVOCATION_BOUND_S = 5.0
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

    def read_status(self) -> int:
        response = self._connection.getresponse()
        response.read()
        return response.status

    def send_and_get_status(self, key: str) -> int:
        self.send(key)
        return self.read_status()


def _write_keys(store: str, *keys: str) -> None:
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


def _poll_until_status(
    callers: list[_Caller], key: str, status: int, deadline: float
) -> None:
    while any(caller.send_and_get_status(key) != status for caller in callers):
        assert time.monotonic() < deadline
        time.sleep(0.02)


def test_revoked_key_is_refused_on_open_connections_and_after_sigstop():
    with Fleet(stop_s=0.0) as fleet:
        fleet.start_platform(plan_instances(_REGIONS, 1))
        _write_keys(fleet.store, "k1", "k2")
        fleet.start_daemons()
        fleet.wait_ready()
        callers = [_Caller(started.caller) for started in fleet.instances]
        _poll_until_status(callers, "k1", 200, time.monotonic() + _TIMEOUT_S)

        # Otherwise the suspended instance could read the new version from a
        # socket buffer when it resumes, before it handles the request.
        fleet.control(fleet.store, hold_watches=True)
        suspended, *running = callers
        pid = fleet.daemon(fleet.instances[0].instance).pid
        os.kill(pid, signal.SIGSTOP)
        try:
            _write_keys(fleet.store, "k2")
            deadline = time.monotonic() + _REVOCATION_BOUND_S
            _poll_until_status(running, "k1", 401, deadline)
            assert [caller.send_and_get_status("k2") for caller in running] == [
                200,
                200,
            ]
            # Stays in the socket buffer of the suspended instance until the
            # bound has passed.
            suspended.send("k1")
            while time.monotonic() < deadline:
                _poll_until_status(
                    running, "k1", 401, deadline + _REVOCATION_BOUND_S
                )
                time.sleep(0.1)
        finally:
            os.kill(pid, signal.SIGCONT)
        assert suspended.read_status() in (401, 503)
        _poll_until_status(
            [suspended], "k1", 401, time.monotonic() + _REVOCATION_BOUND_S
        )
        _poll_until_status(
            [suspended], "k2", 200, time.monotonic() + _REVOCATION_BOUND_S
        )
