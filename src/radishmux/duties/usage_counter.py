"""Counts the requests that were sent to backend servers."""

from __future__ import annotations

from collections.abc import Callable


class RequestUsage:
    """The attempts of one request that may have run.

    Attributes:
        customer: Name of the customer.
        windows: Window of each attempt; the request counts in the first one.
    """

    __slots__ = ("customer", "windows")

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.windows: list[int] = []


class UsageCounter:
    """Counts by window and customer, each request once.

    Args:
        window: Returns the present window.
    """

    def __init__(self, window: Callable[[], int]) -> None:
        self._window = window
        self._counts: dict[int, dict[str, int]] = {}
        self._closed_until = -1
        self._missed = 0

    @property
    def missed(self) -> int:
        """Changes of windows whose counts had been reported already."""
        return self._missed

    def record_sent(
        self, usage: RequestUsage | None, customer: str
    ) -> tuple[RequestUsage | None, int]:
        """Counts a request that is being sent, unless it is counted.

        Args:
            usage: What an earlier call returned for the same request.
            customer: Name of the customer; empty: not counted.

        Returns:
            The request's attempts, and the window of this one.
        """
        window = self._window()
        if not customer:
            return usage, window
        if usage is None:
            usage = RequestUsage(customer)
        usage.windows.append(window)
        if len(usage.windows) == 1:
            self._add(window, customer, 1)
        return usage, window

    def record_not_run(self, usage: RequestUsage, window: int) -> None:
        """Takes an attempt back that turned out not to have run.

        The request then counts at the earliest of its other attempts.
        """
        if window not in usage.windows:
            return
        before = usage.windows[0]
        usage.windows.remove(window)
        after = usage.windows[0] if usage.windows else None
        if after == before:
            return
        self._add(before, usage.customer, -1)
        if after is not None:
            self._add(after, usage.customer, 1)

    def close(self, window: int) -> dict[str, int]:
        """Returns the counts of a window, which no longer change."""
        self._closed_until = max(self._closed_until, window)
        counts = self._counts.get(window, {})
        return {name: count for name, count in counts.items() if count > 0}

    def forget(self, window: int) -> None:
        """Drops the counts of a window."""
        self._counts.pop(window, None)

    def _add(self, window: int, customer: str, amount: int) -> None:
        if window <= self._closed_until:
            self._missed += 1
            return
        counts = self._counts.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + amount
