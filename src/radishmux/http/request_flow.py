"""Processes a request: key check, rate limit, ledger, region and cell.

This module uses no types of HTTP libraries, so that it can be tested without
sockets.
"""

from __future__ import annotations

import asyncio

from radishmux.clock import Clock
from radishmux.config.model import Route, Service
from radishmux.dispatch.cells import Cell, CellMap
from radishmux.dispatch.exchange import (
    BackendResponse,
    Credential,
    Exchange,
    combine_verdicts,
)
from radishmux.http.caller_request import (
    CallerRequest,
    is_idempotent,
    parse_deadline,
)
from radishmux.http.protocols import (
    CellDispatcher,
    ConfigState,
    Forwarder,
    KeyCheck,
    Members,
    Regions,
    Selectors,
    Shares,
)
from radishmux.http.refusals import (
    TicketRefusal,
    may_have_run,
    not_run,
    with_verdict,
)
from radishmux.http.targets import RouteTable, split_target
from radishmux.instances.interface import Instance
from radishmux.keys.check import key_digest
from radishmux.once.at_most_once import AtMostOnce
from radishmux.once.ledger import RequestLedger, malformed_request_id
from radishmux.once.tickets import TicketIssuer, split_request_id
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal, Verdict

MAX_NEXT_INSTANCES = 3
# Longest time to wait for a cell's new dispatcher. The takeover delay is 2 s.
HANDOVER_S = 2.5
_HANDOVER_POLL_S = 0.05
_HANDOVER_REASONS = frozenset(("not_dispatcher", "dispatcher_unreachable"))

Result = BackendResponse | Refusal


