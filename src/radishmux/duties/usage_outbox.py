"""Counts of this instance that the holder does not have yet."""

from __future__ import annotations

from radishmux.duties.usage_counter import UsageCounter
from radishmux.duties.windows import WindowTerms

# Windows before the start for which an instance reports no requests, so that a
# holder whose clock differs does not wait for them.
_EARLIER_WINDOWS = 2


class UsageOutbox:
    """Keeps the counts of ended windows until these are stored.

    A holder that has them acknowledges them; the next holder gets them again.

    Args:
        counter: Counts the requests.
        terms: Times of the windows.
        started_unix_s: Unix time of the start of this instance.
    """

    def __init__(
        self, counter: UsageCounter, terms: WindowTerms, started_unix_s: float
    ) -> None:
        self._counter = counter
        self._terms = terms
        self._next = terms.window_at(started_unix_s) - _EARLIER_WINDOWS
        self._windows: dict[int, dict[str, int]] = {}
        # By window: token of the holder that has acknowledged it.
        self._acknowledged: dict[int, int] = {}
        self._stored: set[int] = set()

    def advance(self, unix_s: float, is_leaving: bool = False) -> None:
        """Closes the windows that have ended; the open one too when leaving.

        A leaving instance may still be registered in the next window, for which
        it reports no requests.
        """
        terms = self._terms
        settled = terms.window_at(unix_s - terms.settle_s)
        last = terms.window_at(unix_s) + 1 if is_leaving else settled - 1
        oldest = terms.window_at(unix_s - 2 * terms.late_s) - 1
        for window in range(max(self._next, oldest), last + 1):
            self._windows[window] = self._counter.close(window)
        self._next = max(self._next, last + 1)
        for window in list(self._windows):
            # It can no longer be stored.
            is_over = terms.age_s(window, unix_s) > 2 * terms.late_s
            if is_over or window in self._stored:
                del self._windows[window]
                self._acknowledged.pop(window, None)
                self._counter.forget(window)
        self._stored = {one for one in self._stored if one >= oldest}

    def pending(self, token: int) -> dict[int, dict[str, int]]:
        """Returns the counts that the holder with `token` lacks, by window."""
        return {
            window: counts
            for window, counts in self._windows.items()
            if self._acknowledged.get(window) != token
        }

    def acknowledge(self, window: int, token: int) -> None:
        """Notes that the holder with `token` has the counts of a window."""
        if window in self._windows:
            self._acknowledged[window] = token

    def on_stored(self, window: int) -> None:
        """Notes that the report of a window was stored."""
        self._stored.add(window)
