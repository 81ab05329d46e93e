"""Bounds the retries that this instance sends to each service."""

from __future__ import annotations

from radishmux.dispatch.retry_budget import RetryBudget
from radishmux.settings.gateway import Bounds

# Fraction of the operators' bounds that is used. The rest covers times when
# the instances differ in how many of them they count.
_USED_FRACTION = 0.8


class RetryBudgets:
    """Holds one retry budget for each service.

    The operators' slack, the number of retries that need no first attempt, is
    divided evenly among the instances.

    Args:
        bounds: The operators' bounds on retries of the whole fleet.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}
        self._instance_count = 1

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the slack."""
        self._instance_count = max(1, count)
        for budget in self._budgets.values():
            budget.set_slack(self._slack)

    def record_first_attempt(self, service: str, now: float) -> None:
        """Counts the first attempt at a request."""
        self._budget(service).record_first_attempt(now)

    def try_retry(self, service: str, now: float, share: float = 1.0) -> bool:
        """Counts a retry and returns True if the budget allows it.

        Args:
            service: Name of the service.
            now: Monotonic seconds.
            share: Share of the budget that may be used up after it.
        """
        return self._budget(service).try_retry(now, share)

    @property
    def _slack(self) -> float:
        return _USED_FRACTION * self._bounds.retry_slack / self._instance_count

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._bounds.retry_window_s,
                _USED_FRACTION * self._bounds.retry_ratio,
                self._slack,
            )
            self._budgets[service] = budget
        return budget
