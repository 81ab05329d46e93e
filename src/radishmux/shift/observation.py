"""What the request path tells the shift logic about one attempt."""

from __future__ import annotations

import msgspec


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt at a backend server.

    Attributes:
        service: Name of the service.
        version: Version of the backend server.
        route: Name of the route.
        failed: Whether the version answered wrongly: a status of 500 and
            above that is not a shed, or a broken or truncated response.
        latency_s: Seconds from sending to the backend server to the complete
            response; time in queues is not the version's doing.
        backend_server: Its name; keeps cold starts of servers apart.
        region: Region of the backend server; load is compared within one.
        warming: Whether the server was warming up.
        counted: False for attempts that say nothing about the version: those
            that did not run and those that left a crash mark.
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
        route: Route on which it shows; `*` means all together.
        reason: One sentence for people.
        requests: Requests of the version that were judged until then.
    """

    service: str
    version: str
    route: str
    kind: str
    reason: str
    requests: int = 0
