"""Answers lookups with the instances that a caller should use."""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash

from radishmux.config.model import Configuration
from radishmux.instances.interface import Instance, InstanceState
from radishmux.outcome import NotFound
from radishmux.steer.selector import ConfigSource, SelectorTable

# Callers may cache an answer for this long, so a leaving instance keeps serving
# for this long after the last answer that contained it.
ANSWER_TTL_S = 10
# Instances of a region that share a customer's callers. The second instance
# takes over if the first one dies. With more instances, each would hold fewer
# of the customer's rate limit tokens.
INSTANCES_PER_CUSTOMER = 2
# The instances after the first ones are for callers whose region fails.
MAX_INSTANCES_IN_ANSWER = 4
# Minimum interval between checks for membership changes: reading the membership
# view for each lookup would cost more than the lookup itself.
MEMBERSHIP_PERIOD_S = 0.05
MAX_CACHED_ORDERS = 100_000


class TicketSource(Protocol):
    """Issues tickets (`once.tickets.TicketIssuer`)."""

    def issue(self, now: float) -> str:
        """Returns a new ticket issued by this instance."""


class Membership(Protocol):
    """Live instances (`membership.view.MembershipView`)."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances, of one region or of all."""

    def is_leaving(self, instance: str) -> bool:
        """Returns whether the instance is shutting down."""


class NamedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An instance in a lookup answer.

    Attributes:
        address: Where callers send requests, `ip:port`.
        region: Region of the instance.
    """

    address: str
    region: str


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /v1/lookup`.

    Attributes:
        instances: Instances in order of preference; empty if no allowed
            region has a live instance.
        ticket: Prefix for the ids of non-idempotent requests.
        ttl_s: Seconds for which the caller may cache the answer.
    """

    instances: tuple[NamedInstance, ...]
    ticket: str
    ttl_s: int = ANSWER_TTL_S


class _CachedOrders:
    """Orders of instances for one cache key, used in rotation."""

    __slots__ = ("orders", "body_prefixes", "turn")

    def __init__(self, orders: tuple[tuple[NamedInstance, ...], ...]) -> None:
        self.orders = orders
        self.body_prefixes = tuple(
            _encode_without_ticket(order) for order in orders
        )
        self.turn = 0

    def advance_turn(self) -> int:
        """Returns the index of the order for the next answer."""
        self.turn = (self.turn + 1) % len(self.orders)
        return self.turn


def _encode_without_ticket(order: tuple[NamedInstance, ...]) -> bytes:
    """Returns the JSON answer up to the start of the ticket value."""
    encoded = msgspec.json.encode({"instances": order, "ttl_s": ANSWER_TTL_S})
    return encoded[:-1] + b',"ticket":"'


class Lookup:
    """Answers lookups from orders cached per customer, service and region.

    A customer's callers are distributed in rotation over the
    `INSTANCES_PER_CUSTOMER` instances of their region with the highest
    rendezvous scores for the customer. Instances of other allowed regions
    follow as fallbacks. The cached orders are valid until the membership or the
    configuration changes.
    """

    def __init__(
        self,
        region: str,
        config: ConfigSource,
        selectors: SelectorTable,
        membership: Membership,
        tickets: TicketSource,
    ) -> None:
        self._region = region
        self._selectors = selectors
        self._membership = membership
        self._tickets = tickets
        self._cache: dict[tuple[str | None, str, str], _CachedOrders] = {}
        self._live: tuple[Instance, ...] = ()
        self._by_region: dict[str, list[Instance]] = {}
        self._checked_at_s = float("-inf")
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies a new configuration and clears the cached orders."""
        self._services = {service.name for service in configuration.services}
        self._latency_s = {
            (region.name, link.to_region): link.latency_ms
            for region in configuration.regions
            for link in region.links
        }
        self._cache = {}

    def answer(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> LookupAnswer | NotFound:
        """Returns the instances that a customer's caller should use.

        Args:
            customer: Name of the customer; None on a public route.
            service: Name of the service.
            region: Region of the caller; None means this instance's region.
            now: Monotonic seconds.
        """
        cached = self._find_orders(customer, service, region, now)
        if isinstance(cached, NotFound):
            return cached
        order = cached.orders[cached.advance_turn()]
        return LookupAnswer(instances=order, ticket=self._tickets.issue(now))

    def answer_body(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> bytes | NotFound:
        """Returns the answer as JSON, from parts encoded in advance.

        Tickets must not contain characters that need escaping in JSON.
        """
        cached = self._find_orders(customer, service, region, now)
        if isinstance(cached, NotFound):
            return cached
        start = cached.body_prefixes[cached.advance_turn()]
        return start + self._tickets.issue(now).encode("ascii") + b'"}'

    def on_membership(self, now: float) -> None:
        """Refreshes the live instances; clears cached orders on a change."""
        self._checked_at_s = now
        live = tuple(
            instance
            for instance in self._membership.live()
            if instance.state is InstanceState.LIVE
            and not self._membership.is_leaving(instance.instance)
        )
        if live == self._live:
            return
        self._live = live
        self._by_region = {}
        for instance in live:
            self._by_region.setdefault(instance.region, []).append(instance)
        self._cache = {}

    def _find_orders(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> _CachedOrders | NotFound:
        if now - self._checked_at_s >= MEMBERSHIP_PERIOD_S:
            self.on_membership(now)
        key = (customer, service, region or self._region)
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        if service not in self._services:
            return NotFound(f"unknown service {service!r}")
        if len(self._cache) >= MAX_CACHED_ORDERS:
            self._cache.clear()
        cached = _CachedOrders(self._compute_orders(*key))
        self._cache[key] = cached
        return cached

    def _compute_orders(
        self, customer: str | None, service: str, region: str
    ) -> tuple[tuple[NamedInstance, ...], ...]:
        ranked: list[list[Instance]] = []
        for name in self._regions(customer, service, region):
            instances = self._by_region.get(name)
            if instances:
                ranked.append(_sort_by_score(instances, customer or ""))
        if not ranked:
            return ((),)
        first = ranked[0][:INSTANCES_PER_CUSTOMER]
        rest = [
            instance for instances in ranked[1:] for instance in instances[:1]
        ]
        rest += ranked[0][INSTANCES_PER_CUSTOMER:]
        orders = []
        for turn in range(len(first)):
            order = first[turn:] + first[:turn] + rest
            orders.append(
                tuple(
                    _to_named_instance(instance)
                    for instance in order[:MAX_INSTANCES_IN_ANSWER]
                )
            )
        return tuple(orders)

    def _regions(
        self, customer: str | None, service: str, region: str
    ) -> list[str]:
        """Returns the allowed regions, lowest latency to the caller first."""
        allowed = self._selectors.allowed_regions(customer, service, region)
        return sorted(allowed, key=lambda name: self._distance(region, name))

    def _distance(self, region: str, other: str) -> float:
        if region == other:
            return 0.0
        return self._latency_s.get((region, other), float("inf"))


def _sort_by_score(instances: list[Instance], customer: str) -> list[Instance]:
    """Sorts instances by rendezvous score.

    A change of membership then moves few customers to other instances.
    """
    return sorted(
        instances,
        key=lambda instance: xxhash.xxh64_intdigest(
            f"{customer}/{instance.instance}".encode()
        ),
        reverse=True,
    )


def _to_named_instance(instance: Instance) -> NamedInstance:
    return NamedInstance(
        address=instance.caller_address, region=instance.region
    )
