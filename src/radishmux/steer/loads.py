"""Load of a service in a region, from the reports about its cells."""

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
    """A report about one cell (`membership.cell_loads.CellLoad`)."""

    slots: int
    in_use: int
    queued: int


class CellReports(Protocol):
    """Reports by cell (`membership.view.MembershipView`)."""

    def cell_load(self, cell: str) -> ReportedLoad | None:
        """Returns the latest report; None: no dispatcher is heard from."""


class CellRegionLoads:
    """Sums the reports of a region's cells; implements `RegionLoads`."""

    def __init__(self, cells: Cells, reports: CellReports) -> None:
        self._cells = cells
        self._reports = reports

    def region_load(self, service: str, region: str) -> RegionLoad | None:
        """Returns the latest report; None: no cell is reported."""
        slots = in_use = queued = 0
        heard = False
        for cell in self._cells.cells(service, region):
            load = self._reports.cell_load(cell.name)
            if load is None:
                continue
            heard = True
            slots += load.slots
            in_use += load.in_use
            queued += load.queued
        if not heard:
            return None
        return RegionLoad(slots=slots, in_use=in_use, queued=queued)
