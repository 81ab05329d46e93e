"""Chooses the peer that sends a request on behalf of this instance; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from radishmux.membership.record import InstanceRecord


def candidate_helpers(
    own: InstanceRecord,
    peers: Iterable[InstanceRecord],
    is_cut_off: Callable[[str], bool],
    regions: frozenset[str],
) -> list[InstanceRecord]:
    """Returns the nearest peers that can take over the requests of this one.

    The peers of the failure domain do if they are at least as many as its
    instances that reach no server, or else those of the region, or else all:
    a helper serves at most about twice its usual load, unless there are fewer
    helpers than that in the whole fleet.

    Args:
        own: Record of this instance.
        peers: Usable peers; those without a relay address do not help.
        is_cut_off: Returns whether the named peer reaches no server.
        regions: Regions whose instances may have the request; empty means all.
    """
    helpers: list[InstanceRecord] = []
    cut_off = [own]
    for peer in peers:
        if is_cut_off(peer.instance):
            cut_off.append(peer)
        elif peer.relay_address and (not regions or peer.region in regions):
            helpers.append(peer)
    near: Callable[[InstanceRecord], bool]
    for near in (
        lambda one: one.failure_domain == own.failure_domain,
        lambda one: one.region == own.region,
    ):
        found = list(filter(near, helpers))
        if found and len(found) >= sum(map(near, cut_off)):
            return found
    return helpers


def least_loaded(
    helpers: Iterable[InstanceRecord], in_flight: Mapping[str, int]
) -> InstanceRecord | None:
    """Returns the helper with the fewest requests for its capacity, if any.

    Args:
        helpers: Helpers to choose from; the first of equal ones is chosen.
        in_flight: Requests of this instance at each helper, by its name.
    """
    return min(
        helpers,
        key=lambda one: (in_flight.get(one.instance, 0) + 1) / one.capacity,
        default=None,
    )
