"""Opens packed Cap'n Proto messages that come from datagrams."""

from __future__ import annotations

from contextlib import nullcontext
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

__all__ = ["SEGMENT_WORDS", "open_packed"]

#: Size of a message's first segment in words of 8 bytes, in which it fits as a whole.
SEGMENT_WORDS = 16_384
_WORD_BYTES = 8

#: Greatest size of an unpacked message in bytes.
_MAX_UNPACKED_BYTES = 1024 * 1024

#: Bits of a packed message's first byte that are set if it has several segments.
_SEVERAL_SEGMENTS = 0x0F

#: Tags of packed words that are followed by a count: of zero words, or of unpacked ones.
_ZERO_TAG = 0x00
_WHOLE_TAG = 0xFF


def open_packed(schema: Any, data: bytes) -> AbstractContextManager[Any]:
    """Return a context with a reader of a packed message.

    The library reads further segments late, and aborts the process if one is cut off, so messages
    of several segments are unpacked here.

    :raises ValueError: if the message is cut off, or too large
    :raises capnp.KjException: if it cannot be decoded
    """
    if not data:
        raise ValueError("the message is empty")
    if data[0] & _SEVERAL_SEGMENTS:
        return schema.from_bytes(_unpack_words(data))
    return nullcontext(schema.from_bytes_packed(data))


def _unpack_words(data: bytes) -> bytes:
    """Undo the packing of a message.

    :raises ValueError: if the message is cut off, or too large
    """
    unpacked = bytearray()
    at = 0
    while at < len(data):
        tag = data[at]
        at += 1
        word = bytearray(_WORD_BYTES)
        for index in range(_WORD_BYTES):
            if tag >> index & 1:
                word[index] = _byte_at(data, at)
                at += 1
        unpacked += word
        if tag == _ZERO_TAG:
            unpacked += bytes(_WORD_BYTES * _byte_at(data, at))
            at += 1
        elif tag == _WHOLE_TAG:
            size = _WORD_BYTES * _byte_at(data, at)
            unpacked += data[at + 1 : at + 1 + size]
            at += 1 + size
        if at > len(data) or len(unpacked) > _MAX_UNPACKED_BYTES:
            raise ValueError("the message is cut off or too large")
    return bytes(unpacked)


def _byte_at(data: bytes, index: int) -> int:
    """Return one byte of a message.

    :raises ValueError: if the message ends before it
    """
    if index >= len(data):
        raise ValueError("the message is cut off")
    return data[index]
