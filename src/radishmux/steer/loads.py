"""Computes the load of a service in a region from reports on its cells."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from radishmux.steer.region import RegionLoad


class NamedCell(Protocol):
    """A cell (`dispatch.cells.Cell`)."""

    @property
    def name(self) -> str:
        """Name of the cell."""


class Cells(Protocol):
    """Cells of each service (`dispatch.cells.CellMap`)."""

    def cells(self, service: str, region: str) -> Sequence[NamedCell]:
        """Returns the cells of a service in a region."""


class ReportedLoad(Protocol):
    """Load report of one cell (`membership.cell_loads.CellLoad`)."""

    slots: int
    in_use: int
    queued: int


class CellReports(Protocol):
    """Latest load reports by cell (`membership.view.MembershipView`)."""

    def cell_load(self, cell: str) -> ReportedLoad | None:
        """Returns the latest report, or None if the cell has no report."""


class CellRegionLoads:
    """Sums the load reports of a region's cells; implements `RegionLoads`."""

    def __init__(self, cells: Cells, reports: CellReports) -> None:
        self._cells = cells
        self._reports = reports

    def region_load(self, service: str, region: str) -> RegionLoad | None:
        """Returns the total load, or None if no cell has a report."""
        slots = in_use = queued = 0
        has_report = False
        for cell in self._cells.cells(service, region):
            load = self._reports.cell_load(cell.name)
            if load is None:
                continue
            has_report = True
            slots += load.slots
            in_use += load.in_use
            queued += load.queued
        if not has_report:
            return None
        return RegionLoad(slots=slots, in_use=in_use, queued=queued)
