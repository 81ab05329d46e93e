"""The configuration in force in this process."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from radishmux.config.index import ConfigIndex
from radishmux.config.model import Configuration

Callback = Callable[[Configuration], None]


class ConfigState:
    """Holds the highest version applied and notifies callbacks of changes.

    A version that is not higher than the one in force is never applied,
    whatever its source.
    """

    def __init__(self, initial: Configuration | None = None) -> None:
        self._index = ConfigIndex(initial or Configuration())
        self._callbacks: list[Callback] = []

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._index.configuration

    @property
    def index(self) -> ConfigIndex:
        """Lookup tables for the configuration in force."""
        return self._index

    def apply(self, configuration: Configuration) -> bool:
        """Puts a configuration in force if its version is higher.

        Returns:
            False if the version is not higher; then nothing changes.
        """
        if configuration.version <= self.current.version:
            return False
        # If building the index fails, the old version stays in force.
        self._index = ConfigIndex(configuration)
        for callback in tuple(self._callbacks):
            try:
                callback(configuration)
            except Exception:  # The other callbacks must run too.
                logger.exception(
                    "callback for configuration {} failed",
                    configuration.version,
                )
        return True

    def watch(self, callback: Callback) -> Callable[[], None]:
        """Calls `callback` with each later configuration in force.

        Returns:
            A function that removes the callback.
        """
        self._callbacks.append(callback)

        def unwatch() -> None:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

        return unwatch
