"""The directory and the readiness check, as the platform asks them."""

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
    """Answers callers that ask which instance to use.

    Args:
        lookup: Returns instances and the time for which the answer counts,
            for a caller's region and failure domain.
    """

    def __init__(self, lookup: Lookup) -> None:
        self._lookup = lookup

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one question."""
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
                "Addresses": [one.caller_address for one in instances],
                "TtlS": ttl_s,
            }
        )
        return Response(200, _JSON, body)


class ReadyHandler:
    """Answers the platform's readiness checks.

    Args:
        is_ready: Whether callers may use this instance.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one check."""
        if request.target.partition("?")[0] != READY_PATH:
            return Response(404, [])
        return Response(200 if self._is_ready() else 503, [])
