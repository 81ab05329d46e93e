"""Exchanges the wall clocks of instances in their reports."""

from __future__ import annotations

import math
from typing import Any

from radishmux.duties.clocks import DutyClock
from radishmux.duties.fleet_time import FleetTime
from radishmux.membership.hubs import ExchangePlan
from radishmux.membership.peers import Peers
from radishmux.membership.record import InstanceRecord

# The median is computed again after this time, since each request needs it.
_OFFSET_VALID_S = 0.1
_MICROSECONDS = 1_000_000
# Unix times beyond it are no clock's: the year 2286.
_MAX_UNIX_S = 1e10


class FleetClock:
    """The true time, as far as this instance can tell.

    Args:
        own: Record of this instance.
        peers: Tells the regions of the peers.
        clock: The clocks of this machine.
    """

    def __init__(
        self, own: InstanceRecord, peers: Peers, clock: DutyClock
    ) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._time = FleetTime(own.region)
        # By peer: its wall clock minus the own one, in seconds.
        self._leads: dict[str, float] = {}
        # True time minus boot clock, and boot clock up to which it is used.
        self._offset = 0.0
        self._offset_until = -math.inf

    def now(self) -> float:
        """Returns the true Unix time in seconds."""
        boot = self.read()
        if boot >= self._offset_until:
            self._offset = self._time.offset(self._own_offset(boot), boot)
            self._offset_until = boot + _OFFSET_VALID_S
        return boot + self._offset

    def read(self) -> float:
        """Returns the boot clock of this machine in seconds."""
        return self._clock.read().boot

    @property
    def lead_s(self) -> float:
        """The true time minus the own wall clock, in seconds."""
        return self.now() - self._clock.wall()

    def prune(self) -> None:
        """Drops what is known of peers that are gone."""
        self._time.prune(self.read())
        for name in self._leads.keys() - self._peers.records.keys():
            del self._leads[name]

    def stamp(self, report: Any, receiver: str, plan: ExchangePlan) -> None:
        """Adds the time to a report that is about to be sent."""
        boot = self.read()
        own = self._own_offset(boot)
        report.unix_us = _to_us(boot + own)
        report.true_lead_us = _to_us(self._time.offset(own, boot) - own)
        if plan.is_hub and not plan.is_mesh:
            median, clocks = self._time.region_offset(own, boot)
            report.region_lead_us = _to_us(median - own)
            report.region_clocks = clocks
        lead_s = self._leads.get(receiver)
        if lead_s is not None:
            report.receiver_lead_us = _to_us(lead_s)

    def on_request(self, report: Any, plan: ExchangePlan) -> None:
        """Takes the time of a peer that asks for a report.

        The time on the way is known only from an earlier exchange.
        """
        boot = self.read()
        own = self._own_offset(boot)
        if report.receiver_lead_us is not None:
            lead_s = -report.receiver_lead_us / _MICROSECONDS
            self._apply(report.instance, report, own + lead_s, boot, plan)
        else:
            unix_s = (report.unix_us or 0) / _MICROSECONDS
            self._apply(report.instance, report, unix_s - boot, boot, plan)

    def on_reply(
        self, name: str, report: Any, sent: float, plan: ExchangePlan
    ) -> None:
        """Takes the time of a peer that has answered.

        Args:
            name: Name of the peer.
            report: Its report.
            sent: Boot clock at which it was asked.
            plan: The peers with which reports are exchanged.
        """
        boot = self.read()
        unix_s = (report.unix_us or 0) / _MICROSECONDS
        offset = unix_s - (sent + boot) / 2
        if self._is_valid(report):
            self._leads[name] = offset - self._own_offset(boot)
        self._apply(name, report, offset, boot, plan)

    def _apply(
        self,
        name: str,
        report: Any,
        offset: float,
        boot: float,
        plan: ExchangePlan,
    ) -> None:
        record = self._peers.records.get(name)
        if record is None or not self._is_valid(report):
            return
        self._time.record_clock(name, record.region, offset, boot)
        is_own_region = record.region == self._own.region
        if is_own_region and not plan.is_hub and name in plan.hubs:
            lead_s = (report.true_lead_us or 0) / _MICROSECONDS
            self._time.record_estimate(name, offset + lead_s, boot)
        if not is_own_region and report.region_clocks:
            lead_s = (report.region_lead_us or 0) / _MICROSECONDS
            self._time.record_region(
                record.region, offset + lead_s, report.region_clocks, boot
            )

    def _own_offset(self, boot: float) -> float:
        return self._clock.wall() - boot

    @staticmethod
    def _is_valid(report: Any) -> bool:
        unix_us = report.unix_us
        return unix_us is not None and (
            0 < unix_us < _MAX_UNIX_S * _MICROSECONDS
        )


def _to_us(seconds: float) -> int:
    return round(seconds * _MICROSECONDS)
