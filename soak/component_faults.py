"""Draws the faults of duties and of servers that lack capacity; pure."""

from __future__ import annotations

import random

import msgspec

from radishmux.registry import Registry
from soak import faults
from soak.faults import LINKS, Draw, Fault, Schedule

# A registry of its own: `faults.draw` keeps drawing the same faults for a seed.
COMPONENT_KINDS: Registry[str, Draw] = Registry("component fault")
# Faults per second.
_RATE = 0.35


def draw(seed: int, load_s: float) -> Schedule:
    """Returns the schedule of a seed with the faults of all kinds."""
    schedule = faults.draw(seed, load_s)
    rng = random.Random(f"{seed}/components")
    added = []
    # Not before the first holder can have acquired the duty.
    at = 3.0
    while at < load_s:
        kind = rng.choice(list(COMPONENT_KINDS))
        fields = COMPONENT_KINDS[kind](rng, schedule)
        added.append(Fault(kind=kind, at=round(at, 2), **fields))
        at += rng.expovariate(_RATE)
    ordered = sorted((*schedule.faults, *added), key=lambda fault: fault.at)
    return msgspec.structs.replace(schedule, faults=tuple(ordered))


@COMPONENT_KINDS.register("holder_kill")
@COMPONENT_KINDS.register("holder_term")
@COMPONENT_KINDS.register("holder_pause")
@COMPONENT_KINDS.register("servers_crowded")
def _lasting(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    # Longer than the lease of a duty.
    for_s = round(rng.uniform(2.2, 6.0), 2)
    return {"target": rng.randrange(schedule.gateways), "for_s": for_s}


@COMPONENT_KINDS.register("holder_store_link")
def _store_link(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    return _lasting(rng, schedule) | {"how": rng.choice(LINKS)}


@COMPONENT_KINDS.register("api_down")
def _api_down(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    how = rng.choice(("hang", "reset", "busy", "slow"))
    return {"for_s": round(rng.uniform(0.5, 5.0), 2), "how": how}


@COMPONENT_KINDS.register("api_call_late")
def _call_late(rng: random.Random, schedule: Schedule) -> dict[str, object]:
    # The holder may end or stand still until the calls are executed.
    how = rng.choice(("holder_kill", "holder_term", "holder_pause", ""))
    return _lasting(rng, schedule) | {"how": how}
