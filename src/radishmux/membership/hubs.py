"""Selects the instances that exchange reports with each other.

In a small fleet every instance exchanges reports with every other instance
(a full mesh). The cost of a mesh grows with the square of the fleet size, so
in a larger fleet the largest instances of each region are its hubs: every
member exchanges reports with the hubs of its region, and the hubs exchange
reports with the hubs of the other regions. Instances need not agree on which
instances are hubs, because every instance answers a request for a report.

The functions of this module have no side effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

from radishmux.membership.record import InstanceRecord

# Default of the fleet size up to which every instance is a hub.
FULL_MESH_MAX = 16
# Two, so that a region keeps a hub when one is dead or cut off.
HUBS_PER_REGION = 2
# In a region with more members, members report less often, so that the
# control traffic of a hub does not grow further.
MEMBERS_AT_BASE_PERIOD = 40
# Periods without a report after which an instance counts as silent: two
# reports and a round trip between regions. The limit is twice as long for
# instances whose state arrives through a hub.
_SILENT_PERIODS = 2.6


class ExchangePlan:
    """The peers with which one instance exchanges reports.

    Attributes:
        poll_targets: Peers that this instance asks for a report in each
            period.
        expected_pollers: Peers that should ask this instance for a report in
            each period. This instance asks a peer that has not done so.
        hubs: The other hubs of this instance's region, in the order in which
            this instance asks them for changes of the store.
        is_hub: Whether this instance is a hub.
        is_mesh: Whether every instance is a hub.
        monitored: Peers whose state this instance receives, directly or
            through a hub.
        period_factor: Length of the report period, as a multiple of the
            period in a small fleet.
        silent_periods: Periods without a report after which a peer counts as
            silent.
    """

    __slots__ = (
        "expected_pollers",
        "hubs",
        "is_hub",
        "is_mesh",
        "monitored",
        "period_factor",
        "poll_targets",
        "silent_periods",
    )

    def __init__(
        self,
        *,
        poll_targets: tuple[str, ...],
        expected_pollers: tuple[str, ...],
        hubs: tuple[str, ...],
        is_hub: bool,
        is_mesh: bool,
        monitored: frozenset[str],
        period_factor: float,
        silent_periods: float,
    ) -> None:
        self.poll_targets = poll_targets
        self.expected_pollers = expected_pollers
        self.hubs = hubs
        self.is_hub = is_hub
        self.is_mesh = is_mesh
        self.monitored = monitored
        self.period_factor = period_factor
        self.silent_periods = silent_periods


def exchange_plan(
    own: InstanceRecord,
    peers: Iterable[InstanceRecord],
    is_usable: Callable[[str], bool],
    full_mesh_max: int = FULL_MESH_MAX,
) -> ExchangePlan:
    """Returns the peers with which an instance exchanges reports.

    Args:
        own: Record of the instance.
        peers: Records of the registered peers.
        is_usable: Returns whether the named peer is alive and not leaving, as
            far as the instance knows.
        full_mesh_max: Fleet size up to which every instance is a hub.
    """
    fleet = [own, *peers]
    is_mesh = len(fleet) <= full_mesh_max
    by_region: dict[str, list[InstanceRecord]] = {}
    for record in fleet:
        by_region.setdefault(record.region, []).append(record)
    hubs = {
        region: _region_hubs(own, members, is_mesh, is_usable)
        for region, members in by_region.items()
    }
    region_hubs = hubs[own.region]
    is_hub = own.instance in region_hubs
    # Members poll the hubs of their region. Of two hubs, the one whose name
    # sorts first polls the other.
    targets = [name for name in region_hubs if not is_hub]
    pollers = []
    if is_hub:
        hub_names = {name for names in hubs.values() for name in names}
        for name in sorted(hub_names - {own.instance}):
            (targets if own.instance < name else pollers).append(name)
    members = {record.instance for record in by_region[own.region]}
    monitored = (members | set(targets) | set(pollers)) - {own.instance}
    return ExchangePlan(
        poll_targets=tuple(targets),
        expected_pollers=tuple(pollers),
        hubs=tuple(name for name in region_hubs if name != own.instance),
        is_hub=is_hub,
        is_mesh=is_mesh,
        monitored=frozenset(monitored),
        period_factor=max(1.0, len(members) / MEMBERS_AT_BASE_PERIOD),
        silent_periods=_SILENT_PERIODS,
    )


def _region_hubs(
    own: InstanceRecord,
    members: list[InstanceRecord],
    is_mesh: bool,
    is_usable: Callable[[str], bool],
) -> tuple[str, ...]:
    """Returns the hubs of one region.

    Outside a full mesh, hubs are ordered by capacity and then by a hash of
    the name, so that all instances rank them alike.
    """
    if is_mesh:
        return tuple(record.instance for record in members)
    ranked = sorted(
        members,
        key=lambda record: (
            -record.capacity,
            xxhash.xxh3_64_intdigest(record.instance.encode()),
        ),
    )
    names = [record.instance for record in ranked]
    usable = [name for name in names if name == own.instance or is_usable(name)]
    return tuple((usable or names)[:HUBS_PER_REGION])
