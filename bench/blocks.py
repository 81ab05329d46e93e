"""Measures the client block table at the target size.

    python -m bench.blocks [--blocks 940000] [--sites 1800] [--seed 1]

Prints a table and one line of JSON: memory, lookups and changes.
"""

from __future__ import annotations

import argparse
import ipaddress
import random
import time
from collections.abc import Iterator

import msgspec

from radishmux.steer.blocks import BlockChange, BlockTable

# Four of five blocks are IPv4, at the lengths that are common in routing.
V4_PART = 0.8
V4_LENGTHS = (24, 24, 24, 24, 24, 23, 22, 22, 21, 20, 19, 18, 17, 16)
V6_LENGTHS = (48, 48, 48, 48, 44, 40, 36, 32, 32, 56, 64)
LOOKUPS = 200_000
CHANGES = 400


def make_blocks(count: int, sites: int, seed: int) -> list[tuple[str, str]]:
    """Returns distinct random blocks with their sites."""
    rng = random.Random(seed)
    blocks: dict[str, str] = {}
    while len(blocks) < count:
        blocks[_random_block(rng)] = f"site{rng.randrange(sites)}"
    return list(blocks.items())


def _random_block(rng: random.Random) -> str:
    if rng.random() < V4_PART:
        length = rng.choice(V4_LENGTHS)
        start = rng.getrandbits(length) << (32 - length)
        return f"{ipaddress.IPv4Address(start)}/{length}"
    length = rng.choice(V6_LENGTHS)
    start = (1 << 125) | rng.getrandbits(length - 3) << (128 - length)
    return f"{ipaddress.IPv6Address(start)}/{length}"


def _addresses(
    blocks: list[tuple[str, str]], rng: random.Random
) -> Iterator[str]:
    for block, _ in rng.choices(blocks, k=LOOKUPS):
        yield block.partition("/")[0]


def _quantile(values: list[float], q: float) -> float:
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def measure(count: int, sites: int, seed: int) -> dict[str, float]:
    """Returns the results by name."""
    blocks = make_blocks(count, sites, seed)
    started = time.perf_counter()
    table = BlockTable.load(blocks)
    load_s = time.perf_counter() - started
    rng = random.Random(seed + 1)
    addresses = list(_addresses(blocks, rng))
    started = time.perf_counter()
    found = sum(table.region_of(a) is not None for a in addresses)
    lookup_us = (time.perf_counter() - started) / LOOKUPS * 1e6
    assert found == LOOKUPS, "a block was not found"
    durations = []
    for _ in range(CHANGES):
        change = BlockChange(_random_block(rng), "site0")
        for one in (change, BlockChange(change.block, None)):
            started = time.perf_counter()
            table.apply([one])
            durations.append((time.perf_counter() - started) * 1e3)
    return {
        "blocks": len(table),
        "sites": sites,
        "seed": seed,
        "memory_mb": round(table.memory_bytes / 1e6, 2),
        "load_s": round(load_s, 2),
        "lookup_us": round(lookup_us, 2),
        "change_ms_p50": round(_quantile(durations, 0.5), 3),
        "change_ms_p99": round(_quantile(durations, 0.99), 3),
        "change_ms_max": round(max(durations), 3),
    }


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--blocks", type=int, default=940_000)
    parser.add_argument("--sites", type=int, default=1_800)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    result = measure(arguments.blocks, arguments.sites, arguments.seed)
    for name, value in result.items():
        print(f"{name:16} {value}")
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
