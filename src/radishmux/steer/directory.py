"""Which instances callers should use; pure."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from radishmux.membership.record import InstanceRecord

# Answers name an instance for this long; short, so that callers of an
# instance that dies soon ask again.
LOOKUP_TTL_S = 2.0
# Instances named where they differ in size: the share of requests that each
# gets comes close to its part, and callers have another one if one dies.
NAMED_OF_UNEQUAL = 3
# Instances that differ by less than this factor count as equal.
EQUAL_WITHIN = 1.25


def nearest(
    instances: Iterable[InstanceRecord],
    region: str,
    failure_domain: str,
    rng: random.Random,
) -> list[InstanceRecord]:
    """Returns the instances for a caller, those of one distance only.

    Callers pick one of them at random, so that a list of all would send most
    of them far away, and as many to a small instance as to a large one.

    Args:
        instances: Instances that live and are not leaving.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
        rng: Draws instances of unequal size.
    """
    known = list(instances)
    in_region = [one for one in known if one.region == region]
    in_domain = [
        one for one in in_region if one.failure_domain == failure_domain
    ]
    return _drawn(in_domain or in_region or known, rng)


def _drawn(
    instances: Sequence[InstanceRecord], rng: random.Random
) -> list[InstanceRecord]:
    """Returns all of equal instances, or a few by their capacity.

    Weighted draws without replacement by exponential keys (Efraimidis and
    Spirakis, 2006).
    """
    if len(instances) <= NAMED_OF_UNEQUAL:
        return list(instances)
    capacities = [one.capacity for one in instances]
    if max(capacities) <= EQUAL_WITHIN * min(capacities):
        return list(instances)
    ranked = sorted(
        instances,
        key=lambda one: rng.expovariate(1.0) / max(one.capacity, 1e-9),
    )
    return ranked[:NAMED_OF_UNEQUAL]
