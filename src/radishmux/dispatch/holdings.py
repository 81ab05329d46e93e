"""Which cells this instance dispatches to, and when it may begin.

Pure: the caller passes the time and sends the releases.
"""

from __future__ import annotations

from typing import Protocol

from radishmux.dispatch.cells import Cell, CellMap, rendezvous_score
from radishmux.instances.interface import Instance

# Followers repeat their releases after this time.
RELEASE_PERIOD_S = 1.0
# A longer gap between updates means that the process was paused.
MAX_PAUSE_S = 0.5
# A gap in which the permit may have ended and another instance may have taken
# the cells; less than the takeover delay of 2 s.
MAX_GAP_S = 1.5


class Members(Protocol):
    """The part of membership.view.MembershipView that holdings need."""

    def peers(self) -> tuple[Instance, ...]:
        """Returns all other instances with a known address."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance is about to stop."""

    def proven_dead(self, instance: str) -> bool:
        """Whether an instance's process is known to be gone."""

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether others may take over the cells of an instance."""


class Takeover:
    """A cell that this instance now dispatches to."""

    __slots__ = ("cause", "cell")

    def __init__(self, cell: Cell, cause: str) -> None:
        self.cell = cell
        self.cause = cause


class Changes:
    """What an update of the holdings found.

    Attributes:
        taken: Cells that this instance begins to dispatch to.
        lost: Names of cells that it no longer dispatches to.
    """

    __slots__ = ("lost", "taken")

    def __init__(self) -> None:
        self.taken: list[Takeover] = []
        self.lost: list[str] = []


class Holdings:
    """Cells of the own region, by what this instance may do with them.

    The instance with the highest score takes a cell only when each other one
    that may hold it has released it, is proven dead, or has been silent for
    the takeover delay.
    """

    def __init__(
        self, instance: str, region: str, cells: CellMap, members: Members
    ) -> None:
        self._instance = instance
        self._region = region
        self._cells = cells
        self._members = members
        self._held: set[str] = set()
        # Instances that said that they do not dispatch to a cell, since it
        # was last theirs in the view of this instance.
        self._released_by: dict[str, set[str]] = {}
        self._runner_up: dict[str, str] = {}
        self._told: dict[str, str] = {}
        self._told_at = float("-inf")
        self._updated_at = float("-inf")
        self._has_permit = False
        self._cause = "alone"

    @property
    def held(self) -> frozenset[str]:
        """Names of the cells that this instance dispatches to."""
        return frozenset(self._held)

    def on_release(self, instance: str, cells: list[str], now: float) -> bool:
        """Takes a peer's word that it does not dispatch to cells.

        A message that waited while this process was paused is out of date:
        the peer may have taken the cells meanwhile.

        Returns:
            Whether the word was taken.
        """
        if not self._has_permit or now - self._updated_at > MAX_PAUSE_S:
            return False
        for name in cells:
            self._released_by.setdefault(name, set()).add(instance)
        return True

    def update(self, has_permit: bool, now: float) -> Changes:
        """Compares the cells with the members of the region.

        Without the permit another instance may take the cells, so that all
        are given up.
        """
        changes = Changes()
        # A paused process may get its permit back before it looks here.
        is_first = self._updated_at == float("-inf")
        if not is_first and now - self._updated_at >= MAX_GAP_S:
            has_permit = False
        self._updated_at = now
        self._has_permit = has_permit
        self._cells.clear_dispatchers()
        if not has_permit:
            self._released_by.clear()
        wanted: set[str] = set()
        runner_up: dict[str, str] = {}
        for cell in self._cells.all():
            dispatcher = self._cells.dispatcher(cell)
            if cell.region != self._region or dispatcher is None:
                continue
            if dispatcher.instance != self._instance:
                # That instance may take the cell from now on.
                self._released_by.get(cell.name, set()).discard(
                    dispatcher.instance
                )
                if self._is_runner_up(cell, dispatcher.instance, now):
                    runner_up[cell.name] = dispatcher.instance
                continue
            if not has_permit:
                continue
            if cell.name in self._held:
                wanted.add(cell.name)
                continue
            cause = self._may_take(cell, now)
            if cause:
                wanted.add(cell.name)
                changes.taken.append(Takeover(cell, cause))
        changes.lost = sorted(self._held - wanted)
        self._held = wanted
        self._runner_up = runner_up
        return changes

    def releases(self, now: float) -> dict[str, list[str]]:
        """Returns the cells to release now, by the instance to tell.

        All are repeated every second, since the other instance forgets them
        when it restarts or loses its permit.
        """
        is_due = now - self._told_at >= RELEASE_PERIOD_S
        if not is_due and self._runner_up == self._told:
            return {}
        self._told = dict(self._runner_up)
        self._told_at = now
        by_instance: dict[str, list[str]] = {}
        for name, instance in self._told.items():
            by_instance.setdefault(instance, []).append(name)
        return by_instance

    def _is_runner_up(self, cell: Cell, dispatcher: str, now: float) -> bool:
        names = [self._instance, *self._rivals(now)]
        holders = self._possible_holders(cell, names, dispatcher)
        return self._instance in holders

    def _may_take(self, cell: Cell, now: float) -> str:
        """Returns the cause that allows taking a cell, or an empty text."""
        rivals = self._rivals(now)
        holders = self._possible_holders(cell, rivals, self._instance)
        if not holders:
            return self._cause
        released_by = self._released_by.get(cell.name, ())
        released = all(holder in released_by for holder in holders)
        return "released" if released else ""

    def _rivals(self, now: float) -> list[str]:
        """Returns the instances of the region that may hold cells."""
        rivals = []
        self._cause = "alone"
        for peer in self._members.peers():
            if peer.region != self._region:
                continue
            if self._members.proven_dead(peer.instance):
                self._cause = "proven_dead"
            elif self._members.may_be_taken_over(peer.instance, now):
                self._cause = "silent"
            else:
                rivals.append(peer.instance)
        return rivals

    def _possible_holders(
        self, cell: Cell, names: list[str], dispatcher: str
    ) -> list[str]:
        """Returns the instances that may hold a cell besides its dispatcher.

        These are the one with the highest score and, when it is leaving, the
        next ones up to the first that is not.
        """
        others = [name for name in names if name != dispatcher]
        others.sort(
            key=lambda name: rendezvous_score(cell.name, name), reverse=True
        )
        for index, name in enumerate(others):
            if not self._members.is_leaving(name):
                return others[: index + 1]
        return others
