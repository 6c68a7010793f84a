"""A compact longest-prefix map from blocks of client addresses to sites and home regions."""

from __future__ import annotations

import socket
from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs

from carawayquay.errors import BlockMapError

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "Block",
    "BlockChunk",
    "BlockTable",
    "Home",
    "parse_block",
    "parse_client",
    "parse_index",
]

_V4_BITS = 32
#: Only the upper half of an IPv6 address, its network part, is stored.
_V6_BITS = 64
#: Site numbers are stored in 16 bits, and 0 is reserved.
_MAX_SITES = 65535
#: Site number and depth, which is prefix length plus one, of addresses outside all blocks.
_NO_SITE = 0
_NO_BLOCK = 0


@attrs.frozen
class Home:
    """The location of the clients in a block.

    :param domain: nearest failure domain, empty if only the region is known
    """

    site: str
    region: str
    domain: str = ""


class Block(NamedTuple):
    """A block of client addresses.

    :param version: IP version, 4 or 6
    :param first: the first address as a number; for IPv6 its upper 64 bits
    :param prefix: prefix length in bits
    """

    version: int
    first: int
    prefix: int


class _Ranges:
    """Sorted disjoint ranges of addresses, each with the site of its longest matching block.

    :param typecode: type code of an array of addresses
    :param bits: number of bits in an address
    :param blocks: first address, prefix length and site number of each block
    """

    def __init__(self, typecode: str, bits: int, blocks: list[tuple[int, int, int]]) -> None:
        self._bits = bits
        self._starts = array(typecode)
        self._depths = array("B")
        self._sites = array("H")
        limit = (1 << bits) - 1
        self._append(0, _NO_BLOCK, _NO_SITE)
        enclosing = [(limit, _NO_BLOCK, _NO_SITE)]
        # Enclosing blocks sort before the blocks that they contain.
        for first, prefix, site in sorted(blocks):
            self._close(enclosing, first)
            self._append(first, prefix + 1, site)
            enclosing.append((first | (limit >> prefix), prefix + 1, site))
        self._close(enclosing, limit)

    @property
    def memory_bytes(self) -> int:
        """The size of the arrays in bytes."""
        arrays = (self._starts, self._depths, self._sites)
        return sum(part.itemsize * len(part) for part in arrays)

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> tuple[int, int]:
        """Return prefix length plus one and site number of the longest match, or zeros."""
        index = bisect_right(self._starts, address) - 1
        return self._depths[index], self._sites[index]

    def _append(self, start: int, depth: int, site: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._depths[-1] = depth
            self._sites[-1] = site
        else:
            self._starts.append(start)
            self._depths.append(depth)
            self._sites.append(site)

    def _close(self, enclosing: list[tuple[int, int, int]], before: int) -> None:
        """End each block whose last address is before an address, and resume the enclosing one."""
        while enclosing[-1][0] < before:
            last, _, _ = enclosing.pop()
            self._append(last + 1, *enclosing[-1][1:])


class BlockChunk:
    """One stored part of the block map, with its own sites and blocks.

    >>> chunk = BlockChunk("map-0", {
    ...     "sites": {"lakewood": {"region": "puget"}, "yakima": {"region": "inland"}},
    ...     "blocks": {"10.0.0.0/8": "lakewood", "10.1.0.0/16": "yakima"},
    ... })
    >>> chunk.find(*parse_client("10.1.2.3"))
    (17, Home(site='yakima', region='inland', domain=''))

    :param value: ``{"sites": {SITE: {"region": R, "domain": D}}, "blocks": {BLOCK: SITE}}``
    :raises BlockMapError: if the value is invalid
    """

    def __init__(self, name: str, value: object) -> None:
        try:
            self._homes = _parse_sites(value["sites"])
            numbers = {home.site: number for number, home in enumerate(self._homes) if home}
            rows: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
            for text, site in value["blocks"].items():
                block = parse_block(text)
                rows[block.version].append((block.first, block.prefix, numbers[site]))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise BlockMapError(f'chunk "{name}" of the block map: {error!r}') from error
        self._ranges = {4: _Ranges("I", _V4_BITS, rows[4]), 6: _Ranges("Q", _V6_BITS, rows[6])}

    @property
    def memory_bytes(self) -> int:
        """The size of the ranges in bytes, without the names of the sites."""
        return sum(ranges.memory_bytes for ranges in self._ranges.values())

    @property
    def ranges(self) -> int:
        """The number of ranges."""
        return sum(len(ranges) for ranges in self._ranges.values())

    def find(self, version: int, address: int) -> tuple[int, Home | None]:
        """Return prefix length plus one and home of the longest matching block, or 0 and None."""
        depth, site = self._ranges[version].find(address)
        return depth, self._homes[site]


class BlockTable:
    """The chunks of the block map that are in force."""

    def __init__(self) -> None:
        self._chunks: dict[str, BlockChunk] = {}
        self._digests: dict[str, str] = {}
        self._refused: dict[str, str] = {}

    def dump(self) -> dict[str, Any]:
        """Return digests, sizes and refusals of the chunks, in JSON types."""
        return {
            "chunks": dict(self._digests),
            "ranges": sum(chunk.ranges for chunk in self._chunks.values()),
            "bytes": sum(chunk.memory_bytes for chunk in self._chunks.values()),
            "refused": dict(self._refused),
        }

    def missing(self, index: Mapping[str, str]) -> list[str]:
        """Return the names of the chunks in an index whose digest differs from the one in force."""
        return [name for name, digest in index.items() if self._digests.get(name) != digest]

    def find(self, client: str) -> Home | None:
        """Return the home of a client by the longest matching block, or None.

        :raises ValueError: if *client* is not an IP address
        """
        version, address = parse_client(client)
        longest, home = _NO_BLOCK, None
        for chunk in self._chunks.values():
            depth, found = chunk.find(version, address)
            if depth > longest:
                longest, home = depth, found
        return home

    def adopt(self, name: str, digest: str, value: object) -> None:
        """Put a chunk in force, replacing the earlier one of the same name.

        :param digest: digest of the chunk in the index
        :raises BlockMapError: if the chunk is invalid; the last valid one stays in force
        """
        try:
            chunk = BlockChunk(name, value)
        except BlockMapError as error:
            self._refused[name] = str(error)
            raise
        self._refused.pop(name, None)
        self._chunks[name] = chunk
        self._digests[name] = digest

    def retain(self, index: Mapping[str, str]) -> None:
        """Drop the chunks that are not in an index."""
        for name in self._chunks.keys() - index.keys():
            del self._chunks[name]
            del self._digests[name]


def parse_client(client: str) -> tuple[int, int]:
    """Return the IP version and the address as a number; for IPv6 its upper 64 bits.

    >>> parse_client("0.0.1.0")
    (4, 256)

    :raises ValueError: if *client* is not an IP address
    """
    try:
        if ":" in client:
            packed = socket.inet_pton(socket.AF_INET6, client)
            if packed[:12] == b"\0" * 10 + b"\xff\xff":
                return 4, int.from_bytes(packed[12:], "big")
            return 6, int.from_bytes(packed[:8], "big")
        return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, client), "big")
    except OSError as error:
        raise ValueError(f'client "{client}" is not an IP address') from error


