"""Which instances callers should use; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.membership.record import InstanceRecord

# Answers name an instance for this long; short, so that callers of an
# instance that dies soon ask again.
LOOKUP_TTL_S = 2.0


def nearest(
    instances: Iterable[InstanceRecord], region: str, failure_domain: str
) -> list[InstanceRecord]:
    """Returns the instances for a caller, those of one distance only.

    Callers pick one of them at random, so that a list of all would send most
    of them far away.

    Args:
        instances: Instances that live and are not leaving.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
    """
    known = list(instances)
    in_region = [one for one in known if one.region == region]
    in_domain = [
        one for one in in_region if one.failure_domain == failure_domain
    ]
    return in_domain or in_region or known
