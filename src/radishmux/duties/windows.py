"""Report windows: numbered spans of the true time."""

from __future__ import annotations

import math

import msgspec


class WindowTerms(msgspec.Struct, frozen=True):
    """Length of the windows and the times of their reports.

    Attributes:
        window_s: Length of a window; window k begins at k times that, in Unix
            time.
        late_s: Time after the end of a window at which its report is due.
    """

    window_s: float
    late_s: float

    @property
    def settle_s(self) -> float:
        """Time after the end for servers to report requests as not run."""
        return min(1.0, self.late_s / 10)

    @property
    def gather_s(self) -> float:
        """Time after the end until which missing counts are awaited.

        The rest of the time until the report is due is for the store and the
        API, with repeats.
        """
        return 0.6 * self.late_s

    @property
    def repeat_s(self) -> float:
        """Time after the end until which a stored report is repeated.

        Late reports may count for less, but still count.
        """
        return 3 * self.late_s

    @property
    def keep_s(self) -> float:
        """Time after the end for which stored windows are kept.

        Windows are stored until `late_s`. The rest is a margin for clocks that
        differ: if a key were removed earlier, another instance could store
        different counts.
        """
        return 6 * self.late_s

    def window_at(self, unix_s: float) -> int:
        """Returns the window that contains a time."""
        return math.floor(unix_s / self.window_s)

    def end_of(self, window: int) -> float:
        """Returns the Unix time of a window's end."""
        return (window + 1) * self.window_s

    def age_s(self, window: int, unix_s: float) -> float:
        """Returns the time since a window's end; negative before it."""
        return unix_s - self.end_of(window)