def parse_block(text: str) -> Block:
    """Parse a block of addresses; an IPv6 prefix has at most 64 bits.

    >>> parse_block("0.0.1.0/24")
    Block(version=4, first=256, prefix=24)

    :raises ValueError: if *text* is not ``ADDRESS/PREFIX``, or has host bits set
    """
    address, _, digits = text.partition("/")
    if not digits.isascii() or not digits.isdigit():
        raise ValueError(f'block "{text}" is not ADDRESS/PREFIX')
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        packed = socket.inet_pton(family, address)
    except OSError as error:
        raise ValueError(f'block "{text}" is not ADDRESS/PREFIX') from error
    version, bits = (6, _V6_BITS) if ":" in address else (4, _V4_BITS)
    prefix = int(digits)
    if prefix > bits:
        raise ValueError(f'block "{text}" is longer than /{bits}')
    number = int.from_bytes(packed, "big")
    if number & ((1 << (len(packed) * 8 - prefix)) - 1):
        raise ValueError(f'block "{text}" has bits after its prefix')
    return Block(version, number >> (len(packed) * 8 - bits), prefix)


def parse_index(value: object) -> dict[str, str]:
    """Return the digests of the chunks by name, from the index of the block map.

    :raises BlockMapError: if the index is not ``{"chunks": {NAME: DIGEST}}``
    """
    chunks = value.get("chunks") if isinstance(value, dict) else None
    if not isinstance(chunks, dict) or not all(isinstance(d, str) for d in chunks.values()):
        raise BlockMapError('index of the block map is not {"chunks": {NAME: DIGEST}}')
    return chunks


def _parse_sites(value: Mapping[str, Any]) -> list[Home | None]:
    """Return the homes of a chunk's sites by site number; number 0 is None."""
    if len(value) > _MAX_SITES:
        raise ValueError(f"more than {_MAX_SITES} sites")
    homes = [
        Home(site, str(home["region"]), str(home.get("domain", ""))) for site, home in value.items()
    ]
    return [None, *homes]
