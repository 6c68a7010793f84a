"""Any received bytes decode to a message or raise a frame error."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import curio
from curio.io import Socket
from hypothesis import given, settings
from hypothesis import strategies as st

from carawayquay.clock import MonotonicClock
from carawayquay.errors import FrameError
from carawayquay.heartbeats import Heartbeat, Load
from carawayquay.objects import Digest, Pull, Pulled, StoredObject
from carawayquay_wire.codec import decode, encode, message_code
from carawayquay_wire.frames import MAX_FRAME_BYTES, Frame, FrameReader, Role, encode_frame
from carawayquay_wire.links import Link

DIGEST = Digest("documents", "sledway", 9, 7)
MESSAGES = (
    Heartbeat("vm-1", "puget-a", 1, 2, 3, loads=[Load("sledway", 1, 2)], recent=[DIGEST]),
    Pull([DIGEST], complete=True),
    Pulled([StoredObject("documents", "sledway", 9, b'{"a": 1}')], more=True),
)
HEADER = struct.Struct("!IHBQ")


def decode_or_none(code, payload):
    """Return the decoded message, or None if decoding raises a frame error."""
    with suppress(FrameError):
        return decode(code, payload)
    return None


def test_messages_round_trip():
    for message in MESSAGES:
        assert decode(message_code(message), encode(message)) == message


@given(st.lists(st.binary(max_size=200), max_size=5))
def test_random_bytes_raise_only_frame_errors(chunks):
    reader = FrameReader()
    with suppress(FrameError):
        for chunk in chunks:
            reader.feed(chunk)


@given(st.sampled_from(MESSAGES), st.binary(max_size=400))
def test_random_payload_decodes_or_raises_a_frame_error(message, payload):
    found = decode_or_none(message_code(message), payload)
    assert found is None or isinstance(found, type(message))


@given(st.sampled_from(MESSAGES), st.integers(0, 400))
def test_truncated_message_decodes_or_raises_a_frame_error(message, length):
    decode_or_none(message_code(message), encode(message)[:length])


@settings(max_examples=400)
@given(st.sampled_from(MESSAGES), st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255))))
def test_altered_message_decodes_or_raises_a_frame_error(message, changes):
    payload = bytearray(encode(message))
    for offset, byte in changes:
        payload[offset % len(payload)] = byte
    decode_or_none(message_code(message), bytes(payload))


@given(st.integers(MAX_FRAME_BYTES + 1, 2**32 - 1))
def test_oversized_frame_is_rejected_by_its_header(size):
    reader = FrameReader()
    try:
        reader.feed(HEADER.pack(size, 80, Role.CALL, 1))
    except FrameError:
        return
    raise AssertionError("oversized frame was not rejected")


@settings(max_examples=50)
@given(st.binary(min_size=1, max_size=300))
def test_broken_frame_closes_only_its_own_link(noise):
    async def echo(message):
        return message

    async def go():
        pairs = [socket.socketpair() for _ in range(2)]
        links = [Link(FakeTcpSocket(server), echo, MonotonicClock()) for _, server in pairs]
        tasks = [await curio.spawn(link.run) for link in links]
        hostile, friendly = (Socket(client) for client, _ in pairs)
        await hostile.sendall(HEADER.pack(MAX_FRAME_BYTES + 1, 1, 0, 0) + noise)
        await curio.timeout_after(5, tasks[0].join)
        payload = encode(MESSAGES[1])
        await friendly.sendall(encode_frame(Frame(80, Role.CALL, 7, payload)))
        reply = await curio.timeout_after(5, first_reply, friendly)
        for sock in (hostile, friendly):
            await sock.close()
        await tasks[1].join()
        return links[0].closed, decode(reply.code, reply.payload)

    assert curio.run(go) == (True, MESSAGES[1])


async def first_reply(sock):
    reader = FrameReader()
    while True:
        for frame in reader.feed(await sock.recv(65536)):
            if frame.role is Role.REPLY:
                return frame


class FakeTcpSocket(Socket):
    """An end of a socket pair that accepts the socket options of TCP."""

    def setsockopt(self, *_):
        """Ignore the option, which a Unix socket does not support."""
