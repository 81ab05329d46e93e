"""What an instance says about itself in the store."""

from __future__ import annotations

import msgspec


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One running instance.

    Attributes:
        instance: Its name.
        incarnation: Grows with each start.
        region: Region that it is in.
        failure_domain: Failure domain that it is in.
        caller_address: `ip:port` for callers.
        peer_address: `ip:port` for other instances.
        capacity: Processor cores that it may use, as a fraction.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    capacity: float = 1.0
