"""Orders to roll out a new version of a service, and their state."""

from __future__ import annotations

import enum

import msgspec


class RolloutState(enum.Enum):
    """State of a rollout, as shown to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


# An instance never records another state after one of these for an order.
FINAL_STATES = frozenset({RolloutState.COMPLETED, RolloutState.ROLLED_BACK})


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to roll out a version.

    Attributes:
        service: Name of the service.
        version: Version that is to serve all requests.
        duration_s: Time from the order until the version must serve all
            requests.
    """

    service: str
    version: str
    duration_s: float


class RolloutStatus(msgspec.Struct, frozen=True):
    """State of an order as recorded by the entry instances.

    Attributes:
        version: Version that the order names.
        state: State of the order.
    """

    version: str
    state: RolloutState

    @property
    def is_final(self) -> bool:
        """Whether no other state follows for the same order."""
        return self.state in FINAL_STATES
