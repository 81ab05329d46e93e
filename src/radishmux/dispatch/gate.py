"""Says, right before each dispatch, whether it is allowed."""

from __future__ import annotations

from radishmux.clock import Clock
from radishmux.dispatch.holdings import MAX_PAUSE_S
from radishmux.dispatch.protocols import Members

# The permit is read again after this time. It adds to the 1.5 s that a
# permit lasts and stays below the takeover delay of 2 s.
_PERMIT_KEPT_S = 0.05


class DispatchGate:
    """Permit and pause detector of this instance.

    The owner calls `tick` several times a second. A missing tick shows that
    the process was paused, so that its view of the fleet is out of date.
    """

    def __init__(self, clock: Clock, members: Members) -> None:
        self._clock = clock
        self._members = members
        self._ticked_at = float("-inf")
        self._read_at = float("-inf")
        self._permit = False

    def tick(self) -> bool:
        """Notes that the process runs, and reads the permit.

        Returns:
            Whether the instance holds the permit.
        """
        now = self._clock.now()
        self._ticked_at = now
        self._read(now)
        return self._permit

    def is_open(self) -> bool:
        """Whether a request may be sent to a backend server now."""
        now = self._clock.now()
        if now - self._ticked_at > MAX_PAUSE_S:
            return False
        if now - self._read_at > _PERMIT_KEPT_S:
            self._read(now)
        return self._permit

    def _read(self, now: float) -> None:
        self._permit = self._members.holds_permit(now)
        self._read_at = now
