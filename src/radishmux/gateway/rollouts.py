"""Carries out the operators' orders for new versions."""

from __future__ import annotations

from collections.abc import Callable

from radishmux.clock import Clock
from radishmux.gateway.events import Event, RolloutPut, StatusPut
from radishmux.outcome import Unavailable
from radishmux.settings.gateway import Bounds
from radishmux.shift.evidence import SLOW_FACTOR
from radishmux.shift.orders import RolloutState, RolloutStatus
from radishmux.shift.rollout import (
    ANY_VERSION,
    SLACK_FRACTION,
    Rollout,
    VersionRule,
)
from radishmux.store.interface import ObservableStore
from radishmux.tasks import BackgroundTask, repeat
from radishmux.telemetry.logs import state_change

STEP_PERIOD_S = 0.2
CALL_TIMEOUT_S = 1.0
# Instances write one after the other, so that one write is enough as a rule.
TURN_S = 0.6


class Rollouts(BackgroundTask):
    """All orders, and the states that are written for operators.

    An async context manager that writes states while it is entered.

    Args:
        store: Takes the states.
        status_key: Returns the key of a service's state.
        encode_status: Returns the document at that key.
        bounds: What operators require.
        instance: Name of this instance.
        fleet: Returns the names of all registered instances.
        clock: Monotonic time.
    """

    def __init__(
        self,
        store: ObservableStore,
        status_key: Callable[[str], str],
        encode_status: Callable[[RolloutStatus], bytes],
        bounds: Bounds,
        instance: str,
        fleet: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._store = store
        self._status_key = status_key
        self._encode_status = encode_status
        self._bounds = bounds
        self._instance = instance
        self._fleet = fleet
        self._clock = clock
        self._rollouts: dict[str, Rollout] = {}
        self._orders: dict[str, RolloutPut] = {}
        self._statuses: dict[str, StatusPut] = {}
        self._due_since: dict[str, tuple[RolloutState, float]] = {}

    @property
    def active(self) -> dict[str, Rollout]:
        """Orders by service."""
        return self._rollouts

    def on_event(self, event: Event, now: float) -> None:
        """Takes orders and recorded states."""
        if isinstance(event, RolloutPut):
            self._on_order(event, now)
        elif isinstance(event, StatusPut):
            self._statuses[event.service] = event
            self._apply_status(event.service)

    def next_rule(self, service: str, route: str, now: float) -> VersionRule:
        """Returns which versions one request may go to, and counts it."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            return rollout.next_rule(route, now)
        status = self._recorded(service)
        if status is not None and status.state is RolloutState.ROLLED_BACK:
            return VersionRule(never=status.version)
        return ANY_VERSION

    def record_outcome(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        work_ratio: float,
    ) -> None:
        """Takes the outcome of one request.

        Args:
            service: Name of the service.
            version: Version of the server.
            route: Name of the route.
            failed: Whether the version answered wrongly.
            work_ratio: Its work time relative to that with a cold object.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None:
            slow = work_ratio > SLOW_FACTOR
            rollout.evidence.record_outcome(version, route, failed, slow)
            if failed or slow:
                self._evaluate(rollout)

    def evaluate(self) -> None:
        """Looks at the evidence of all orders, peers' included."""
        for rollout in self._rollouts.values():
            self._evaluate(rollout)

    def _evaluate(self, rollout: Rollout) -> None:
        if rollout.fault is not None:
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

    def _on_order(self, event: RolloutPut, now: float) -> None:
        held = self._orders.get(event.service)
        if event.order is None:
            self._orders.pop(event.service, None)
            self._rollouts.pop(event.service, None)
            return
        if held is not None and held.revision >= event.revision:
            return
        self._orders[event.service] = event
        slack = SLACK_FRACTION * self._bounds.exposure_slack
        self._rollouts[event.service] = Rollout(
            event.order,
            self._bounds.exposure_share,
            now,
            self._instance,
            slack / len(self._fleet()),
        )
        self._apply_status(event.service)

    def _recorded(self, service: str) -> RolloutStatus | None:
        put = self._statuses.get(service)
        return put.status if put is not None else None

    def _apply_status(self, service: str) -> None:
        """Passes a state on if it was recorded after the order."""
        rollout = self._rollouts.get(service)
        put = self._statuses.get(service)
        if rollout is None or put is None:
            return
        is_later = put.revision > self._orders[service].revision
        rollout.apply_status(put.status if is_later else None)

    async def _run(self) -> None:
        await repeat(self._step, STEP_PERIOD_S, "rollouts")

    async def _step(self) -> None:
        self.evaluate()
        now = self._clock.now()
        for service, rollout in list(self._rollouts.items()):
            wanted = rollout.state_to_report(now)
            if self._is_recorded(service, rollout, wanted):
                self._due_since.pop(service, None)
                continue
            state, since = self._due_since.get(service, (wanted, now))
            if state is not wanted:
                since = now
            self._due_since[service] = (wanted, since)
            turn = self._fleet().index(self._instance)
            if now - since >= TURN_S * turn:
                await self._write(service, rollout, wanted)

    def _is_recorded(
        self, service: str, rollout: Rollout, wanted: RolloutState
    ) -> bool:
        put = self._statuses.get(service)
        if put is None or put.status is None:
            return False
        if put.revision < self._orders[service].revision:
            return False
        if put.status.version != rollout.order.version:
            return False
        # A final state stays, whatever this instance would decide.
        return put.status.state in (
            wanted,
            RolloutState.COMPLETED,
            RolloutState.ROLLED_BACK,
        )

    async def _write(
        self, service: str, rollout: Rollout, wanted: RolloutState
    ) -> None:
        put = self._statuses.get(service)
        revision = put.revision if put and put.status else 0
        status = RolloutStatus(rollout.order.version, wanted)
        written = await self._store.compare_and_swap(
            self._status_key(service),
            revision,
            self._encode_status(status),
            CALL_TIMEOUT_S,
        )
        if isinstance(written, Unavailable):
            # Conflict: the watch brings what was written instead. Unknown:
            # it brings whether this was.
            state_change(
                f"state of {service}",
                "not recorded",
                wanted=wanted.value,
                reason=repr(written),
            )
            return
        state_change(
            f"rollout of {service}",
            wanted.value,
            version=status.version,
            reason=rollout.fault or "",
        )
        self._statuses[service] = StatusPut(service, status, written.revision)
        self._apply_status(service)
