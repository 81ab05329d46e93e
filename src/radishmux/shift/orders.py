"""Orders to move a service to a new version, and their state."""

from __future__ import annotations

import enum

import msgspec


class RolloutState(enum.Enum):
    """State of an order, as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order.

    Attributes:
        service: Name of the service.
        version: Version that is to take over.
        duration_s: Time from the order by which it is to carry the load.
    """

    service: str
    version: str
    duration_s: float


class RolloutStatus(msgspec.Struct, frozen=True):
    """What the fleet has decided about an order.

    Attributes:
        version: Version of the order.
        state: State of the order.
    """

    version: str
    state: RolloutState
