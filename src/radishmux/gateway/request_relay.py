"""Sends requests through peers while this instance reaches no server."""

from __future__ import annotations

import random
from collections import Counter

from loguru import logger

from radishmux.clock import Clock
from radishmux.dispatch.http_client import ServerConnectionPool
from radishmux.dispatch.response_memory import ResponseMemory
from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.gateway.request_state import RequestState
from radishmux.membership.helpers import candidate_helpers, least_loaded
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages, relay_codec
from radishmux.steer.placement import ROUND_TRIP_S
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Verdict

# Time limit for connecting to a helper; it covers a round trip between regions.
CONNECT_TIMEOUT_S = 0.3
# A helper that could not be reached, or reaches no server either, is not asked
# again for this long. Its next report tells.
HELPER_PAUSE_S = 1.0
# Helpers that one request is passed to if none of them sends it to a server.
MAX_HELPERS = 2
# Reason of a helper that reaches no server either.
NO_CONTACT = "no_contact"
_OK = 200
# Answers of a helper that has not read the whole request.
_NOT_READ_STATUSES = frozenset({400, 403, 408, 413, 431, 503})


class RequestRelay:
    """Passes requests to peers, each of which makes one attempt at a server.

    Retries, budgets, deadlines and the customers' tokens stay here. The helper
    keeps to the limits of servers, cold ones too, and to roll-outs.

    Args:
        own: Record of this instance.
        peers: The other instances.
        clock: Monotonic time.
        metrics: Counts the relayed requests.
    """

    def __init__(
        self, own: InstanceRecord, peers: Peers, clock: Clock, metrics: Metrics
    ) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._memory = ResponseMemory()
        self._rng = random.Random()
        self._connections: dict[str, ServerConnectionPool] = {}
        self._in_flight: Counter[str] = Counter()
        self._paused_until: dict[str, float] = {}

    def choose_helper(
        self, state: RequestState, now: float
    ) -> InstanceRecord | None:
        """Returns a peer that may send a request, or None if there is none.

        The request's body stays in its home regions.
        """
        if len(state.failed_helpers) >= MAX_HELPERS:
            return None
        peers = [
            peer
            for peer in self._peers.usable(now)
            if peer.instance not in state.failed_helpers
            and self._paused_until.get(peer.instance, 0.0) <= now
        ]
        self._rng.shuffle(peers)
        helpers = candidate_helpers(
            self._own, peers, self._peers.is_cut_off, state.regions
        )
        return least_loaded(helpers, self._in_flight)

    async def send(
        self, state: RequestState, helper: InstanceRecord, config_version: int
    ) -> tuple[ServerResponse | NoResponse, str]:
        """Passes a request to a helper, without retries.

        Args:
            state: The request.
            helper: The peer.
            config_version: Version of the configuration that admitted it.

        Returns:
            The outcome of the helper's attempt, and the server that it was made
            at; empty if it is not known.
        """
        self._in_flight[helper.instance] += 1
        try:
            outcome, server = await self._exchange(
                state, helper, config_version
            )
        finally:
            self._in_flight[helper.instance] -= 1
        is_response = isinstance(outcome, ServerResponse)
        self._metrics.count(
            "gateway_relays_total",
            outcome="response" if is_response else outcome.reason,
        )
        return outcome, server

    async def _exchange(
        self, state: RequestState, helper: InstanceRecord, config_version: int
    ) -> tuple[ServerResponse | NoResponse, str]:
        call = state.call
        if call.has_caller_left():
            return NotSent("caller_left"), ""
        is_near = helper.region == self._own.region
        one_way_s = ROUND_TRIP_S["region" if is_near else "remote"] / 2
        remaining_s = state.deadline - self._clock.now() - one_way_s
        request = messages.RelayRequest(
            method=call.method,
            target=call.target,
            headers=relay_codec.encode_headers(call.headers),
            body=bytes(call.body),
            config_version=config_version,
            service_name=state.service,
            tried=state.tried_servers,
            unavailable=list(state.unavailable_servers),
            remaining_ms=max(1, int(remaining_s * 1000)),
            is_counted=call.usage is not None and bool(call.usage.windows),
        )
        reply = await self._pool(helper).send(
            relay_codec.encode_request(
                self._own.instance, self._own.incarnation, request
            ),
            state.deadline,
            before_send=lambda: "caller_left" if call.has_caller_left() else "",
        )
        if isinstance(reply, NotSent):
            if reply.connection_failed:
                self._pause(helper)
            return NotSent(f"relay:{reply.reason}"), ""
        if isinstance(reply, NoResponse):
            if reply.connection_failed:
                self._pause(helper)
            return NoResponse(f"relay:{reply.reason}", reply.verdict), ""
        if reply.status in _NOT_READ_STATUSES:
            self._pause(helper)
            return NotSent(f"relay:status {reply.status}"), ""
        return self._read_reply(reply, helper)

    def _read_reply(
        self, reply: ServerResponse, helper: InstanceRecord
    ) -> tuple[ServerResponse | NoResponse, str]:
        message = None
        if reply.status == _OK:
            try:
                envelope = messages.decode(reply.body)
                message = messages.unwrap(envelope.body)
            except Exception as error:  # The codec raises many types.
                logger.warning("reply of {}: {!r}", helper.instance, error)
        if not isinstance(message, messages.RelayOutcome):
            return NoResponse("relay:unreadable", Verdict.MAY_HAVE_RUN), ""
        outcome = relay_codec.decode_outcome(message)
        if isinstance(outcome, NotSent) and outcome.reason == NO_CONTACT:
            self._pause(helper)
        return outcome, message.server or ""

    def _pause(self, helper: InstanceRecord) -> None:
        until = self._clock.now() + HELPER_PAUSE_S
        self._paused_until[helper.instance] = until

    def _pool(self, helper: InstanceRecord) -> ServerConnectionPool:
        address = helper.relay_address
        pool = self._connections.get(address)
        if pool is None:
            pool = self._connections[address] = ServerConnectionPool(
                address,
                self._clock,
                self._memory,
                CONNECT_TIMEOUT_S,
                use_tcp_keepalive=True,
                # The helper accepts requests from the address of a peer only.
                local_host=self._own.peer_address.rpartition(":")[0],
            )
        return pool

    def prune(self) -> None:
        """Closes idle connections that expire, and those to removed peers."""
        addresses = {
            record.relay_address for record in self._peers.records.values()
        }
        for address in self._connections.keys() - addresses:
            self._connections.pop(address).close()
        for pool in self._connections.values():
            pool.close_expired()

    async def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._connections.values():
            pool.close()
