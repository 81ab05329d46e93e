"""State, slots and latency of one backend server at its dispatcher.

Does no I/O and reads no clock; callers pass the time.
"""

from __future__ import annotations

from radishmux.config.model import BackendServer
from radishmux.statechart import Chart

# Consecutive probe failures after which a server is down, unless a request to
# it succeeded recently.
PROBE_FAILURES_UNTIL_DOWN = 2
# While the last successful request is younger than this, failed probes do not
# take the server down.
RECENT_SUCCESS_S = 1.0
# Smallest usable share of a warming server's slots.
MIN_WARMING_FRACTION = 0.25
# A warming server becomes ready when the latency of this many consecutive
# responses is within this factor of the mean of the ready servers.
WARM_FACTOR = 1.5
WARM_RESPONSES = 8
# Weight of the newest latency in the exponential moving average.
_LATENCY_WEIGHT = 0.2


class Backend:
    """State, slots and latency of a backend server.

    Attributes:
        server: Record of the server in the configuration.
        in_use: Slots in use by this instance.
        usable: Limit of the slots that this instance may use now; `in_use`
            may exceed it for a while after it was lowered.
        latency_s: Moving average of the latency; 0 before the first response.
    """

    __slots__ = (
        "_chart",
        "_failed_probes",
        "_is_exclusive",
        "_listed_leaving",
        "_previous_dispatcher_slots",
        "_reference_latency_s",
        "_succeeded_at",
        "_warm_responses",
        "in_use",
        "latency_s",
        "server",
        "usable",
    )

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.in_use = 0
        self.usable = 0
        self.latency_s = 0.0
        self._chart = Chart("backend_server")
        self._is_exclusive = False
        self._failed_probes = 0
        self._previous_dispatcher_slots = 0
        self._listed_leaving = False
        self._reference_latency_s = 0.0
        self._succeeded_at = float("-inf")
        self._warm_responses = 0

    @property
    def state(self) -> str:
        """State in statecharts/backend_server.json."""
        return self._chart.state

    @property
    def is_warming(self) -> bool:
        """Whether only a part of the slots is used."""
        return self._chart.state == "warming"

    def acquire(self, exclusive: bool = False) -> None:
        """Occupies a slot.

        Args:
            exclusive: Whether to allow no other request until the server's
                slots are all released.
        """
        self.in_use += 1
        if exclusive:
            self._is_exclusive = True
            self._update_usable()

    def release(self) -> None:
        """Releases a slot that `acquire` occupied."""
        self.in_use -= 1
        if self._is_exclusive and self.in_use == 0:
            self._is_exclusive = False
            self._update_usable()

    def apply_probe(
        self,
        state: str,
        in_flight: int,
        in_use_at_send: int,
        is_after_takeover: bool,
    ) -> bool:
        """Applies the response of the server's health endpoint.

        Args:
            state: `ready`, `warming` or `draining`; other values are ignored.
            in_flight: Number of requests in flight that the server reports.
            in_use_at_send: Slots in use here when the probe was sent.
            is_after_takeover: Whether this instance took over the cell so
                recently that requests of the previous dispatcher may still
                run on the server. Their slots stay reserved.

        Returns:
            Whether the state changed.
        """
        self._failed_probes = 0
        own_slots = max(in_use_at_send, self.in_use)
        self._previous_dispatcher_slots = (
            max(0, in_flight - own_slots) if is_after_takeover else 0
        )
        event = f"reports_{state}"
        is_accepted = event in _REPORT_EVENTS and not self._listed_leaving
        changed = is_accepted and self._chart.fire(event)
        if changed and self.is_warming:
            self._warm_responses = 0
        # Without the latency of a ready server there is nothing to compare a
        # warming server with, so its own report decides.
        if (
            state == "ready"
            and self.is_warming
            and not self._reference_latency_s
        ):
            changed = self._chart.fire("warmed_up") or changed
        self._update_usable()
        return changed

    def record_probe_failure(self, now: float) -> bool:
        """Counts a probe without a usable response.

        Returns:
            Whether the state changed.
        """
        self._failed_probes += 1
        if self._failed_probes < PROBE_FAILURES_UNTIL_DOWN:
            return False
        if now - self._succeeded_at < RECENT_SUCCESS_S:
            return False
        return self.mark_down()

    def mark_leaving(self) -> bool:
        """Drains the server, since the platform lists it as leaving.

        Later reports of its health endpoint do not change this.

        Returns:
            Whether the state changed.
        """
        self._listed_leaving = True
        changed = self._chart.fire("listed_leaving")
        self._update_usable()
        return changed

    def mark_down(self) -> bool:
        """Takes the server out of use until a probe succeeds.

        Returns:
            Whether the state changed.
        """
        changed = self._chart.fire("fails")
        self._update_usable()
        return changed

    def record_response(self, latency_s: float, now: float) -> None:
        """Records the latency of a complete response."""
        self._succeeded_at = now
        if self.latency_s:
            delta = latency_s - self.latency_s
            self.latency_s += _LATENCY_WEIGHT * delta
        else:
            self.latency_s = latency_s
        if self.is_warming:
            self._record_warming_response(latency_s)

    def set_reference_latency(self, latency_s: float) -> None:
        """Sets the mean latency of the ready servers of the same cell.

        A warming server is compared with it; 0 means that there is none.
        """
        self._reference_latency_s = latency_s
        if self.is_warming:
            self._update_usable()

    def _record_warming_response(self, latency_s: float) -> None:
        if latency_s <= WARM_FACTOR * self._reference_latency_s:
            self._warm_responses += 1
        else:
            self._warm_responses = 0
        if (
            not self._reference_latency_s
            or self._warm_responses >= WARM_RESPONSES
        ):
            self._chart.fire("warmed_up")
        self._update_usable()

    def _update_usable(self) -> None:
        fraction = _USABLE_FRACTIONS.get(self._chart.state, 0.0)
        if self.is_warming:
            fraction = self._warming_fraction()
        usable = max(1, int(self.server.slots * fraction)) if fraction else 0
        usable = max(
            0, min(usable, self.server.slots - self._previous_dispatcher_slots)
        )
        self.usable = min(usable, 1) if self._is_exclusive else usable

    def _warming_fraction(self) -> float:
        if not self.latency_s or not self._reference_latency_s:
            return MIN_WARMING_FRACTION
        fraction = self._reference_latency_s / self.latency_s
        return min(1.0, max(MIN_WARMING_FRACTION, fraction))


_REPORT_EVENTS = ("reports_ready", "reports_warming", "reports_draining")
_USABLE_FRACTIONS = {"ready": 1.0}
