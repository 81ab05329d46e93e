"""Which instances exchange reports with each other; pure.

In a small fleet every instance exchanges reports with every other one. The
cost of that grows with the square of the fleet. In a larger one the largest
instances of each region are its hubs: every member exchanges reports with the
hubs of its region, and these with the hubs of the other regions. Instances
need not agree on who the hubs are: whoever is asked for a report answers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

from radishmux.membership.record import InstanceRecord

# Up to this many instances, each is a hub, unless the settings say otherwise.
FULL_MESH_MAX = 16
# One hub may be dead or cut off.
HUBS_PER_REGION = 2
# Members of a region above which they report less often, so that a hub's work
# for control stays the same.
MEMBERS_AT_FULL_PACE = 40
# Time without a report after which an instance counts as silent, in periods:
# two reports and a round trip between regions. What comes through a hub is
# silent after twice that time.
_SILENT_PERIODS = 2.6


class ExchangePlan:
    """With whom one instance exchanges reports.

    Attributes:
        ask: Peers that it asks in each period.
        expect: Peers that are to ask it; asked when they have not done so.
        hubs: The other hubs of its own region, in the order in which they are
            asked for changes of the store.
        is_hub: Whether it is one of them.
        is_mesh: Whether every instance is one.
        followed: Peers that it hears of, itself or through a hub.
        pace: Periods are this many times longer than in a small fleet.
        silent_periods: Periods without news after which a peer is silent.
    """

    __slots__ = (
        "poll_targets",
        "expected_pollers",
        "monitored",
        "hubs",
        "is_hub",
        "is_mesh",
        "period_factor",
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
    """Returns with whom an instance exchanges reports.

    Args:
        own: Its record.
        peers: Records of the registered peers.
        is_usable: Whether a peer lives and is not leaving, as far as known.
        full_mesh_max: Up to this many instances, each is a hub.
    """
    everyone = [own, *peers]
    is_mesh = len(everyone) <= full_mesh_max
    by_region: dict[str, list[InstanceRecord]] = {}
    for record in everyone:
        by_region.setdefault(record.region, []).append(record)
    hubs = {
        region: _hubs(own, members, is_mesh, is_usable)
        for region, members in by_region.items()
    }
    own_hubs = hubs[own.region]
    is_hub = own.instance in own_hubs
    # Members ask their hubs. Of two hubs the one whose name comes first asks.
    poll_targets = [name for name in own_hubs if not is_hub]
    expected_pollers = []
    if is_hub:
        others = {name for names in hubs.values() for name in names}
        for name in sorted(others - {own.instance}):
            (poll_targets if own.instance < name else expected_pollers).append(
                name
            )
    members = {record.instance for record in by_region[own.region]}
    monitored = (members | set(poll_targets) | set(expected_pollers)) - {
        own.instance
    }
    return ExchangePlan(
        poll_targets=tuple(poll_targets),
        expected_pollers=tuple(expected_pollers),
        hubs=tuple(name for name in own_hubs if name != own.instance),
        is_hub=is_hub,
        is_mesh=is_mesh,
        monitored=frozenset(monitored),
        period_factor=max(1.0, len(members) / MEMBERS_AT_FULL_PACE),
        silent_periods=_SILENT_PERIODS,
    )


def _hubs(
    own: InstanceRecord,
    members: list[InstanceRecord],
    is_mesh: bool,
    is_usable: Callable[[str], bool],
) -> tuple[str, ...]:
    """Returns the hubs of one region, in an order that all agree on."""
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
    living = [name for name in names if name == own.instance or is_usable(name)]
    return tuple((living or names)[:HUBS_PER_REGION])
