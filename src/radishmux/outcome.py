"""Falsy results of failed operations, each with the reason of the failure."""

from __future__ import annotations


class Unavailable:
    """A falsy result of an operation that failed for `reason`.

    Subclasses name the kind of failure; callers check with `isinstance`.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason!r})"


class NotFound(Unavailable):
    """The requested item does not exist."""

    __slots__ = ()


class Conflict(Unavailable):
    """A compare-and-swap failed because another writer came first."""

    __slots__ = ()


class Unknown(Unavailable):
    """The response was lost, so the operation may have taken effect."""

    __slots__ = ()
