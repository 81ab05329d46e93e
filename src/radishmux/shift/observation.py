"""Outcomes of attempts, and faults found in them."""

from __future__ import annotations

import msgspec


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt at a backend server.

    Attributes:
        service: Name of the service.
        version: Version of the backend server.
        route: Name of the route.
        failed: Whether the version failed: it sent a status of 500 or above
            other than a load-shedding response, or a broken or truncated
            response.
        latency_s: Seconds from sending the request to the backend server
            until the response was complete. Time in queues is left out, since
            the version does not cause it.
        backend_server: Name of the backend server, to recognise its first
            requests, which are slower.
        region: Region of the backend server. Versions are compared within one
            region, because load differs between regions.
        warming: Whether the backend server was warming up.
        counted: False for attempts that do not show how good the version is:
            attempts that did not run and attempts that left a crash mark.
    """

    service: str
    version: str
    route: str
    failed: bool
    latency_s: float
    backend_server: str = ""
    region: str = ""
    warming: bool = False
    counted: bool = True


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault found in a version.

    Attributes:
        kind: `errors` or `latency`.
        route: Route on which the fault was found; `*` means all routes taken
            together.
        reason: One sentence for people.
        requests: Number of requests of the version that were judged before
            the fault was found.
    """

    service: str
    version: str
    route: str
    kind: str
    reason: str
    requests: int = 0
