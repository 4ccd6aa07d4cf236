"""Checks that a log whose reader is slow or has closed the pipe does not block the writer.

A blocking write to a full pipe would freeze the whole process.
"""

from __future__ import annotations

import os

from linkspan._dropping_stream import DroppingStream

LINE = "x" * 99 + "\n"


def test_lines_past_the_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    stream = DroppingStream(writer, limit=1_000)
    for _ in range(5_000):
        stream.write(LINE)
        stream.flush()
    dropped = stream.take_dropped()
    assert dropped > 0
    assert stream.take_dropped() == 0
    received = bytearray()
    os.set_blocking(reader, False)
    while True:
        stream.flush()
        try:
            received += os.read(reader, 65_536)
        except BlockingIOError:
            break
    assert received.decode() == LINE * (5_000 - dropped), "only whole lines are dropped"
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_drops_lines_without_an_error() -> None:
    reader, writer = os.pipe()
    stream = DroppingStream(writer)
    os.close(reader)
    stream.write(LINE)
    stream.flush()
    assert stream.take_dropped() == 1
    os.close(writer)
