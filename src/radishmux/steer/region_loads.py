"""Loads of a service in a region, summed over the region's cells."""

from __future__ import annotations

from typing import Protocol

from radishmux.dispatch.cells import Cell
from radishmux.membership.cell_loads import CellLoad
from radishmux.steer.region import RegionLoad


class Cells(Protocol):
    """What this part needs of dispatch.cells.CellMap."""

    def cells(self, service: str, region: str) -> tuple[Cell, ...]:
        """Returns the cells of a service in a region."""


class Reports(Protocol):
    """What this part needs of membership.view.MembershipView."""

    def cell_load(self, cell: str) -> CellLoad | None:
        """Returns the latest report about a cell."""


class RegionLoadSum:
    """Answers from the reports that heartbeats carry."""

    def __init__(self, cells: Cells, reports: Reports) -> None:
        self._cells = cells
        self._reports = reports

    def region_load(self, service: str, region: str) -> RegionLoad | None:
        """Returns the summed load; None when no cell was reported."""
        loads = [
            load
            for cell in self._cells.cells(service, region)
            if (load := self._reports.cell_load(cell.name)) is not None
        ]
        if not loads:
            return None
        return RegionLoad(
            slots=sum(load.slots for load in loads),
            in_use=sum(load.in_use for load in loads),
            queued=sum(load.queued for load in loads),
        )
