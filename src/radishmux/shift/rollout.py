"""Rolls out a new version of a service, or rolls it back; no I/O.

An operator limits both the share of a service's requests that a bad version
may get and the time until a good version must serve all requests. For most of
that time the new version gets a small share, at first on few servers so that
faults under load are detected. It then gets a larger share, which warms its
servers, and finally all new requests while those of the old version end. Then
it is reported as completed.
"""

from __future__ import annotations

import enum

import xxhash

from radishmux.shift.evidence import Evidence
from radishmux.shift.orders import (
    FINAL_STATES,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)

# Ends of the phases, as fractions of the time that the order allows.
CANARY_END_FRACTION = 0.5
RAMP_END_FRACTION = 0.7
# Shares of the new version in the phases, as multiples of the operators' limit
# on the share of a bad version. The share over the whole time stays below that
# limit.
CANARY_SHARE_FACTOR = 0.5
RAMP_SHARE_FACTOR = 1.5
# After the new version gets all new requests, those of the old version usually
# end within this time.
OLD_REQUESTS_END_S = 2.5
# The rollout is completed by this fraction of the time that the order allows,
# even if that leaves less than OLD_REQUESTS_END_S, but at least 1 s.
COMPLETION_FRACTION = 0.93
# Number of requests of the new version, in total and on each route, without
# which it is not considered good.
MIN_REQUESTS = 30
MIN_ROUTE_REQUESTS = 10
# A route with a smaller share of the service's requests does not delay the
# rollout. All such routes together stay far below the operators' limit on the
# requests of a bad version.
MIN_ROUTE_SHARE = 0.02
# Share of the new version on a route with fewer than MIN_ROUTE_REQUESTS
# requests of it, as a multiple of the operators' limit on the share.
RARE_ROUTE_SHARE_FACTOR = 3.0
# Fraction of the operators' limit on the share that is used at most.
USED_LIMIT_FRACTION = 0.8
# Fraction of the operators' slack that the instances use together. The slack is
# a number of requests beyond the limit on the share.
SLACK_FRACTION = 0.5
# Largest slack that one instance uses, in requests; a small fleet needs no
# more.
MAX_SLACK_REQUESTS = 2.0
# Number of values of a 64-bit hash.
_HASH_VALUES = 2.0**64


