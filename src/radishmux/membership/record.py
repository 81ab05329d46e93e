"""The record that an instance registers in the store."""

from __future__ import annotations

import msgspec

# CPU time of an average request: 60 s for 20,000 requests on large user
# deployments.
REQUEST_CPU_S = 0.003
# Mean request and response sizes that these users state, inbound plus outbound.
REQUEST_BYTES = 15_000


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One running instance.

    Attributes:
        instance: Name of the instance.
        incarnation: Number of the process, which grows with each start.
        region: Region of the instance.
        failure_domain: Failure domain of the instance.
        caller_address: `ip:port` for callers.
        peer_address: `ip:port` for other instances.
        capacity: Requests per second that the instance can serve.
        relay_address: `ip:port` for requests that other instances relay; empty
            if it accepts none.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    capacity: float = 1.0
    relay_address: str = ""


def capacity_per_s(cores: float, link_mbps: float) -> float:
    """Returns the requests per second that a machine can serve.

    Args:
        cores: CPU cores that the process may use.
        link_mbps: Bandwidth of the machine's link, in Mbit/s.
    """
    by_link = link_mbps * 1e6 / 8 / REQUEST_BYTES
    return min(cores / REQUEST_CPU_S, by_link)
