"""Lookup answers: which instances a caller should use."""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash

from radishmux.config.model import Configuration
from radishmux.instances.interface import Instance, InstanceState
from radishmux.outcome import NotFound
from radishmux.steer.selector import ConfigSource, SelectorTable

# Callers keep an answer for this long, so a leaving instance serves for as
# long after it was last named.
ANSWER_TTL_S = 10
# Instances that share a customer's callers in a region. A second one carries
# on when the first dies; more would spread the customer's tokens thinner.
SPREAD = 2
# Instances named in one answer. The rest are for callers whose region fails.
MAX_NAMED = 4
# Membership is compared at most this often: reading the view for each lookup
# would cost more than the lookup.
MEMBERSHIP_PERIOD_S = 0.05
MAX_KEPT_ANSWERS = 100_000


class TicketSource(Protocol):
    """Issues tickets (`once.tickets.TicketIssuer`)."""

    def issue(self, now: float) -> str:
        """Returns a new ticket of this instance."""


class Membership(Protocol):
    """Live instances (`membership.view.MembershipView`)."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances, of one region or of all."""

    def is_leaving(self, instance: str) -> bool:
        """Returns whether the instance is shutting down."""


class NamedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An instance in an answer.

    Attributes:
        address: Where callers send requests, `ip:port`.
        region: Region of the instance.
    """

    address: str
    region: str


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /v1/lookup`.

    Attributes:
        instances: Instances to use, first one first; empty when no allowed
            region has a live instance.
        ticket: Prefix for the ids of non-idempotent requests.
        ttl_s: Seconds for which the caller may keep the answer.
    """

    instances: tuple[NamedInstance, ...]
    ticket: str
    ttl_s: int = ANSWER_TTL_S


class _Kept:
    """Orders computed for one key, used in turn."""

    __slots__ = ("orders", "bodies", "turn")

    def __init__(self, orders: tuple[tuple[NamedInstance, ...], ...]) -> None:
        self.orders = orders
        self.bodies = tuple(_body_start(order) for order in orders)
        self.turn = 0

    def next_turn(self) -> int:
        self.turn = (self.turn + 1) % len(self.orders)
        return self.turn


def _body_start(order: tuple[NamedInstance, ...]) -> bytes:
    """Returns the encoded answer up to the value of its ticket."""
    encoded = msgspec.json.encode({"instances": order, "ttl_s": ANSWER_TTL_S})
    return encoded[:-1] + b',"ticket":"'


class Lookup:
    """Answers lookups from orders kept per customer, service and region.

    A customer's callers are steered to the `SPREAD` instances of their region
    with the highest rendezvous scores for the customer, in turn. Instances of
    other allowed regions follow for when those fail. An order is computed once
    per change of membership or configuration.
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
        self._kept: dict[tuple[str | None, str, str], _Kept] = {}
        self._live: tuple[Instance, ...] = ()
        self._by_region: dict[str, list[Instance]] = {}
        self._checked_at_s = float("-inf")
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._services = {service.name for service in configuration.services}
        self._latency_s = {
            (region.name, link.to_region): link.latency_ms
            for region in configuration.regions
            for link in region.links
        }
        self._kept = {}

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
            region: Region of the caller; None: that of this instance.
            now: Monotonic seconds.
        """
        kept = self._find(customer, service, region, now)
        if isinstance(kept, NotFound):
            return kept
        order = kept.orders[kept.next_turn()]
        return LookupAnswer(instances=order, ticket=self._tickets.issue(now))

    def answer_body(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> bytes | NotFound:
        """Returns the same answer as JSON, mostly encoded in advance.

        The ticket must contain no character that JSON escapes.
        """
        kept = self._find(customer, service, region, now)
        if isinstance(kept, NotFound):
            return kept
        start = kept.bodies[kept.next_turn()]
        return start + self._tickets.issue(now).encode("ascii") + b'"}'

    def on_membership(self, now: float) -> None:
        """Reads the live instances and drops the orders if they changed."""
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
        self._kept = {}

    def _find(
        self,
        customer: str | None,
        service: str,
        region: str | None,
        now: float,
    ) -> _Kept | NotFound:
        if now - self._checked_at_s >= MEMBERSHIP_PERIOD_S:
            self.on_membership(now)
        key = (customer, service, region or self._region)
        kept = self._kept.get(key)
        if kept is not None:
            return kept
        if service not in self._services:
            return NotFound(f"unknown service {service!r}")
        if len(self._kept) >= MAX_KEPT_ANSWERS:
            self._kept.clear()
        kept = _Kept(self._orders(*key))
        self._kept[key] = kept
        return kept

    def _orders(
        self, customer: str | None, service: str, region: str
    ) -> tuple[tuple[NamedInstance, ...], ...]:
        ranked: list[list[Instance]] = []
        for name in self._regions(customer, service, region):
            instances = self._by_region.get(name)
            if instances:
                ranked.append(_by_score(instances, customer or ""))
        if not ranked:
            return ((),)
        first = ranked[0][:SPREAD]
        rest = [i for instances in ranked[1:] for i in instances[:1]]
        rest += ranked[0][SPREAD:]
        orders = []
        for turn in range(len(first)):
            order = first[turn:] + first[:turn] + rest
            orders.append(tuple(_named(i) for i in order[:MAX_NAMED]))
        return tuple(orders)

    def _regions(
        self, customer: str | None, service: str, region: str
    ) -> list[str]:
        """Returns the allowed regions, nearest to the caller first."""
        allowed = self._selectors.allowed_regions(customer, service, region)
        return sorted(allowed, key=lambda name: self._distance(region, name))

    def _distance(self, region: str, other: str) -> float:
        if region == other:
            return 0.0
        return self._latency_s.get((region, other), float("inf"))


def _by_score(instances: list[Instance], customer: str) -> list[Instance]:
    """Orders instances by rendezvous score, so that few customers move."""
    return sorted(
        instances,
        key=lambda i: xxhash.xxh64_intdigest(
            f"{customer}/{i.instance}".encode()
        ),
        reverse=True,
    )


def _named(instance: Instance) -> NamedInstance:
    return NamedInstance(
        address=instance.caller_address, region=instance.region
    )
