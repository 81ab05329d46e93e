"""What dispatch needs of the other parts, as protocols."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from radishmux.dispatch.exchange import Exchange
from radishmux.instances.interface import Instance
from radishmux.shift.observation import Observation


class Gate(Protocol):
    """dispatch.gate.DispatchGate."""

    def is_open(self) -> bool:
        """Whether a request may be sent to a backend server now."""


class Members(Protocol):
    """membership.view.MembershipView."""

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
    """keys.check.KeyCheck."""

    def is_still_valid(
        self, digest: str, customer: str, config_version: int, now: float
    ) -> bool:
        """Whether a key that admitted a request is still valid."""


class Chooser(Protocol):
    """shift.chooser.VersionChooser."""

    def choose(self, service: str, route: str, now: float) -> str:
        """Returns the version for one attempt."""

    def observe(self, observation: Observation, now: float) -> Any:
        """Takes the outcome of one attempt."""


class VersionSource(Protocol):
    """dispatch.versions.AttemptVersions."""

    def choose(self, exchange: Exchange, now: float) -> str:
        """Returns the version for one attempt."""

    def fallback(self, exchange: Exchange, version: str) -> str | None:
        """Returns the version to use when no server of `version` is up."""

    def is_usable(self, exchange: Exchange, version: str) -> bool:
        """Whether a version chosen a while ago may still be used."""


SendMessage = Callable[[str, Any], Awaitable[bool]]
"""Sends a control message to one instance; True when it was taken."""

Broadcast = Callable[[Any], Awaitable[None]]
"""Sends a control message to all peers and waits for them, briefly."""
