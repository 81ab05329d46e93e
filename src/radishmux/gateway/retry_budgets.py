"""Retries that this instance may send to each service; pure."""

from __future__ import annotations

from radishmux.dispatch.retry_budget import RetryBudget
from radishmux.settings.gateway import Bounds

# Part of the operators' bound that is used; the rest covers instances that
# disagree about how many they are.
_USED_SHARE = 0.8


class RetryBudgets:
    """One budget per service; the slack is divided among the instances."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}
        self._instances = 1

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the slack."""
        self._instances = max(1, count)
        for budget in self._budgets.values():
            budget.set_slack(self._slack)

    def first(self, service: str, now: float) -> None:
        """Counts a request."""
        self._budget(service).record_first_attempt(now)

    def try_retry(self, service: str, now: float) -> bool:
        """Counts a further attempt if the budget allows it."""
        return self._budget(service).try_retry(now)

    @property
    def _slack(self) -> float:
        return _USED_SHARE * self._bounds.retry_slack / self._instances

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._bounds.retry_window_s,
                _USED_SHARE * self._bounds.retry_ratio,
                self._slack,
            )
            self._budgets[service] = budget
        return budget
