"""Lets requests wait for room at servers instead of refusing them."""

from __future__ import annotations

import asyncio
import math
import random

from radishmux.clock import Clock
from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.gateway._crowded_service import CrowdedService
from radishmux.gateway.request_state import RequestState
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.gateway.shortage_log import ShortageLog
from radishmux.settings.gateway import AdmissionSettings
from radishmux.steer.placement import Choice
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.waiting_room import (
    MAX_WAIT_S,
    MAX_WAIT_SHARE,
    Waiter,
)

# Time after which a waiting request is placed again if nothing has happened: a
# third of the pause of a server that rejected one.
PROBE_PERIOD_S = 0.02
# Shortest time between two passes over the waiting requests of a service, and
# most placements in one.
MIN_PASS_GAP_S = 0.005
MAX_PROBES = 8
# Largest share of the processor's time that passes take.
MAX_PASS_SHARE = 0.1
# Reasons for which no attempt is made, and for which waiting may help.
WAITING_HELPS = frozenset({"no_server", "no_room", "in_turn"})
# Beginning of the reasons of attempts that a full server has rejected.
_SHED = ("shed:", "cold_pace")
# A reason of `WaitingRequests.wait`.
ROOM = ""


class _Place:
    """The place of one request in a waiting room.

    Attributes:
        state: The request.
        outcome: Set to why the request stops waiting; `ROOM` if it is sent.
    """

    __slots__ = ("outcome", "state")

    def __init__(
        self, state: RequestState, outcome: asyncio.Future[str]
    ) -> None:
        self.state = state
        self.outcome = outcome


