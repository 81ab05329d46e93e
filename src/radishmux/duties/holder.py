"""Decides when an instance acquires, renews and gives up a duty.

The fencing token is the store's revision of the write that created the record,
so no two holders can have the same one. The class performs no I/O: `next_step`
names the call to make, and the `on_` methods take its outcome. A lost response
is answered by reading the record back.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from radishmux.duties.clocks import Reading
from radishmux.duties.record import DutyRecord
from radishmux.store.revision import era_of

# Candidates try one after the other, so that a large fleet does not write to
# the store all at once: a round trip to the store and its watch.
RANK_GAP_S = 0.25
# Pause after a store call that failed, long enough not to load a store that is
# recovering, short against a lease.
RETRY_S = 0.5
# An instance that has heard less than half of the others for this long does not
# acquire a duty, since it would not get their counts: more than one report.
UNHEARD_CANDIDATE_S = 2.0
# A holder gives the duty up after this time. It is longer than the lease of the
# instances' records, so that the death of many instances is no reason.
UNHEARD_HOLDER_S = 6.0
# A lease is renewed this many times in its duration, so that one renewal may
# fail.
RENEWALS_PER_LEASE = 3


class Step(enum.Enum):
    """A call to make for a duty."""

    NONE = "none"
    GRANT = "grant a lease"
    CREATE = "create the record"
    READ = "read the record back"
    RENEW = "renew the lease"
    RELEASE = "delete the own record"


class State(enum.Enum):
    """State of an instance with regard to one duty."""

    WAITING = "waiting"
    CREATING = "creating"
    UNCONFIRMED = "unconfirmed"
    HOLDING = "holding"
    RELEASING = "releasing"
    LEFT = "left"


_ACQUIRING = frozenset({State.CREATING, State.UNCONFIRMED})
# States that the store's restoration ends.
_ERA_BOUND = _ACQUIRING | {State.HOLDING}


class Change(enum.Enum):
    """What a holder reports to its log."""

    HELD = "held"
    LOST = "lost"


class DutyHolder:
    """State machine of one duty at one instance.

    Args:
        instance: Name of this instance.
        incarnation: Incarnation of this process.
        ttl_s: Duration of the lease, in seconds.
        slack_s: Time before the end of the lease at which the holder stops.
        quiet_s: Time after a loss, and after the start, in which the duty is
            not acquired. Without it holders could act in the order A, B, A
            within one lease.
        now: Time of the start.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        ttl_s: float,
        slack_s: float,
        quiet_s: float,
        now: Reading,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._ttl_s = ttl_s
        self._slack_s = slack_s
        self._quiet_s = quiet_s
        self._state = State.WAITING
        self._quiet_until = now.plus(quiet_s)
        self._retry_at = now
        self._vacant_since: Reading | None = None
        self._is_known = False
        self._rank = 0
        self._record: DutyRecord | None = None
        self._record_revision = 0
        self._lease_id = 0
        self._valid_until = now
        self._renew_at = now
        self._token = 0
        self._is_leaving = False
        self._era = 0
        # Since when less than half of the other instances are heard.
        self._unheard_since: Reading | None = None
        self._changes: list[tuple[Change, str, int]] = []

    @property
    def state(self) -> State:
        """The current state."""
        return self._state

    @property
    def token(self) -> int:
        """Revision of the own record; 0 while the duty is not held."""
        return self._token if self._state is State.HOLDING else 0

    @property
    def release_revision(self) -> int:
        """Revision of the own record that is to be deleted."""
        return self._token

    @property
    def lease_id(self) -> int:
        """The latest lease that was granted for this duty."""
        return self._lease_id

    @property
    def record(self) -> DutyRecord | None:
        """Record of the current holder, as far as the store's watch tells."""
        return self._record

    @property
    def record_revision(self) -> int:
        """Revision of that record; the holder's token."""
        return self._record_revision

    def take_changes(self) -> list[tuple[Change, str, int]]:
        """Returns what has changed since the last call: change, reason, token.

        The reason is empty for an acquisition.
        """
        taken, self._changes = self._changes, []
        return taken

    def may_act(self, now: Reading, era: int) -> bool:
        """Whether this instance certainly holds the duty.

        Args:
            now: The present reading.
            era: Latest known era of the store.
        """
        return (
            self._state is State.HOLDING
            and now.is_before(self._valid_until)
            and era == era_of(self._token)
        )

    def next_step(self, now: Reading, era: int) -> Step:
        """Returns the call to make now.

        Args:
            now: The present reading.
            era: Latest known era of the store.
        """
        self.on_era(era, now)
        return _NEXT[self._state](self, now)

    def set_rank(self, rank: int) -> None:
        """Sets how many candidates should try before this one."""
        self._rank = rank

    def set_heard(self, is_half_heard: bool, now: Reading) -> None:
        """Sets whether at least half of the instances, with this one, are."""
        if is_half_heard:
            self._unheard_since = None
        elif self._unheard_since is None:
            self._unheard_since = now

    def on_era(self, era: int, now: Reading) -> None:
        """Takes the latest known era of the store.

        A restoration removes the record of a holder that may not know yet and
        whose lease is certain for it until it ends, so the duty is not acquired
        for the duration of a lease. An attempt to acquire it is given up.
        """
        if era == self._era:
            return
        self._era = era
        if self._state in _ERA_BOUND:
            self._lose("the store was restored", now)
        self._quiet_until = now.plus(self._quiet_s)

    def on_record(
        self, record: DutyRecord | None, revision: int, now: Reading
    ) -> None:
        """Takes the record that the store's watch delivers; None: deleted."""
        if record is not None and revision < self._record_revision:
            return
        self._is_known = True
        self._record = record
        self._record_revision = max(revision, self._record_revision)
        if record is not None:
            self._vacant_since = None
        elif self._vacant_since is None:
            self._vacant_since = now
        if self._state is State.HOLDING and revision > self._token:
            self._lose("another record", now)

    def on_granted(self, lease_id: int, sent_at: Reading) -> None:
        """Takes a new lease; it counts from when the call was sent."""
        if self._is_leaving:
            return
        self._lease_id = lease_id
        self._set_valid(sent_at, self._ttl_s)
        self._state = State.CREATING

    def on_grant_failed(self, now: Reading) -> None:
        """Takes the failure to get a lease."""
        self._retry_at = now.plus(RETRY_S)

    def on_created(self, revision: int, now: Reading) -> None:
        """Takes the revision of the own record, also when it was read back.

        If the attempt was given up, the record lapses with its lease.
        """
        if self._state not in _ACQUIRING:
            return
        if not now.is_before(self._valid_until):
            self._lose("lease over before the record was confirmed", now)
            return
        self._token = revision
        self._state = State.HOLDING
        self._changes.append((Change.HELD, "", revision))
        if self._is_leaving:
            self.leave(now)

    def on_create_refused(self, now: Reading) -> None:
        """Takes the certain failure to create the record."""
        if self._state not in _ACQUIRING:
            return
        self._state = State.LEFT if self._is_leaving else State.WAITING
        self._retry_at = now.plus(RETRY_S)

    def on_create_lost(self, now: Reading) -> None:
        """Takes the loss of the response to the creation of the record."""
        if self._state not in _ACQUIRING:
            return
        self._state = State.UNCONFIRMED
        self._retry_at = now

    def on_read(
        self, record: DutyRecord | None, revision: int, now: Reading
    ) -> None:
        """Takes the record that was read back; None if there is none.

        Without a record the write may still be executed. Its record is then
        left to lapse with the lease, which is not renewed.
        """
        if self._state not in _ACQUIRING:
            return
        if record is not None and self._is_own(record):
            self.on_created(revision, now)
            return
        if record is None:
            self._lose("the write was not confirmed", now)
            return
        self.on_create_refused(now)

    def on_read_failed(self, now: Reading) -> None:
        """Takes the failure to read the record back."""
        self._retry_at = now.plus(RETRY_S)

    def on_renewed(self, sent_at: Reading, remaining_s: float) -> None:
        """Takes a renewal; it counts from when the call was sent.

        Args:
            sent_at: When the call was sent.
            remaining_s: What the store says of the lease's duration.
        """
        if self._state is State.HOLDING:
            self._set_valid(sent_at, min(self._ttl_s, remaining_s))

    def on_renewal_failed(self, now: Reading) -> None:
        """Takes a renewal without a response."""
        self._renew_at = now.plus(RETRY_S)

    def on_lapsed(self, now: Reading) -> None:
        """Takes the store's answer that the lease has ended."""
        if self._state is State.HOLDING:
            self._lose("lease has lapsed", now)

    def on_fenced(self, token: int, now: Reading) -> None:
        """Takes the answer that a higher token than `token` was seen.

        The record is deleted, so that the next holder gets a higher token.
        """
        if self._state is State.HOLDING and token == self._token:
            self._lose("a higher token was seen", now)
            self._state = State.RELEASING

    def on_released(self) -> None:
        """Takes the end of the attempt to delete the own record."""
        self._state = State.LEFT if self._is_leaving else State.WAITING

    def leave(self, now: Reading) -> None:
        """Gives the duty up for good."""
        self._is_leaving = True
        if self._state is State.HOLDING:
            self._lose("leaving", now)
            self._state = State.RELEASING
        elif self._state is State.WAITING:
            self._state = State.LEFT

    def _is_own(self, record: DutyRecord) -> bool:
        return (record.holder, record.incarnation, record.lease_id) == (
            self._instance,
            self._incarnation,
            self._lease_id,
        )

    def _is_unheard(self, seconds: float, now: Reading) -> bool:
        since = self._unheard_since
        return since is not None and now.is_after(since.plus(seconds))

    def _set_valid(self, sent_at: Reading, ttl_s: float) -> None:
        self._valid_until = sent_at.plus(ttl_s - self._slack_s)
        self._renew_at = sent_at.plus(ttl_s / RENEWALS_PER_LEASE)

    def _lose(self, reason: str, now: Reading) -> None:
        if self._state is State.HOLDING:
            self._changes.append((Change.LOST, reason, self._token))
        self._state = State.LEFT if self._is_leaving else State.WAITING
        self._quiet_until = now.plus(self._quiet_s)

    def _next_waiting(self, now: Reading) -> Step:
        if not self._is_known or self._vacant_since is None:
            return Step.NONE
        turn = self._vacant_since.plus(self._rank * RANK_GAP_S)
        starts = (self._quiet_until, self._retry_at, turn)
        if self._is_unheard(UNHEARD_CANDIDATE_S, now):
            return Step.NONE
        if not all(now.is_after(start) for start in starts):
            return Step.NONE
        return Step.GRANT

    def _next_creating(self, now: Reading) -> Step:
        if not now.is_before(self._valid_until):
            self.on_create_refused(now)
            return Step.NONE
        return Step.CREATE

    def _next_unconfirmed(self, now: Reading) -> Step:
        if not now.is_before(self._valid_until):
            self._lose("lease over before the record was confirmed", now)
            return Step.NONE
        return Step.READ if now.is_after(self._retry_at) else Step.NONE

    def _next_holding(self, now: Reading) -> Step:
        if not now.is_before(self._valid_until):
            self._lose("lease not renewed in time", now)
            return Step.NONE
        if self._is_unheard(UNHEARD_HOLDER_S, now):
            self._lose("hears less than half of the instances", now)
            self._state = State.RELEASING
            return Step.NONE
        return Step.NONE if now.is_before(self._renew_at) else Step.RENEW

    def _next_releasing(self, now: Reading) -> Step:
        return Step.RELEASE

    def _next_left(self, now: Reading) -> Step:
        return Step.NONE


_NEXT: dict[State, Callable[[DutyHolder, Reading], Step]] = {
    State.WAITING: DutyHolder._next_waiting,
    State.CREATING: DutyHolder._next_creating,
    State.UNCONFIRMED: DutyHolder._next_unconfirmed,
    State.HOLDING: DutyHolder._next_holding,
    State.RELEASING: DutyHolder._next_releasing,
    State.LEFT: DutyHolder._next_left,
}
