"""When the store was last reached, directly or through peers."""

from __future__ import annotations

import math
from collections.abc import Iterable

from radishmux.membership._peer_state import PeerState


class StoreContact:
    """Times of store reads, as lower bounds.

    Attributes:
        config_version: Version of the configuration in force here.
        contact_at: Time of the read behind that configuration.
        direct_at: Latest response to this instance.
        heard_at: Latest response to any instance.
    """

    __slots__ = ("config_version", "contact_at", "direct_at", "heard_at")

    def __init__(self) -> None:
        self.config_version = 0
        self.contact_at = -math.inf
        self.direct_at = -math.inf
        self.heard_at = -math.inf

    def note_confirmed(self, sent_at: float) -> None:
        """Notes a response that confirms the configuration in force."""
        self.contact_at = max(self.contact_at, sent_at)
        self.note_response(sent_at)

    def note_response(self, sent_at: float) -> None:
        """Notes any response of the store to this instance."""
        self.direct_at = max(self.direct_at, sent_at)
        self.heard_at = max(self.heard_at, sent_at)

    def note_heard(self, at: float) -> None:
        """Notes a response to some instance."""
        self.heard_at = max(self.heard_at, at)

    def learn(self, peers: Iterable[PeerState]) -> None:
        """Takes over the contact of peers.

        A peer's contact counts only once its configuration is in force here
        as well; otherwise a revocation could be missing.
        """
        for peer in peers:
            if peer.config_version <= self.config_version:
                self.contact_at = max(self.contact_at, peer.contact_at)


def age_ms(age_s: float) -> int:
    """Returns an age as sent to peers, or -1 for none.

    Rounded up, so that the receiver's lower bound of the time stays one.
    """
    return -1 if math.isinf(age_s) else math.ceil(age_s * 1000)
