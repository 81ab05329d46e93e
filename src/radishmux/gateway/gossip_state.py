"""What instances tell each other in their reports.

A member tells its hubs about itself. A hub tells its members what it knows of
all instances, and other hubs what it knows of its own region. All parts are
keyed and dated, so that news that come on several ways count once.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from radishmux.clock import Clock
from radishmux.gateway._report_parts import (
    MILLISECONDS,
    decode_feed,
    decode_introduction,
    encode_feed,
    encode_introduction,
    is_demand,
    is_introduction,
    to_ms,
)
from radishmux.gateway.rollouts import Rollouts
from radishmux.membership.peers import MemberStatus, Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.share.division import DemandReport
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holder_demands import HolderDemand, HolderDemands
from radishmux.share.holding import MovedHolding
from radishmux.shift.evidence import Evidence, Tallies, Tally
from radishmux.store.mirror import StoreMirror

_REGION = "region:"


class Audience(enum.Enum):
    """Whom a report is for."""

    HUB = "a hub of the own region, from a member or another hub"
    MEMBER = "a member of the own region, from its hub"
    REGION = "a hub of another region"


class GossipState:
    """Writes and reads the reports of one instance.

    Args:
        own: Its record.
        peers: Takes who was heard.
        rates: Take the demands of other regions.
        rollouts: Take and give the outcomes of versions.
        mirror: Gives and takes changes of the store.
        is_leaving: Whether callers should go elsewhere.
        clock: Monotonic time.
    """

    def __init__(
        self,
        own: InstanceRecord,
        peers: Peers,
        rates: FleetRates,
        rollouts: Rollouts,
        mirror: StoreMirror,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._peers = peers
        self._rates = rates
        self._rollouts = rollouts
        self._mirror = mirror
        self._is_leaving = is_leaving
        self._clock = clock
        self._demands = HolderDemands()
        self._held: frozenset[str] = frozenset()
        self._regions: set[str] = set()
        self._is_settled = False
        self._max_age_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether callers should go elsewhere."""
        return self._is_leaving()

    @property
    def is_settled(self) -> bool:
        """Whether a peer that knows all instances has told what it knows."""
        return self._is_settled

    def settle(self) -> None:
        """Takes that this instance has run for long enough to know all."""
        self._is_settled = True

    def set_hub(self, is_hub: bool) -> None:
        """Sets whether changes of the store are passed on from here."""
        self._mirror.set_hub(is_hub)

    def end_feed(self, reason: str) -> None:
        """Takes that the hub gave no changes of the store."""
        self._mirror.end_feed(reason)

    def measure(self, regions: set[str], max_age_s: float, now: float) -> None:
        """Measures the demand here and divides the rates anew.

        Args:
            regions: The other regions.
            max_age_s: Age up to which their demand counts.
            now: Monotonic seconds.
        """
        own = self._rates.measure_demand(now)
        self._held = frozenset(own.demands)
        region, holder = self._own.region, self._own.instance
        for customer, demands in own.demands.items():
            self._demands.update(
                HolderDemand(region, holder, customer, demands[holder], now)
            )
        self._regions = regions
        self._max_age_s = max_age_s
        self._divide(now)

    def take_over(self, holdings: Iterable[MovedHolding], now: float) -> None:
        """Takes holdings that peers of the region have released.

        Others hear of the new holder and of the end of the former one in the
        same report.
        """
        region = self._own.region
        for moved in holdings:
            self._rates.take_over(moved, now)
            customer = moved.customer
            self._demands.update(
                HolderDemand(
                    region, moved.previous_holder, customer, 0.0, now, True
                )
            )
            rate_per_s = self._rates.demand_per_s(customer, now)
            self._demands.update(
                HolderDemand(
                    region, self._own.instance, customer, rate_per_s, now
                )
            )
        self._divide(now)

    def holdings_of_silent(
        self, holder: str, customers: Iterable[str], now: float
    ) -> list[MovedHolding]:
        """Returns what is known of the holdings of a peer that is dead or cut.

        Its demand goes on elsewhere; its tokens are lost, or it has them still.
        """
        found = []
        for customer in customers:
            known = self._demands.get(self._own.region, customer, holder)
            if known is None or known.is_over:
                continue
            if now - known.measured_at <= self._max_age_s:
                rate_per_s = known.rate_per_s
                found.append(
                    MovedHolding(customer, holder, 0.0, rate_per_s, rate_per_s)
                )
        return found

    def write(
        self,
        audience: Audience,
        max_age_s: float,
        asked: Any = None,
        wants_feed: bool = False,
        introduces: bool = False,
    ) -> Any:
        """Returns a report.

        Args:
            audience: Whom it is for.
            max_age_s: Age up to which demands are told.
            asked: The report that it answers, if it is an answer.
            wants_feed: Whether changes of the store are wanted in return.
            introduces: Whether the peer may not know this instance or others.
        """
        now = self._clock.now()
        report = messages.FleetReport(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            leaving=self._is_leaving(),
            demands=[
                messages.CustomerDemand(
                    customer=one.customer,
                    rate_per_s=one.rate_per_s,
                    region=one.region,
                    holder=one.holder,
                    age_ms=to_ms(now - one.measured_at),
                    is_over=one.is_over,
                )
                for one in self._told_demands(audience, max_age_s, asked, now)
            ],
            tallies=self._tallies(audience, asked),
            rollouts=self._views(now),
            members=self._members(audience, now),
            vouches=audience is Audience.MEMBER,
            is_settled=self._is_settled,
        )
        if asked is not None:
            report.asks_who = not self._peers.knows(asked.instance)
        if introduces or (asked is not None and not asked.is_settled):
            report.introductions = self._introductions(now)
        if wants_feed:
            report.feed_after = self._mirror.revision
        if asked is not None and asked.feed_after >= 0:
            feed = self._mirror.feed_after(asked.feed_after, now)
            report.feed = None if feed is None else encode_feed(feed)
        return report

    def read(self, report: Any, pace: float) -> bool:
        """Takes a report.

        Args:
            report: A peer's report.
            pace: How many times longer than usual it is until the next one.

        Returns:
            False: it is of an unknown peer or of an old process.
        """
        now = self._clock.now()
        name = report.instance
        for one in report.introductions or ():
            if is_introduction(one):
                self._peers.apply_introduction(decode_introduction(one), now)
        if not self._peers.record_report(
            name, report.incarnation, report.leaving, now
        ):
            return False
        self._is_settled |= report.is_settled
        if report.vouches:
            news = [
                MemberStatus(
                    one.instance, one.incarnation, one.leaving, one.silent
                )
                for one in report.members or ()
            ]
            self._peers.apply_hub_report(self._own.region, news, now)
        for one in report.demands or ():
            if not is_demand(one):
                logger.warning("demand of {} not used: {}", name, one)
                continue
            measured_at = now - one.age_ms / MILLISECONDS
            self._demands.update(
                HolderDemand(
                    one.region,
                    one.holder,
                    one.customer,
                    one.rate_per_s,
                    measured_at,
                    one.is_over,
                )
            )
        if report.demands:
            self._divide(now)
        self._read_rollouts(report, now)
        if report.feed is not None:
            self._mirror.apply_feed(decode_feed(report.feed), now, pace)
        return True

    def _divide(self, now: float) -> None:
        """Divides the rates by what is known of the other holders."""
        rivals = self._demands.region_report(
            self._own.region, self._max_age_s, now, self._own.instance
        )
        self._rates.update_rival_demand(rivals or DemandReport({}), now)
        for region in self._regions:
            report = self._demands.region_report(region, self._max_age_s, now)
            self._rates.update_region_demand(region, report, now)

    def _told_demands(
        self, audience: Audience, max_age_s: float, asked: Any, now: float
    ) -> list[HolderDemand]:
        region = self._own.region
        match audience:
            case Audience.MEMBER:
                # A member divides the rates of the customers that it holds.
                held = frozenset(one.customer for one in asked.demands or ())
                told = self._demands.recent(max_age_s, now, customers=held)
                return [one for one in told if one.holder != asked.instance]
            case Audience.REGION:
                return self._demands.recent(max_age_s, now, (region,))
            case Audience.HUB:
                return self._demands.recent(
                    max_age_s, now, (region,), self._held
                )

    def _introductions(self, now: float) -> list[Any]:
        """Returns this instance and, if it knows all, the peers it hears.

        In a fleet with hubs the peers of the own region do: others are not
        heard here one by one.
        """
        told = [self._own]
        if self._is_settled:
            told += self._peers.heard_records(now)
        return [encode_introduction(one) for one in told]

    def _members(self, audience: Audience, now: float) -> list[Any]:
        if audience is not Audience.MEMBER:
            return []
        return [
            messages.MemberState(
                instance=one.instance,
                incarnation=one.incarnation,
                leaving=one.is_leaving,
                silent=one.is_silent,
            )
            for one in self._peers.unavailable_members(self._own.region, now)
        ]

    def _views(self, now: float) -> list[Any]:
        return [
            messages.RolloutView(
                service_name=service,
                version=rollout.order.version,
                elapsed_s=rollout.elapsed_s(now),
                fault=rollout.fault or "",
            )
            for service, rollout in self._rollouts.active.items()
        ]

    def _tallies(self, audience: Audience, asked: Any) -> list[Any]:
        """Returns the outcomes of versions that the audience lacks."""
        told = []
        for service, rollout in self._rollouts.active.items():
            evidence = rollout.evidence
            own_region = _REGION + self._own.region
            if audience is Audience.HUB:
                sources = {self._own.instance: evidence.own}
            elif audience is Audience.REGION:
                sources = {
                    own_region: evidence.merged_tallies(self._is_instance)
                }
            else:
                asker = asked.instance
                others = evidence.merged_tallies(
                    lambda one, asker=asker: (
                        self._is_instance(one) and one != asker
                    )
                )
                sources = {own_region: others} | evidence.tallies_by_source(
                    lambda one: not self._is_instance(one)
                )
            told += [
                messages.VersionTally(
                    service_name=service,
                    version=version,
                    route=route,
                    requests=tally.requests,
                    failures=tally.failures,
                    slow=tally.slow,
                    source=source,
                )
                for source, tallies in sources.items()
                for (version, route), tally in tallies.items()
            ]
        return told

    @staticmethod
    def _is_instance(source: str) -> bool:
        return not source.startswith(_REGION)

    def _read_rollouts(self, report: Any, now: float) -> None:
        by_service: dict[str, dict[str, Tallies]] = {}
        for one in report.tallies or ():
            sources = by_service.setdefault(one.service_name, {})
            tallies = sources.setdefault(one.source, {})
            tallies[(one.version, one.route)] = Tally(
                one.requests, one.failures, one.slow
            )
        for view in report.rollouts or ():
            rollout = self._rollouts.active.get(view.service_name)
            if rollout is None or rollout.order.version != view.version:
                continue
            rollout.merge_elapsed(view.elapsed_s, now)
            sources = by_service.get(view.service_name, {})
            for source, tallies in sources.items():
                self._take_tallies(rollout.evidence, source, tallies)
            if view.fault:
                rollout.report_fault(view.fault)

    def _take_tallies(
        self, evidence: Evidence, source: str, tallies: Tallies
    ) -> None:
        """Takes outcomes; those of the own region come in one way only.

        A hub has them from each member, a member has their sum from its hub.
        """
        own_region = _REGION + self._own.region
        if source == own_region:
            evidence.remove_sources(self._is_instance)
        elif self._is_instance(source):
            evidence.remove_sources(lambda one: one == own_region)
        evidence.set_tallies(source, tallies)
