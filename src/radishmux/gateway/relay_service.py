"""Sends requests to servers for peers that reach none."""

from __future__ import annotations

import asyncio
from typing import Any

from loguru import logger

from radishmux.clock import Clock
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.gateway.call import Call, Dialect
from radishmux.gateway.crash_guard import CRASHES
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.guarded_sender import GuardedSender
from radishmux.gateway.request_relay import NO_CONTACT
from radishmux.gateway.request_state import RequestState
from radishmux.gateway.sender import Attempt
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.http.incoming import IncomingRequest
from radishmux.http.response import Response
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.outcome import Unavailable
from radishmux.peer import messages, relay_codec
from radishmux.steer.host_routes import HostRoutes
from radishmux.steer.server_contact import ServerContact

# Longest wait for a version of the configuration that a peer already has.
MAX_VERSION_WAIT_S = 0.2
_VERSION_POLL_S = 0.02
# Servers that one relayed request is tried at until one of them gets it.
MAX_SERVERS = 3


class RelayService:
    """Makes one attempt at a server for each request of a peer.

    It never passes a request on to another instance.

    Args:
        own: Record of this instance.
        peers: The instances whose requests are accepted.
        fleet: Routes and servers.
        contact: Whether this instance reaches servers itself.
        chooser: Chooses the server.
        sender: Sends requests to servers.
        dialect: Translates the headers of callers.
        clock: Monotonic time.
        log: Records each request.
    """

    def __init__(
        self,
        own: InstanceRecord,
        peers: Peers,
        fleet: FleetState,
        contact: ServerContact,
        chooser: ServerChooser,
        sender: GuardedSender,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._peers = peers
        self._fleet = fleet
        self._contact = contact
        self._chooser = chooser
        self._sender = sender
        self._dialect = dialect
        self._clock = clock
        self._log = log

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers the HTTP request that carries a RelayRequest.

        The HTTP server cancels this coroutine when the peer disconnects.
        """
        try:
            envelope = messages.decode(request.body)
            message = messages.unwrap(envelope.body)
        except Exception as error:  # The codec raises many types.
            logger.warning(
                "request of {} not relayed: {!r}", request.remote_host, error
            )
            return Response(400, [], closes=True)
        if not isinstance(message, messages.RelayRequest):
            return Response(400, [], closes=True)
        if not self._is_peer(envelope, request.remote_host):
            logger.warning(
                "request not relayed: {} at {} is no peer",
                envelope.sender,
                request.remote_host,
            )
            return Response(403, [], closes=True)
        outcome, server = await self._serve(message, request, envelope.sender)
        body = relay_codec.encode_message(
            self._own.instance,
            self._own.incarnation,
            relay_codec.encode_outcome(outcome, server),
        )
        return Response(200, [], body)

    def _is_peer(self, envelope: Any, remote_host: str) -> bool:
        """Whether the sender is a known instance at its own address."""
        record = self._peers.records.get(envelope.sender)
        return (
            record is not None
            and record.incarnation == envelope.sender_incarnation
            and record.peer_address.rpartition(":")[0] == remote_host
        )

    async def _serve(
        self, message: Any, request: IncomingRequest, sender: str
    ) -> tuple[ServerResponse | NoResponse, str]:
        if self._contact.is_lost:
            return NotSent(NO_CONTACT), ""
        routes = await self._routes_of_version(message.config_version or 0)
        if routes is None:
            return NotSent("older_configuration"), ""
        call = self._dialect.read_call(
            IncomingRequest(
                message.method or "",
                message.target or "",
                relay_codec.decode_headers(message.headers),
                message.body or b"",
                request.received_at,
                request.has_caller_left,
            )
        )
        if isinstance(call, Unavailable):
            return NotSent(call.reason), ""
        call.is_counted_elsewhere = bool(message.is_counted)
        state = self._admit(call, routes, message)
        if state is None:
            return NotSent("not_allowed"), ""
        try:
            outcome, server = await self._attempt(state)
        except asyncio.CancelledError:
            self._log.record_relayed(
                state, sender, "cancelled", self._clock.now()
            )
            raise
        is_response = isinstance(outcome, ServerResponse)
        result = f"{outcome.status}" if is_response else outcome.reason
        self._log.record_relayed(state, sender, result, self._clock.now())
        return outcome, server

    async def _routes_of_version(self, version: int) -> HostRoutes | None:
        """Returns the routes once they are at least as new as the peer's.

        An older configuration might run the request where a newer one, which
        the caller has already seen in force, does not allow it.
        """
        give_up_at = self._clock.now() + MAX_VERSION_WAIT_S
        while True:
            routes = self._fleet.routes
            if routes is not None and routes.configuration.version >= version:
                return routes
            if self._clock.now() >= give_up_at:
                return None
            await asyncio.sleep(_VERSION_POLL_S)

    def _admit(
        self, call: Call, routes: HostRoutes, message: Any
    ) -> RequestState | None:
        """Returns the state of a request that this configuration allows.

        The peer has taken the token of the customer's rate limit.
        """
        route = routes.find(call.host, call.path)
        if route is None or route.withheld:
            return None
        customer = None
        if not route.open_to_all and routes.configuration.requires_keys:
            customer = routes.customer_of(call.key or "")
            if customer is None or customer.withheld:
                return None
        services = {one.service for one in route.destinations}
        if message.service_name not in services:
            return None
        remaining_s = (message.remaining_ms or 0) / 1000
        state = RequestState(
            call,
            route,
            customer,
            message.service_name,
            call.received_at + remaining_s,
        )
        state.tried_servers.extend(message.tried or ())
        state.unavailable_servers.update(message.unavailable or ())
        return state

    async def _attempt(
        self, state: RequestState
    ) -> tuple[ServerResponse | NoResponse, str]:
        """Sends a request to the first of some servers that takes it."""
        outcome: ServerResponse | NoResponse = NotSent("no_server")
        server = ""
        for _ in range(MAX_SERVERS):
            now = self._clock.now()
            choice = self._chooser.choose(state, now)
            if choice is None:
                break
            server = choice.server.name
            if now + choice.expected_s >= state.deadline:
                return NotSent("no_room"), server
            state.choices.append(choice)
            outcome = await self._sender.send(
                Attempt(
                    call=state.call,
                    route=state.route,
                    customer=state.customer.name if state.customer else "",
                    choice=choice,
                    deadline=state.deadline,
                    digest=state.digest,
                    service_digest=state.service_digest,
                )
            )
            if not isinstance(outcome, NotSent):
                if (
                    isinstance(outcome, NoResponse)
                    and outcome.connection_failed
                ):
                    state.broken_servers.append(server)
                break
            if self._contact.is_lost or outcome.reason == CRASHES:
                break
            state.unavailable_servers.add(server)
        return outcome, server
