"""Encodes counts and their sources as messages between instances."""

from __future__ import annotations

import struct
from typing import Any

from radishmux.duties.hub_batch import WindowUsage
from radishmux.duties.usage_collector import Sources
from radishmux.peer import messages

_SOURCE_BYTES = 8


def encode_usage(usage: WindowUsage) -> Any:
    """Returns the message of a window's counts."""
    return messages.WindowUsage(
        window=usage.window,
        counts=usage.counts,
        sources=encode_sources(usage.sources),
    )


def decode_usages(report: Any) -> list[WindowUsage]:
    """Returns the counts in a UsageReport; skips those without a source."""
    usages = [
        WindowUsage(
            one.window or 0, dict(one.counts or {}), decode_sources(one.sources)
        )
        for one in report.windows or ()
    ]
    return [usage for usage in usages if usage.sources]


def encode_sources(sources: Sources) -> bytes:
    """Returns eight bytes for each source."""
    return struct.pack(f">{len(sources)}Q", *sorted(sources))


def decode_sources(data: bytes | None) -> Sources:
    """Returns the sources of `encode_sources`; ignores incomplete ones."""
    count = len(data or b"") // _SOURCE_BYTES
    whole = (data or b"")[: count * _SOURCE_BYTES]
    return frozenset(struct.unpack(f">{count}Q", whole))


def decode_known(receipt: Any) -> dict[int, Sources]:
    """Returns the sources in a UsageReceipt by window."""
    return {
        one.window or 0: decode_sources(one.sources)
        for one in receipt.known or ()
    }
