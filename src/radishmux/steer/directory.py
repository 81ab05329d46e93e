"""Selects the instances that a caller should use; no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from radishmux.membership.record import InstanceRecord

# Time for which callers may cache an answer. It is short so that callers of an
# instance that died look up another one soon.
LOOKUP_TTL_S = 2.0
# Number of instances in an answer when their capacities differ. With a few, the
# share of requests that each instance gets is close to its share of the
# capacity, and callers have an alternative if one instance dies.
MAX_UNEQUAL_INSTANCES = 3
# Capacities that differ by no more than this factor count as equal.
EQUAL_CAPACITY_RATIO = 1.25


def nearest(
    instances: Iterable[InstanceRecord],
    region: str,
    failure_domain: str,
    rng: random.Random,
    is_cut_off: Callable[[str], bool] = lambda instance: False,
) -> list[InstanceRecord]:
    """Returns the instances closest to a caller.

    These are the instances in the caller's failure domain, or else in its
    region, or else all. Callers pick one at random: with a list of all
    instances, most callers would use a distant one, and a small instance would
    get as many requests as a large one.

    Instances that reach no backend server can only pass requests on to others.
    They are named if there is no other instance in the caller's region, since
    an instance in another region is as far away as the one that they use.

    Args:
        instances: Instances that are live and not leaving.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
        rng: Source of randomness for sampling instances of unequal capacity.
        is_cut_off: Returns whether the named instance reaches no server.
    """
    known = list(instances)
    in_region = [instance for instance in known if instance.region == region]
    for group in (in_region, known):
        usable = [one for one in group if not is_cut_off(one.instance)] or group
        in_domain = [
            one for one in usable if one.failure_domain == failure_domain
        ]
        if usable:
            return _sample_by_capacity(in_domain or usable, rng)
    return []


def _sample_by_capacity(
    instances: Sequence[InstanceRecord], rng: random.Random
) -> list[InstanceRecord]:
    """Returns all instances if their capacities are equal, or else a sample.

    The sample is weighted by capacity and drawn without replacement by
    exponential keys (Efraimidis and Spirakis, 2006).
    """
    if len(instances) <= MAX_UNEQUAL_INSTANCES:
        return list(instances)
    capacities = [instance.capacity for instance in instances]
    if max(capacities) <= EQUAL_CAPACITY_RATIO * min(capacities):
        return list(instances)
    ranked = sorted(
        instances,
        key=lambda instance: (
            rng.expovariate(1.0) / max(instance.capacity, 1e-9)
        ),
    )
    return ranked[:MAX_UNEQUAL_INSTANCES]
