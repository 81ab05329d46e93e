"""Checks right before each dispatch whether this instance may dispatch."""

from __future__ import annotations

from radishmux.clock import Clock
from radishmux.dispatch.holdings import MAX_PAUSE_S
from radishmux.dispatch.protocols import Members

# Age at which the cached permit is read again. A dispatch may come this much
# after the 1.5 s for which a permit lasts; the sum must stay below the takeover
# delay of 2 s.
_PERMIT_CACHE_S = 0.05


class DispatchGate:
    """Allows dispatches while the permit is held and the process runs.

    The owner calls `tick` several times a second. A late tick shows that the
    process was paused, so that its view of the members may be out of date.
    """

    def __init__(self, clock: Clock, members: Members) -> None:
        self._clock = clock
        self._members = members
        self._last_tick_at = float("-inf")
        self._permit_read_at = float("-inf")
        self._has_permit = False

    def tick(self) -> bool:
        """Records that the process is running, and reads the permit.

        Returns:
            Whether the instance holds the permit.
        """
        now = self._clock.now()
        self._last_tick_at = now
        self._read_permit(now)
        return self._has_permit

    def is_open(self) -> bool:
        """Whether a request may be sent to a backend server now."""
        now = self._clock.now()
        if now - self._last_tick_at > MAX_PAUSE_S:
            return False
        if now - self._permit_read_at > _PERMIT_CACHE_S:
            self._read_permit(now)
        return self._has_permit

    def _read_permit(self, now: float) -> None:
        self._has_permit = self._members.holds_permit(now)
        self._permit_read_at = now
