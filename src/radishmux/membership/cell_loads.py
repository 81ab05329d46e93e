"""The latest load report of each cell."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from radishmux.peer import messages


class CellLoad(msgspec.Struct, frozen=True):
    """Load of a cell, as reported by its dispatcher.

    Attributes:
        cell: Name of the cell.
        slots: Slots that the cell's backend servers currently have.
        in_use: Slots in use.
        queued: Requests that wait for a slot.
        instance: Instance whose dispatcher made the report.
        measured_at: Lower bound of the time of the report, monotonic
            seconds.
    """

    cell: str
    slots: int
    in_use: int
    queued: int
    instance: str = ""
    measured_at: float = 0.0


class CellLoads:
    """Load reports by cell; only the newest report of each cell is kept."""

    __slots__ = ("_by_cell",)

    def __init__(self) -> None:
        self._by_cell: dict[str, CellLoad] = {}

    def get(self, cell: str) -> CellLoad | None:
        """Returns the latest report of a cell, or None."""
        return self._by_cell.get(cell)

    def replace_reports(self, instance: str, loads: Iterable[CellLoad]) -> None:
        """Replaces all reports of one instance."""
        for cell, load in list(self._by_cell.items()):
            if load.instance == instance:
                del self._by_cell[cell]
        for load in loads:
            known = self._by_cell.get(load.cell)
            if known is None or known.measured_at <= load.measured_at:
                self._by_cell[load.cell] = load


def from_message(load: Any, instance: str, measured_at: float) -> CellLoad:
    """Converts the peer message of a load."""
    return CellLoad(
        load.cell, load.slots, load.in_use, load.queued, instance, measured_at
    )


def to_message(load: CellLoad) -> Any:
    """Converts a load to its peer message."""
    return messages.CellLoad(
        cell=load.cell,
        slots=load.slots,
        in_use=load.in_use,
        queued=load.queued,
    )
