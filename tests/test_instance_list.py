"""Runs the instance list driver against a real process of the stand-in."""

from __future__ import annotations

import json
import pathlib

from radishmux.instances.http import HttpInstanceList
from radishmux.instances.interface import InstanceState, instance_list_drivers
from radishmux.outcome import Unavailable
from tests.fakes import FakeMetrics, until
from tests.standin_processes import standin


def _instance(name: str) -> dict[str, str]:
    return {
        "instance": name,
        "region": "accra",
        "failure_domain": "accra-a",
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "control_address": "127.0.0.1:3",
        "state": "live",
    }


async def test_list_changes_lags_and_goes_down(tmp_path: pathlib.Path):
    """A list that cannot be read is no empty list: nobody is gone."""
    assert instance_list_drivers["http"] is HttpInstanceList
    path = tmp_path / "instances.json"
    path.write_text(json.dumps([_instance("a"), _instance("b")]))
    arguments = ["--instances", str(path)]
    async with (
        standin("instance_list", arguments=arguments) as server,
        HttpInstanceList([server.address], FakeMetrics()) as source,
    ):
        listed = await source.read(2)
        assert [one.instance for one in listed] == ["a", "b"]
        await server.control(lag_s=0.3, set={"a": {"state": "leaving"}})
        listed = await source.read(2)
        assert listed[0].state is InstanceState.LIVE

        async def is_leaving() -> bool:
            now = await source.read(2)
            return now[0].state is InstanceState.LEAVING

        await until(is_leaving)
        await server.control(lag_s=0, remove=["a"], add=[_instance("c")])
        listed = await source.read(2)
        assert [one.instance for one in listed] == ["b", "c"]
        for down in ("hang", "refuse"):
            await server.control(down=down)
            assert isinstance(await source.read(0.2), Unavailable)
        await server.control(down="no", add=[{"instance": "no address"}])
        assert isinstance(await source.read(2), Unavailable)
