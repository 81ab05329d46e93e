"""Cost of one configuration change at 1,800 sites.

Run as `python -m bench.config_document [--sites N] [--json FILE]`. Compares
the whole document, as it is distributed today, with a delta of one record
and a split into chunks. The delta and the chunks are a trial: the daemon
distributes whole documents.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import pathlib
import statistics
import time
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from radishmux.config.document import (
    MAX_DOCUMENT_BYTES,
    StoredDocument,
    WriteRecord,
    decode_document,
    encode_document,
)
from radishmux.config.index import ConfigIndex
from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Link,
    Region,
    Route,
    Selector,
    Service,
)
from radishmux.config.validation import validate, validate_references

SITES = 1_800
SERVICES = 4
REGIONS = 39
FAILURE_DOMAINS = 144
CUSTOMERS = 200
SELECTORS = 100
CHANGES_PER_S = 110_000 / 86_400
# A chunk is rewritten by each change of one of its records.
CHUNK_BYTES = 64 * 1024
# The target's part of a core for all control work of a node.
CONTROL_CORE_FRACTION = 0.012
_ROUNDS = 7


class Delta(msgspec.Struct, frozen=True):
    """Records of one list that a version sets."""

    version: int
    field: str
    records: list[BackendServer]


def configuration(sites: int) -> Configuration:
    """Returns a valid configuration of the target's shape."""
    regions = [f"region-{n:02d}" for n in range(REGIONS)]
    domains = {name: [] for name in regions}
    for number in range(FAILURE_DOMAINS):
        domains[regions[number % REGIONS]].append(f"domain-{number:03d}")
    return Configuration(
        version=1,
        writer="operator/0123456789abcdef0123456789abcdef",
        regions=[
            Region(
                name=name,
                failure_domains=domains[name],
                links=[
                    Link(to_region=other, bits_per_s=4e9)
                    for other in regions
                    if other != name
                ],
            )
            for name in regions
        ],
        customers=[
            Customer(
                name=f"customer-{n:04d}",
                rate_per_s=1_000,
                burst=2_000,
                key_digests=[hashlib.sha256(b"%d" % n).hexdigest()],
                labels={"tier": str(n % 3)},
            )
            for n in range(CUSTOMERS)
        ],
        services=[
            Service(
                name=f"service-{n}",
                routes=[Route(name="all", idempotent=True)],
                stable_version="v1",
            )
            for n in range(SERVICES)
        ],
        backend_servers=[
            BackendServer(
                name=f"site-{site:04d}-service-{n}",
                service=f"service-{n}",
                region=regions[site % REGIONS],
                failure_domain=domains[regions[site % REGIONS]][0],
                address=f"10.{n}.{site // 250}.{site % 250}:8080",
                version="v1",
                slots=6,
                labels={"site": f"site-{site:04d}"},
            )
            for site in range(sites)
            for n in range(SERVICES)
        ],
        selectors=[
            Selector(
                name=f"selector-{n:03d}",
                customer_labels={"tier": str(n % 3)},
                caller_regions=[regions[n % REGIONS]],
                allowed_regions=regions[:5],
            )
            for n in range(SELECTORS)
        ],
    )


def apply_delta(old: Configuration, delta: Delta) -> Configuration:
    """Returns `old` with the delta's records set."""
    changed = {one.name: one for one in delta.records}
    records = [changed.pop(one.name, one) for one in getattr(old, delta.field)]
    records += changed.values()
    return msgspec.structs.replace(
        old, version=delta.version, **{delta.field: records}
    )


def milliseconds(action: Callable[[], Any]) -> float:
    """Returns the median processor time of an action."""
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1_000


def measure(sites: int) -> dict[str, float]:
    """Returns sizes in bytes and processor times in milliseconds."""
    whole = configuration(sites)
    assert validate(whole) == ()
    writes = [WriteRecord(n, whole.writer) for n in range(128)]
    document = StoredDocument(configuration=whole, writes=writes)
    value = encode_document(document)
    server = msgspec.structs.replace(whole.backend_servers[0], slots=5)
    delta = Delta(2, "backend_servers", [server])
    packed = msgspec.json.encode(delta)
    changed = apply_delta(whole, delta)
    assert changed.backend_servers[0].slots == 5
    figures = {
        "sites": sites,
        "document_bytes": len(value),
        "document_zlib_bytes": len(zlib.compress(value, 6)),
        "delta_bytes": len(packed),
        "chunks": -(-len(value) // CHUNK_BYTES),
        "encode_ms": milliseconds(lambda: encode_document(document)),
        "decode_ms": milliseconds(lambda: decode_document(value)),
        "validate_ms": milliseconds(lambda: validate_references(whole)),
        "index_ms": milliseconds(lambda: ConfigIndex(whole)),
        "delta_decode_ms": milliseconds(
            lambda: msgspec.json.decode(packed, type=Delta)
        ),
        "delta_apply_ms": milliseconds(lambda: apply_delta(whole, delta)),
    }
    whole_ms = sum(
        figures[f"{part}_ms"] for part in ("decode", "validate", "index")
    )
    delta_ms = sum(
        figures[f"{part}_ms"]
        for part in ("delta_decode", "delta_apply", "index")
    )
    figures["whole_core_fraction"] = whole_ms / 1_000 * CHANGES_PER_S
    figures["delta_core_fraction"] = delta_ms / 1_000 * CHANGES_PER_S
    figures["whole_bytes_per_s"] = len(value) * CHANGES_PER_S
    figures["delta_bytes_per_s"] = len(packed) * CHANGES_PER_S
    return figures


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sites", type=int, default=SITES)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    figures = measure(arguments.sites)
    for name, figure in figures.items():
        print(f"{name:24} {figure:14.4f}")
    print(f"store's limit for one value: {MAX_DOCUMENT_BYTES} bytes")
    print(f"control's part of a core: {CONTROL_CORE_FRACTION}")
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
