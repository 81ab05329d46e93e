"""Draws the faults of a run from its seed; pure."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from radishmux.registry import Registry


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    Attributes:
        kind: A name in `KINDS`.
        at: Seconds after the start of the load.
        for_s: How long it lasts.
        target: Number of the gateway or server that it concerns.
        how: Variant.
    """

    kind: str
    at: float
    for_s: float = 0.0
    target: int = 0
    how: str = ""


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """All faults of a run.

    Attributes:
        seed: What it was drawn from.
        load_s: Seconds for which faults are injected.
        gateways: Number of gateways.
        servers: Number of backend servers.
        full_mesh_max: Setting of the gateways; small fleets play large ones.
        faults: In the order of time.
    """

    seed: int
    load_s: float
    gateways: int
    servers: int
    full_mesh_max: int
    faults: tuple[Fault, ...]


Draw = Callable[[random.Random, Schedule], dict[str, object]]
KINDS: Registry[str, Draw] = Registry("fault")

LINKS = ("SLOW", "SILENT", "DEAF", "MUTE", "CLOSED")
_CUTS = ("CUT_SILENT", "CUT_RESET", "CUT_NEW")


def draw(seed: int, load_s: float) -> Schedule:
    """Returns the schedule of a seed."""
    rng = random.Random(seed)
    schedule = Schedule(
        seed=seed,
        load_s=load_s,
        gateways=rng.choice((3, 4, 5)),
        servers=rng.choice((3, 4)),
        full_mesh_max=rng.choice((2, 16)),
        faults=(),
    )
    faults = []
    at = 1.0
    while at < load_s:
        kind = rng.choice(list(KINDS))
        # Faults come in series and overlap.
        for n in range(rng.choice((1, 1, 1, 2, 3))):
            fields = KINDS[kind](rng, schedule)
            when = round(at + 0.4 * n, 2)
            faults.append(Fault(kind=kind, at=when, **fields))
        at += rng.expovariate(0.45)
    ordered = tuple(sorted(faults, key=lambda fault: fault.at))
    return msgspec.structs.replace(schedule, faults=ordered)


def _gateway(rng: random.Random, schedule: Schedule) -> int:
    return rng.randrange(schedule.gateways)


def _server(rng: random.Random, schedule: Schedule) -> int:
    return rng.randrange(schedule.servers)


def _length(rng: random.Random) -> float:
    return round(rng.uniform(0.3, 4.0), 2)


@KINDS.register("gateway_kill")
@KINDS.register("gateway_term")
@KINDS.register("gateway_pause")
def _on_gateway(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {"target": _gateway(rng, schedule), "for_s": _length(rng)}


@KINDS.register("gateway_cut")
def _cut(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {
        "target": _gateway(rng, schedule),
        "for_s": round(rng.uniform(2.0, 9.0), 2),
        "how": rng.choice(_CUTS),
    }


@KINDS.register("callers_leave")
def _callers_leave(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    how = rng.choice(("close", "reset", "half-close"))
    return {"target": _gateway(rng, schedule), "for_s": 3.0, "how": how}


@KINDS.register("crashing_request")
def _crashing(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {
        "target": rng.randrange(1_000),
        "for_s": round(rng.uniform(4.0, 12.0), 2),
        "how": rng.choice(("safe", "unsafe")),
    }


@KINDS.register("store_restored")
def _restored(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    how = rng.choice(("hang", "reset", "busy"))
    return {"for_s": round(rng.uniform(0.3, 2.5), 2), "how": how}


@KINDS.register("gateway_reload")
def _reload(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {"target": _gateway(rng, schedule)}


@KINDS.register("store_link")
def _store_link(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {
        "target": _gateway(rng, schedule),
        "for_s": _length(rng),
        "how": rng.choice(LINKS),
    }


@KINDS.register("store_down")
def _store_down(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    how = rng.choice(("hang", "reset", "busy"))
    return {"for_s": _length(rng), "how": how}


@KINDS.register("store_lost_answers")
@KINDS.register("store_history_lost")
def _on_store(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {}


@KINDS.register("server_kill")
@KINDS.register("server_pause")
def _on_server(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {"target": _server(rng, schedule), "for_s": _length(rng)}


@KINDS.register("server_link")
def _server_link(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {
        "target": _server(rng, schedule),
        "for_s": _length(rng),
        "how": rng.choice(LINKS),
    }


@KINDS.register("server_lost_answers")
@KINDS.register("server_drain")
def _near_server(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {"target": _server(rng, schedule)}


@KINDS.register("configuration")
@KINDS.register("key_withdrawn")
def _by_operator(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {}


@KINDS.register("server_limited")
@KINDS.register("server_resting")
def _in_need(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {
        "target": _server(rng, schedule),
        "for_s": round(rng.uniform(5.0, 10.0), 2),
    }


@KINDS.register("server_leaving")
def _leaving(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return {"target": _server(rng, schedule)}
