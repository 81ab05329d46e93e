"""Decides which cells this instance holds, that is, dispatches to.

Does no I/O and reads no clock; callers pass the time and send the releases.
"""

from __future__ import annotations

from typing import Protocol

from radishmux.dispatch.cells import Cell, CellMap, rendezvous_score
from radishmux.instances.interface import Instance

# Instances repeat their releases to the dispatchers of cells at this period.
RELEASE_PERIOD_S = 1.0
# A longer gap between updates means that the process was paused.
MAX_PAUSE_S = 0.5
# After a longer gap between updates the permit may have expired and another
# instance may have taken over the cells. Less than the takeover delay of 2 s.
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
    """A cell that this instance begins to hold.

    Attributes:
        cell: The cell.
        cause: Why it may be held, a label of `cell_takeovers_total`: `alone`,
            `proven_dead`, `silent` or `released`.
    """

    __slots__ = ("cause", "cell")

    def __init__(self, cell: Cell, cause: str) -> None:
        self.cell = cell
        self.cause = cause


class HoldingChanges:
    """Changes that an update made to the held cells.

    Attributes:
        gained: Cells that this instance begins to hold.
        lost: Names of the cells that it no longer holds.
    """

    __slots__ = ("gained", "lost")

    def __init__(self) -> None:
        self.gained: list[Takeover] = []
        self.lost: list[str] = []


class Holdings:
    """Cells of the own region that this instance holds.

    The dispatcher of a cell, which is the instance with the highest rendezvous
    hash, begins to hold it only when each other instance that may hold it has
    released it, is proven dead, or has been silent for the takeover delay.
    Hence a cell never has two holders at the same time.

    Args:
        instance: Name of this instance.
        region: Region of this instance.
        cells: Cells of the configuration and their dispatchers.
        members: Members of the fleet as this instance sees them.
    """

    def __init__(
        self, instance: str, region: str, cells: CellMap, members: Members
    ) -> None:
        self._instance = instance
        self._region = region
        self._cells = cells
        self._members = members
        self._held: set[str] = set()
        # By cell name: the instances that have released the cell and have not
        # been its dispatcher since, in the view of this instance.
        self._released_by: dict[str, set[str]] = {}
        # Cells that this instance may have held and does not hold now, with
        # the dispatcher that waits for their release.
        self._current_releases: dict[str, str] = {}
        self._last_releases: dict[str, str] = {}
        self._last_releases_at = float("-inf")
        self._updated_at = float("-inf")
        self._has_permit = False
        self._no_holder_cause = "alone"

    @property
    def held(self) -> frozenset[str]:
        """Names of the cells that this instance holds."""
        return frozenset(self._held)

    def record_release(
        self, instance: str, cells: list[str], now: float
    ) -> bool:
        """Records that a peer does not hold cells.

        Releases are ignored without the permit or after a pause of this
        process: a message that was waiting meanwhile is out of date if the
        peer has taken over the cells since.

        Args:
            instance: Name of the peer.
            cells: Names of the cells that the peer releases.
            now: Monotonic time.

        Returns:
            Whether the release was recorded.
        """
        if not self._has_permit or now - self._updated_at > MAX_PAUSE_S:
            return False
        for name in cells:
            self._released_by.setdefault(name, set()).add(instance)
        return True

    def update(self, has_permit: bool, now: float) -> HoldingChanges:
        """Updates the held cells to the current members of the region.

        Without the permit no cell is held, since other instances may take
        over the cells.

        Args:
            has_permit: Whether this instance holds the permit.
            now: Monotonic time.
        """
        changes = HoldingChanges()
        # A paused process may have lost its permit and got it back meanwhile.
        is_first = self._updated_at == float("-inf")
        if not is_first and now - self._updated_at >= MAX_GAP_S:
            has_permit = False
        self._updated_at = now
        self._has_permit = has_permit
        self._cells.clear_dispatchers()
        if not has_permit:
            self._released_by.clear()
        wanted: set[str] = set()
        current_releases: dict[str, str] = {}
        for cell in self._cells.all():
            dispatcher = self._cells.dispatcher(cell)
            if cell.region != self._region or dispatcher is None:
                continue
            if dispatcher.instance != self._instance:
                # That instance may hold the cell from now on, so that its
                # earlier releases no longer count.
                self._released_by.get(cell.name, set()).discard(
                    dispatcher.instance
                )
                if self._may_have_held(cell, dispatcher.instance, now):
                    current_releases[cell.name] = dispatcher.instance
                continue
            if not has_permit:
                continue
            if cell.name in self._held:
                wanted.add(cell.name)
                continue
            cause = self._takeover_cause(cell, now)
            if cause:
                wanted.add(cell.name)
                changes.gained.append(Takeover(cell, cause))
        changes.lost = sorted(self._held - wanted)
        self._held = wanted
        self._current_releases = current_releases
        return changes

    def due_releases(self, now: float) -> dict[str, list[str]]:
        """Returns the releases to send now: names of cells by their receiver.

        All releases are repeated every second, since the receiver forgets
        them when it restarts or loses its permit.
        """
        is_due = now - self._last_releases_at >= RELEASE_PERIOD_S
        if not is_due and self._current_releases == self._last_releases:
            return {}
        self._last_releases = dict(self._current_releases)
        self._last_releases_at = now
        by_instance: dict[str, list[str]] = {}
        for name, instance in self._last_releases.items():
            by_instance.setdefault(instance, []).append(name)
        return by_instance

    def _may_have_held(self, cell: Cell, dispatcher: str, now: float) -> bool:
        """Returns whether this instance may hold a cell of another one."""
        names = [self._instance, *self._contenders(now)]
        holders = self._possible_holders(cell, names, dispatcher)
        return self._instance in holders

    def _takeover_cause(self, cell: Cell, now: float) -> str:
        """Returns why a cell may be held now.

        The text is empty if another instance may still hold the cell.
        """
        contenders = self._contenders(now)
        holders = self._possible_holders(cell, contenders, self._instance)
        if not holders:
            return self._no_holder_cause
        released_by = self._released_by.get(cell.name, ())
        released = all(holder in released_by for holder in holders)
        return "released" if released else ""

    def _contenders(self, now: float) -> list[str]:
        """Returns the other instances of the region that may hold cells.

        Also sets the takeover cause for cells that none of them may hold.
        """
        contenders = []
        self._no_holder_cause = "alone"
        for peer in self._members.peers():
            if peer.region != self._region:
                continue
            if self._members.proven_dead(peer.instance):
                self._no_holder_cause = "proven_dead"
            elif self._members.may_be_taken_over(peer.instance, now):
                self._no_holder_cause = "silent"
            else:
                contenders.append(peer.instance)
        return contenders

    def _possible_holders(
        self, cell: Cell, names: list[str], dispatcher: str
    ) -> list[str]:
        """Returns the instances that may hold a cell besides its dispatcher.

        These are the instances in the order of their rendezvous hashes, down
        to the first one that is not leaving.

        Args:
            cell: The cell.
            names: Names of the instances to consider.
            dispatcher: Name of the cell's dispatcher.
        """
        others = [name for name in names if name != dispatcher]
        others.sort(
            key=lambda name: rendezvous_score(cell.name, name), reverse=True
        )
        for index, name in enumerate(others):
            if not self._members.is_leaving(name):
                return others[: index + 1]
        return others
