"""Refuses requests before their bodies are received."""

from __future__ import annotations

from radishmux.clock import Clock
from radishmux.gateway.call import Dialect
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.refusals import REFUSALS
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.membership.peers import Peers
from radishmux.outcome import Unavailable


class HeadCheck:
    """Refuses requests of callers that have no route or no valid key.

    The request flow would refuse them too, but after their bodies have been
    received.

    Args:
        fleet: The routes.
        dialect: Translates the headers of callers.
        clock: Monotonic time.
        log: Records each request that is refused.
    """

    def __init__(
        self,
        fleet: FleetState,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._dialect = dialect
        self._clock = clock
        self._log = log

    def refuse(self, request: IncomingRequest) -> Response | None:
        """Returns the refusal of a request, or None if it may be received.

        Args:
            request: The request without its body.
        """
        call = self._dialect.read_call(request)
        if isinstance(call, Unavailable):
            refusal = REFUSALS.refusal("malformed", call.reason)
            self._log.record_refusal(None, None, refusal, self._clock.now())
            return self._dialect.encode_refusal(None, refusal)
        routes = self._fleet.routes
        if routes is None:
            return None
        route = routes.find(call.host, call.path)
        if route is None:
            reason = "no_route"
        elif (
            route.open_to_all
            or not routes.configuration.requires_keys
            or routes.customer_of(call.key or "") is not None
        ):
            return None
        else:
            reason = "unknown_key"
        refusal = REFUSALS.refusal(reason)
        self._log.record_refusal(call, None, refusal, self._clock.now())
        return self._dialect.encode_refusal(call, refusal)


class PeerCheck:
    """Refuses requests that do not come from the address of an instance.

    Args:
        peers: The other instances.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def refuse(self, request: IncomingRequest) -> Response | None:
        """Returns the refusal of a request, or None if it may be received."""
        for record in self._peers.records.values():
            if record.peer_address.rpartition(":")[0] == request.remote_host:
                return None
        return Response(403, [], closes=True)
