"""Benchmark of the map of client address blocks at the size of the two-year plan."""

from __future__ import annotations

import gc
import ipaddress
import json
import random
import re
import time
from pathlib import Path

from carawayquay.blocks import BlockTable

__all__ = ["main"]

_BLOCKS = 160_000
_SITES = 1_200
_REGIONS = 19
_CHUNK_BLOCKS = 25_000
_LOOKUPS = 200_000
_SEED = 7


def block_map_chunks() -> dict[str, str]:
    """Return the JSON texts of the chunks of a random map by name, each under a megabyte."""
    generator = random.Random(_SEED)
    blocks: dict[str, str] = {}
    while len(blocks) < _BLOCKS:
        prefix = generator.choice((16, 20, 22, 24, 24, 24))
        network = ipaddress.ip_network((generator.getrandbits(32), prefix), strict=False)
        blocks[str(network)] = f"s{generator.randrange(_SITES)}"
    items = list(blocks.items())
    texts = {}
    for start in range(0, _BLOCKS, _CHUNK_BLOCKS):
        part = dict(items[start : start + _CHUNK_BLOCKS])
        sites = {site: {"region": f"r{int(site[1:]) % _REGIONS}"} for site in set(part.values())}
        texts[f"map-{start // _CHUNK_BLOCKS}"] = json.dumps({"sites": sites, "blocks": part})
    return texts


def main() -> None:
    """Print the load time, the resident memory and the time per look-up."""
    texts = block_map_chunks()
    print(f"largest chunk: {max(len(text) for text in texts.values())} bytes of {len(texts)}")
    gc.collect()
    before = _resident_mib()
    started = time.perf_counter()
    table = BlockTable()
    longest = 0.0
    for name, text in texts.items():
        chunk_started = time.perf_counter()
        table.adopt(name, "d", json.loads(text))
        longest = max(longest, time.perf_counter() - chunk_started)
    loaded = time.perf_counter() - started
    gc.collect()
    print(f"load: {loaded:.2f} s, longest chunk {longest:.3f} s")
    sizes = table.dump()
    print(f"memory: {_resident_mib() - before:.1f} MiB resident, ranges {sizes['bytes']} bytes")
    _measure_lookups(table)


def _measure_lookups(table: BlockTable) -> None:
    generator = random.Random(_SEED + 1)
    clients = [str(ipaddress.IPv4Address(generator.getrandbits(32))) for _ in range(_LOOKUPS)]
    find = table.find
    started = time.perf_counter()
    for client in clients:
        find(client)
    seconds = time.perf_counter() - started
    print(f"find: {seconds / _LOOKUPS * 1e6:.2f} microseconds")


def _resident_mib() -> float:
    found = re.search(r"VmRSS:\s+(\d+) kB", Path("/proc/self/status").read_text())
    return int(found[1]) / 1024


if __name__ == "__main__":
    main()
