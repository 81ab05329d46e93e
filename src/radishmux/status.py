"""Status report of an instance, served at `/v1/status`."""

from __future__ import annotations

from typing import Protocol

import msgspec

from radishmux.clock import Clock
from radishmux.config.state import ConfigState
from radishmux.membership.cell_loads import CellLoad
from radishmux.membership.roster import RosterLeaseManager
from radishmux.membership.view import MembershipView


class CellLoadSource(Protocol):
    """The part of dispatch.cell_runtime.CellRuntime that the report uses."""

    @property
    def loads(self) -> tuple[CellLoad, ...]:
        """Load of each cell that this instance dispatches to."""


class CellStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a cell that the instance dispatches to."""

    cell: str
    slots: int
    in_use: int
    queued: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of an instance.

    Attributes:
        store_contact_age_s: Age of the last store read that this instance's
            knowledge rests on.
        store_out_for_all: Whether no instance can reach the store.
        weight: Share of each customer's rate and burst, in parts of 10,000.
        peers: State of each other instance, by name.
    """

    instance: str
    region: str
    incarnation: int
    ready: bool
    leaving: bool
    config_version: int
    store_contact_age_s: float
    store_out_for_all: bool
    holds_permit: bool
    weight: int
    peers: dict[str, str]
    cells: list[CellStatus]


class StatusReporter:
    """Collects the status of an instance from its components."""

    def __init__(
        self,
        view: MembershipView,
        config: ConfigState,
        roster: RosterLeaseManager,
        cells: CellLoadSource,
        clock: Clock,
    ) -> None:
        self._view = view
        self._config = config
        self._roster = roster
        self._cells = cells
        self._clock = clock

    def report(self, ready: bool) -> Status:
        """Returns the current status.

        Args:
            ready: Whether the instance admits requests.
        """
        now = self._clock.now()
        view = self._view
        own = view.own
        return Status(
            instance=own.instance,
            region=own.region,
            incarnation=view.incarnation,
            ready=ready,
            leaving=view.is_leaving(own.instance),
            config_version=self._config.current.version,
            store_contact_age_s=round(view.contact_age_s(now), 3),
            store_out_for_all=view.store_out_for_all(now),
            holds_permit=view.holds_permit(now),
            weight=self._roster.weight(now),
            peers={
                peer.instance: view.state_of(peer.instance)
                for peer in view.peers()
            },
            cells=[
                CellStatus(
                    cell=load.cell,
                    slots=load.slots,
                    in_use=load.in_use,
                    queued=load.queued,
                )
                for load in self._cells.loads
            ],
        )
