"""Runs the HTTP instance list driver against the stand-in process."""

from __future__ import annotations

import json
import pathlib

from radishmux.instances.http import HttpInstanceList
from radishmux.instances.interface import InstanceState, instance_list_drivers
from radishmux.outcome import Unavailable
from tests.fakes import FakeMetrics, until
from tests.standin_processes import standin


def _instance_document(name: str) -> dict[str, str]:
    return {
        "instance": name,
        "region": "accra",
        "failure_domain": "accra-a",
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "control_address": "127.0.0.1:3",
        "state": "live",
    }


async def test_list_reads_changes_lag_and_outages(tmp_path: pathlib.Path):
    """Guards against a failed read that yields an empty or a partial list.

    Instances that are missing from the list are considered gone.
    """
    assert instance_list_drivers["http"] is HttpInstanceList
    path = tmp_path / "instances.json"
    path.write_text(
        json.dumps([_instance_document("a"), _instance_document("b")])
    )
    arguments = ["--instances", str(path)]
    async with (
        standin("instance_list", arguments=arguments) as server,
        HttpInstanceList([server.address], FakeMetrics()) as instance_list,
    ):
        instances = await instance_list.read(2)
        assert [listed.instance for listed in instances] == ["a", "b"]
        await server.control(lag_s=0.3, set={"a": {"state": "leaving"}})
        instances = await instance_list.read(2)
        assert instances[0].state is InstanceState.LIVE

        async def is_leaving() -> bool:
            instances = await instance_list.read(2)
            return instances[0].state is InstanceState.LEAVING

        await until(is_leaving)
        await server.control(
            lag_s=0, remove=["a"], add=[_instance_document("c")]
        )
        instances = await instance_list.read(2)
        assert [listed.instance for listed in instances] == ["b", "c"]
        for down in ("hang", "refuse"):
            await server.control(down=down)
            assert isinstance(await instance_list.read(0.2), Unavailable)
        await server.control(down="no", add=[{"instance": "no address"}])
        assert isinstance(await instance_list.read(2), Unavailable)
