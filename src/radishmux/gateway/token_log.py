"""Log lines and metrics about the tokens that an instance holds."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.share.holding import Holding
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

# Smallest change of a customer's part that has a line of its own.
_LEAST_CHANGE = 0.05


class TokenLog:
    """Writes a line when a holding begins, ends, changes or refuses.

    Args:
        metrics: Takes the totals.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._told: dict[str, Holding] = {}

    def write(self, holdings: Iterable[Holding]) -> None:
        """Takes what is held now; called once in each report period."""
        held = {one.customer: one for one in holdings}
        for name, holding in held.items():
            self._count(holding)
            if self._is_news(holding):
                self._told[name] = holding
                self._write_line(holding)
        for name in self._told.keys() - held.keys():
            before = self._told.pop(name)
            self._metrics.set(
                "gateway_token_fraction", 0.0, customer=before.customer
            )
            state_change(f"token holder of {name}", "off")

    def _is_news(self, holding: Holding) -> bool:
        told = self._told.get(holding.customer)
        return (
            told is None
            or told.is_holder != holding.is_holder
            or told.refused != holding.refused
            or abs(told.fraction - holding.fraction) >= _LEAST_CHANGE
        )

    def _count(self, holding: Holding) -> None:
        customer = holding.customer
        self._metrics.set(
            "gateway_token_fraction", holding.fraction, customer=customer
        )
        self._metrics.set(
            "gateway_tokens_granted", holding.granted, customer=customer
        )

    @staticmethod
    def _write_line(holding: Holding) -> None:
        state_change(
            f"token holder of {holding.customer}",
            "on" if holding.is_holder else "standing in",
            fraction=round(holding.fraction, 3),
            tokens=round(holding.tokens, 1),
            demand_per_s=round(holding.demand_per_s, 1),
            rival_demands_per_s=_rounded(holding.rival_demands_per_s),
            other_demands_per_s={
                region: None if demands is None else _rounded(demands)
                for region, demands in holding.other_demands_per_s.items()
            },
            granted=holding.granted,
            refused=holding.refused,
        )


def _rounded(demands: dict[str, float]) -> dict[str, float]:
    return {holder: round(demand, 1) for holder, demand in demands.items()}
