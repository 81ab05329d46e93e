"""The part of the outage predicate that looks at the peers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from radishmux.instances.interface import Instance


class Peers(Protocol):
    """What the predicate needs of membership.view.MembershipView."""

    def peers(self) -> Iterable[Instance]:
        """Returns all other instances with a known address."""

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat of the last second."""

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation, or 0."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether one process of an instance is gone for certain."""


def hears_everyone(peers: Peers, now: float) -> bool:
    """Whether every known peer is heard or its process is gone.

    The roster alone is not enough: as this instance last read it, it may be
    from before the others joined. An instance that hears nobody cannot tell
    an outage of the store from its own partition.
    """
    heard = 0
    for one in peers.peers():
        name = one.instance
        if peers.hears(name, now):
            heard += 1
            continue
        incarnation = peers.incarnation_of(name)
        if incarnation == 0 or not peers.incarnation_dead(name, incarnation):
            return False
    return heard > 0
