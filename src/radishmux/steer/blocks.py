"""Client address blocks and the site that serves each.

The target size is 940,000 blocks and 1,800 sites, with single blocks changing
all the time.
"""

from __future__ import annotations

import ipaddress
import socket
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable

import msgspec

# Site numbers are stored in two bytes.
MAX_SITES = 65_536
_V4_BITS = 32
# IPv6 blocks are at most this long: a /64 is one network segment, and its
# upper half fits into eight bytes.
_V6_BITS = 64
_MAPPED_V4 = bytes(10) + b"\xff\xff"


class BlockError(ValueError):
    """A block that cannot be stored: its text and why."""


class BlockChange(msgspec.Struct, frozen=True):
    """A change of one block.

    Attributes:
        block: Address block, such as `10.1.0.0/16` or `2001:db8::/48`.
        site: Region or site that serves it; None removes the block.
    """

    block: str
    site: str | None


class _SameLength:
    """Blocks of one family and prefix length, sorted by address."""

    __slots__ = ("sites", "starts")

    def __init__(self, typecode: str) -> None:
        self.starts = array(typecode)
        self.sites = array("H")

    def find(self, start: int) -> int:
        """Returns the position of a block, or -1."""
        at = bisect_left(self.starts, start)
        if at < len(self.starts) and self.starts[at] == start:
            return at
        return -1

    def put(self, start: int, site: int) -> None:
        at = bisect_left(self.starts, start)
        if at < len(self.starts) and self.starts[at] == start:
            self.sites[at] = site
            return
        self.starts.insert(at, start)
        self.sites.insert(at, site)

    def remove(self, start: int) -> None:
        at = self.find(start)
        if at >= 0:
            del self.starts[at]
            del self.sites[at]


class _Family:
    """Blocks of IPv4 or IPv6; the longest prefix decides."""

    __slots__ = ("_bits", "_by_length", "_masks", "_typecode")

    def __init__(self, bits: int, typecode: str) -> None:
        self._bits = bits
        self._typecode = typecode
        self._by_length: dict[int, _SameLength] = {}
        # Mask and blocks of each length in use, longest first.
        self._masks: tuple[tuple[int, _SameLength], ...] = ()

    def of_length(self, length: int) -> _SameLength:
        """Returns the blocks of a length, creating an empty set of them."""
        blocks = self._by_length.get(length)
        if blocks is None:
            blocks = self._by_length[length] = _SameLength(self._typecode)
            self._masks = tuple(
                (self._mask(one), self._by_length[one])
                for one in sorted(self._by_length, reverse=True)
            )
        return blocks

    def find(self, address: int) -> int:
        """Returns the number of the site, or -1."""
        for mask, blocks in self._masks:
            at = blocks.find(address & mask)
            if at >= 0:
                return blocks.sites[at]
        return -1

    def __len__(self) -> int:
        return sum(len(blocks.starts) for blocks in self._by_length.values())

    def bytes(self) -> int:
        """Returns the memory of the arrays."""
        return sum(
            sys.getsizeof(blocks.starts) + sys.getsizeof(blocks.sites)
            for blocks in self._by_length.values()
        )

    def _mask(self, length: int) -> int:
        return ((1 << length) - 1) << (self._bits - length)


class BlockTable:
    """Finds the site of a client address.

    Blocks may contain each other. For each prefix length there is one sorted
    array of addresses and one of site numbers: 6 bytes per IPv4 block and 10
    per IPv6 block. A change moves part of one pair of arrays; a lookup makes
    one binary search per length in use.
    """

    def __init__(self) -> None:
        code = "I" if array("I").itemsize == 4 else "L"
        self._v4 = _Family(_V4_BITS, code)
        self._v6 = _Family(_V6_BITS, "Q")
        self._sites: list[str] = []
        self._numbers: dict[str, int] = {}

    @classmethod
    def load(cls, blocks: Iterable[tuple[str, str]]) -> BlockTable:
        """Returns a table of many blocks, given as (block, site).

        Raises:
            BlockError: A block is malformed.
        """
        table = cls()
        # Appending in order keeps each insertion at the end of its array.
        parsed = sorted(
            (*_parse(block), table._number(site)) for block, site in blocks
        )
        for is_v6, length, start, site in parsed:
            family = table._v6 if is_v6 else table._v4
            family.of_length(length).put(start, site)
        return table

    def __len__(self) -> int:
        return len(self._v4) + len(self._v6)

    @property
    def memory_bytes(self) -> int:
        """Bytes of the arrays; the names of the sites are not counted."""
        return self._v4.bytes() + self._v6.bytes()

    def region_of(self, address: str) -> str | None:
        """Returns the site of the longest block with an address.

        Returns:
            None when no block contains it or it is no address.
        """
        try:
            if ":" in address:
                packed = socket.inet_pton(socket.AF_INET6, address)
                if not packed.startswith(_MAPPED_V4):
                    number = int.from_bytes(packed[:8], "big")
                    return self._name(self._v6.find(number))
                packed = packed[12:]
            else:
                packed = socket.inet_pton(socket.AF_INET, address)
        except (OSError, ValueError):
            return None
        return self._name(self._v4.find(int.from_bytes(packed, "big")))

    def apply(self, changes: Iterable[BlockChange]) -> None:
        """Applies changes; either all or, if one is malformed, none.

        Raises:
            BlockError: A block is malformed or there are too many sites.
        """
        parsed = [(_parse(change.block), change.site) for change in changes]
        named = {site for _, site in parsed if site is not None}
        if len(self._sites) + len(named - self._numbers.keys()) > MAX_SITES:
            raise BlockError(f"there can be no more than {MAX_SITES} sites")
        for (is_v6, length, start), site in parsed:
            family = self._v6 if is_v6 else self._v4
            blocks = family.of_length(length)
            if site is None:
                blocks.remove(start)
            else:
                blocks.put(start, self._number(site))

    def _name(self, number: int) -> str | None:
        return None if number < 0 else self._sites[number]

    def _number(self, site: str) -> int:
        number = self._numbers.get(site)
        if number is None:
            number = len(self._sites)
            if number >= MAX_SITES:
                raise BlockError(f"there can be no more than {MAX_SITES} sites")
            self._numbers[site] = number
            self._sites.append(site)
        return number


def check_block(block: str) -> None:
    """Checks that a block can be stored.

    Raises:
        BlockError: It is malformed; the message says why.
    """
    _parse(block)


def _parse(block: str) -> tuple[bool, int, int]:
    """Returns whether a block is IPv6, its length and its address."""
    try:
        network = ipaddress.ip_network(block)
    except ValueError as error:
        raise BlockError(f"{block!r} is no address block: {error}") from None
    start = int(network.network_address)
    if network.version == 4:
        return False, network.prefixlen, start
    if network.prefixlen > _V6_BITS:
        raise BlockError(f"{block!r} is longer than /{_V6_BITS}")
    return True, network.prefixlen, start >> (128 - _V6_BITS)
