"""Protocols of the objects that the dispatch package is given."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from radishmux.dispatch.exchange import Exchange
from radishmux.instances.interface import Instance
from radishmux.shift.observation import Observation


class Gate(Protocol):
    """The part of dispatch.gate.DispatchGate that dispatch needs."""

    def is_open(self) -> bool:
        """Whether a request may be sent to a backend server now."""


class Members(Protocol):
    """The part of membership.view.MembershipView that dispatch needs."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances."""

    def peers(self) -> tuple[Instance, ...]:
        """Returns all other instances with a known address."""

    def holds_permit(self, now: float) -> bool:
        """Whether this instance may dispatch."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance or backend server is about to stop."""

    def proven_dead(self, instance: str) -> bool:
        """Whether an instance's process is known to be gone."""

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether others may take over the cells of an instance."""


class Keys(Protocol):
    """The part of keys.check.KeyCheck that dispatch needs."""

    def is_still_valid(
        self, digest: str, customer: str, config_version: int, now: float
    ) -> bool:
        """Whether a key that admitted a request is still valid."""


class Chooser(Protocol):
    """The part of shift.chooser.VersionChooser that dispatch needs."""

    def choose(self, service: str, route: str, now: float) -> str:
        """Returns the version for one attempt."""

    def observe(self, observation: Observation, now: float) -> Any:
        """Records the outcome of one attempt."""


class VersionSource(Protocol):
    """The part of dispatch.versions.AttemptVersions that dispatch needs."""

    def choose(self, exchange: Exchange, now: float) -> str:
        """Returns the version for one attempt."""

    def fallback(self, exchange: Exchange, version: str) -> str | None:
        """Returns the version to use when no server of `version` is usable.

        None means that there is no such version.
        """

    def is_usable(self, exchange: Exchange, version: str) -> bool:
        """Whether an attempt may still use a version chosen earlier."""


SendMessage = Callable[[str, Any], Awaitable[bool]]
"""Sends a control message to the named instance; True if it was accepted."""

Broadcast = Callable[[Any], Awaitable[None]]
"""Sends a control message to all peers and waits briefly for their replies."""
