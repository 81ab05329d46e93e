"""Peer application: serves requests that other instances forward.

The peer address trusts the customer and route in internal headers, so that it
must be reachable by instances only.
"""

from __future__ import annotations

from sanic import HTTPResponse, Request, Sanic

from radishmux.clock import Clock
from radishmux.dispatch.exchange import (
    BackendResponse,
    CallerBodyError,
    Credential,
    Exchange,
    RequestBody,
)
from radishmux.http import headers as names
from radishmux.http.bodies import read_body, send_stream, to_http_response
from radishmux.http.forwarder import DISPATCHER, OWNER
from radishmux.http.headers import request_headers
from radishmux.http.refusals import may_have_run, not_run
from radishmux.http.request_flow import RequestFlow
from radishmux.http.server import (
    add_request_routes,
    new_app,
    refusal_response,
)
from radishmux.http.targets import split_target
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.traces import Tracer
from radishmux.verdict import Refusal, Verdict


class PeerApp:
    """Handlers of the peer address.

    Attributes:
        app: The sanic application.
    """

    def __init__(
        self,
        flow: RequestFlow,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._flow = flow
        self._clock = clock
        self._tracer = tracer
        self._in_flight = 0
        self.app: Sanic = new_app("peer", metrics)
        self.app.add_route(self._on_health, "/healthz", methods=["GET"])
        add_request_routes(self.app, self._on_request)

    @property
    def in_flight(self) -> int:
        """Number of forwarded requests in flight."""
        return self._in_flight

    async def _on_health(self, request: Request) -> HTTPResponse:
        return HTTPResponse(b"ok")

    async def _on_request(self, request: Request) -> HTTPResponse | None:
        exchange = self._create_exchange(request)
        if isinstance(exchange, Refusal):
            return refusal_response(exchange, internal=True)
        self._in_flight += 1
        try:
            with self._tracer.span("peer", exchange.traceparent) as span:
                exchange.traceparent = span.traceparent
                result = await self._handle(request, exchange)
            if isinstance(result, Refusal):
                return refusal_response(
                    result, exchange.attempts, internal=True
                )
            if result.stream is None:
                return to_http_response(result)
            await send_stream(request, result)
            return None
        finally:
            self._in_flight -= 1

    async def _handle(
        self, request: Request, exchange: Exchange
    ) -> BackendResponse | Refusal:
        headers = request.headers
        kind = headers.get(names.FORWARD)
        try:
            exchange.body = await read_body(request)
        except CallerBodyError as error:
            return may_have_run(error.reason, "The body is unusable.")
        if kind == OWNER:
            incarnation = int(headers.get(names.INCARNATION, "0"))
            return await self._flow.handle_as_owner(exchange, incarnation)
        if kind == DISPATCHER:
            return await self._flow.handle_as_dispatcher(exchange)
        return not_run("unknown_forward", "Unknown kind of forwarding.", 400)

    def _create_exchange(self, request: Request) -> Exchange | Refusal:
        target = split_target(request.raw_url.decode("ascii"))
        if target is None:
            return not_run("malformed_target", "Bad path.", 400)
        headers = request.headers
        route = self._flow.find_route(
            target.service, headers.get(names.ROUTE, "")
        )
        if route is None:
            # This instance and the sender have different configuration
            # versions.
            is_owner = headers.get(names.FORWARD) == OWNER
            refuse = may_have_run if is_owner else not_run
            return refuse("unknown_route", "No such route here.", 503)
        remaining_ms = headers.get(names.DEADLINE, "")
        if not remaining_ms.isdigit():
            return not_run("bad_deadline", "No remaining deadline.", 400)
        exchange = Exchange(
            target.service,
            route,
            request.method,
            target.rest,
            request_headers(headers.items()),
            RequestBody(),
            headers.get(names.CUSTOMER, ""),
            headers.get(names.REQUEST_ID, ""),
            headers.get(names.IDEMPOTENT) == "true",
            self._clock.now() + int(remaining_ms) / 1000.0,
            headers.get("traceparent", ""),
        )
        exchange.cell = headers.get(names.CELL, "")
        exchange.attempts = int(headers.get(names.ATTEMPTS, "0"))
        exchange.verdict = Verdict(
            headers.get(names.VERDICT, Verdict.NOT_RUN.value)
        )
        digest = headers.get(names.KEY_DIGEST)
        if digest is not None:
            version = int(headers.get(names.CONFIG_VERSION, "0"))
            exchange.credential = Credential(digest, version)
        return exchange
