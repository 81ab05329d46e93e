"""Length-prefixed frames on asyncio streams."""

from __future__ import annotations

import asyncio
from typing import Any

from radishmux.peer import messages

# A configuration document may fill one store value of 1 MB.
MAX_FRAME_BYTES = 2 * 1024 * 1024
_LENGTH_BYTES = 4


class FrameError(Exception):
    """The peer sent something that is no frame of ours."""


async def read_envelope(reader: asyncio.StreamReader) -> Any:
    """Reads one Envelope.

    Raises:
        FrameError: The frame is too long or no Envelope.
        asyncio.IncompleteReadError: The connection ended.
    """
    header = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(header, "big")
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {length} bytes")
    payload = await reader.readexactly(length)
    try:
        return messages.decode(payload)
    except Exception as error:  # The codec raises many unrelated types.
        raise FrameError("frame is no envelope") from error


def write_envelope(writer: asyncio.StreamWriter, envelope: Any) -> int:
    """Queues one Envelope for sending and returns its size in bytes."""
    payload = messages.encode(envelope)
    writer.write(len(payload).to_bytes(_LENGTH_BYTES, "big") + payload)
    return len(payload) + _LENGTH_BYTES