class WaitingRequests:
    """Holds requests back while their service is short of capacity.

    Args:
        chooser: Says which server a request would be sent to.
        contact: Whether this instance reaches servers; requests do not wait
            otherwise, since another way is found for them.
        settings: Bounds of the waiting rooms.
        clock: Monotonic time.
        log: Records shortages and refusals.
    """

    def __init__(
        self,
        chooser: ServerChooser,
        contact: ServerContact,
        settings: AdmissionSettings,
        clock: Clock,
        log: ShortageLog,
    ) -> None:
        self._chooser = chooser
        self._contact = contact
        self._settings = settings
        self._clock = clock
        self._log = log
        self._services: dict[str, CrowdedService] = {}
        self._places: dict[Waiter, _Place] = {}
        self._held_bytes = 0
        self._stop_at = math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return len(self._places)

    def stop_by(self, at: float) -> None:
        """Lets no request wait beyond a time; its attempt ends before it.

        Args:
            at: Monotonic time at which this instance ends.
        """
        self._stop_at = at
        for waiter in self._places:
            waiter.leave_at = min(waiter.leave_at, at - waiter.needed_s)

    def record_arrival(self, state: RequestState, now: float) -> None:
        """Counts a request that is to be served."""
        service = self._service(state)
        service.admission.record_arrival(state.priority, now)
        self._log_shortage(state, service, now)

    def record_attempt(
        self, state: RequestState, choice: Choice, now: float
    ) -> None:
        """Counts an attempt that is made at a server."""
        admission = self._service(state).admission
        admission.record_admission(state.priority, now)
        target_at = state.call.received_at + state.route.target_latency_s
        # A target that the request can meet nowhere shows no shortage.
        if choice.is_queued and now + choice.expected_s > target_at:
            admission.record_sign(state.priority, now)

    def record_end(
        self, state: RequestState, outcome: ServerResponse | NoResponse
    ) -> None:
        """Counts the end of an attempt and looks for a request to send."""
        now = self._clock.now()
        service = self._service(state)
        if isinstance(outcome, NoResponse):
            if outcome.reason.startswith(_SHED):
                service.admission.record_sign(state.priority, now)
        else:
            service.admission.record_completion(state.priority, now)
        if len(service.room):
            self._run_pass(service, now, has_news=True)

    def holds_back(self, state: RequestState, now: float) -> bool:
        """Returns whether a request must wait although it was not tried yet.

        It does not overtake those that wait already, and under shortage it
        is sent only where its class may use the queue.
        """
        if state.is_released or state.tried_servers or self._contact.is_lost:
            return False
        service = self._service(state)
        if not service.admission.is_short(now):
            return False
        if len(service.room):
            return True
        choice = self._chooser.preview(state, now)
        return choice is not None and not self._admits(
            service, state, choice, 0.0, now
        )

    def enter(self, state: RequestState, reason: str, now: float) -> str:
        """Lets a request wait if it can still be served in time.

        Args:
            state: The request.
            reason: Why no attempt is made now.
            now: Monotonic seconds.

        Returns:
            `ROOM` if it waits, so that `wait` must be called, else why not.
        """
        if (
            reason not in WAITING_HELPS
            or state.may_have_run
            or self._contact.is_lost
        ):
            return reason
        service = self._service(state)
        service.admission.record_sign(state.priority, now)
        outlook = self._chooser.outlook(state, now)
        if not outlook.is_expected:
            return reason
        is_cold = outlook.accepted_per_s < math.inf
        needed_s = (
            self._chooser.expected_cold_s(state)
            if is_cold
            else self._chooser.expected_warm_s(state)
        )
        rate_per_s = min(
            outlook.accepted_per_s,
            service.admission.rate_per_s(state.priority, now) or math.inf,
        )
        ahead = service.room.ahead(state.priority, state.deadline)
        if now + ahead / rate_per_s + needed_s >= state.deadline:
            return "long_queue"
        if state.waits_until is None:
            left_s = state.deadline - now
            longest_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * left_s)
            state.waits_until = now + longest_s
        waiter = Waiter(
            now,
            state.priority,
            state.customer.name if state.customer else "",
            state.deadline,
            needed_s,
            len(state.call.body),
            min(state.waits_until, self._stop_at - needed_s),
        )
        if waiter.leave_at <= now:
            return self._reason_to_leave()
        return self._add(service, waiter, state, now)

    async def wait(self, state: RequestState) -> str:
        """Waits until a request that has entered may be sent.

        Returns:
            `ROOM` if there is room, else why the request is refused.
        """
        waiter = state.waiter
        place = self._places[waiter]
        try:
            outcome = await place.outcome
        finally:
            # The caller may have left.
            state.waiter = None
            self._remove(self._service(state), waiter)
        state.is_released = outcome == ROOM
        return outcome

    def pause_s(self, state: RequestState, now: float) -> float | None:
        """Returns the seconds after which a refused caller may return.

        Returns:
            None if the service is not short of capacity.
        """
        service = self._service(state)
        if self._contact.is_lost or not service.admission.is_short(now):
            return None
        return service.returns.pause_s(
            state.priority,
            service.admission.rank(state.priority, now),
            service.room.ahead(state.priority, math.inf),
            service.admission.rate_per_s(state.priority, now),
            state.deadline - now,
            now,
            random.random(),
        )

    def record_refusal(self, state: RequestState, reason: str) -> None:
        """Counts a request that is refused for lack of room.

        One that may have run gets another answer.
        """
        if state.may_have_run:
            return
        state.refused_for = reason
        self._log.count_refusal(state.service, state.priority, reason)

    @staticmethod
    def _admits(
        service: CrowdedService,
        state: RequestState,
        choice: Choice,
        waited: float,
        now: float,
    ) -> bool:
        target_at = state.call.received_at + state.route.target_latency_s
        return service.admission.admits(
            state.priority, choice, target_at - now, waited, now
        )

    def _reason_to_leave(self) -> str:
        return "waited" if self._stop_at == math.inf else "stopping"

    def _service(self, state: RequestState) -> CrowdedService:
        service = self._services.get(state.service)
        if service is None:
            service = self._services[state.service] = CrowdedService(
                self._settings.max_waiting, self._settings.class_floor
            )
        return service

    def _log_shortage(
        self, state: RequestState, service: CrowdedService, now: float
    ) -> None:
        self._log.record(
            state.service,
            service.admission.is_short(now),
            len(service.room),
            now,
        )

    def _add(
        self,
        service: CrowdedService,
        waiter: Waiter,
        state: RequestState,
        now: float,
    ) -> str:
        refused = service.room.enter(waiter)
        if refused is not None and refused is not waiter:
            self._end(refused, "queue_full")
        excess = (
            self._held_bytes + waiter.size - self._settings.max_waiting_bytes
        )
        while refused is not waiter and excess > 0:
            refused = service.room.order()[-1]
            service.room.leave(refused)
            excess -= refused.size
            self._end(refused, "queue_full")
        if refused is waiter:
            return "queue_full"
        self._held_bytes += waiter.size
        outcome = asyncio.get_running_loop().create_future()
        self._places[waiter] = _Place(state, outcome)
        state.waiter = waiter
        self._run_pass(service, now)
        self._schedule()
        return ROOM

    def _remove(self, service: CrowdedService, waiter: Waiter) -> None:
        if self._places.pop(waiter, None) is not None:
            self._held_bytes -= waiter.size
        service.room.leave(waiter)

    def _end(self, waiter: Waiter, reason: str) -> None:
        place = self._places.get(waiter)
        if place is not None and not place.outcome.done():
            place.outcome.set_result(reason)

    def _schedule(self) -> None:
        if self._timer is None and self._places:
            self._timer = asyncio.get_running_loop().call_later(
                PROBE_PERIOD_S / 2, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        now = self._clock.now()
        for service in self._services.values():
            if len(service.room):
                self._run_pass(service, now)
        self._schedule()

    def _run_pass(
        self, service: CrowdedService, now: float, has_news: bool = False
    ) -> None:
        """Releases the waiters for which there is room, in their order.

        A server gets one of them in each pass, since its load is known again
        only when that one has been sent.

        Args:
            service: The service.
            now: Monotonic seconds.
            has_news: Whether waiters that were placed a moment ago are placed
                again.
        """
        for waiter in service.room.expired(now):
            service.room.leave(waiter)
            self._end(waiter, self._reason_to_leave())
        if now < service.next_pass_at:
            return
        probes = 0
        taken: set[str] = set()
        for waiter in service.room.order():
            if waiter.probe_at > now and not has_news:
                continue
            if probes == MAX_PROBES:
                break
            probes += 1
            server = self._server_with_room(service, waiter, now)
            if not server:
                waiter.probe_at = now + PROBE_PERIOD_S
            elif server not in taken:
                taken.add(server)
                service.room.release(waiter)
                self._end(waiter, ROOM)
        spent_s = self._clock.now() - now
        service.next_pass_at = now + max(
            MIN_PASS_GAP_S, spent_s / MAX_PASS_SHARE
        )

    def _server_with_room(
        self, service: CrowdedService, waiter: Waiter, now: float
    ) -> str:
        """Returns the server that has room for a waiter; empty if none has."""
        if self._contact.is_lost:
            # Another way is found for each of them.
            return f"other way {id(waiter)}"
        state = self._places[waiter].state
        choice = self._chooser.preview(state, now)
        if (
            choice is None
            or now + choice.expected_s >= state.deadline
            or not self._admits(service, state, choice, waiter.waited(now), now)
        ):
            return ""
        return choice.server.name
