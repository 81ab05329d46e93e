"""Interface to the platform's list of instances, which may lag behind."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from radishmux.outcome import Unavailable
from radishmux.registry import Registry


class InstanceState(enum.Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One entry instance.

    Attributes:
        instance: Name of the instance.
        region: Name of its region.
        failure_domain: Name of its failure domain.
        caller_address: Where callers send look-ups and requests (HTTP).
        peer_address: Where peers send requests with bodies (HTTP).
        control_address: Where peers send control messages (thrift).
        state: State according to the platform.
    """

    instance: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    control_address: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """Driver that reads the platform's list of instances."""

    async def read(
        self, timeout_s: float
    ) -> tuple[Instance, ...] | Unavailable:
        """Returns the instances that the platform lists now."""


instance_list_drivers: Registry[str, type] = Registry("instance list driver")
