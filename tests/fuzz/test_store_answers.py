"""Checks answers of the store: valid, or treated as no answer.

A truncated page must not be applied in part, and a page that the store repeats must not make the
client read for ever.
"""

from __future__ import annotations

import asyncio
import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import LinkspanError, StoreRefused, StoreUnanswered
from linkspan.platform import store
from linkspan.platform.store import StoreClient
from linkspan.store.types import Partition, Record
from tests.fuzz import builders
from tests.fuzz.answers import FixedSession
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes

KEYED = Partition("jobs", keyed=True)


def client(status: int, body: bytes) -> Any:
    return StoreClient(FixedSession(status, body), "store")  # type: ignore[arg-type]


@settings(max_examples=EXAMPLES)
@given(
    st.lists(st.tuples(st.binary(max_size=5), st.binary(max_size=5)), max_size=3),
    st.integers(0, 60),
    st.binary(max_size=6),
)
def test_a_page_of_records_is_whole_or_no_answer(
    records: list[tuple[bytes, bytes]], cut: int, tail: bytes
) -> None:
    body = struct.pack(">QQ", len(records), 0)
    for key, value in records:
        record = bytes((len(key),)) + key + value
        body += struct.pack(">I", len(record)) + record
    sent = body[:cut] + tail if cut < len(body) else body + tail
    try:
        page = store._parse_page(KEYED, 0, sent)
    except LinkspanError:
        return
    if sent == body:
        assert [(e.key, e.value) for e in page.entries] == records
    assert all(len(e.key) + len(e.value) <= len(sent) for e in page.entries)


def test_a_record_with_a_truncated_key_is_no_answer() -> None:
    record = bytes((9,)) + b"key"
    body = struct.pack(">QQ", 1, 0) + struct.pack(">I", len(record)) + record
    with pytest.raises(LinkspanError):
        store._parse_page(KEYED, 0, body)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.APPENDED), st.sampled_from((200, 409, 412, 410, 503)))
def test_an_append_is_answered_or_not(answer: bytes, status: int) -> None:
    appended = client(status, answer).append(KEYED, [Record(b"v", b"k")])
    check(asyncio.run, appended, LinkspanError)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.KEY_PAGE))
def test_a_page_of_keys_is_decoded_or_no_answer(answer: bytes) -> None:
    check(asyncio.run, client(200, answer).newest_records_page(KEYED), StoreUnanswered)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes({"first": 4}), st.sampled_from((200, 410, 404)))
def test_a_read_is_answered_or_not(answer: bytes, status: int) -> None:
    check(asyncio.run, client(status, answer).read(KEYED, 0), LinkspanError)


def test_an_append_without_an_offset_is_no_answer() -> None:
    with pytest.raises(StoreUnanswered):
        asyncio.run(client(200, b"[]").append(KEYED, [Record(b"v", b"k")]))


def test_a_refusal_with_any_body_is_a_refusal() -> None:
    with pytest.raises(StoreRefused):
        asyncio.run(client(503, b"<html>").append(KEYED, [Record(b"v", b"k")]))


def test_a_repeated_page_of_keys_is_no_answer() -> None:
    page = b'{"items":[{"privateKey":"k","value":"dg==","offset":1}],"more":true,"end":2}'
    with pytest.raises(StoreUnanswered):
        asyncio.run(client(200, page).newest_records(KEYED))


def test_a_key_with_special_characters_is_quoted() -> None:
    session = FixedSession(200, b'{"items":[],"end":0}')
    keys = StoreClient(session, "store")  # type: ignore[arg-type]
    asyncio.run(keys.newest_records_page(KEYED, after="a&part=9#+é".encode()))
    assert session.urls[0].endswith("part=0&dependsOn=a%26part%3D9%23%2B%C3%A9")
