"""The condition on the peers under which a store outage is inferred."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from radishmux.instances.interface import Instance


class Peers(Protocol):
    """The part of `membership.view.MembershipView` that is used here."""

    def peers(self) -> Iterable[Instance]:
        """Returns all other instances with a known address."""

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat sent in the last second."""

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation, or 0."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether the given process of an instance is proven dead."""


def hears_everyone(peers: Peers, now: float) -> bool:
    """Whether every known peer is heard or proven dead, and one is heard.

    This checks all known peers and not only the roster, because the last
    roster that this instance has read may be older than the entries of other
    instances. An instance that hears no peer cannot distinguish an outage of
    the store from a network partition that isolates the instance itself.
    """
    heard_count = 0
    for peer in peers.peers():
        name = peer.instance
        if peers.hears(name, now):
            heard_count += 1
            continue
        incarnation = peers.incarnation_of(name)
        if incarnation == 0 or not peers.incarnation_dead(name, incarnation):
            return False
    return heard_count > 0
