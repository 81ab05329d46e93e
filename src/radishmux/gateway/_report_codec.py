"""Validates, encodes and decodes entries of the reports of instances."""

from __future__ import annotations

import math
from typing import Any

from radishmux.membership.record import InstanceRecord
from radishmux.peer import messages
from radishmux.store.feed import Feed
from radishmux.store.interface import KeyChange

MILLISECONDS = 1000


def is_valid_demand(demand: Any) -> bool:
    """Returns whether a reported demand is complete and finite.

    A single NaN or infinite demand would make the division of the customer's
    rate unusable.
    """
    return (
        demand.rate_per_s is not None
        and 0.0 <= demand.rate_per_s < math.inf
        and demand.age_ms is not None
        and demand.age_ms >= 0
        and bool(demand.region and demand.holder and demand.customer)
    )


def is_valid_introduction(introduction: Any) -> bool:
    """Returns whether a peer's record is complete.

    All fields are required. An incomplete record would raise an error later,
    when it is compared with others, such as in the choice of hubs.
    """
    return (
        introduction.incarnation is not None
        and introduction.capacity is not None
        and 0.0 < introduction.capacity < math.inf
        and bool(
            introduction.instance
            and introduction.region
            and introduction.peer_address
        )
        and None
        not in (introduction.failure_domain, introduction.caller_address)
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
        relay_address=record.relay_address,
    )


def decode_introduction(introduction: Any) -> InstanceRecord:
    return InstanceRecord(
        instance=introduction.instance,
        incarnation=introduction.incarnation,
        region=introduction.region,
        failure_domain=introduction.failure_domain,
        caller_address=introduction.caller_address,
        peer_address=introduction.peer_address,
        capacity=introduction.capacity,
        relay_address=introduction.relay_address or "",
    )


def encode_feed(feed: Feed) -> Any:
    returned = feed.recovered_ago_s
    return messages.StoreFeed(
        as_of=feed.as_of,
        changes=[
            messages.StoreChange(
                key=change.key,
                value=change.value or b"",
                revision=change.revision,
                deleted=change.value is None,
            )
            for change in feed.changes
        ],
        contact_age_ms=to_ms(feed.contact_age_s),
        returned_ms=-1 if returned is None else to_ms(returned),
    )


def decode_feed(feed: Any) -> Feed:
    changes = tuple(
        KeyChange(
            change.key,
            None if change.deleted else (change.value or b""),
            change.revision,
        )
        for change in feed.changes or ()
    )
    returned_ms = feed.returned_ms
    return Feed(
        changes,
        feed.as_of,
        feed.contact_age_ms / MILLISECONDS,
        None if returned_ms < 0 else returned_ms / MILLISECONDS,
    )
