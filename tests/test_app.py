"""Guards how the components of a daemon are connected, from end to end."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from bench.fleet import free_addresses
from radishmux.app import App
from radishmux.config.document import ConfigWriter
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Region,
    Route,
    Service,
)
from radishmux.keys.check import key_digest
from radishmux.settings.daemon import DaemonSettings
from radishmux.store.etcd import EtcdStore
from radishmux.telemetry.metrics import Metrics
from tests.standin_processes import standin

_READY_S = 20.0


def _configuration(backend_address: str) -> Configuration:
    read = Route(name="read", path_prefix="/", idempotent=True)
    return Configuration(
        regions=[Region(name="accra", failure_domains=["accra-a"])],
        customers=[
            Customer(
                name="traders",
                rate_per_s=100,
                burst=50,
                key_digests=[key_digest("secret")],
            )
        ],
        services=[Service(name="poles", routes=[read], stable_version="v1")],
        backend_servers=[
            BackendServer(
                name="poles-1",
                service="poles",
                region="accra",
                failure_domain="accra-a",
                address=backend_address,
                version="v1",
                slots=3,
            )
        ],
    )


def _settings(store: str, instance_list: str) -> DaemonSettings:
    caller, peer, control, admin = free_addresses(4)
    return msgspec.convert(
        {
            "instance": "accra-a-1",
            "region": "accra",
            "failure_domain": "accra-a",
            "listen": {
                "caller": caller,
                "peer": peer,
                "control": control,
                "admin": admin,
            },
            "store": {"addresses": [store]},
            "instance_list": {"addresses": [instance_list]},
            "logs": {"level": "ERROR"},
        },
        DaemonSettings,
    )


async def _until_ready(session: aiohttp.ClientSession, admin: str) -> None:
    async with asyncio.timeout(_READY_S):
        while True:
            async with session.get(f"http://{admin}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


async def test_a_daemon_serves_with_a_key_and_refuses_without(tmp_path):
    listed = tmp_path / "instances.json"
    listed.write_text("[]")
    async with (
        standin("store") as store,
        standin(
            "instance_list", arguments=("--instances", str(listed))
        ) as instances,
        standin(
            "backend_server",
            arguments=(
                *("--name", "poles-1", "--service", "poles"),
                *("--version", "v1", "--slots", "3"),
            ),
        ) as backend,
        EtcdStore([store.address], Metrics()) as client,
    ):
        wanted = _configuration(backend.address)
        written = await ConfigWriter(client, "test").update(
            lambda current: msgspec.structs.replace(
                wanted, version=current.version
            )
        )
        assert written, written
        settings = _settings(store.address, instances.address)
        async with App(settings), aiohttp.ClientSession() as session:
            await _until_ready(session, settings.listen.admin)
            url = f"http://{settings.listen.caller}/poles/status/3"
            headers = {"X-Radishmux-Key": "secret"}
            async with session.get(url, headers=headers) as response:
                assert response.status == 200, await response.text()
                assert response.headers["X-Radishmux-Verdict"] == "ran"
                assert response.headers["X-Radishmux-Served-By"] == "poles-1"
            async with session.get(url) as response:
                refusal = await response.json(content_type=None)
                assert refusal["verdict"] == "not_run"
                assert refusal["reason"] == "no_key"
        record = await backend.show()
        assert len(record["runs"]) == 1
        assert not any(run["key_seen"] for run in record["runs"])
