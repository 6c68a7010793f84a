"""Idempotency keys: minting, parsing, and mapping to claim shards."""

from __future__ import annotations

import hashlib
import re
import secrets
from typing import TYPE_CHECKING

import attrs

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["SHARDS", "BookingKey", "ShardId", "mint_key", "parse_key"]

#: Number of claim shards in each failure domain.
SHARDS = 16

_MAX_KEY_CHARS = 128
_RANDOM_BYTES = 12
_VALID_KEY = re.compile(rf"[\x21-\x7e]{{1,{_MAX_KEY_CHARS}}}")
_MINTED_KEY = re.compile(
    r"([a-z0-9][a-z0-9-]{0,63})\.(\d{1,2})\.(\d{1,18})\.[0-9a-f]{24}(-[\x21-\x7e]*)?"
)


@attrs.frozen(order=True)
class ShardId:
    """Identifies a claim shard.

    :param number: index within the failure domain, from 0 to ``SHARDS`` - 1
    """

    domain: str
    number: int

    def __str__(self) -> str:
        return f"{self.domain}/{self.number}"


@attrs.frozen
class BookingKey:
    """An idempotency key and its claim shard.

    :param epoch: epoch of the shard when a look-up minted the key, or None for a plain key, which
        the caller chose
    """

    text: str
    shard: ShardId
    epoch: int | None = None

    @property
    def minted(self) -> bool:
        """Whether a look-up minted the key, rather than the caller choosing it."""
        return self.epoch is not None


def mint_key(shard: ShardId, epoch: int) -> str:
    """Mint a new key for a shard in its current epoch."""
    return f"{shard.domain}.{shard.number}.{epoch}.{secrets.token_hex(_RANDOM_BYTES)}"


def parse_key(text: str, domains: Iterable[str]) -> BookingKey:
    """Parse a key; a plain key is mapped to a failure domain and shard by hash.

    A key in minted form whose failure domain or shard does not exist counts as a plain key. A
    caller may append ``-`` and a suffix to a minted key to make several bookings.

    >>> parse_key("puget-a.3.7." + "0" * 24, ["puget-a"]).shard
    ShardId(domain='puget-a', number=3)
    >>> parse_key("pickup-1", ["puget-a"]).minted
    False

    :param domains: names of all failure domains
    :raises RequestError: if the key is empty, too long or contains anything but visible ASCII, or
        if no failure domain is known
    """
    known = tuple(domains)
    if _VALID_KEY.fullmatch(text) is None:
        detail = f"Idempotency-Key is not 1 to {_MAX_KEY_CHARS} visible ASCII characters"
        raise RequestError(ErrorKind.KEY_INVALID, detail)
    match = _MINTED_KEY.fullmatch(text)
    if match is not None and match[1] in known and int(match[2]) < SHARDS:
        return BookingKey(text, ShardId(match[1], int(match[2])), int(match[3]))
    if not known:
        raise RequestError(ErrorKind.SHARD_UNREACHABLE, "no failure domain is known yet")
    return BookingKey(text, ShardId(ranked(text, known)[0], _shard_number(text)))


def _shard_number(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8, person=b"shard").digest()
    return int.from_bytes(digest, "big") % SHARDS
