"""Runs an operator that changes the configuration many times, as a process.

Prints the names of the added regions by reported outcome, as one JSON line.
"""

from __future__ import annotations

import asyncio
import json
import sys

from radishmux.config.document import ConfigWriter
from radishmux.config.model import Configuration, Region
from radishmux.outcome import Conflict, Unknown
from radishmux.store.etcd import EtcdStore
from tests.fakes import FakeMetrics

_MAX_ATTEMPTS = 200


async def _add_regions(address: str, name: str, amount: int) -> None:
    outcomes: dict[str, list[str]] = {"done": [], "unknown": [], "lost": []}
    async with EtcdStore([address], FakeMetrics()) as store:
        writer = ConfigWriter(store, name)
        for number in range(_MAX_ATTEMPTS):
            if len(outcomes["done"]) == amount:
                break
            region = f"{name}{number}"

            def add(old: Configuration, region: str = region) -> Configuration:
                added = Region(name=region, failure_domains=[f"{region}-a"])
                return Configuration(regions=[*old.regions, added])

            result = await writer.update(add)
            if isinstance(result, Configuration):
                outcomes["done"].append(region)
            elif isinstance(result, Unknown):
                outcomes["unknown"].append(region)
            else:
                assert isinstance(result, Conflict), result
                outcomes["lost"].append(region)
    print(json.dumps(outcomes))


if __name__ == "__main__":
    asyncio.run(_add_regions(sys.argv[1], sys.argv[2], int(sys.argv[3])))
