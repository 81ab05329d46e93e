"""Client address blocks and the site that serves each.

The table is designed for 940,000 blocks and 1,800 sites, with frequent changes
of single blocks.
"""

from __future__ import annotations

import ipaddress
import socket
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable

import msgspec

# Site numbers are stored as unsigned 16-bit integers.
MAX_SITES = 65_536
_V4_BITS = 32
# Longest IPv6 prefix: a /64 is one network segment, and the upper 64 bits of
# an address fit into eight bytes.
_V6_BITS = 64
_MAPPED_V4 = bytes(10) + b"\xff\xff"


class BlockError(ValueError):
    """A block cannot be stored; the message gives the block and the reason."""


class BlockChange(msgspec.Struct, frozen=True):
    """Assigns a block to a site or removes it.

    Attributes:
        block: Address block in CIDR notation, such as `10.1.0.0/16` or
            `2001:db8::/48`.
        site: Region or site that serves the block; None removes the block.
    """

    block: str
    site: str | None


class _EqualLengthBlocks:
    """Blocks of one address family and prefix length, sorted by address."""

    __slots__ = ("sites", "starts")

    def __init__(self, typecode: str) -> None:
        self.starts = array(typecode)
        self.sites = array("H")

    def find(self, start: int) -> int:
        """Returns the index of a block, or -1 if it is not stored."""
        index = bisect_left(self.starts, start)
        if index < len(self.starts) and self.starts[index] == start:
            return index
        return -1

    def put(self, start: int, site: int) -> None:
        index = bisect_left(self.starts, start)
        if index < len(self.starts) and self.starts[index] == start:
            self.sites[index] = site
            return
        self.starts.insert(index, start)
        self.sites.insert(index, site)

    def remove(self, start: int) -> None:
        index = self.find(start)
        if index >= 0:
            del self.starts[index]
            del self.sites[index]


class _FamilyTable:
    """IPv4 or IPv6 blocks, found by longest-prefix match."""

    __slots__ = ("_bits", "_by_length", "_masks", "_typecode")

    def __init__(self, bits: int, typecode: str) -> None:
        self._bits = bits
        self._typecode = typecode
        self._by_length: dict[int, _EqualLengthBlocks] = {}
        # Mask and blocks of each prefix length in use, longest first.
        self._masks: tuple[tuple[int, _EqualLengthBlocks], ...] = ()

    def blocks_of_length(self, length: int) -> _EqualLengthBlocks:
        """Returns the blocks of a prefix length; creates the set if missing."""
        blocks = self._by_length.get(length)
        if blocks is None:
            blocks = self._by_length[length] = _EqualLengthBlocks(
                self._typecode
            )
            self._masks = tuple(
                (self._mask(other_length), self._by_length[other_length])
                for other_length in sorted(self._by_length, reverse=True)
            )
        return blocks

    def find(self, address: int) -> int:
        """Returns the site number for an address, or -1 if no block matches."""
        for mask, blocks in self._masks:
            index = blocks.find(address & mask)
            if index >= 0:
                return blocks.sites[index]
        return -1

    def __len__(self) -> int:
        return sum(len(blocks.starts) for blocks in self._by_length.values())

    def memory_bytes(self) -> int:
        """Returns the size of the arrays."""
        return sum(
            sys.getsizeof(blocks.starts) + sys.getsizeof(blocks.sites)
            for blocks in self._by_length.values()
        )

    def _mask(self, length: int) -> int:
        return ((1 << length) - 1) << (self._bits - length)


class BlockTable:
    """Maps client addresses to sites.

    Blocks may be nested; the longest matching prefix decides. Each prefix
    length has one sorted array of addresses and one of site numbers, which take
    6 bytes per IPv4 block and 10 per IPv6 block. A change shifts part of one
    pair of arrays. A lookup makes one binary search per prefix length in use.
    """

    def __init__(self) -> None:
        code = "I" if array("I").itemsize == 4 else "L"
        self._v4 = _FamilyTable(_V4_BITS, code)
        self._v6 = _FamilyTable(_V6_BITS, "Q")
        self._sites: list[str] = []
        self._numbers: dict[str, int] = {}

    @classmethod
    def load(cls, blocks: Iterable[tuple[str, str]]) -> BlockTable:
        """Builds a table from (block, site) pairs.

        Raises:
            BlockError: A block is malformed.
        """
        table = cls()
        # Inserting in sorted order appends to the arrays and shifts nothing.
        parsed = sorted(
            (*_parse(block), table._number(site)) for block, site in blocks
        )
        for is_v6, length, start, site in parsed:
            family = table._v6 if is_v6 else table._v4
            family.blocks_of_length(length).put(start, site)
        return table

    def __len__(self) -> int:
        return len(self._v4) + len(self._v6)

    @property
    def memory_bytes(self) -> int:
        """Size of the arrays in bytes, without the site names."""
        return self._v4.memory_bytes() + self._v6.memory_bytes()

    def region_of(self, address: str) -> str | None:
        """Returns the site of the longest block that contains an address.

        Returns:
            None if no block contains the address or if it is malformed.
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
        """Applies all changes, or none if one of them is malformed.

        Raises:
            BlockError: A block is malformed or there are too many sites.
        """
        parsed = [(_parse(change.block), change.site) for change in changes]
        named = {site for _, site in parsed if site is not None}
        if len(self._sites) + len(named - self._numbers.keys()) > MAX_SITES:
            raise BlockError(f"there can be no more than {MAX_SITES} sites")
        for (is_v6, length, start), site in parsed:
            family = self._v6 if is_v6 else self._v4
            blocks = family.blocks_of_length(length)
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
        BlockError: The block is malformed or its prefix is too long.
    """
    _parse(block)


def _parse(block: str) -> tuple[bool, int, int]:
    """Returns whether a block is IPv6, its prefix length and its address."""
    try:
        network = ipaddress.ip_network(block)
    except ValueError as error:
        raise BlockError(
            f"{block!r} is not an address block: {error}"
        ) from None
    start = int(network.network_address)
    if network.version == 4:
        return False, network.prefixlen, start
    if network.prefixlen > _V6_BITS:
        raise BlockError(f"the prefix of {block!r} is longer than /{_V6_BITS}")
    return True, network.prefixlen, start >> (128 - _V6_BITS)
