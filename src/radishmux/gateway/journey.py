"""What is known of one request on its way."""

from __future__ import annotations

from radishmux.config.routing import CustomerPolicy, HostRoute
from radishmux.dispatch.server_response import ServerResponse
from radishmux.gateway.call import Call
from radishmux.steer.placement import Choice

# No region: a route and a customer whose homes have none in common. An empty
# set would mean all regions.
NOWHERE = frozenset({"nowhere"})


class Journey:
    """What is known of one request on its way; data only.

    Attributes:
        call: The request.
        route: Its route.
        customer: Its customer; None on open routes.
        service: Service that the split chose.
        regions: Regions that may serve it; empty means all.
        deadline: Monotonic time until which an answer is useful.
        attempts: Servers that it was sent to.
        choices: What was expected of them.
        ended: Attempts that have ended.
        may_have_run: Whether an attempt may have run.
        last: The latest response of a server that ran it, or None.
        reason: Why the latest attempt failed.
    """

    __slots__ = (
        "attempts",
        "call",
        "choices",
        "customer",
        "deadline",
        "ended",
        "last",
        "may_have_run",
        "reason",
        "regions",
        "route",
        "service",
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
        self.regions = route.home_regions
        if customer is not None and customer.home_regions:
            homes = customer.home_regions
            both = homes & self.regions if self.regions else homes
            self.regions = both or NOWHERE
        self.deadline = deadline
        self.attempts: list[str] = []
        self.choices: list[Choice] = []
        self.ended = 0
        self.may_have_run = False
        self.last: ServerResponse | None = None
        self.reason = ""
