"""Records of the share of a customer's rate that a token holder has."""

from __future__ import annotations


class Holding:
    """What an instance holds of one customer's rate.

    Attributes:
        customer: Name of the customer.
        is_holder: Whether this instance is the assigned holder. False if it
            still holds tokens only because it was asked for them recently.
        fraction: Fraction of the customer's rate.
        tokens: Tokens in the bucket.
        demand_per_s: Requests per second that asked for tokens here.
        rival_demands_per_s: Requests per second at other holders of the
            region, by name.
        other_demands_per_s: Requests per second at the holders of other
            regions, by region and name; None for a region whose demand is
            unknown.
        granted: Tokens granted since the process started.
        refused: Requests that got no token since the process started.
    """

    __slots__ = (
        "customer",
        "demand_per_s",
        "fraction",
        "granted",
        "is_holder",
        "other_demands_per_s",
        "refused",
        "rival_demands_per_s",
        "tokens",
    )

    def __init__(
        self,
        customer: str,
        is_holder: bool,
        fraction: float,
        tokens: float,
        demand_per_s: float,
        rival_demands_per_s: dict[str, float],
        other_demands_per_s: dict[str, dict[str, float] | None],
        granted: int,
        refused: int,
    ) -> None:
        self.customer = customer
        self.is_holder = is_holder
        self.fraction = fraction
        self.tokens = tokens
        self.demand_per_s = demand_per_s
        self.rival_demands_per_s = rival_demands_per_s
        self.other_demands_per_s = other_demands_per_s
        self.granted = granted
        self.refused = refused


class MovedHolding:
    """A holding that moves from one token holder of a region to the next.

    Attributes:
        customer: Name of the customer.
        previous_holder: The holder that released it.
        tokens: Tokens that were left in the previous holder's bucket.
        demand_per_s: Requests per second that asked the previous holder for
            tokens.
        counted_per_s: Own demand with which the previous holder divided the
            rate; less than `demand_per_s` while demand grows.
    """

    __slots__ = (
        "counted_per_s",
        "customer",
        "demand_per_s",
        "previous_holder",
        "tokens",
    )

    def __init__(
        self,
        customer: str,
        previous_holder: str,
        tokens: float,
        demand_per_s: float,
        counted_per_s: float,
    ) -> None:
        self.customer = customer
        self.previous_holder = previous_holder
        self.tokens = tokens
        self.demand_per_s = demand_per_s
        self.counted_per_s = counted_per_s
