"""Documents of the store's responses."""

from __future__ import annotations

import msgspec


class Item(msgspec.Struct, rename="pascal"):
    """A stored item or a change event.

    The store may leave out every field except the key.
    """

    key: str
    value: str = ""
    revision: int = 0
    deleted: bool = False


class RangePage(msgspec.Struct):
    """One page of keys."""

    items: list[Item] = []
    has_more: bool = msgspec.field(default=False, name="HasMore")
    as_of: int = msgspec.field(default=0, name="AsOf")


class EventList(msgspec.Struct):
    """Changes of keys."""

    events: list[Item] = []
    as_of: int = msgspec.field(default=0, name="AsOf")


class WriteResult(msgspec.Struct, rename="pascal"):
    """The revision of a write."""

    revision: int = 0


class Lease(msgspec.Struct):
    """A lease and its time to live."""

    lease_id: int = msgspec.field(default=0, name="LeaseId")
    # The suffix of the wire name sets this field apart from the other `TtlS` in
    # the platform's API.
    ttl_s: float = msgspec.field(default=0.0, name="TtlS_time")
