"""What an instance says about itself in the store."""

from __future__ import annotations

import msgspec

# Processor time of a usual request: 60 s for 20,000 requests, measured on the
# grown deployments of the users. Bytes: the mean sizes that they state for
# their requests and responses, in and out.
REQUEST_CPU_S = 0.003
REQUEST_BYTES = 15_000


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One running instance.

    Attributes:
        instance: Its name.
        incarnation: Grows with each start.
        region: Region that it is in.
        failure_domain: Failure domain that it is in.
        caller_address: `ip:port` for callers.
        peer_address: `ip:port` for other instances.
        capacity: Requests per second that it can serve.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    capacity: float = 1.0


def capacity_per_s(cores: float, link_mbps: float) -> float:
    """Returns the requests per second that a machine can serve.

    Args:
        cores: Processor cores that the process may use.
        link_mbps: Bandwidth of the machine's link, in Mbit/s.
    """
    by_link = link_mbps * 1e6 / 8 / REQUEST_BYTES
    return min(cores / REQUEST_CPU_S, by_link)
