"""Caller application: serves lookups and forwards requests."""

from __future__ import annotations

from typing import Any, Protocol

from sanic import HTTPResponse, Request, Sanic

from radishmux.clock import Clock
from radishmux.dispatch.exchange import CallerBodyError, RequestBody
from radishmux.http import headers as names
from radishmux.http.bodies import read_body, send_stream, to_http_response
from radishmux.http.caller_request import CallerRequest
from radishmux.http.headers import request_headers
from radishmux.http.lookup_query import LookupQueryCache, lookup_route
from radishmux.http.protocols import KeyCheck
from radishmux.http.refusals import not_run
from radishmux.http.request_flow import RequestFlow
from radishmux.http.server import (
    add_request_routes,
    new_app,
    refusal_response,
)
from radishmux.telemetry.metrics import Metrics, Series
from radishmux.telemetry.traces import Tracer
from radishmux.verdict import Refusal

# Reasons of refusals that are caused by an invalid request. They are counted in
# invalid_requests_total.
_INVALID_REQUEST_REASONS = frozenset(
    (
        "bad_deadline",
        "body_too_large",
        "body_too_slow",
        "malformed_body",
        "malformed_request_id",
        "malformed_target",
        "unknown_route",
        "unknown_service",
    )
)


class Lookup(Protocol):
    """Interface of `steer.lookup.Lookup`."""

    def answer_body(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> Any:
        """Returns the answer as JSON bytes, or a `NotFound`."""


class Blocks(Protocol):
    """Interface of `steer.blocks.BlockTable`."""

    def region_of(self, address: str) -> str | None:
        """Returns the region of a caller's IP address, or None."""


class CallerApp:
    """Handlers of the caller address.

    Attributes:
        app: The sanic application.
    """

    def __init__(
        self,
        flow: RequestFlow,
        lookup: Lookup,
        blocks: Blocks,
        keys: KeyCheck,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._flow = flow
        self._lookup = lookup
        self._blocks = blocks
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._in_flight = 0
        self._query_cache = LookupQueryCache()
        self._outcomes: dict[tuple[str, ...], Series] = {}
        self._durations: dict[tuple[str, str], Series] = {}
        self._lookups = metrics.series("lookups_total", outcome="served")
        self._lookup_seconds = metrics.series("lookup_seconds")
        self.app: Sanic = new_app("caller", metrics)
        self.app.add_route(self._on_lookup, "/v1/lookup", methods=["GET"])
        add_request_routes(self.app, self._on_request)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight, without lookups."""
        return self._in_flight

    async def _on_lookup(self, request: Request) -> HTTPResponse:
        started = self._clock.now()
        result = self._look_up(request, started)
        if isinstance(result, Refusal):
            self._metrics.count("lookups_total", outcome=result.reason)
            return refusal_response(result)
        self._lookups.add()
        self._lookup_seconds.observe(self._clock.now() - started)
        return HTTPResponse(result, content_type="application/json")

    def _look_up(self, request: Request, now: float) -> bytes | Refusal:
        leaving = self._flow.refusal_while_leaving()
        if leaving is not None:
            return leaving
        query = self._query_cache.parse(request.raw_url)
        name = query.service
        service = self._flow.find_service(name)
        if service is None:
            return not_run("unknown_service", "No such service.", 404)
        key = request.headers.get(names.KEY)
        route = lookup_route(service, key)
        customer = self._keys.check(key, route, now)
        if isinstance(customer, Refusal):
            return customer
        region = query.region
        if region is None and query.address is not None:
            region = self._blocks.region_of(query.address)
        body = self._lookup.answer_body(
            None if customer is None else customer.name, name, region, now
        )
        if isinstance(body, bytes):
            return body
        return not_run("unknown_service", body.reason, 404)

    async def _on_request(self, request: Request) -> HTTPResponse | None:
        started = self._clock.now()
        self._in_flight += 1
        try:
            parent = request.headers.get("traceparent")
            with self._tracer.span("request", parent) as span:
                call = _caller_request(request, span.traceparent, started)
                try:
                    call.body = await read_body(request)
                    result = await self._flow.handle(call)
                except CallerBodyError as error:
                    refusal = not_run(
                        error.reason, "The body is unusable.", error.status
                    )
                    result = self._flow.adjust_early_refusal(call, refusal)
                span.set("service", call.service)
                span.set("outcome", _outcome(result))
                return await self._respond(request, call, result, started)
        finally:
            self._in_flight -= 1

    async def _respond(
        self,
        request: Request,
        call: CallerRequest,
        result: Any,
        started: float,
    ) -> HTTPResponse | None:
        if isinstance(result, Refusal):
            self._count(call, result.reason)
            self._metrics.count("verdicts_total", verdict=result.verdict.value)
            if result.reason in _INVALID_REQUEST_REASONS:
                self._metrics.count(
                    "invalid_requests_total", reason=result.reason
                )
            return refusal_response(result, call.attempts)
        response = None
        if result.stream is None:
            response = to_http_response(result)
        else:
            await send_stream(request, result)
        self._count(call, "served")
        key = (call.service, call.route)
        series = self._durations.get(key)
        if series is None:
            series = self._durations[key] = self._metrics.series(
                "request_seconds", service=key[0], route=key[1]
            )
        series.observe(self._clock.now() - started)
        return response

    def _count(self, call: CallerRequest, outcome: str) -> None:
        key = (call.customer, call.service, call.route, outcome)
        series = self._outcomes.get(key)
        if series is None:
            series = self._outcomes[key] = self._metrics.series(
                "requests_total",
                customer=call.customer,
                service=call.service,
                route=call.route,
                outcome=outcome,
            )
        series.add()


def _outcome(result: Any) -> str:
    return result.reason if isinstance(result, Refusal) else "served"


def _caller_request(
    request: Request, traceparent: str, received_at: float
) -> CallerRequest:
    headers = request.headers
    return CallerRequest(
        request.method,
        request.raw_url.decode("ascii"),
        request_headers(headers.items()),
        RequestBody(),
        headers.get(names.KEY),
        headers.get(names.REQUEST_ID),
        headers.get(names.DEADLINE),
        headers.get(names.IDEMPOTENT),
        traceparent,
        received_at,
    )