class RequestFlow:
    """Admits, routes and forwards the requests of callers and peers."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        region: str,
        clock: Clock,
        config: ConfigState,
        keys: KeyCheck,
        shares: Shares,
        tickets: TicketIssuer,
        ledger: RequestLedger,
        selectors: Selectors,
        regions: Regions,
        cells: CellMap,
        dispatcher: CellDispatcher,
        forwarder: Forwarder,
        members: Members,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._region = region
        self._clock = clock
        self._config = config
        self._keys = keys
        self._shares = shares
        self._tickets = tickets
        self._ledger = ledger
        self._selectors = selectors
        self._regions = regions
        self._cells = cells
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._members = members
        self._routes = RouteTable(config.current)
        self._at_most_once = AtMostOnce(
            ledger, self._send_to_regions, clock, metrics
        )
        config.watch(self._routes.load)

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def in_flight_count(self) -> int:
        """Number of non-idempotent requests in flight."""
        return self._at_most_once.in_flight_count

    async def handle(self, request: CallerRequest) -> Result:
        """Returns the response or refusal for a caller's request."""
        exchange = self._create_exchange(request)
        if isinstance(exchange, Refusal):
            return self.adjust_early_refusal(request, exchange)
        result = await self._admit(exchange)
        request.attempts = exchange.attempts
        return result

    def adjust_early_refusal(
        self, request: CallerRequest, refusal: Refusal
    ) -> Refusal:
        """Adjusts a refusal that was made before the ledger was consulted.

        An earlier attempt with the same request id may have run, in which case
        the verdict must be "may have run".
        """
        request_id = request.request_id
        if not request_id:
            return refusal
        return self._adjust_verdict(refusal, request_id)

    def _create_exchange(self, request: CallerRequest) -> Exchange | Refusal:
        target = split_target(request.target)
        if target is None:
            return not_run("malformed_target", "Bad path.", 400)
        service = self._routes.service(target.service)
        if service is None:
            return not_run("unknown_service", "No such service.", 404)
        request.service = service.name
        route = self._routes.route(target, request.method)
        if route is None:
            return not_run("unknown_route", "No such route.", 404)
        request.route = route.name
        request_id = request.request_id or ""
        if request_id and split_request_id(request_id) is None:
            return malformed_request_id()
        deadline = parse_deadline(
            request.deadline_ms, service, request.received_at
        )
        if isinstance(deadline, Refusal):
            return deadline
        customer = self._keys.check(request.key, route, self._clock.now())
        if isinstance(customer, Refusal):
            return customer
        if customer is not None:
            request.customer = customer.name
        exchange = Exchange(
            service.name,
            route,
            request.method,
            target.rest,
            request.headers,
            request.body,
            request.customer,
            request_id,
            is_idempotent(route, request.idempotent),
            deadline,
            request.traceparent,
        )
        if customer is not None and request.key is not None:
            version = self._config.current.version
            digest = key_digest(request.key)
            exchange.credential = Credential(digest, version)
        return exchange

    async def handle_as_owner(
        self, exchange: Exchange, incarnation: int
    ) -> Result:
        """Handles a request forwarded to the owner of its ticket.

        Args:
            exchange: The forwarded request.
            incarnation: Incarnation of this instance that issued the ticket.
        """
        if incarnation != self._incarnation:
            return _owner_gone()
        return await self._run_at_most_once(exchange)

    async def handle_as_dispatcher(self, exchange: Exchange) -> Result:
        """Handles a request forwarded to the dispatcher of its cell."""
        return await self._dispatcher.dispatch(exchange)

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the current configuration, or None."""
        return self._routes.service(name)

    def find_route(self, service: str, route: str) -> Route | None:
        """Returns a route of the current configuration, or None."""
        return self._routes.route_by_name(service, route)

    async def _admit(self, exchange: Exchange) -> Result:
        if exchange.idempotent:
            refusal = await self._take_rate_token(exchange)
            if refusal is not None:
                return refusal
            return await self._send_to_regions(exchange)
        if not exchange.request_id:
            leaving = self.refusal_while_leaving()
            if leaving is not None:
                return leaving
            return TicketRefusal(
                verdict=Verdict.NOT_RUN,
                reason="request_id_required",
                message="Send this request with an id <ticket>/<suffix>.",
                status=428,
                ticket=self._tickets.issue(self._clock.now()),
            )
        ticket, _ = exchange.request_id.split("/", 1)
        owner = self._tickets.owner_of(ticket)
        if owner is None:
            return malformed_request_id()
        if self._tickets.is_this_incarnation(owner):
            return await self._run_at_most_once(exchange)
        instance = self._find_owner(owner.instance)
        if instance is None:
            return _owner_gone()
        return await self._forwarder.to_owner(
            exchange, instance, owner.incarnation
        )

    def refusal_while_leaving(self) -> Refusal | None:
        """Returns a refusal if this instance is leaving, otherwise None.

        Used where a caller would get a new ticket. Callers keep a ticket as
        long as a lookup answer. A ticket from a leaving instance would outlive
        the instance, and its requests would be refused as "may have run".
        """
        if not self._members.is_leaving(self._instance):
            return None
        others = [
            instance.caller_address
            for instance in self._members.live()
            if not self._members.is_leaving(instance.instance)
        ]
        return not_run(
            "leaving",
            "This instance is about to stop; ask another one.",
            retry_after_s=0.0,
            next_instances=tuple(others[:MAX_NEXT_INSTANCES]),
        )

    def _find_owner(self, name: str) -> Instance | None:
        if name == self._instance:
            return None  # An earlier incarnation issued the ticket.
        for instance in self._members.live():
            if instance.instance == name:
                return instance
        return None

    async def _take_rate_token(self, exchange: Exchange) -> Refusal | None:
        if not exchange.customer:
            return None
        wait_s = exchange.deadline - self._clock.now()
        return await self._shares.admit(exchange.customer, wait_s)

    def _adjust_verdict(self, refusal: Refusal, request_id: str) -> Refusal:
        # An earlier attempt with the same id may have run unless the ledger
        # of this instance proves that it did not.
        if self._ledger.cannot_have_run(request_id, self._clock.now()):
            return refusal
        return with_verdict(refusal, Verdict.MAY_HAVE_RUN)

    async def _run_at_most_once(self, exchange: Exchange) -> Result:
        refusal = await self._take_rate_token(exchange)
        if refusal is not None:
            return self._adjust_verdict(refusal, exchange.request_id)
        return await self._at_most_once.run(exchange)

    async def _send_to_regions(self, exchange: Exchange) -> Result:
        now = self._clock.now()
        allowed = self._selectors.allowed_regions(
            exchange.customer or None, exchange.service, self._region
        )
        refusal: Refusal | None = None
        for region in self._regions.order(allowed, exchange.service, now):
            cell = self._choose_cell(exchange.service, region)
            if cell is None:
                continue
            exchange.region = region
            exchange.cell = cell.name
            if region != self._region:
                self._regions.record_sent(exchange.service, region, now)
            result = await self._send_to_cell(exchange, cell)
            if result is None:
                continue
            if isinstance(result, BackendResponse):
                return result
            refusal = result
            if not self._may_retry(exchange):
                break
        if refusal is None:
            refusal = not_run(
                "no_region",
                "No allowed region can serve the request now.",
                retry_after_s=1.0,
            )
        return with_verdict(refusal, exchange.verdict)

    async def _send_to_cell(
        self, exchange: Exchange, cell: Cell
    ) -> Result | None:
        """Sends the request to the dispatcher of a cell.

        Retries for up to HANDOVER_S while the cell changes its dispatcher.

        Returns:
            None when the cell has no dispatcher.
        """
        give_up_at = self._clock.now() + HANDOVER_S
        while True:
            dispatcher = self._cells.dispatcher(cell)
            if dispatcher is None:
                return None
            if dispatcher.instance == self._instance:
                result = await self._dispatcher.dispatch(exchange)
            else:
                result = await self._forwarder.to_dispatcher(
                    exchange, dispatcher
                )
            if isinstance(result, BackendResponse):
                return result
            exchange.verdict = combine_verdicts(
                exchange.verdict, result.verdict
            )
            if result.reason not in _HANDOVER_REASONS:
                return result
            now = self._clock.now()
            if now >= give_up_at or not self._may_retry(exchange):
                return result
            await asyncio.sleep(_HANDOVER_POLL_S)
            self._cells.clear_dispatchers()

    def _may_retry(self, exchange: Exchange) -> bool:
        if not exchange.idempotent and not exchange.verdict.retriable:
            return False
        if not exchange.body.can_be_sent:
            return False
        return self._clock.now() < exchange.deadline

    def _choose_cell(self, service: str, region: str) -> Cell | None:
        cells = self._cells.cells(service, region)
        if len(cells) == 1:
            return cells[0]
        if not cells:
            return None
        return max(cells, key=self._free_slots)

    def _free_slots(self, cell: Cell) -> int:
        load = self._members.cell_load(cell.name)
        if load is None:
            return 0
        return load.slots - load.in_use - load.queued


def _owner_gone() -> Refusal:
    return may_have_run(
        "ticket_owner_gone",
        "The instance that issued the ticket is gone.",
        409,
    )
