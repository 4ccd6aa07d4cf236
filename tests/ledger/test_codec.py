"""Encoding of ledger records: round trips, sizes, and rejection of malformed bytes.

Guards against a record that is read as another one than was written, and against bytes that raise
anything but a typed error.
"""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import RecordError
from linkspan.ledger.codec import MAX_RECORD_BYTES, decode, encode, ordered, size_bound
from linkspan.ledger.records import (
    Cancelled,
    Ended,
    Evicted,
    Expelled,
    Joined,
    Lapsed,
    Left,
    Outcome,
    Placed,
    Recalled,
    Record,
    Resized,
    SnapshotPart,
    Submitted,
    WorkerSeen,
)
from linkspan.model.job import AttemptId
from linkspan.model.resources import Resources
from tests.builders import job, worker

NAMES = st.text(min_size=1, max_size=20)
SHORT = st.integers(0, 2**16 - 1)
LONG = st.integers(0, 2**32 - 1)
ATTEMPTS = st.builds(AttemptId, LONG, SHORT, SHORT)
SIZES = st.builds(Resources, LONG, LONG, SHORT)
DECISIONS = st.one_of(
    st.builds(Placed, ATTEMPTS, SHORT),
    st.builds(Ended, ATTEMPTS, st.sampled_from(Outcome)),
    st.builds(Evicted, ATTEMPTS, st.text(max_size=20), st.booleans()),
    st.builds(Recalled, ATTEMPTS),
    st.builds(Lapsed, ATTEMPTS),
    st.builds(Resized, LONG, SIZES),
    st.builds(Joined, NAMES),
    st.builds(Left, NAMES),
    st.builds(Expelled, NAMES),
    st.builds(Cancelled, NAMES),
    st.builds(SnapshotPart, LONG, SHORT, SHORT, st.binary(max_size=50)),
    st.builds(Submitted, st.builds(job, NAMES, size=SIZES, selector=NAMES)),
    st.builds(WorkerSeen, st.builds(worker, NAMES, incarnation=LONG)),
)


@settings(derandomize=True, database=None)
@given(NAMES, LONG, LONG, st.lists(DECISIONS, max_size=8))
def test_round_trip(writer: str, serial: int, read: int, decisions: list[object]) -> None:
    record = Record(writer, serial, read, ordered(tuple(decisions)))
    body = encode(record)
    assert decode(body) == record
    assert len(body) <= 64 + 4 * len(writer) + sum(map(size_bound, decisions))


@settings(derandomize=True, database=None)
@given(st.binary(max_size=200))
def test_rubbish_is_a_typed_error_or_a_record(body: bytes) -> None:
    with contextlib.suppress(RecordError):
        assert isinstance(decode(body), Record)


def test_placements_are_encoded_in_few_bytes() -> None:
    placed = tuple(Placed(AttemptId(70_000, n, 1), 100 + n % 50) for n in range(20))
    body = encode(Record("10.0.0.7:7000#0011aabb", 4_711, 123_456, placed))
    assert len(body) / 20 <= 11


def test_oversized_record_is_refused() -> None:
    with pytest.raises(RecordError, match="split it"):
        encode(Record("s", 1, 0, (SnapshotPart(0, 0, 1, bytes(range(256)) * 1_100),)))
    with pytest.raises(RecordError, match="over"):
        decode(bytes(MAX_RECORD_BYTES + 1))
