"""Changes of the store that a hub passes on; pure.

A hub follows the store for its region. It keeps the latest meaningful change
of each key, so that a member can ask for what is new after the revision that
it knows. Entries that are only renewed are not passed on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from radishmux.store.interface import KeyChange

# Removed keys that are remembered; a member that knows less than the oldest
# one reads the store itself.
MAX_REMOVED = 1_000


class Feed:
    """What a hub tells a member.

    Attributes:
        changes: Changes after the revision that was asked for, oldest first.
        as_of: They are complete up to this revision.
        contact_age_s: Age of the store's latest answer to the hub.
        recovered_ago_s: Seconds since the store answered the hub again after
            an outage; None: there was none.
    """

    __slots__ = ("as_of", "changes", "contact_age_s", "recovered_ago_s")

    def __init__(
        self,
        changes: tuple[KeyChange, ...],
        as_of: int,
        contact_age_s: float,
        recovered_ago_s: float | None,
    ) -> None:
        self.changes = changes
        self.as_of = as_of
        self.contact_age_s = contact_age_s
        self.recovered_ago_s = recovered_ago_s


class ChangeLog:
    """The latest meaningful change of each key."""

    def __init__(self) -> None:
        self._present: OrderedDict[str, KeyChange] = OrderedDict()
        self._removed: OrderedDict[str, KeyChange] = OrderedDict()
        self._floor = -1

    def reset(self, changes: Iterable[KeyChange], as_of: int) -> None:
        """Takes the state of all keys; removals before it are not known."""
        ordered = sorted(changes, key=lambda change: change.revision)
        self._present = OrderedDict((one.key, one) for one in ordered)
        self._removed.clear()
        self._floor = as_of

    def has(self, key: str) -> bool:
        """Whether a key exists."""
        return key in self._present

    def record(self, change: KeyChange) -> None:
        """Takes a change that is newer than all before."""
        self._present.pop(change.key, None)
        self._removed.pop(change.key, None)
        if change.value is not None:
            self._present[change.key] = change
            return
        self._removed[change.key] = change
        if len(self._removed) > MAX_REMOVED:
            _, oldest = self._removed.popitem(last=False)
            self._floor = max(self._floor, oldest.revision)

    def after(self, revision: int) -> tuple[KeyChange, ...] | None:
        """Returns the changes after a revision; None: they are not known."""
        if revision < self._floor:
            return None
        found = []
        for changes in (self._present, self._removed):
            for change in reversed(changes.values()):
                if change.revision <= revision:
                    break
                found.append(change)
        return tuple(sorted(found, key=lambda change: change.revision))
