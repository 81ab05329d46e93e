"""Latest reports about the work in each cell."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from radishmux.peer import messages


class CellLoad(msgspec.Struct, frozen=True):
    """Work in a cell as its dispatcher reported it.

    Attributes:
        cell: Name of the cell.
        slots: Slots that the backend servers have now.
        in_use: Slots in use.
        queued: Requests that wait for a slot.
        instance: The dispatcher that reported.
        measured_at: Lower bound of the time of the report.
    """

    cell: str
    slots: int
    in_use: int
    queued: int
    instance: str = ""
    measured_at: float = 0.0


class CellLoads:
    """Reports by cell; the newest report about a cell counts."""

    __slots__ = ("_by_cell",)

    def __init__(self) -> None:
        self._by_cell: dict[str, CellLoad] = {}

    def get(self, cell: str) -> CellLoad | None:
        """Returns the latest report about a cell."""
        return self._by_cell.get(cell)

    def take(self, instance: str, loads: Iterable[CellLoad]) -> None:
        """Replaces all reports of one instance."""
        for cell, load in list(self._by_cell.items()):
            if load.instance == instance:
                del self._by_cell[cell]
        for load in loads:
            known = self._by_cell.get(load.cell)
            if known is None or known.measured_at <= load.measured_at:
                self._by_cell[load.cell] = load


def from_message(load: Any, instance: str, measured_at: float) -> CellLoad:
    """Returns a load from its control message."""
    return CellLoad(
        load.cell, load.slots, load.in_use, load.queued, instance, measured_at
    )


def to_message(load: CellLoad) -> Any:
    """Returns the control message for a load."""
    return messages.CellLoad(
        cell=load.cell,
        slots=load.slots,
        in_use=load.in_use,
        queued=load.queued,
    )
