"""Store changes that a hub forwards to the members of its region.

A hub watches the store for its region. It keeps the latest meaningful change
of each key, so that a member can request all changes after the revision that
it has. Writes that only renew an entry are not forwarded. This module does no
I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from radishmux.store.interface import KeyChange

# Number of deletions that are kept. A member whose revision is older than the
# oldest deletion reads the store itself.
MAX_REMOVED = 1_000


class Feed:
    """Changes that a hub sends to a member, with the state of its contact.

    Attributes:
        changes: Changes after the requested revision, oldest first.
        as_of: The changes are complete up to this revision.
        contact_age_s: Age of the store's latest response to the hub.
        recovered_ago_s: Seconds since the store answered the hub again after
            an outage; None if there was no outage.
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
        self._oldest_revision = -1

    def reset(self, changes: Iterable[KeyChange], as_of: int) -> None:
        """Replaces all keys; deletions up to `as_of` are not kept."""
        ordered = sorted(changes, key=lambda change: change.revision)
        self._present = OrderedDict((change.key, change) for change in ordered)
        self._removed.clear()
        self._oldest_revision = as_of

    def has(self, key: str) -> bool:
        """Whether a key exists."""
        return key in self._present

    def record(self, change: KeyChange) -> None:
        """Records a change that is newer than all recorded ones."""
        self._present.pop(change.key, None)
        self._removed.pop(change.key, None)
        if change.value is not None:
            self._present[change.key] = change
            return
        self._removed[change.key] = change
        if len(self._removed) > MAX_REMOVED:
            _, oldest = self._removed.popitem(last=False)
            self._oldest_revision = max(self._oldest_revision, oldest.revision)

    def after(self, revision: int) -> tuple[KeyChange, ...] | None:
        """Returns the changes after a revision, or None if some are lost."""
        if revision < self._oldest_revision:
            return None
        found = []
        for changes in (self._present, self._removed):
            for change in reversed(changes.values()):
                if change.revision <= revision:
                    break
                found.append(change)
        return tuple(sorted(found, key=lambda change: change.revision))
