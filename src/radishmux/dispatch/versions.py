"""Versions for attempts, from the shift in force."""

from __future__ import annotations

from radishmux.config.model import Configuration
from radishmux.dispatch.cells import ConfigSource
from radishmux.dispatch.exchange import Exchange
from radishmux.dispatch.protocols import Chooser


class AttemptVersions:
    """Asks the chooser and knows what to do when a version is not there."""

    def __init__(self, chooser: Chooser, config: ConfigSource) -> None:
        self._chooser = chooser
        self._stable: dict[str, str] = {}
        self._targets: set[tuple[str, str]] = set()
        self.load(config.current)
        config.watch(self.load)

    def load(self, configuration: Configuration) -> None:
        """Takes over services and shifts."""
        self._stable = {
            service.name: service.stable_version
            for service in configuration.services
        }
        self._targets = {
            (shift.service, shift.to_version) for shift in configuration.shifts
        }

    def choose(self, exchange: Exchange, now: float) -> str:
        """Returns the version for one attempt."""
        return self._chooser.choose(exchange.service, exchange.route.name, now)

    def fallback(self, exchange: Exchange, version: str) -> str | None:
        """Returns the stable version, unless a shift moves traffic to it.

        Using a shift's new version here would exceed its cap.
        """
        stable = self._stable.get(exchange.service)
        if stable == version or (exchange.service, stable) in self._targets:
            return None
        return stable

    def is_usable(self, exchange: Exchange, version: str) -> bool:
        """Whether a version chosen a while ago may still be used.

        A new version may have been stopped meanwhile, so that it is chosen
        once more. The extra choice counts as a moved request that does not
        take place, so that the share stays below its bound.
        """
        if (exchange.service, version) not in self._targets:
            return True
        route = exchange.route.name
        # The time is not used by the chooser's counters.
        return self._chooser.choose(exchange.service, route, 0.0) == version
