"""Record of a duty's holder in the store."""

from __future__ import annotations

import msgspec


class DutyRecord(msgspec.Struct, frozen=True):
    """Names the holder of a duty; attached to the holder's lease.

    Attributes:
        holder: Name of the instance.
        incarnation: Incarnation of its process.
        lease_id: Lease of the record, which also tells the attempts of one
            process to acquire the duty apart.
        since_ms: Unix time of the acquisition in milliseconds.
    """

    holder: str
    incarnation: int
    lease_id: int
    since_ms: int = 0
