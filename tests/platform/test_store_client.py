"""Checks the store's client against a server of the store's protocol."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web

from linkspan.errors import (
    LogGap,
    OffsetConflict,
    ProducerFenced,
    ProducerGap,
    StoreRefused,
    StoreUnanswered,
)
from linkspan.platform.store import StoreClient
from linkspan.store.types import Appended, Entry, Partition, Producer, Record
from tests.standins.platform_http import StoreServer, serving

PLAIN = Partition("plain")
KEYED = Partition("things", 3, keyed=True)


@pytest_asyncio.fixture
async def setup() -> AsyncIterator[tuple[StoreClient, StoreServer]]:
    server = StoreServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        yield StoreClient(session, address, timeout_s=1.0), server


async def test_records_are_read_as_written(setup: tuple[StoreClient, StoreServer]) -> None:
    client, _ = setup
    assert await client.append(PLAIN, [Record(b"a"), Record(b"bc")]) == Appended(0, 2)
    page = await client.read(PLAIN, 0)
    assert page.entries == (Entry(0, b"a"), Entry(1, b"bc"))
    assert page.end == 2


async def test_keyed_records_keep_their_keys(setup: tuple[StoreClient, StoreServer]) -> None:
    client, _ = setup
    rows = [Record(b"1", b"a"), Record(b"2", b"b"), Record(b"3", b"a"), Record(b"", b"b")]
    await client.append(KEYED, [*rows, Record(b"4", b"c"), Record(b"5", b"d")])
    page = await client.newest_records(KEYED)
    assert [(e.key, e.value, e.offset) for e in page.entries] == [
        (b"a", b"3", 2),
        (b"c", b"4", 4),
        (b"d", b"5", 5),
    ]
    assert page.end == 6
    assert (await client.read(KEYED, 1)).entries[0] == Entry(1, b"2", b"b")


async def test_conditional_appends_conflict(setup: tuple[StoreClient, StoreServer]) -> None:
    client, _ = setup
    await client.append(PLAIN, [Record(b"a")], at=0)
    with pytest.raises(OffsetConflict) as caught:
        await client.append(PLAIN, [Record(b"b")], at=0)
    assert caught.value.end == 1


async def test_producers_are_numbered_and_fenced(setup: tuple[StoreClient, StoreServer]) -> None:
    client, _ = setup
    first = await client.append(PLAIN, [Record(b"a")], producer=Producer("p", 2, 1))
    again = await client.append(PLAIN, [Record(b"a")], producer=Producer("p", 2, 1))
    assert first == again
    with pytest.raises(ProducerGap) as gap:
        await client.append(PLAIN, [Record(b"c")], producer=Producer("p", 2, 5))
    assert gap.value.expected_sequence == 2
    await client.append(PLAIN, [], producer=Producer("p", 3, 1))
    with pytest.raises(ProducerFenced) as fenced:
        await client.append(PLAIN, [Record(b"b")], producer=Producer("p", 2, 2))
    assert fenced.value.epoch == 3


async def test_a_read_of_dropped_records_is_a_gap(setup: tuple[StoreClient, StoreServer]) -> None:
    client, server = setup
    await client.append(PLAIN, [Record(b"a"), Record(b"b")])
    server.store.forget(PLAIN)
    with pytest.raises(LogGap) as gap:
        await client.read(PLAIN, 0)
    assert gap.value.first == 2


@pytest.mark.parametrize("status", [429, 503, 507])
async def test_a_refusal_means_that_nothing_was_done(
    setup: tuple[StoreClient, StoreServer], status: int
) -> None:
    client, server = setup
    server.status = status
    with pytest.raises(StoreRefused) as refused:
        await client.append(PLAIN, [Record(b"a")])
    assert refused.value.status == status


async def test_the_outcome_of_other_failures_is_unknown(
    setup: tuple[StoreClient, StoreServer],
) -> None:
    client, server = setup
    server.status = 500
    with pytest.raises(StoreUnanswered):
        await client.append(PLAIN, [Record(b"a")])


async def test_a_closed_port_is_a_refusal() -> None:
    async with aiohttp.ClientSession() as session:
        client = StoreClient(session, "127.0.0.1:1", timeout_s=1.0)
        with pytest.raises(StoreRefused):
            await client.read(PLAIN, 0)


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\0" * 18, b"\0" * 16 + b"\0\0\0\x09a"])
async def test_a_truncated_answer_is_no_answer(body: bytes) -> None:
    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=body)

    async with serving(handle) as address, aiohttp.ClientSession() as session:
        client = StoreClient(session, address, timeout_s=1.0)
        with pytest.raises(StoreUnanswered):
            await client.read(KEYED, 0)


async def test_an_endless_answer_ends_at_the_limit_on_its_duration() -> None:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        answer = web.StreamResponse()
        await answer.prepare(request)
        while True:
            await answer.write(b"\0")
            await asyncio.sleep(0.02)

    async with serving(handle) as address, aiohttp.ClientSession() as session:
        client = StoreClient(session, address, timeout_s=0.2, max_response_s=0.5)
        began = time.monotonic()
        with pytest.raises(StoreUnanswered):
            await client.read(PLAIN, 0)
        assert 0.4 < time.monotonic() - began < 2.0


async def test_a_read_requests_pages_that_fit_the_largest_record() -> None:
    """Checks that the requested page size fits the largest record: else it is never read."""
    server = StoreServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        client = StoreClient(session, address)
        for _ in range(2):
            await client.append(PLAIN, [Record(b"x" * 262_144)])
        page = await client.read(PLAIN, 0)
    assert [entry.offset for entry in page.entries] == [0]
    assert page.end == 2


async def test_the_end_is_returned_without_the_records(
    setup: tuple[StoreClient, StoreServer],
) -> None:
    client, _ = setup
    assert await client.end(PLAIN, 0) == 0
    await client.append(PLAIN, [Record(b"x" * 4_000) for _ in range(30)])
    assert await client.end(PLAIN, 0) == 30
    assert await client.end(PLAIN, 20) == 30


async def test_the_end_before_the_first_record_is_a_gap(
    setup: tuple[StoreClient, StoreServer],
) -> None:
    client, server = setup
    await client.append(PLAIN, [Record(b"x") for _ in range(30)])
    server.store.forget(PLAIN)
    with pytest.raises(LogGap) as gap:
        await client.end(PLAIN, 0)
    assert gap.value.first == 30
    assert await client.end(PLAIN, 30) == 30
