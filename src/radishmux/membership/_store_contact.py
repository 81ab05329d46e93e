"""Times at which the store was last reached, directly or through peers."""

from __future__ import annotations

import math
from collections.abc import Iterable

from radishmux.membership._peer_state import PeerState


class StoreContact:
    """Times of store reads, as lower bounds in monotonic seconds.

    Attributes:
        config_version: Version of the configuration in force at this
            instance.
        contact_at: Time of the latest store read that confirmed this
            configuration.
        direct_at: Time of the latest response to this instance.
        any_response_at: Time of the latest response to any instance.
    """

    __slots__ = ("any_response_at", "config_version", "contact_at", "direct_at")

    def __init__(self) -> None:
        self.config_version = 0
        self.contact_at = -math.inf
        self.direct_at = -math.inf
        self.any_response_at = -math.inf

    def record_confirmation(self, sent_at: float) -> None:
        """Records a response that confirms the configuration in force."""
        self.contact_at = max(self.contact_at, sent_at)
        self.record_response(sent_at)

    def record_response(self, sent_at: float) -> None:
        """Records any response of the store to this instance."""
        self.direct_at = max(self.direct_at, sent_at)
        self.any_response_at = max(self.any_response_at, sent_at)

    def record_response_to_any(self, at: float) -> None:
        """Records a response of the store to any instance."""
        self.any_response_at = max(self.any_response_at, at)

    def adopt_peer_contact(self, peers: Iterable[PeerState]) -> None:
        """Updates the contact time from the contact times of peers.

        A peer's contact counts only if this instance has the same or a newer
        configuration. Otherwise a key revocation could be missing here.
        """
        for peer in peers:
            if peer.config_version <= self.config_version:
                self.contact_at = max(self.contact_at, peer.contact_at)


def age_ms(age_s: float) -> int:
    """Returns an age in the form sent to peers: milliseconds, -1 for inf.

    The age is rounded up, so that the time which the receiver derives from it
    is still a lower bound.
    """
    return -1 if math.isinf(age_s) else math.ceil(age_s * 1000)
