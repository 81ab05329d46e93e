"""HTTP handlers for the platform's directory and readiness requests."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable

import msgspec

from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.membership.record import InstanceRecord

RESOLVE_PATH = "/api/resolve"
READY_PATH = "/api/readiness"
_JSON = [("Content-Type", "application/json")]

Lookup = Callable[[str, str], tuple[list[InstanceRecord], float]]


class DirectoryHandler:
    """Tells callers which instances they can use.

    Args:
        lookup: Returns the instances for a caller's region and failure domain,
            and the time in seconds for which the answer is valid.
    """

    def __init__(self, lookup: Lookup) -> None:
        self._lookup = lookup

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one request for instance addresses.

        The status is 503 if there is no instance to use.
        """
        parts = urllib.parse.urlsplit(request.target)
        if parts.path != RESOLVE_PATH:
            return Response(404, [])
        query = dict(urllib.parse.parse_qsl(parts.query))
        # The platform calls a failure domain a zone.
        instances, ttl_s = self._lookup(
            query.get("Region", ""), query.get("Zone", "")
        )
        if not instances:
            return Response(503, [("Retry-After", "0.5")])
        body = msgspec.json.encode(
            {
                "Addresses": [
                    instance.caller_address for instance in instances
                ],
                "TtlS": ttl_s,
            }
        )
        return Response(200, _JSON, body)


class ReadyHandler:
    """Answers the platform's readiness checks.

    Args:
        is_ready: Returns whether callers may use this instance.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one check: 200 if the instance is ready, 503 if not."""
        if request.target.partition("?")[0] != READY_PATH:
            return Response(404, [])
        return Response(200 if self._is_ready() else 503, [])
