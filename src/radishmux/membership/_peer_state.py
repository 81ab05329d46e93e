"""What an instance knows about one peer."""

from __future__ import annotations

import math

from radishmux.instances.interface import Instance, InstanceState
from radishmux.membership.roster_document import RosterEntry
from radishmux.statechart import Chart


class PeerState:
    """Knowledge about one peer; owned by the membership view.

    The state chart is only run when an event changes the state, since one
    run of the chart costs more than the rest of a heartbeat's handling.

    Attributes:
        chart: States of statecharts/instance.json.
        incarnation: Highest number heard of; 0 while unknown.
        dead_incarnation: Highest number whose process is known to be gone.
        listed: The platform's record, if it names the peer now.
        entry: The roster's record, if it has one.
        was_listed: Whether the platform has ever named this incarnation.
        heard_at: When any message of this incarnation last arrived.
        heard_since: Start of the current unbroken time of acknowledgements.
        acknowledged_at: Send time of the latest acknowledged heartbeat.
        heard_by_peer: Instances that the peer hears.
        silent_for_peer: Instances that the peer has not heard for the
            takeover delay or knows to be dead.
        contact_at: Lower bound of the time of the store read behind the
            peer's configuration.
    """

    __slots__ = (
        "_record",
        "_record_of",
        "acknowledged_at",
        "chart",
        "config_version",
        "contact_at",
        "dead_incarnation",
        "entry",
        "heard_at",
        "heard_by_peer",
        "heard_since",
        "incarnation",
        "leaving",
        "listed",
        "name",
        "roster_revision",
        "sequence",
        "silent_for_peer",
        "was_listed",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.chart = Chart("instance")
        self.incarnation = 0
        self.dead_incarnation = 0
        self.listed: Instance | None = None
        self.entry: RosterEntry | None = None
        self.was_listed = False
        self._record: Instance | None = None
        self._record_of: tuple[RosterEntry | None, Instance | None, int] = (
            None,
            None,
            0,
        )
        self._reset(now)

    @property
    def proven_dead(self) -> bool:
        """Whether the latest known process is gone for certain."""
        return 0 < self.incarnation <= self.dead_incarnation

    @property
    def record(self) -> Instance | None:
        """Addresses and place of the peer, if known.

        The roster is written by the instance itself and so is newer than the
        platform's list, unless that process is gone.
        """
        entry, listed, dead = self._record_of
        unchanged = entry is self.entry and listed is self.listed
        if not unchanged or dead != self.dead_incarnation:
            self._record_of = (self.entry, self.listed, self.dead_incarnation)
            self._record = self._make_record()
        return self._record

    def _make_record(self) -> Instance | None:
        entry = self.entry
        if entry is not None and entry.incarnation > self.dead_incarnation:
            return Instance(
                instance=entry.instance,
                region=entry.region,
                failure_domain=entry.failure_domain,
                caller_address=entry.caller_address,
                peer_address=entry.peer_address,
                control_address=entry.control_address,
                state=self.listed.state if self.listed else InstanceState.LIVE,
            )
        return self.listed

    def restart(self, incarnation: int, now: float) -> None:
        """Starts over for a newer process of the same instance."""
        self.dead_incarnation = max(self.dead_incarnation, incarnation - 1)
        self.chart.fire("restarted")
        self.incarnation = incarnation
        self.was_listed = self.listed is not None
        self._reset(now)

    def _reset(self, now: float) -> None:
        self.leaving = False
        self.sequence = 0
        self.heard_at = now
        self.heard_since = math.inf
        self.acknowledged_at = -math.inf
        self.heard_by_peer: frozenset[str] = frozenset()
        self.silent_for_peer: frozenset[str] = frozenset()
        self.contact_at = -math.inf
        self.config_version = 0
        self.roster_revision = 0
