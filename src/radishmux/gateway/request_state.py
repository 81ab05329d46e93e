"""State of one request while the gateway serves it."""

from __future__ import annotations

from radishmux.config.routing import CustomerPolicy, HostRoute
from radishmux.dispatch.request_digest import request_digest
from radishmux.dispatch.server_response import ServerResponse
from radishmux.gateway.call import Call
from radishmux.shift.rollout import ANY_VERSION
from radishmux.steer.placement import Choice
from radishmux.steer.waiting_room import Waiter

# The regions of a request whose route and customer have no home region in
# common. No region has this name; an empty set would allow all regions.
NO_REGION = frozenset({"nowhere"})


class RequestState:
    """State of one request while the gateway serves it; has no logic.

    Attributes:
        call: The request.
        route: Its route.
        customer: Its customer; None if the request needs no key.
        service: Service that was chosen among the route's destinations.
        priority: Its priority class, the customer's before the route's; 0 is
            the most urgent.
        rule: Versions that the latest choice of a server allowed.
        regions: Regions that may serve it; empty means all.
        deadline: Monotonic time until which an answer is useful.
        digest: The same for equal requests of the customer, whichever service
            is chosen for them.
        service_digest: The same for equal requests of the customer to the
            service; older builds know requests by it.
        tried_servers: Names of the servers that it was sent to, in order. An
            attempt through a helper stands there until its server is known.
        unavailable_servers: Names of the servers that must not get it now.
        failed_helpers: Names of the peers that sent it to no server.
        relayed_via: Names of the peers that it was passed to, in order.
        broken_servers: Names of the servers whose connection broke before a
            response began.
        choices: The placement of each attempt, with what was expected of it.
        ended_attempts: Number of attempts that have ended.
        unused_retries: Retries that the budget allowed and that were not sent.
        is_withheld: Whether it must not run, since it crashes servers.
        is_released: Whether there was room when it stopped waiting.
        waiter: Its place in the waiting room; None if it does not wait.
        waits_until: Monotonic time until which it may wait for room; None if
            it has not waited.
        may_have_run: Whether a server may have run it.
        last_response: Latest response of a server that ran it, or None.
        refused_for: Why it was refused for lack of room; empty if it was not.
        failure_reason: Why the latest attempt failed; empty if none did.
    """

    __slots__ = (
        "broken_servers",
        "call",
        "choices",
        "customer",
        "deadline",
        "digest",
        "ended_attempts",
        "failed_helpers",
        "failure_reason",
        "is_released",
        "is_withheld",
        "last_response",
        "may_have_run",
        "priority",
        "refused_for",
        "regions",
        "relayed_via",
        "route",
        "rule",
        "service",
        "service_digest",
        "tried_servers",
        "unavailable_servers",
        "unused_retries",
        "waiter",
        "waits_until",
    )

    def __init__(
        self,
        call: Call,
        route: HostRoute,
        customer: CustomerPolicy | None,
        service: str,
        deadline: float,
    ) -> None:
        self.call = call
        self.route = route
        self.customer = customer
        self.service = service
        self.rule = ANY_VERSION
        self.priority = route.priority
        if customer is not None and customer.priority is not None:
            self.priority = customer.priority
        self.regions = route.home_regions
        if customer is not None and customer.home_regions:
            homes = customer.home_regions
            both = homes & self.regions if self.regions else homes
            self.regions = both or NO_REGION
        self.deadline = deadline
        self.digest, self.service_digest = (
            request_digest(
                customer.name if customer else "",
                chosen,
                call.method,
                call.host + call.target,
                call.body,
                len(call.body),
            )
            for chosen in ("", service)
        )
        self.broken_servers: list[str] = []
        self.tried_servers: list[str] = []
        self.unavailable_servers: set[str] = set()
        self.failed_helpers: set[str] = set()
        self.relayed_via: list[str] = []
        self.choices: list[Choice] = []
        self.ended_attempts = 0
        self.unused_retries = 0
        self.is_withheld = False
        self.is_released = False
        self.waiter: Waiter | None = None
        self.waits_until: float | None = None
        self.may_have_run = False
        self.last_response: ServerResponse | None = None
        self.refused_for = ""
        self.failure_reason = ""
