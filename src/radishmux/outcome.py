"""Sentinel values that stand for a missing result and carry the reason."""

from __future__ import annotations


class Unavailable:
    """A falsy result: the value could not be had, for `reason`.

    Subclasses name the kind of failure; code tests with `isinstance`.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason!r})"


class NotFound(Unavailable):
    """The named thing does not exist."""

    __slots__ = ()


class Conflict(Unavailable):
    """A compare-and-swap lost against another writer."""

    __slots__ = ()


class Unknown(Unavailable):
    """The answer was lost: the operation may have taken effect."""

    __slots__ = ()
