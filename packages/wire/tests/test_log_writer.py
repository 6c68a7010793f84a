"""Writing log lines never blocks, and dropped lines are counted."""

from __future__ import annotations

import os

from carawayquay_wire.log_writer import LogWriter


def _read_available(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


def test_lines_are_written_whole_and_in_order():
    reader, writer = os.pipe()
    output = LogWriter(writer)
    for index in range(500):
        output.write(f"event=test number={index}")
    output.flush()
    lines = _read_available(reader).decode().splitlines()
    assert lines == [f"event=test number={index}" for index in range(500)]


def test_full_pipe_does_not_block_and_queued_lines_are_written_later():
    reader, writer = os.pipe()
    output = LogWriter(writer, lambda: 0.0)
    for _ in range(900):
        output.write("x" * 300)
    output.flush()
    first = _read_available(reader)
    assert len(first) < 900 * 301
    rest = b""
    while len(first) + len(rest) < 900 * 301:
        output.flush()
        rest += _read_available(reader)
    assert len(first) + len(rest) == 900 * 301


def test_lines_over_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    now = [0.0]
    output = LogWriter(writer, lambda: now[0])
    for _ in range(1500):
        output.write("event=flood")
    assert output.dropped == 500
    now[0] = 1.0
    output.write("event=after")
    output.flush()
    text = _read_available(reader)
    while text.count(b"\n") < 1002:
        output.flush()
        text += _read_available(reader)
    assert b"event=lines-dropped count=500\nevent=after\n" in text