class Phase(enum.Enum):
    """Phases of a rollout."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    DONE = "done"
    STOPPED = "stopped"


class VersionRule:
    """Restricts the versions that may serve a request.

    Attributes:
        only: The only version that may serve the request; None: any.
        never: The version that must not serve the request; None: no such
            version.
        is_canary: Whether the request goes to the new version in the canary
            phase, in which only few servers get requests.
        rejected: Versions that earlier orders have rolled back; they must not
            serve the request either.
    """

    __slots__ = ("is_canary", "never", "only", "rejected")

    def __init__(
        self,
        only: str | None = None,
        never: str | None = None,
        is_canary: bool = False,
        rejected: frozenset[str] = frozenset(),
    ) -> None:
        self.only = only
        self.never = never
        self.is_canary = is_canary
        self.rejected = rejected

    def excluding(self, rejected: frozenset[str]) -> VersionRule:
        """Returns the rule that also excludes rejected versions."""
        if not rejected:
            return self
        return VersionRule(self.only, self.never, self.is_canary, rejected)

    def fallback(self) -> VersionRule:
        """Returns the rule if no server of the only version can serve."""
        return VersionRule(never=self.only, rejected=self.rejected)

    def allows(self, version: str) -> bool:
        """Returns whether a server of this version may serve the request."""
        return (
            version != self.never
            and version not in self.rejected
            and self.only in (None, version)
        )


ANY_VERSION = VersionRule()


class Rollout:
    """The rollout of one version of a service, as one instance carries it out.

    Args:
        order: The operator's order.
        exposure_share: Largest share of the service's requests that a bad
            version may get over the whole time.
        now: Monotonic seconds at which this instance received the order.
        instance: Name of this instance.
        slack: Number of requests beyond that share that this instance may
            send to the new version.

    Attributes:
        seen_versions: Versions whose servers were seen since the order.
    """

    def __init__(
        self,
        order: RolloutOrder,
        exposure_share: float,
        now: float,
        instance: str = "",
        slack: float = MAX_SLACK_REQUESTS,
    ) -> None:
        self._order = order
        self._exposure_share = exposure_share
        self._instance = instance
        self._slack = min(MAX_SLACK_REQUESTS, slack)
        self._since = now
        self._evidence = Evidence()
        self._fault: str | None = None
        self._recorded: RolloutState | None = None
        self._requests = 0
        self._new_requests = 0
        self._full_since: float | None = None
        self._credits: dict[str, float] = {}
        self.seen_versions: set[str] = set()

    @property
    def order(self) -> RolloutOrder:
        """The operator's order."""
        return self._order

    @property
    def evidence(self) -> Evidence:
        """Outcomes of the service's versions since the order."""
        return self._evidence

    @property
    def fault(self) -> str | None:
        """Description of the new version's fault, or None."""
        return self._fault

    def is_needed(self, rejected: frozenset[str]) -> bool:
        """Whether another version can serve while this one is tried.

        There is none if the version serves already, such as after the one that
        should have replaced it was rolled back.

        Args:
            rejected: Versions that earlier orders have rolled back.
        """
        return bool(self.seen_versions - rejected - {self._order.version})

    def elapsed_s(self, now: float) -> float:
        """Returns the seconds since the order was received."""
        return now - self._since

    def merge_elapsed(self, elapsed_s: float, now: float) -> None:
        """Adopts a peer's time since the order if that is longer.

        After a restart this instance receives the order anew, and only its
        peers know how old the order is.
        """
        self._since = min(self._since, now - elapsed_s)

    def report_fault(self, fault: str) -> None:
        """Records a fault found by a peer; an earlier fault is kept."""
        if self._fault is None:
            self._fault = fault

    def apply_status(self, status: RolloutStatus | None) -> None:
        """Applies the state that the fleet has recorded for the order.

        A final state gives way to another final state only, since a restored
        store may have lost it.

        Args:
            status: The recorded state; None if there is none. A state of
                another version is ignored.
        """
        is_final = status is not None and status.is_final
        if self._recorded in FINAL_STATES and not is_final:
            return
        if status is None or status.version != self._order.version:
            self._recorded = None
        else:
            self._recorded = status.state

    def phase(self, now: float) -> Phase:
        """Returns the phase of the rollout.

        The phase FULL lasts from the first call that returns it.
        """
        if self._recorded is RolloutState.COMPLETED:
            return Phase.DONE
        if self._recorded is RolloutState.ROLLED_BACK or self._fault:
            return Phase.STOPPED
        if self._full_since is not None:
            return Phase.FULL
        fraction = self.elapsed_s(now) / self._order.duration_s
        if fraction < CANARY_END_FRACTION:
            return Phase.CANARY
        if fraction < RAMP_END_FRACTION or not self._has_enough_requests():
            return Phase.RAMP
        self._full_since = now
        return Phase.FULL

    def evaluate(self, now: float) -> None:
        """Searches the evidence for a fault, which stops the version here."""
        if self._fault is None and self._recorded is not RolloutState.COMPLETED:
            self._fault = self._evidence.find_fault(self._order.version)

    def state_to_report(self, now: float) -> RolloutState:
        """Returns the state to record for operators."""
        phase = self.phase(now)
        if phase is Phase.STOPPED:
            return RolloutState.ROLLED_BACK
        if phase is Phase.DONE:
            return RolloutState.COMPLETED
        if phase is Phase.FULL and self._full_since is not None:
            latest = self._since + COMPLETION_FRACTION * self._order.duration_s
            end = min(latest, self._full_since + OLD_REQUESTS_END_S)
            if now >= max(end, self._full_since + 1.0):
                return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def next_rule(self, route: str, now: float) -> VersionRule:
        """Counts a request and returns which versions may serve it.

        Args:
            route: Name of the request's route.
            now: Monotonic seconds.
        """
        version = self._order.version
        phase = self.phase(now)
        if phase is Phase.STOPPED:
            return VersionRule(never=version)
        if phase in (Phase.FULL, Phase.DONE):
            return VersionRule(only=version)
        self._requests += 1
        share = self._share(phase, route)
        if route not in self._credits:
            self._credits[route] = self._initial_credit(route)
        credit = self._credits[route] + share
        self._credits[route] = credit - (credit >= 1.0)
        limit_share = USED_LIMIT_FRACTION * self._exposure_share
        limit = (
            limit_share * self._requests
            + self._slack
            + self._initial_credit("")
        )
        if credit < 1.0 or self._new_requests + 1 > limit:
            self._credits[route] = min(1.0, self._credits[route])
            return VersionRule(never=version)
        self._new_requests += 1
        return VersionRule(only=version, is_canary=phase is Phase.CANARY)

    def _initial_credit(self, route: str) -> float:
        """Returns the fraction of a request that this instance starts with.

        Each instance of a large fleet gets few requests. If all instances
        started at 0, the new version would get no request for much of the
        time. The initial credits are spread evenly between 0 and 1, so that
        the instances together send the intended number of requests.
        """
        name = f"{self._instance}\0{self._order.service}\0{route}"
        return xxhash.xxh3_64_intdigest(name.encode()) / _HASH_VALUES

    def _share(self, phase: Phase, route: str) -> float:
        """Returns the new version's share of a route's requests."""
        factor = (
            CANARY_SHARE_FACTOR if phase is Phase.CANARY else RAMP_SHARE_FACTOR
        )
        version = self._order.version
        if self._evidence.requests(version, route) < MIN_ROUTE_REQUESTS:
            factor = max(factor, RARE_ROUTE_SHARE_FACTOR)
        return factor * self._exposure_share

    def _has_enough_requests(self) -> bool:
        """Returns whether the new version was tried often enough to judge."""
        version = self._order.version
        if self._evidence.requests(version) < MIN_REQUESTS:
            return False
        counts = self._evidence.requests_by_route()
        min_count = MIN_ROUTE_SHARE * sum(counts.values())
        return all(
            self._evidence.requests(version, route) >= MIN_ROUTE_REQUESTS
            for route, count in counts.items()
            if count >= min_count
        )
