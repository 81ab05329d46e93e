"""Carries out the operators' rollout orders and records their states."""

from __future__ import annotations

from collections.abc import Callable

from radishmux.clock import Clock
from radishmux.gateway.events import (
    Event,
    RolloutPut,
    ServerPut,
    StatusPut,
    VerdictsPut,
)
from radishmux.outcome import Unavailable
from radishmux.settings.gateway import Bounds
from radishmux.shift.evidence import SLOW_FACTOR
from radishmux.shift.orders import RolloutState, RolloutStatus
from radishmux.shift.rollout import (
    ANY_VERSION,
    SLACK_FRACTION,
    Phase,
    Rollout,
    VersionRule,
)
from radishmux.shift.verdicts import VersionVerdict, VersionVerdicts
from radishmux.store.interface import ObservableStore
from radishmux.store.revision import era_of
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

STEP_PERIOD_S = 0.2
CALL_TIMEOUT_S = 1.0
# Phases in which other versions serve most requests.
TRIED = frozenset({Phase.CANARY, Phase.RAMP})
# Delay between the instances' attempts to write the same state, so that
# usually only the first instance writes it.
WRITE_STAGGER_S = 0.6


class Rollouts(BackgroundTask):
    """Rollouts of all services.

    An async context manager that writes the states of the rollouts to the
    store while it is entered.

    Args:
        store: Store of the states.
        status_key: Returns the key of a service's state.
        encode_status: Encodes the document at that key.
        bounds: Limits set by the operators.
        instance: Name of this instance.
        instance_names: Returns the names of all registered instances, including
            this one, in an order that all instances share.
        clock: Monotonic time.
    """

    def __init__(
        self,
        store: ObservableStore,
        status_key: Callable[[str], str],
        encode_status: Callable[[RolloutStatus], bytes],
        bounds: Bounds,
        instance: str,
        instance_names: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._store = store
        self._status_key = status_key
        self._encode_status = encode_status
        self._bounds = bounds
        self._instance = instance
        self._instance_names = instance_names
        self._clock = clock
        self._verdicts = VersionVerdicts()
        self._rollouts: dict[str, Rollout] = {}
        # Service and version of each server, by its name.
        self._software: dict[str, tuple[str, str]] = {}
        self._orders: dict[str, RolloutPut] = {}
        self._statuses: dict[str, StatusPut] = {}
        # Final states by service, also if the store has lost them.
        self._final: dict[str, RolloutStatus] = {}
        # By service: state that is not recorded yet, and the monotonic time
        # since when this instance has wanted it recorded.
        self._unrecorded_since: dict[str, tuple[RolloutStatus, float]] = {}

    @property
    def verdicts(self) -> VersionVerdicts:
        """Verdicts on versions, also of earlier orders."""
        return self._verdicts

    @property
    def active(self) -> dict[str, Rollout]:
        """Rollouts with an order, by service."""
        return self._rollouts

    def on_event(self, event: Event, now: float) -> None:
        """Applies a changed order or a recorded state; ignores other events."""
        if isinstance(event, RolloutPut):
            self._on_order(event, now)
        elif isinstance(event, StatusPut):
            self._statuses[event.service] = event
            if event.status is not None and event.status.is_final:
                self._final[event.service] = event.status
            self._record_status(event)
            self._apply_status(event.service)
        elif isinstance(event, ServerPut):
            self._on_server(event)
        elif isinstance(event, VerdictsPut):
            for version, verdict in event.verdicts.items():
                self.record_verdict(event.service, version, verdict)

    def record_verdict(
        self, service: str, version: str, verdict: VersionVerdict
    ) -> None:
        """Records a verdict that another instance has passed on.

        An instance that was cut off from the store may still carry out the
        order of a version that was rolled back since.
        """
        if not self._verdicts.record(service, version, verdict):
            return
        state_change(
            f"version {version} of {service}",
            "rejected" if verdict.is_rejected else "ordered again",
        )
        rollout = self._rollouts.get(service)
        if (
            verdict.is_rejected
            and rollout is not None
            and rollout.order.version == version
        ):
            rollout.report_fault("rolled back by other instances")

    def _record_status(self, event: StatusPut) -> None:
        status = event.status
        if status is None or not status.is_final:
            return
        is_rejected = status.state is RolloutState.ROLLED_BACK
        self.record_verdict(
            event.service,
            status.version,
            VersionVerdict(event.revision, is_rejected),
        )

    def next_rule(self, service: str, route: str, now: float) -> VersionRule:
        """Returns the versions that may serve the next request; counts it.

        Args:
            service: Name of the service.
            route: Name of the request's route.
            now: Monotonic seconds.
        """
        rejected = self._verdicts.rejected(service)
        rollout = self._rollouts.get(service)
        if rollout is not None:
            if rollout.phase(now) in TRIED and not rollout.is_needed(rejected):
                return ANY_VERSION.excluding(rejected)
            return rollout.next_rule(route, now).excluding(rejected)
        status = self._final.get(service)
        if status is not None and status.state is RolloutState.ROLLED_BACK:
            return VersionRule(never=status.version).excluding(rejected)
        return ANY_VERSION.excluding(rejected)

    def record_outcome(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        work_ratio: float,
    ) -> None:
        """Records the outcome of one request.

        Args:
            service: Name of the service.
            version: Version of the server.
            route: Name of the route.
            failed: Whether the request failed because of the version.
            work_ratio: Duration of the request as a multiple of the time
                expected for an object that is not in the server's cache.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None:
            slow = work_ratio > SLOW_FACTOR
            rollout.evidence.record_outcome(version, route, failed, slow)
            if failed or slow:
                self._evaluate(rollout)

    def evaluate(self) -> None:
        """Stops each rollout whose version the evidence shows to be faulty.

        The evidence includes that of peers.
        """
        for rollout in self._rollouts.values():
            self._evaluate(rollout)

    def _evaluate(self, rollout: Rollout) -> None:
        if rollout.fault is not None:
            return
        rejected = self._verdicts.rejected(rollout.order.service)
        if not rollout.is_needed(rejected):
            # There is no version to roll back to, and none to compare with.
            return
        rollout.evaluate(self._clock.now())
        if rollout.fault is not None:
            order = rollout.order
            state_change(
                f"version {order.version} of {order.service}",
                "stopped",
                "WARNING",
                reason=rollout.fault,
            )

    def _on_server(self, event: ServerPut) -> None:
        entry = event.entry
        if entry is None:
            self._software.pop(event.name, None)
            return
        self._software[event.name] = (entry.service, entry.version)
        rollout = self._rollouts.get(entry.service)
        if rollout is not None:
            rollout.seen_versions.add(entry.version)

    def _on_order(self, event: RolloutPut, now: float) -> None:
        known = self._orders.get(event.service)
        if event.order is None:
            self._record_stopped(event.service, now)
            self._orders.pop(event.service, None)
            self._rollouts.pop(event.service, None)
            return
        if known is not None and known.revision >= event.revision:
            return
        if known is not None and _is_same_order(known, event):
            self._orders[event.service] = event
            self._apply_status(event.service)
            return
        self._record_stopped(event.service, now)
        self._orders[event.service] = event
        self.record_verdict(
            event.service,
            event.order.version,
            VersionVerdict(event.revision, is_rejected=False),
        )
        self._final.pop(event.service, None)
        slack = SLACK_FRACTION * self._bounds.exposure_slack
        self._rollouts[event.service] = Rollout(
            event.order,
            self._bounds.exposure_share,
            now,
            self._instance,
            slack / len(self._instance_names()),
        )
        self._rollouts[event.service].seen_versions.update(
            version
            for service, version in self._software.values()
            if service == event.service
        )
        self._apply_status(event.service)

    def _record_stopped(self, service: str, now: float) -> None:
        """Records the verdict of an order that is about to end.

        The store may not have taken its state yet.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.phase(now) is Phase.STOPPED:
            revision = self._orders[service].revision
            self.record_verdict(
                service,
                rollout.order.version,
                VersionVerdict(revision, is_rejected=True),
            )

    def _apply_status(self, service: str) -> None:
        """Applies the recorded state to the rollout.

        A state recorded before the order belongs to an earlier order and counts
        as none.
        """
        rollout = self._rollouts.get(service)
        recorded = self._statuses.get(service)
        if rollout is None or recorded is None:
            return
        is_later = recorded.revision > self._orders[service].revision
        rollout.apply_status(recorded.status if is_later else None)

    async def _run(self) -> None:
        await repeat(self._step, STEP_PERIOD_S, "rollouts")

    async def _step(self) -> None:
        self.evaluate()
        now = self._clock.now()
        unrecorded = self._unrecorded_states(now)
        for service in self._unrecorded_since.keys() - unrecorded.keys():
            del self._unrecorded_since[service]
        rank = self._instance_names().index(self._instance)
        for service, (status, reason) in unrecorded.items():
            known, since = self._unrecorded_since.get(service, (status, now))
            if known != status:
                since = now
            self._unrecorded_since[service] = (status, since)
            if now - since >= WRITE_STAGGER_S * rank:
                await self._write(service, status, reason)

    def _unrecorded_states(
        self, now: float
    ) -> dict[str, tuple[RolloutStatus, str]]:
        """Returns the states that the store lacks, with their reasons."""
        found = {
            service: (status, "lost by the store")
            for service, status in self._final.items()
            if service not in self._rollouts and self._is_lost(service)
        }
        for service, rollout in self._rollouts.items():
            wanted = rollout.state_to_report(now)
            if not self._is_recorded(service, rollout, wanted):
                status = RolloutStatus(rollout.order.version, wanted)
                found[service] = (status, rollout.fault or "")
        return found

    def _is_lost(self, service: str) -> bool:
        """Whether a recorded state was missing in a list, not deleted."""
        recorded = self._statuses.get(service)
        return (
            recorded is not None
            and recorded.status is None
            and recorded.revision == 0
        )

    def _is_recorded(
        self, service: str, rollout: Rollout, wanted: RolloutState
    ) -> bool:
        recorded = self._statuses.get(service)
        if recorded is None or recorded.status is None:
            return False
        if recorded.revision < self._orders[service].revision:
            return False
        if recorded.status.version != rollout.order.version:
            return False
        # A final state is never replaced, even if this instance would choose
        # another one.
        return recorded.status.is_final or recorded.status.state is wanted

    async def _write(
        self, service: str, status: RolloutStatus, reason: str
    ) -> None:
        recorded = self._statuses.get(service)
        revision = recorded.revision if recorded and recorded.status else 0
        written = await self._store.compare_and_swap(
            self._status_key(service),
            revision,
            self._encode_status(status),
            CALL_TIMEOUT_S,
        )
        if isinstance(written, Unavailable):
            # After a conflict, the watch delivers the state written by another
            # instance. If the outcome is unknown, it shows whether this state
            # was written.
            state_change(
                f"state of {service}",
                "not recorded",
                wanted=status.state.value,
                reason=repr(written),
            )
            return
        state_change(
            f"rollout of {service}",
            status.state.value,
            version=status.version,
            reason=reason,
        )
        self.on_event(
            StatusPut(service, status, written.revision), self._clock.now()
        )


def _is_same_order(known: RolloutPut, event: RolloutPut) -> bool:
    """Whether an order was only read again, or written again, in a new era."""
    is_new_era = era_of(event.revision) > era_of(known.revision)
    return is_new_era and event.order == known.order
