"""Selects the version of a service for each attempt, following its shift."""

from __future__ import annotations

from radishmux.config.model import Configuration
from radishmux.dispatch.cells import ConfigSource
from radishmux.dispatch.exchange import Exchange
from radishmux.dispatch.protocols import Chooser


class AttemptVersions:
    """Gets versions from the chooser and provides a fallback.

    Args:
        chooser: Chooser that divides requests as the shifts require.
        config: Source of the services and shifts.
    """

    def __init__(self, chooser: Chooser, config: ConfigSource) -> None:
        self._chooser = chooser
        self._stable: dict[str, str] = {}
        self._targets: set[tuple[str, str]] = set()
        self.load(config.current)
        config.watch(self.load)

    def load(self, configuration: Configuration) -> None:
        """Replaces the services and shifts by those of a configuration."""
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
        """Returns the version to use when no server of `version` is usable.

        This is the stable version. None is returned if `version` is the
        stable one, and also if a shift is moving traffic to the stable
        version, since the extra requests would exceed the shift's cap.
        """
        stable = self._stable.get(exchange.service)
        if stable == version or (exchange.service, stable) in self._targets:
            return None
        return stable

    def is_usable(self, exchange: Exchange, version: str) -> bool:
        """Whether an attempt may still use a version chosen earlier.

        The new version of a shift may have been stopped meanwhile, so that
        the chooser is asked again. It counts this choice as a further request
        moved to the new version. That request is never sent, so that the
        version's real share stays below its bound.
        """
        if (exchange.service, version) not in self._targets:
            return True
        route = exchange.route.name
        # The chooser's counters do not use the time.
        return self._chooser.choose(exchange.service, route, 0.0) == version
