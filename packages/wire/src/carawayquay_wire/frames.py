"""Framing of the messages that entry VMs exchange over TCP."""

from __future__ import annotations

import enum
import struct

import attrs

from carawayquay.errors import FrameError

__all__ = ["MAX_FRAME_BYTES", "Frame", "FrameReader", "Role", "encode_frame"]

#: Limit of a frame's payload; a body of 4 MiB and its headers fit.
MAX_FRAME_BYTES = 5 * 1024 * 1024

#: Payload length, message code, role and call id.
_HEADER = struct.Struct("!IHBQ")


class Role(enum.IntEnum):
    """Role of a frame: one-way message, call, reply to a call, or cancellation of a call."""

    CAST = 0
    CALL = 1
    REPLY = 2
    CANCEL = 3


@attrs.frozen
class Frame:
    """One frame on a link.

    :param code: the number of the message type
    :param call_id: identifies the call that a call, reply or cancel frame belongs to; 0 in others
    :param payload: the encoded message
    """

    code: int
    role: Role
    call_id: int
    payload: bytes


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as header and payload.

    :raises FrameError: if the payload is larger than ``MAX_FRAME_BYTES``
    """
    if len(frame.payload) > MAX_FRAME_BYTES:
        raise FrameError(f"frame payload of {len(frame.payload)} bytes exceeds {MAX_FRAME_BYTES}")
    header = _HEADER.pack(len(frame.payload), frame.code, frame.role, frame.call_id)
    return header + frame.payload


class FrameReader:
    """Parses a byte stream into frames.

    >>> reader = FrameReader()
    >>> data = encode_frame(Frame(7, Role.CALL, 1, b"abc"))
    >>> reader.feed(data[:5])
    []
    >>> reader.feed(data[5:])
    [Frame(code=7, role=<Role.CALL: 1>, call_id=1, payload=b'abc')]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Buffer received bytes and return the frames that they complete.

        :raises FrameError: if a header has an unknown role or too large a payload length
        """
        self._buffer += data
        frames = []
        offset = 0
        while len(self._buffer) - offset >= _HEADER.size:
            length, code, role, call_id = _HEADER.unpack_from(self._buffer, offset)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame payload of {length} bytes exceeds {MAX_FRAME_BYTES}")
            if role > Role.CANCEL:
                raise FrameError(f"frame has unknown role {role}")
            end = offset + _HEADER.size + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[offset + _HEADER.size : end])
            frames.append(Frame(code, Role(role), call_id, payload))
            offset = end
        del self._buffer[:offset]
        return frames
