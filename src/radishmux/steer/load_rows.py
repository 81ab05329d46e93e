"""Binary form of the loads of backend servers in reports; no I/O.

A body is a header and rows of fixed length. Ages are relative to the encoding
of the rows, so that instances need no common clock. The header adds the time
since then, so that one encoding can be sent to several instances.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

# Longest body, in bytes.
MAX_BODY_BYTES = 2_048
# Age in seconds above which a row is not used any more. A server of 3 slots
# completes all of its queue in that time.
MAX_ROW_AGE_S = 3.0
# Layout of the rows. Bodies with another number are ignored, so that later
# builds may change the rows.
_LAYOUT = 1
# Layout and milliseconds since the encoding.
_HEADER = struct.Struct("<BH")
# Hash of the name, requests running and waiting, slots, and the age in
# milliseconds, whose highest bit marks a rejection.
_ROW = struct.Struct("<IBBH")
_REJECTION_BIT = 0x8000
_MAX_AGE_MS = 0x7FFF
_MAX_COUNT = 0xFF
ROW_BYTES = _ROW.size


class LoadRow:
    """Load of a server, as it told one of the instances.

    Attributes:
        server: Hash of the server's name; see `server_hash`.
        load: Requests running and waiting at the server.
        slots: Requests that the server can run concurrently.
        at: Monotonic time of the response here, in seconds.
        is_rejection: Whether the server rejected a request for lack of room.
    """

    __slots__ = ("at", "is_rejection", "load", "server", "slots")

    def __init__(
        self,
        server: int,
        load: int,
        slots: int,
        at: float,
        is_rejection: bool = False,
    ) -> None:
        self.server = server
        self.load = load
        self.slots = slots
        self.at = at
        self.is_rejection = is_rejection

    @property
    def is_plausible(self) -> bool:
        """Whether a server can have such a load.

        A server with free slots does not reject requests for lack of room.
        Loads above the range of a row are of no use either.
        """
        if not 0 < self.slots <= _MAX_COUNT or not 0 <= self.load < _MAX_COUNT:
            return False
        return not self.is_rejection or self.load >= self.slots


def server_hash(name: str) -> int:
    """Returns the 32-bit hash that stands for a server in rows."""
    return xxhash.xxh32_intdigest(name.encode())


def encode_rows(rows: Iterable[LoadRow], max_bytes: int, now: float) -> bytes:
    """Returns the first rows that fit into a body, without its header.

    Args:
        rows: Plausible rows, the most important one first.
        max_bytes: Longest body, including the header.
        now: Monotonic seconds.
    """
    count = (min(max_bytes, MAX_BODY_BYTES) - _HEADER.size) // ROW_BYTES
    packed = []
    for row in rows:
        if len(packed) >= count:
            break
        age_ms = min(_MAX_AGE_MS, max(0, round(1000 * (now - row.at))))
        flag = _REJECTION_BIT if row.is_rejection else 0
        packed.append(_ROW.pack(row.server, row.load, row.slots, age_ms | flag))
    return b"".join(packed)


def add_header(rows: bytes, age_s: float) -> bytes:
    """Returns the body of rows that were encoded `age_s` seconds ago."""
    age_ms = min(_MAX_AGE_MS, max(0, round(1000 * age_s)))
    return _HEADER.pack(_LAYOUT, age_ms) + rows


def decode_body(body: bytes, now: float) -> list[LoadRow]:
    """Returns the usable rows of a body.

    Rows that are too old or impossible are left out, and all rows of a body
    that is too long, of another layout or cut short.
    """
    if not _HEADER.size <= len(body) <= MAX_BODY_BYTES:
        return []
    layout, encoded_ms = _HEADER.unpack_from(body)
    if layout != _LAYOUT or (len(body) - _HEADER.size) % ROW_BYTES:
        return []
    found = []
    for server, load, slots, age in _ROW.iter_unpack(body[_HEADER.size :]):
        age_s = (encoded_ms + (age & _MAX_AGE_MS)) / 1000
        is_rejection = bool(age & _REJECTION_BIT)
        row = LoadRow(server, load, slots, now - age_s, is_rejection)
        if age_s <= MAX_ROW_AGE_S and row.is_plausible:
            found.append(row)
    return found
