"""Parts of reports between instances, and what makes them usable."""

from __future__ import annotations

import math
from typing import Any

from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.store.feed import Feed
from radishmux.store.interface import KeyChange

MILLISECONDS = 1000


def is_demand(told: Any) -> bool:
    """Whether a demand can be counted; one that is no number spoils all."""
    return (
        told.rate_per_s is not None
        and 0.0 <= told.rate_per_s < math.inf
        and told.age_ms is not None
        and told.age_ms >= 0
        and bool(told.region and told.holder and told.customer)
    )


def is_introduction(told: Any) -> bool:
    """Whether a peer can be known by a record; all of it is compared later."""
    return (
        told.incarnation is not None
        and told.capacity is not None
        and 0.0 < told.capacity < math.inf
        and bool(told.instance and told.region and told.peer_address)
        and None not in (told.failure_domain, told.caller_address)
    )


def to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)


def encode_introduction(record: InstanceRecord) -> Any:
    return messages.Introduction(
        instance=record.instance,
        incarnation=record.incarnation,
        region=record.region,
        failure_domain=record.failure_domain,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        capacity=record.capacity,
    )


def decode_introduction(told: Any) -> InstanceRecord:
    return InstanceRecord(
        instance=told.instance,
        incarnation=told.incarnation,
        region=told.region,
        failure_domain=told.failure_domain,
        caller_address=told.caller_address,
        peer_address=told.peer_address,
        capacity=told.capacity,
    )


def encode_feed(feed: Feed) -> Any:
    returned = feed.recovered_ago_s
    return messages.StoreFeed(
        as_of=feed.as_of,
        changes=[
            messages.StoreChange(
                key=one.key,
                value=one.value or b"",
                revision=one.revision,
                deleted=one.value is None,
            )
            for one in feed.changes
        ],
        contact_age_ms=to_ms(feed.contact_age_s),
        returned_ms=-1 if returned is None else to_ms(returned),
    )


def decode_feed(feed: Any) -> Feed:
    changes = tuple(
        KeyChange(
            one.key, None if one.deleted else (one.value or b""), one.revision
        )
        for one in feed.changes or ()
    )
    returned_ms = feed.returned_ms
    return Feed(
        changes,
        feed.as_of,
        feed.contact_age_ms / MILLISECONDS,
        None if returned_ms < 0 else returned_ms / MILLISECONDS,
    )
