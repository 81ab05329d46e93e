"""What an instance knows of the capacity of one service."""

from __future__ import annotations

import math

from radishmux.steer.admission import ServiceAdmission
from radishmux.steer.return_times import ReturnTimes
from radishmux.steer.waiting_room import WaitingRoom


class CrowdedService:
    """What is known of one service, and who waits for it.

    Attributes:
        admission: Decides who is sent.
        room: Order of the waiting requests.
        returns: When refused callers return.
        next_pass_at: Monotonic time before which no pass is made.
    """

    __slots__ = ("admission", "next_pass_at", "returns", "room")

    def __init__(self, max_waiting: int, floor: float) -> None:
        self.admission = ServiceAdmission(floor)
        self.room = WaitingRoom(max_waiting, floor)
        self.returns = ReturnTimes()
        self.next_pass_at = -math.inf
