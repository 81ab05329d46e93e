"""Bodies of reports that the store has confirmed."""

from __future__ import annotations


class StoredBodies:
    """What was stored for each window, kept beyond a loss by the store.

    The first body of a window stays: after a restoration of the store another
    one could be written, but the first one may have been sent.
    """

    def __init__(self) -> None:
        self._bodies: dict[int, bytes] = {}

    @property
    def windows(self) -> list[int]:
        """Windows with a body, the earliest first."""
        return sorted(self._bodies)

    def put(self, window: int, body: bytes) -> bool:
        """Keeps the body of a window; False if it has a different one."""
        return self._bodies.setdefault(window, body) == body

    def get(self, window: int) -> bytes | None:
        """Returns the body of a window, if it is known."""
        return self._bodies.get(window)

    def forget_before(self, window: int) -> None:
        """Drops the windows before one."""
        for old in [one for one in self._bodies if one < window]:
            del self._bodies[old]
