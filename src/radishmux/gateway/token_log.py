"""Log lines and metrics of the holdings of an instance."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.share.holding import Holding
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics

# Minimum change of a holding's fraction of the rate that is logged.
_MIN_FRACTION_CHANGE = 0.05


class TokenLog:
    """Logs a holding when it begins, ends, changes or refuses requests.

    Args:
        metrics: Metrics that are updated with the holdings.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._logged: dict[str, Holding] = {}

    def write(self, holdings: Iterable[Holding]) -> None:
        """Logs changes and updates the metrics.

        Called once in each report period.

        Args:
            holdings: All current holdings of this instance.
        """
        held = {holding.customer: holding for holding in holdings}
        for name, holding in held.items():
            self._update_metrics(holding)
            if self._has_changed(holding):
                self._logged[name] = holding
                self._write_line(holding)
        for name in self._logged.keys() - held.keys():
            before = self._logged.pop(name)
            self._metrics.set(
                "gateway_token_fraction", 0.0, customer=before.customer
            )
            state_change(f"token holder of {name}", "off")

    def _has_changed(self, holding: Holding) -> bool:
        logged = self._logged.get(holding.customer)
        return (
            logged is None
            or logged.is_holder != holding.is_holder
            or logged.refused != holding.refused
            or abs(logged.fraction - holding.fraction) >= _MIN_FRACTION_CHANGE
        )

    def _update_metrics(self, holding: Holding) -> None:
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
