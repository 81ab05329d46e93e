"""The platform's lagging list of instances."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from radishmux.outcome import Unavailable
from radishmux.registry import Registry


class InstanceState(enum.Enum):
    """What the platform says about an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One entry instance.

    Attributes:
        caller_address: Where callers send look-ups and requests.
        peer_address: Where peers send requests with bodies (HTTP).
        control_address: Where peers send control messages (thrift).
    """

    instance: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    control_address: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """Reads the platform's list."""

    async def read(
        self, timeout_s: float
    ) -> tuple[Instance, ...] | Unavailable:
        """Returns the instances that the platform names now."""


instance_list_drivers: Registry[str, type] = Registry("instance list driver")
