"""Builds the reports that instances exchange and merges received ones.

A member reports its own state to its hubs. A hub reports the state of all
instances to its members, and the state of its own region to other hubs. Each
entry of a report has a key and, where values change, an age, so that an entry
that arrives on several paths counts once.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from radishmux.clock import Clock
from radishmux.gateway._report_codec import (
    MILLISECONDS,
    decode_feed,
    decode_introduction,
    encode_feed,
    encode_introduction,
    is_valid_demand,
    is_valid_introduction,
    to_ms,
)
from radishmux.gateway.crash_guard import CrashGuard
from radishmux.gateway.load_exchange import LoadExchange
from radishmux.gateway.rollouts import Rollouts
from radishmux.membership.peers import MemberStatus, Peers
from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.share.division import DemandReport
from radishmux.share.fleet_rate import FleetRates
from radishmux.share.holder_demands import HolderDemand, HolderDemands
from radishmux.share.holding import MovedHolding
from radishmux.shift.evidence import Evidence, Tallies, Tally
from radishmux.shift.verdicts import VersionVerdict
from radishmux.store.mirror import StoreMirror

# Prefix of a tally's source that stands for all instances of a region.
_REGION = "region:"


class Audience(enum.Enum):
    """Receivers of a report, which decide on its contents."""

    HUB = "a hub of the own region, from a member or another hub"
    MEMBER = "a member of the own region, from its hub"
    REGION = "a hub of another region"


class GossipState:
    """State that one instance shares with its peers through reports.

    Builds the instance's reports, and applies the reports of its peers to the
    components that they concern.

    Args:
        own: Record of this instance.
        peers: Updated with the liveness of instances.
        rates: Measures the demand here; divides the rates by the demand at
            the other token holders.
        rollouts: Rollouts whose outcomes and faults are exchanged.
        mirror: Source and receiver of the store changes that hubs pass on.
        is_leaving: Returns whether callers should use other instances.
        clock: Monotonic time.
        is_cut_off: Returns whether this instance reaches no backend server.
        crash_guard: Knows the requests that crash servers.
        loads: Shares the loads of servers; None: they are not shared.
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
        is_cut_off: Callable[[], bool],
        crash_guard: CrashGuard,
        loads: LoadExchange | None = None,
    ) -> None:
        self._crash_guard = crash_guard
        self._loads = loads
        self._is_cut_off = is_cut_off
        self._own = own
        self._peers = peers
        self._rates = rates
        self._rollouts = rollouts
        self._mirror = mirror
        self._is_leaving = is_leaving
        self._clock = clock
        self._demands = HolderDemands()
        # Customers whose tokens this instance holds.
        self._held_customers: frozenset[str] = frozenset()
        self._other_regions: set[str] = set()
        self._is_settled = False
        self._max_demand_age_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether callers should use other instances."""
        return self._is_leaving()

    @property
    def is_settled(self) -> bool:
        """Whether this instance knows all instances.

        It does once it has run for long enough or has received a report from
        an instance that does.
        """
        return self._is_settled

    def mark_settled(self) -> None:
        """Records that this instance has run long enough to know all others."""
        self._is_settled = True

    def set_hub(self, is_hub: bool) -> None:
        """Sets whether members receive store changes from this instance."""
        self._mirror.set_hub(is_hub)

    def set_exchange(
        self, is_hub: bool, has_hubs: bool, period_s: float
    ) -> None:
        """Sets the part of this instance in the sharing of servers' loads.

        Args:
            is_hub: Whether members get the loads from this instance.
            has_hubs: Whether the fleet is larger than a full mesh.
            period_s: Time between two reports.
        """
        if self._loads is not None:
            self._loads.set_role(is_hub, has_hubs, period_s)

    def end_feed(self, reason: str) -> None:
        """Ends the feed of store changes because the hub sent none."""
        self._mirror.end_feed(reason)

    def measure_demand(
        self, regions: set[str], max_age_s: float, now: float
    ) -> None:
        """Measures the demand at this instance and divides the rates again.

        Args:
            regions: The other regions.
            max_age_s: Maximum age of reported demand that counts, in seconds.
            now: Monotonic seconds.
        """
        own = self._rates.measure_demand(now)
        self._held_customers = frozenset(own.demands)
        region, holder = self._own.region, self._own.instance
        for customer, demands in own.demands.items():
            self._demands.update(
                HolderDemand(region, holder, customer, demands[holder], now)
            )
        self._other_regions = regions
        self._max_demand_age_s = max_age_s
        self._divide(now)

    def apply_holdings(
        self, holdings: Iterable[MovedHolding], now: float
    ) -> None:
        """Takes over holdings that peers of the region have released.

        The next report contains both the demand at this instance and the end
        of the previous holder's demand.
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

    def last_known_holdings(
        self, holder: str, customers: Iterable[str], now: float
    ) -> list[MovedHolding]:
        """Returns the holdings of an unreachable peer, as last reported.

        Their demand will arrive at the next holder. They contain no tokens,
        because these are lost or still at the peer.
        """
        found = []
        for customer in customers:
            known = self._demands.get(self._own.region, customer, holder)
            if known is None or known.is_over:
                continue
            if now - known.measured_at <= self._max_demand_age_s:
                rate_per_s = known.rate_per_s
                found.append(
                    MovedHolding(customer, holder, 0.0, rate_per_s, rate_per_s)
                )
        return found

    def build_report(
        self,
        audience: Audience,
        max_age_s: float,
        request: Any = None,
        wants_feed: bool = False,
        with_introductions: bool = False,
    ) -> Any:
        """Builds a report for a peer.

        Args:
            audience: Kind of peer that the report is for.
            max_age_s: Maximum age of the demands in the report, in seconds.
            request: Report of the peer that is answered. None if this
                instance sends the first report of an exchange.
            wants_feed: Whether the answer should contain the store changes
                after those known here.
            with_introductions: Whether the peer may not know this instance or
                other ones, so that their records are included.
        """
        now = self._clock.now()
        report = messages.FleetReport(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            leaving=self._is_leaving(),
            cut_off=self._is_cut_off(),
            demands=[
                messages.CustomerDemand(
                    customer=demand.customer,
                    rate_per_s=demand.rate_per_s,
                    region=demand.region,
                    holder=demand.holder,
                    age_ms=to_ms(now - demand.measured_at),
                    is_over=demand.is_over,
                )
                for demand in self._demands_for(
                    audience, max_age_s, request, now
                )
            ],
            tallies=self._tallies_for(audience, request),
            rollouts=self._rollout_views(now),
            members=self._unavailable_members(audience, now),
            vouches=audience is Audience.MEMBER,
            is_settled=self._is_settled,
            store_revision=self._mirror.revision,
            rejected=[
                messages.RejectedVersion(
                    service_name=service,
                    version=version,
                    revision=verdict.revision,
                )
                for service, version, verdict in (
                    self._rollouts.verdicts.rejections()
                )
            ],
            crashes=self._crash_guard.encode_records(
                to_started=request is not None and not request.is_settled
            ),
        )
        if self._loads is not None:
            report.server_loads = (
                self._loads.rows_for_member()
                if audience is Audience.MEMBER
                else self._loads.rows_for_hub()
            )
        if request is not None:
            report.asks_who = not self._peers.knows(request.instance)
        if with_introductions or (
            request is not None and not request.is_settled
        ):
            report.introductions = self._introductions(now)
        if wants_feed:
            report.feed_after = self._mirror.revision
        if request is not None and request.feed_after >= 0:
            feed = self._mirror.feed_after(request.feed_after, now)
            report.feed = None if feed is None else encode_feed(feed)
        return report

    def apply_report(self, report: Any, period_factor: float) -> bool:
        """Applies the report of a peer.

        Args:
            report: The report.
            period_factor: Time until the peer's next report, as a multiple of
                the usual report period.

        Returns:
            False if the report is ignored, because the peer is unknown or the
            report is from one of its previous incarnations.
        """
        now = self._clock.now()
        name = report.instance
        for introduction in report.introductions or ():
            if is_valid_introduction(introduction):
                self._peers.apply_introduction(
                    decode_introduction(introduction), now
                )
        if not self._peers.record_report(
            name,
            report.incarnation,
            report.leaving,
            now,
            bool(report.cut_off),
        ):
            return False
        self._is_settled |= report.is_settled
        if report.vouches:
            statuses = [
                MemberStatus(
                    member.instance,
                    member.incarnation,
                    member.leaving,
                    member.silent,
                    bool(member.cut_off),
                )
                for member in report.members or ()
            ]
            self._peers.apply_hub_report(self._own.region, statuses, now)
        for demand in report.demands or ():
            if not is_valid_demand(demand):
                logger.warning("demand of {} not used: {}", name, demand)
                continue
            measured_at = now - demand.age_ms / MILLISECONDS
            self._demands.update(
                HolderDemand(
                    demand.region,
                    demand.holder,
                    demand.customer,
                    demand.rate_per_s,
                    measured_at,
                    demand.is_over,
                )
            )
        if report.demands:
            self._divide(now)
        self._crash_guard.apply_records(report.crashes or (), name)
        if self._loads is not None and report.server_loads:
            self._loads.apply(
                report.server_loads, self._peers.records[name].region
            )
        self._apply_rollouts(report, now)
        for rejected in report.rejected or ():
            if rejected.service_name and rejected.version and rejected.revision:
                self._rollouts.record_verdict(
                    rejected.service_name,
                    rejected.version,
                    VersionVerdict(rejected.revision, is_rejected=True),
                )
        self._mirror.on_peer_revision(report.store_revision)
        if report.feed is not None:
            self._mirror.apply_feed(
                decode_feed(report.feed), now, period_factor
            )
        return True

    def _divide(self, now: float) -> None:
        """Divides the rates by the demand known from the other holders."""
        rivals = self._demands.region_report(
            self._own.region, self._max_demand_age_s, now, self._own.instance
        )
        self._rates.update_rival_demand(rivals or DemandReport({}), now)
        for region in self._other_regions:
            report = self._demands.region_report(
                region, self._max_demand_age_s, now
            )
            self._rates.update_region_demand(region, report, now)

    def _demands_for(
        self, audience: Audience, max_age_s: float, request: Any, now: float
    ) -> list[HolderDemand]:
        region = self._own.region
        match audience:
            case Audience.MEMBER:
                # A member divides only the rates of customers that it holds.
                held = frozenset(
                    demand.customer for demand in request.demands or ()
                )
                demands = self._demands.recent(max_age_s, now, customers=held)
                return [
                    demand
                    for demand in demands
                    if demand.holder != request.instance
                ]
            case Audience.REGION:
                return self._demands.recent(max_age_s, now, (region,))
            case Audience.HUB:
                return self._demands.recent(
                    max_age_s, now, (region,), self._held_customers
                )

    def _introductions(self, now: float) -> list[Any]:
        """Returns the records of this instance and of the peers it hears.

        The peers are included only if this instance knows all instances. In a
        fleet with hubs they are mostly those of the own region, because the
        members of other regions are not heard one by one.
        """
        records = [self._own]
        if self._is_settled:
            records += self._peers.heard_records(now)
        return [encode_introduction(record) for record in records]

    def _unavailable_members(self, audience: Audience, now: float) -> list[Any]:
        if audience is not Audience.MEMBER:
            return []
        return [
            messages.MemberState(
                instance=member.instance,
                incarnation=member.incarnation,
                leaving=member.is_leaving,
                silent=member.is_silent,
                cut_off=member.is_cut_off,
            )
            for member in self._peers.unavailable_members(self._own.region, now)
        ]

    def _rollout_views(self, now: float) -> list[Any]:
        return [
            messages.RolloutView(
                service_name=service,
                version=rollout.order.version,
                elapsed_s=rollout.elapsed_s(now),
                fault=rollout.fault or "",
            )
            for service, rollout in self._rollouts.active.items()
        ]

    def _tallies_for(self, audience: Audience, request: Any) -> list[Any]:
        """Returns the outcomes of versions that the audience does not have."""
        found = []
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
                asker = request.instance
                others = evidence.merged_tallies(
                    lambda source, asker=asker: (
                        self._is_instance(source) and source != asker
                    )
                )
                sources = {own_region: others} | evidence.tallies_by_source(
                    lambda source: not self._is_instance(source)
                )
            found += [
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
        return found

    @staticmethod
    def _is_instance(source: str) -> bool:
        return not source.startswith(_REGION)

    def _apply_rollouts(self, report: Any, now: float) -> None:
        by_service: dict[str, dict[str, Tallies]] = {}
        for tally in report.tallies or ():
            sources = by_service.setdefault(tally.service_name, {})
            tallies = sources.setdefault(tally.source, {})
            tallies[(tally.version, tally.route)] = Tally(
                tally.requests, tally.failures, tally.slow
            )
        for view in report.rollouts or ():
            rollout = self._rollouts.active.get(view.service_name)
            if rollout is None or rollout.order.version != view.version:
                continue
            rollout.merge_elapsed(view.elapsed_s, now)
            sources = by_service.get(view.service_name, {})
            for source, tallies in sources.items():
                self._set_tallies(rollout.evidence, source, tallies)
            if view.fault:
                rollout.report_fault(view.fault)

    def _set_tallies(
        self, evidence: Evidence, source: str, tallies: Tallies
    ) -> None:
        """Sets the outcomes reported by a source.

        A hub receives the outcomes of its region from each member, while a
        member receives their sum from its hub. When an instance changes
        between these roles, the outcomes of the other kind of source are
        removed, so that none counts twice.
        """
        own_region = _REGION + self._own.region
        if source == own_region:
            evidence.remove_sources(self._is_instance)
        elif self._is_instance(source):
            evidence.remove_sources(lambda origin: origin == own_region)
        evidence.set_tallies(source, tallies)
