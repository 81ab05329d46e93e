"""State that an instance keeps about one peer."""

from __future__ import annotations

import math

from radishmux.instances.interface import Instance, InstanceState
from radishmux.membership.roster_document import RosterEntry
from radishmux.statechart import Chart


class PeerState:
    """State of one peer, owned by the membership view.

    Callers fire an event of the state chart only if it changes the state,
    since running the chart costs more than the rest of the handling of a
    heartbeat.

    Attributes:
        name: Name of the peer.
        chart: State chart of statecharts/instance.json.
        incarnation: Highest known incarnation; 0 while none is known.
        dead_incarnation: Highest incarnation whose process is proven dead.
        listed: The peer's record in the platform's instance list, if the
            list currently contains the peer.
        entry: The peer's roster entry, if there is one.
        was_listed: Whether the platform's list has ever contained the peer
            during this incarnation.
        leaving: Whether the peer reports that it is about to stop.
        sequence: Number of the latest heartbeat of this incarnation.
        heard_at: Arrival time of the latest message of this incarnation.
        heard_since: Start of the current unbroken series of
            acknowledgements; inf before the first one.
        acknowledged_at: Send time of the latest heartbeat that the peer has
            acknowledged.
        heard_by_peer: Instances that the peer hears.
        silent_for_peer: Instances that the peer has not heard for the
            takeover delay or knows to be dead.
        contact_at: Lower bound of the time of the store read that the
            peer's configuration comes from.
        config_version: Version of the configuration in force at the peer.
        roster_revision: Store revision of the roster that the peer has read.
    """

    __slots__ = (
        "_record",
        "_record_source",
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
        self._record_source: tuple[RosterEntry | None, Instance | None, int] = (
            None,
            None,
            0,
        )
        self._reset(now)

    @property
    def proven_dead(self) -> bool:
        """Whether the process of the highest incarnation is proven dead."""
        return 0 < self.incarnation <= self.dead_incarnation

    @property
    def record(self) -> Instance | None:
        """Addresses and location of the peer, if known.

        Each instance writes its own roster entry. The entry is therefore
        newer than the platform's list, unless its process is dead.
        """
        entry, listed, dead = self._record_source
        unchanged = entry is self.entry and listed is self.listed
        if not unchanged or dead != self.dead_incarnation:
            self._record_source = (
                self.entry,
                self.listed,
                self.dead_incarnation,
            )
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
        """Resets the state for a newer process of the same instance.

        All older processes count as dead.
        """
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
