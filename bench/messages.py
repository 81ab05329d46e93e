"""Sizes and codec time of messages and documents: `python -m bench.messages`.

Each figure is taken at several sizes; straight lines through them give the
cost of one more peer, cell, roster entry or backend server.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from bench import json_report
from bench.fleet import load_configuration
from radishmux.config.document import (
    StoredDocument,
    encode_document,
    load_document,
)
from radishmux.config.index import ConfigIndex
from radishmux.config.model import BackendServer, Configuration
from radishmux.membership.roster_document import (
    Roster,
    RosterEntry,
    decode_roster,
    encode_roster,
)
from radishmux.peer import messages

_SIZES = (10, 40, 160, 640)
_ROUNDS = 5
_ROUND_S = 0.05
_FRAME_BYTES = 4


def _instance(number: int) -> str:
    return f"region-{number % 39:02d}-{number % 144:03d}-{number:05d}"


def heartbeat(peers: int, cells: int) -> Any:
    """Returns the envelope of a heartbeat that names `peers` and `cells`."""
    report = messages.Heartbeat(
        instance=_instance(1),
        incarnation=1_764_800_000_000,
        sequence=1_000_000,
        suspects=[],
        config_version=110_000,
        store_contact_age_ms=500,
        loads=[
            messages.CellLoad(
                cell=f"service-{number:05d}/region-01/0",
                slots=60,
                in_use=20,
                queued=0,
            )
            for number in range(cells)
        ],
        leaving=False,
        direct_store_contact=True,
        roster_revision=1_000_000,
        heard=[_instance(number) for number in range(peers)],
    )
    return messages.Envelope(
        correlation=1,
        is_reply=False,
        sender=_instance(1),
        sender_incarnation=1_764_800_000_000,
        body=messages.wrap(report),
    )


def roster(entries: int) -> Roster:
    """Returns a roster with `entries` instances."""
    return Roster(
        writes=1_000_000,
        writer=f"{_instance(1)}/1764800000000",
        counter=1_000,
        entries=tuple(
            RosterEntry(
                instance=_instance(number),
                incarnation=1_764_800_000_000,
                region=f"region-{number % 39:02d}",
                failure_domain=f"domain-{number % 144:03d}",
                caller_address="10.100.100.100:20001",
                peer_address="10.100.100.100:20002",
                control_address="10.100.100.100:20003",
                weight=10_000 // entries,
                counter=1_000,
                joined=1_000_000,
                renewed=1_000_000,
            )
            for number in range(entries)
        ),
    )


def configuration(servers: int) -> Configuration:
    """Returns the Association's configuration with more backend servers."""
    base = load_configuration("association")
    region = base.regions[0]
    return replace(
        base,
        version=1,
        backend_servers=[
            BackendServer(
                name=f"rounds-{number:06d}",
                service="rounds",
                region=region.name,
                failure_domain=region.failure_domains[number % 2],
                address=f"10.{number // 62_500}.{number // 250 % 250}"
                f".{number % 250}:8080",
                version="2026.11",
                slots=4,
            )
            for number in range(servers)
        ],
    )


def microseconds(call: Callable[[], object]) -> float:
    """Returns the median time of a call over several rounds."""
    rounds = []
    for _ in range(_ROUNDS):
        calls = 0
        start = time.perf_counter()
        while time.perf_counter() - start < _ROUND_S:
            call()
            calls += 1
        rounds.append(1e6 * (time.perf_counter() - start) / calls)
    return statistics.median(rounds)


def _line(sizes: tuple[int, ...], values: list[float]) -> dict[str, float]:
    line = statistics.linear_regression(sizes, values)
    return {
        "each": round(line.slope, 4),
        "fixed": round(line.intercept, 2),
        "largest": round(values[-1], 1),
    }


def measure() -> dict[str, Any]:
    """Returns a line for each measured size and time."""
    envelopes = [heartbeat(size, 0) for size in _SIZES]
    beats = [messages.encode(one) for one in envelopes]
    loads = [messages.encode(heartbeat(0, size)) for size in _SIZES]
    rosters = [roster(size) for size in _SIZES]
    stored = [encode_roster(one) for one in rosters]
    documents = [
        encode_document(StoredDocument(configuration=configuration(size)))
        for size in _SIZES
    ]
    indexed = [configuration(size) for size in _SIZES]
    figures: dict[str, list[float]] = {
        "heartbeat bytes by peers named": [
            len(one) + _FRAME_BYTES for one in beats
        ],
        "heartbeat bytes by cells": [len(one) + _FRAME_BYTES for one in loads],
        "heartbeat encode us by peers named": [
            microseconds(lambda one=one: messages.encode(one))
            for one in envelopes
        ],
        "heartbeat decode us by peers named": [
            microseconds(lambda one=one: messages.decode(one)) for one in beats
        ],
        "heartbeat decode us by cells": [
            microseconds(lambda one=one: messages.decode(one)) for one in loads
        ],
        "roster bytes by entries": [len(one) for one in stored],
        "roster encode us by entries": [
            microseconds(lambda one=one: encode_roster(one)) for one in rosters
        ],
        "roster decode us by entries": [
            microseconds(lambda one=one: decode_roster(one)) for one in stored
        ],
        "configuration bytes by backend servers": [
            len(one) for one in documents
        ],
        "configuration load us by backend servers": [
            microseconds(lambda one=one: load_document(one))
            for one in documents
        ],
        "configuration index us by backend servers": [
            microseconds(lambda one=one: ConfigIndex(one)) for one in indexed
        ],
    }
    return {
        name: _line(_SIZES, [float(value) for value in values])
        for name, values in figures.items()
    }


def main() -> None:
    """Runs the benchmark from the command line."""
    json_report.run(measure, __doc__)


if __name__ == "__main__":
    main()
