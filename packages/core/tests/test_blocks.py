"""The block map agrees with a linear search for the longest matching block."""

from __future__ import annotations

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.blocks import BlockTable, Home, parse_index
from carawayquay.errors import BlockMapError

HOMES = {name: Home(name, f"region-{name}") for name in "abcd"}
SITES = {name: {"region": home.region} for name, home in HOMES.items()}


def table_of(blocks, chunks=1):
    """Return a table with the blocks distributed over chunks."""
    table = BlockTable()
    for number in range(chunks):
        part = dict(list(blocks.items())[number::chunks])
        table.adopt(f"map-{number}", "d", {"sites": SITES, "blocks": part})
    return table


def networks(bits, longest, make):
    """Return a strategy that generates maps of often overlapping networks to sites."""

    def network(values):
        low, prefix = values
        return str(ipaddress.ip_network((make(low << (bits - 8)), prefix), strict=False))

    pairs = st.tuples(st.integers(0, 255), st.integers(0, longest))
    return st.dictionaries(pairs.map(network), st.sampled_from("abcd"), max_size=12)


def longest_match(blocks, client):
    address = ipaddress.ip_address(client)
    found = [ipaddress.ip_network(text) for text in blocks]
    inside = [n for n in found if n.version == address.version and address in n]
    best = max(inside, key=lambda network: network.prefixlen, default=None)
    return None if best is None else HOMES[blocks[str(best)]]


@given(networks(32, 10, ipaddress.IPv4Address), st.integers(0, 2**32 - 1), st.integers(1, 3))
def test_longest_ipv4_block_decides_across_chunks(blocks, address, chunks):
    client = str(ipaddress.IPv4Address(address))
    assert table_of(blocks, chunks).find(client) == longest_match(blocks, client)


@given(networks(128, 64, ipaddress.IPv6Address), st.integers(0, 2**128 - 1))
def test_longest_ipv6_block_decides(blocks, address):
    client = str(ipaddress.IPv6Address(address))
    expected = longest_match(blocks, client)
    if ipaddress.IPv6Address(address).ipv4_mapped is None:
        assert table_of(blocks).find(client) == expected


@pytest.mark.parametrize("block", ["10.0.0.0/30", "255.255.255.252/30", "0.0.0.0/0"])
def test_first_and_last_address_of_a_block_belong_to_it(block):
    network = ipaddress.ip_network(block)
    found = table_of({block: "a"})
    assert found.find(str(network[0])) == found.find(str(network[-1])) == HOMES["a"]


def test_mapped_ipv4_address_is_found_as_ipv4():
    found = table_of({"10.0.0.0/8": "a"})
    assert found.find("::ffff:10.0.0.1") == HOMES["a"]


@pytest.mark.parametrize("client", ["", "10.0.0", "10.0.0.1 ", "10.0.0.1\n", "puget", "::g"])
def test_invalid_address_is_an_error(client):
    with pytest.raises(ValueError, match="is not an IP address"):
        BlockTable().find(client)


def chunk(region="puget", block="10.0.0.0/8"):
    return {"sites": {"lakewood": {"region": region}}, "blocks": {block: "lakewood"}}


def test_only_changed_chunks_are_missing_and_unnamed_ones_are_dropped():
    table = BlockTable()
    table.adopt("map-0", "d1", chunk())
    table.adopt("map-1", "d1", chunk(block="192.0.2.0/24"))
    index = parse_index({"chunks": {"map-1": "d2", "map-2": "d1"}})
    assert table.missing(index) == ["map-1", "map-2"]
    table.retain(index)
    assert table.find("10.0.0.1") is None
    assert table.find("192.0.2.1").region == "puget"


@pytest.mark.parametrize("bad", [None, [], {}, {"chunks": ["map-0"]}, {"chunks": {"map-0": 1}}])
def test_bad_index_is_refused(bad):
    with pytest.raises(BlockMapError, match="index"):
        parse_index(bad)


@pytest.mark.parametrize(
    "bad",
    [
        None,
        [],
        chunk(block="10.0.0.0/33"),
        chunk(block="10.0.0.0"),
        chunk(block="10.0.0.0/+8"),
        {"sites": {}},
        {"sites": {}, "blocks": {"10.0.0.0/8": "lakewood"}},
        chunk(block="10.0.0.1/8"),
        chunk(block="2001:db8::/65"),
        {"sites": {"lakewood": "puget"}, "blocks": {}},
        {"sites": {"lakewood": {}}, "blocks": {}},
    ],
)
def test_bad_chunk_is_refused_and_the_last_good_one_stays(bad):
    table = BlockTable()
    table.adopt("map-0", "d1", chunk())
    with pytest.raises(BlockMapError, match="map-0"):
        table.adopt("map-0", "d2", bad)
    assert table.find("10.0.0.1").region == "puget"
    assert "map-0" in table.dump()["refused"]
