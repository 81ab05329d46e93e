"""Brings a new version of a service in, or takes it back; pure.

An operator bounds both the part of a service's requests that a bad version
may get and the time by which a good one must carry the load. The new version
gets a small part for most of that time, first on one server, so that faults
under load show; then a larger part, which warms its servers; then everything,
while the old version's requests end; then it is reported as completed.
"""

from __future__ import annotations

import enum

import xxhash

from radishmux.shift.evidence import Evidence
from radishmux.shift.orders import RolloutOrder, RolloutState, RolloutStatus

# Ends of the phases as parts of the time that the operator gave.
CANARY_END = 0.5
RAMP_END = 0.7
# Parts of the operators' bound on a bad version's requests that the phases
# use; their sum over the phases stays below it.
CANARY_PART = 0.5
RAMP_PART = 1.5
# Longest part of the whole time that the old version's requests may take to
# end, and the time that they take as a rule.
LAST_REQUESTS_S = 2.5
LATEST_END = 0.93
# Requests of the new version, in all and on each route, without which it is
# not judged good.
MIN_REQUESTS = 30
MIN_ROUTE_REQUESTS = 10
# Part of a service's requests below which a route holds nothing back: all of
# them together stay far below the operators' bound on a bad version.
MIN_ROUTE_SHARE = 0.02
# Part of a rare route's requests that the new version gets until it has been
# judged there.
RARE_ROUTE_PART = 3.0
# Part of the operators' bound on the share that is used.
USED_SHARE = 0.8
# Requests beyond its share that one instance may send to a new version: its
# part of the operators' slack, and no more than are needed in a small fleet.
SLACK_FRACTION = 0.5
MAX_SLACK = 2.0
_HASHES = 2.0**64


class Phase(enum.Enum):
    """How far a new version has come."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    DONE = "done"
    STOPPED = "stopped"


class VersionRule:
    """Which versions a request may go to.

    Attributes:
        only: The one version that it may go to, or None.
        never: The version that it must not go to, or None.
        is_canary: Whether it is one of a new version's first requests.
    """

    __slots__ = ("is_canary", "never", "only")

    def __init__(
        self,
        only: str | None = None,
        never: str | None = None,
        is_canary: bool = False,
    ) -> None:
        self.only = only
        self.never = never
        self.is_canary = is_canary

    def allows(self, version: str) -> bool:
        """Whether a server of a version may get the request."""
        return version != self.never and self.only in (None, version)


ANY_VERSION = VersionRule()


class Rollout:
    """One order for one service, as one instance carries it out.

    Args:
        order: What the operator wants.
        exposure_share: Part of the service's requests that a bad version may
            get over the whole time.
        now: Monotonic seconds when the order became known.
        instance: Name of this instance.
        slack: Requests beyond that share that this instance may send to it.
    """

    def __init__(
        self,
        order: RolloutOrder,
        exposure_share: float,
        now: float,
        instance: str = "",
        slack: float = MAX_SLACK,
    ) -> None:
        self._order = order
        self._exposure_share = exposure_share
        self._instance = instance
        self._slack = min(MAX_SLACK, slack)
        self._since = now
        self._evidence = Evidence()
        self._fault: str | None = None
        self._recorded: RolloutState | None = None
        self._requests = 0
        self._new_requests = 0
        self._full_since: float | None = None
        self._credits: dict[str, float] = {}

    @property
    def order(self) -> RolloutOrder:
        """What the operator wants."""
        return self._order

    @property
    def evidence(self) -> Evidence:
        """Outcomes of the versions."""
        return self._evidence

    @property
    def fault(self) -> str | None:
        """What is wrong with the new version, or None."""
        return self._fault

    def elapsed_s(self, now: float) -> float:
        """Returns the time since the order."""
        return now - self._since

    def merge_elapsed(self, elapsed_s: float, now: float) -> None:
        """Takes a peer's time since the order, which may be longer."""
        self._since = min(self._since, now - elapsed_s)

    def report_fault(self, fault: str) -> None:
        """Takes a peer's finding."""
        if self._fault is None:
            self._fault = fault

    def apply_status(self, status: RolloutStatus | None) -> None:
        """Takes the recorded state of this order."""
        if status is None or status.version != self._order.version:
            self._recorded = None
        else:
            self._recorded = status.state

    def phase(self, now: float) -> Phase:
        """Returns how far the new version has come."""
        if self._recorded is RolloutState.COMPLETED:
            return Phase.DONE
        if self._recorded is RolloutState.ROLLED_BACK or self._fault:
            return Phase.STOPPED
        if self._full_since is not None:
            return Phase.FULL
        part = self.elapsed_s(now) / self._order.duration_s
        if part < CANARY_END:
            return Phase.CANARY
        if part < RAMP_END or not self._is_judged():
            return Phase.RAMP
        self._full_since = now
        return Phase.FULL

    def evaluate(self, now: float) -> None:
        """Looks at the evidence; a fault found stops the version here."""
        if self._fault is None and self._recorded is not RolloutState.COMPLETED:
            self._fault = self._evidence.find_fault(self._order.version)

    def state_to_report(self, now: float) -> RolloutState:
        """Returns the state that the operator should read."""
        phase = self.phase(now)
        if phase is Phase.STOPPED:
            return RolloutState.ROLLED_BACK
        if phase is Phase.DONE:
            return RolloutState.COMPLETED
        if phase is Phase.FULL and self._full_since is not None:
            latest = self._since + LATEST_END * self._order.duration_s
            end = min(latest, self._full_since + LAST_REQUESTS_S)
            if now >= max(end, self._full_since + 1.0):
                return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def next_rule(self, route: str, now: float) -> VersionRule:
        """Returns which versions one request may go to, and counts it."""
        version = self._order.version
        phase = self.phase(now)
        if phase is Phase.STOPPED:
            return VersionRule(never=version)
        if phase in (Phase.FULL, Phase.DONE):
            return VersionRule(only=version)
        self._requests += 1
        part = self._part(phase, route)
        if route not in self._credits:
            self._credits[route] = self._start_of(route)
        credit = self._credits[route] + part
        self._credits[route] = credit - (credit >= 1.0)
        share = USED_SHARE * self._exposure_share
        most = share * self._requests + self._slack + self._start_of("")
        if credit < 1.0 or self._new_requests + 1 > most:
            self._credits[route] = min(1.0, self._credits[route])
            return VersionRule(never=version)
        self._new_requests += 1
        return VersionRule(only=version, is_canary=phase is Phase.CANARY)

    def _start_of(self, route: str) -> float:
        """Returns the part of a request that this instance starts with.

        The instances of a large fleet get few requests each. If all started
        at 0, a new version would get nothing for much of its time. Over all
        instances the parts round to as many requests as they should.
        """
        name = f"{self._instance}\0{self._order.service}\0{route}"
        return xxhash.xxh3_64_intdigest(name.encode()) / _HASHES

    def _part(self, phase: Phase, route: str) -> float:
        part = CANARY_PART if phase is Phase.CANARY else RAMP_PART
        version = self._order.version
        if self._evidence.requests(version, route) < MIN_ROUTE_REQUESTS:
            part = max(part, RARE_ROUTE_PART)
        return part * self._exposure_share

    def _is_judged(self) -> bool:
        version = self._order.version
        if self._evidence.requests(version) < MIN_REQUESTS:
            return False
        counts = self._evidence.requests_by_route()
        least = MIN_ROUTE_SHARE * sum(counts.values())
        return all(
            self._evidence.requests(version, route) >= MIN_ROUTE_REQUESTS
            for route, count in counts.items()
            if count >= least
        )
