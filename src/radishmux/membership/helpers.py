"""Chooses the peer that sends a request on behalf of this instance; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from radishmux.membership.record import InstanceRecord

# Instances that reach no server for each helper, up to which the peers of the
# failure domain, and of the region, help alone. Another domain is 1 ms away,
# another region is as far as a third of many target latencies.
MAX_CUT_PER_HELPER = {"domain": 1, "region": 3}


def candidate_helpers(
    own: InstanceRecord,
    peers: Iterable[InstanceRecord],
    is_cut_off: Callable[[str], bool],
    regions: frozenset[str],
) -> list[InstanceRecord]:
    """Returns the nearest peers that can take over the requests of this one.

    The peers of the failure domain do unless more of its instances reach no
    server: each then serves about twice its usual load. Otherwise those of the
    region do, which may serve more, and otherwise all.

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
    is_near: dict[str, Callable[[InstanceRecord], bool]] = {
        "domain": lambda one: one.failure_domain == own.failure_domain,
        "region": lambda one: one.region == own.region,
    }
    for level, max_cut in MAX_CUT_PER_HELPER.items():
        found = list(filter(is_near[level], helpers))
        if max_cut * len(found) >= sum(map(is_near[level], cut_off)):
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
