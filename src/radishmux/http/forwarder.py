"""Forwards requests to other instances over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.attempt import Failure, ReceivedResponse, Sender
from radishmux.dispatch.connections import Connections, is_responsive
from radishmux.dispatch.exchange import BackendResponse, Exchange, Headers
from radishmux.dispatch.silence import ConnectionWatchdog
from radishmux.http import headers as names
from radishmux.http.headers import response_headers
from radishmux.http.refusals import decode, may_have_run, not_run
from radishmux.instances.interface import Instance
from radishmux.tasks import repeat
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal, Verdict

# The dispatcher ends a request at its deadline. Its response needs this much
# longer to arrive.
_RESPONSE_GRACE_S = 0.1
_CHECK_PERIOD_S = 0.1

# Values of the header x-radishmux-forward.
OWNER = "owner"
DISPATCHER = "dispatcher"


class PeerForwarder:
    """Forwards requests to the peer addresses of other instances.

    An async context manager. While it is entered, it probes silent connections
    and aborts their requests if the instance responds to the probe.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._watchdog = ConnectionWatchdog()
        self._sender = Sender(clock, self._watchdog)
        self._connections_by_address: dict[str, Connections] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> PeerForwarder:
        self._start(
            repeat(self._check_connections, _CHECK_PERIOD_S, "peer forwarder")
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        for connections in self._connections_by_address.values():
            await connections.close()

    async def to_owner(
        self, exchange: Exchange, instance: Instance, incarnation: int
    ) -> BackendResponse | Refusal:
        """Forwards a request to the instance that issued its ticket.

        Only the ledger of that instance shows that a request did not run, so
        that every failure is reported as "may have run".
        """
        extra = [(names.FORWARD, OWNER), (names.INCARNATION, str(incarnation))]
        result = await self._forward(exchange, instance, extra)
        if not isinstance(result, Failure):
            return result
        return may_have_run(
            "ticket_owner_unreachable",
            f"The instance that issued the ticket failed: {result.reason}.",
        )

    async def to_dispatcher(
        self, exchange: Exchange, instance: Instance
    ) -> BackendResponse | Refusal:
        """Forwards a request to the dispatcher of its cell."""
        extra = [(names.FORWARD, DISPATCHER), (names.CELL, exchange.cell)]
        result = await self._forward(exchange, instance, extra)
        if not isinstance(result, Failure):
            return result
        if result.verdict is Verdict.NOT_RUN:
            return not_run(
                "dispatcher_unreachable",
                f"The dispatcher failed: {result.reason}.",
                retry_after_s=1.0,
            )
        # The dispatcher may have made an attempt, which counts.
        exchange.attempts += 1
        return may_have_run(
            "dispatcher_lost", f"The dispatcher failed: {result.reason}."
        )

    async def _forward(
        self, exchange: Exchange, instance: Instance, extra: Headers
    ) -> BackendResponse | Refusal | Failure:
        address = instance.peer_address
        connections = self._connections_by_address.get(address)
        if connections is None:
            connections = self._connections_by_address[address] = Connections(
                address
            )
        remaining_s = exchange.deadline - self._clock.now()
        received = await self._sender.send(
            connections,
            lambda: self._clock.now() < exchange.deadline,
            exchange.method,
            f"/{exchange.service}{exchange.target}",
            [
                *exchange.headers,
                *_internal_headers(exchange, remaining_s),
                *extra,
            ],
            exchange.body,
            exchange.deadline + _RESPONSE_GRACE_S,
        )
        target = extra[0][1]
        if isinstance(received, Failure):
            self._metrics.count(
                "forwards_total", target=target, outcome=received.reason
            )
            return received
        self._metrics.count("forwards_total", target=target, outcome="done")
        return _parse_response(exchange, received)

    async def _check_connections(self) -> None:
        for connections in self._watchdog.connections_to_probe(
            self._clock.now()
        ):
            self._start(self._probe(connections))
        for connections in list(self._connections_by_address.values()):
            await connections.close_retired_sessions()

    async def _probe(self, connections: Connections) -> None:
        if not await is_responsive(connections.address, "/healthz"):
            return
        silent = self._watchdog.on_probe_succeeded(
            connections, self._clock.now()
        )
        for call in silent:
            self._metrics.count("silent_connections_total")
            call.abort()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _internal_headers(exchange: Exchange, remaining_s: float) -> Headers:
    headers = [
        (names.CUSTOMER, exchange.customer),
        (names.ROUTE, exchange.route.name),
        (names.DEADLINE, str(max(1, int(remaining_s * 1000)))),
        (names.IDEMPOTENT, "true" if exchange.idempotent else "false"),
        (names.ATTEMPTS, str(exchange.attempts)),
        (names.VERDICT, exchange.verdict.value),
    ]
    credential = exchange.credential
    if credential is not None:
        headers.append((names.KEY_DIGEST, credential.digest))
        version = str(credential.config_version)
        headers.append((names.CONFIG_VERSION, version))
    if exchange.request_id:
        headers.append((names.REQUEST_ID, exchange.request_id))
    if exchange.traceparent:
        headers.append(("traceparent", exchange.traceparent))
    return headers


def _parse_response(
    exchange: Exchange, received: ReceivedResponse
) -> BackendResponse | Refusal | Failure:
    headers = received.headers
    attempts = headers.get(names.ATTEMPTS, "")
    if attempts.isdigit():
        exchange.attempts = int(attempts)
    if names.REFUSED in headers and received.body is not None:
        try:
            return decode(received.body, received.status)
        except msgspec.DecodeError:
            return Failure(Verdict.MAY_HAVE_RUN, "malformed_refusal")
    if names.VERDICT not in headers:
        return Failure(Verdict.MAY_HAVE_RUN, "not_an_instance")
    return BackendResponse(
        received.status,
        response_headers(headers.items()),
        received.body,
        received.stream,
        received.length,
        headers.get(names.SERVED_BY, ""),
        exchange.attempts,
        Verdict(headers[names.VERDICT]),
    )
