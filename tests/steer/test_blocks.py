"""Compares the client block table with a linear search of all blocks."""

from __future__ import annotations

import ipaddress

import hypothesis.strategies as st
import pytest
from hypothesis import given

from radishmux.steer.blocks import BlockChange, BlockError, BlockTable

addresses = st.one_of(
    st.integers(0, 2**32 - 1).map(ipaddress.IPv4Address),
    # Few distinct prefixes, so that blocks are nested.
    st.integers(0, 2**12).map(
        lambda n: ipaddress.IPv6Address((0x2001 << 112) | n << 64)
    ),
    st.integers(0, 2**6).map(lambda n: ipaddress.IPv4Address(n << 20)),
)


@st.composite
def blocks(draw):
    address = draw(addresses)
    length = draw(st.integers(0, 32 if address.version == 4 else 64))
    return str(ipaddress.ip_network(f"{address}/{length}", strict=False))


changes = st.lists(
    st.tuples(blocks(), st.sampled_from([None, "a", "b", "c"])), max_size=40
)


@given(changes, changes, st.lists(addresses, max_size=20))
def test_lookups_agree_with_linear_search(first, later, looked_up):
    """The reference model searches all blocks for the longest match."""
    model = {block: site for block, site in first if site}
    table = BlockTable.load(model.items())
    for block, site in later:
        table.apply([BlockChange(block, site)])
        if site is None:
            model.pop(block, None)
        else:
            model[block] = site
    assert len(table) == len(model)
    networks = [(ipaddress.ip_network(b), site) for b, site in model.items()]
    starts = [network.network_address for network, _ in networks]
    for address in [*looked_up, *starts]:
        matches = [
            (network.prefixlen, site)
            for network, site in networks
            if network.version == address.version and address in network
        ]
        expected = max(matches)[1] if matches else None
        assert table.region_of(str(address)) == expected


def test_mapped_addresses_are_ipv4_and_unmatched_ones_have_no_region():
    table = BlockTable.load([("10.0.0.0/8", "a")])
    assert table.region_of("::ffff:10.1.2.3") == "a"
    assert table.region_of("11.0.0.1") is None
    assert table.region_of("not an address") is None
    assert table.region_of("10.0.0.0\0") is None


def test_malformed_change_leaves_table_unchanged():
    table = BlockTable.load([("10.0.0.0/8", "a")])
    good = BlockChange("11.0.0.0/8", "b")
    for wrong in ("10.0.0.1/8", "x", "2001:db8::/65"):
        with pytest.raises(BlockError, match=wrong):
            table.apply([good, BlockChange(wrong, "b")])
    assert len(table) == 1
