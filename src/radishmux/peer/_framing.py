"""Length-prefixed frames on asyncio streams."""

from __future__ import annotations

import asyncio
from typing import Any

from radishmux.peer import messages

# A frame must hold a whole configuration document, up to 1 MB.
MAX_FRAME_BYTES = 2 * 1024 * 1024
_LENGTH_BYTES = 4


class FrameError(Exception):
    """The peer sent bytes that are not a valid frame."""


class Traffic:
    """Counters of an instance's control traffic since its start.

    Attributes:
        sent_bytes: Bytes of the frames written, including replies.
        sent_messages: Number of the frames written, including replies.
        received_bytes: Bytes of the frames read, including replies.
        received_messages: Number of the frames read, including replies.
    """

    __slots__ = (
        "received_bytes",
        "received_messages",
        "sent_bytes",
        "sent_messages",
    )

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0


async def read_envelope(reader: asyncio.StreamReader, traffic: Traffic) -> Any:
    """Reads one Envelope and counts it.

    Raises:
        FrameError: The frame is too long or not an Envelope.
        asyncio.IncompleteReadError: The connection ended.
    """
    header = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(header, "big")
    if length > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    payload = await reader.readexactly(length)
    traffic.received_bytes += length + _LENGTH_BYTES
    traffic.received_messages += 1
    try:
        return messages.decode(payload)
    except Exception as error:  # The codec raises many types.
        raise FrameError(
            f"frame of {length} bytes is not an Envelope: {error!r}"
        ) from error


def write_envelope(
    writer: asyncio.StreamWriter, envelope: Any, traffic: Traffic
) -> None:
    """Queues one Envelope for sending and counts it."""
    payload = messages.encode(envelope)
    writer.write(len(payload).to_bytes(_LENGTH_BYTES, "big") + payload)
    traffic.sent_bytes += len(payload) + _LENGTH_BYTES
    traffic.sent_messages += 1
