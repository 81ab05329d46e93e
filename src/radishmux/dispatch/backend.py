"""One backend server as its dispatcher sees it.

Pure: the caller passes the time.
"""

from __future__ import annotations

from radishmux.config.model import BackendServer
from radishmux.statechart import Chart

# Consecutive probe failures after which a server is down, if no request
# succeeded in the meantime.
FAILED_PROBES = 2
# A request that succeeded this recently outweighs failed probes.
OWN_EVIDENCE_S = 1.0
# Share of a warming server's slots at the start.
MIN_WARMING_FRACTION = 0.25
# A warming server is warm when its latency is within this factor of the
# others', over this many answers in a row.
WARM_FACTOR = 1.5
WARM_ANSWERS = 8
# Weight of the newest latency in the moving average.
_LATENCY_WEIGHT = 0.2


class Backend:
    """State, slots and latency of a backend server.

    Attributes:
        server: Its record in the configuration.
        in_use: Slots in use by this instance.
        usable: Slots that may be used now.
        latency_s: Moving average of the latency; 0 before the first answer.
    """

    __slots__ = (
        "_alone",
        "_chart",
        "_failed_probes",
        "_foreign",
        "_listed_leaving",
        "_reference_s",
        "_succeeded_at",
        "_warm_answers",
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
        self._alone = False
        self._failed_probes = 0
        self._foreign = 0
        self._listed_leaving = False
        self._reference_s = 0.0
        self._succeeded_at = float("-inf")
        self._warm_answers = 0

    @property
    def state(self) -> str:
        """State in statecharts/backend_server.json."""
        return self._chart.state

    @property
    def is_warming(self) -> bool:
        """Whether only a part of the slots is used."""
        return self._chart.state == "warming"

    def acquire(self, exclusive: bool = False) -> None:
        """Takes a slot; exclusive: takes the whole server."""
        self.in_use += 1
        if exclusive:
            self._alone = True
            self._update()

    def release(self) -> None:
        """Frees a slot."""
        self.in_use -= 1
        if self._alone and self.in_use == 0:
            self._alone = False
            self._update()

    def apply_probe(
        self, state: str, in_flight: int, own_at_send: int, foreign: bool
    ) -> bool:
        """Takes what the health endpoint says.

        Args:
            state: `ready`, `warming` or `draining`.
            in_flight: Requests that the server says it runs.
            own_at_send: Slots in use here when the probe was sent.
            foreign: Whether requests of an earlier dispatcher may still run
                there; they keep their slots.

        Returns:
            Whether the state changed.
        """
        self._failed_probes = 0
        own = max(own_at_send, self.in_use)
        self._foreign = max(0, in_flight - own) if foreign else 0
        event = f"reports_{state}"
        is_known = event in _REPORTS and not self._listed_leaving
        changed = is_known and self._chart.fire(event)
        if changed and self.is_warming:
            self._warm_answers = 0
        if state == "ready" and self.is_warming and not self._reference_s:
            changed = self._chart.fire("warmed_up") or changed
        self._update()
        return changed

    def record_probe_failure(self, now: float) -> bool:
        """Takes a probe without a usable answer."""
        self._failed_probes += 1
        if self._failed_probes < FAILED_PROBES:
            return False
        if now - self._succeeded_at < OWN_EVIDENCE_S:
            return False
        return self.mark_down()

    def mark_leaving(self) -> bool:
        """Takes the platform's word that the server is leaving."""
        self._listed_leaving = True
        changed = self._chart.fire("listed_leaving")
        self._update()
        return changed

    def mark_down(self) -> bool:
        """Takes the server out of use until a probe succeeds."""
        changed = self._chart.fire("fails")
        self._update()
        return changed

    def record_response(self, latency_s: float, now: float) -> None:
        """Takes the latency of a complete answer."""
        self._succeeded_at = now
        if self.latency_s:
            delta = latency_s - self.latency_s
            self.latency_s += _LATENCY_WEIGHT * delta
        else:
            self.latency_s = latency_s
        if self.is_warming:
            self._warm(latency_s)

    def set_reference_latency(self, latency_s: float) -> None:
        """Sets the latency of the ready servers of the same service."""
        self._reference_s = latency_s
        if self.is_warming:
            self._update()

    def _warm(self, latency_s: float) -> None:
        if latency_s <= WARM_FACTOR * self._reference_s:
            self._warm_answers += 1
        else:
            self._warm_answers = 0
        if not self._reference_s or self._warm_answers >= WARM_ANSWERS:
            self._chart.fire("warmed_up")
        self._update()

    def _update(self) -> None:
        fraction = _FRACTIONS.get(self._chart.state, 0.0)
        if self.is_warming:
            fraction = self._warming_fraction()
        usable = max(1, int(self.server.slots * fraction)) if fraction else 0
        usable = max(0, min(usable, self.server.slots - self._foreign))
        self.usable = min(usable, 1) if self._alone else usable

    def _warming_fraction(self) -> float:
        if not self.latency_s or not self._reference_s:
            return MIN_WARMING_FRACTION
        fraction = self._reference_s / self.latency_s
        return min(1.0, max(MIN_WARMING_FRACTION, fraction))


_REPORTS = ("reports_ready", "reports_warming", "reports_draining")
_FRACTIONS = {"ready": 1.0}
