"""Checks that a write is sent for a limited time, and never carried out after it was given up."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import StoreUnanswered
from linkspan.store.types import Partition, Record
from linkspan.store.writer import GroupWriter
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

LOG = Partition("log")
MAX_AGE_S = 20.0

LATEST_S = 12.0
"""Time after which the store carries out no append that it has not answered."""


@pytest.mark.parametrize("lost_answers", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_a_write_that_was_given_up_is_never_carried_out(seed: int, lost_answers: bool) -> None:
    """Guards against a job that is stored after its early cancel was removed."""

    async def play() -> list[bytes]:
        store = MemoryStore(seed)
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=1, may_renumber=True)
        running = asyncio.create_task(writer.run())
        await writer.write([Record(b"before")])
        if lost_answers:
            store.lost_answer_share, store.late = 0.5, True
        store.silent.add("h")
        old = writer.write([Record(b"old")], max_age_s=MAX_AGE_S)
        beside = writer.write([Record(b"beside")])
        await asyncio.sleep(0.9 * MAX_AGE_S)
        assert not old.done()
        await asyncio.sleep(0.2 * MAX_AGE_S)
        with pytest.raises(StoreUnanswered):
            await old
        await asyncio.sleep(LATEST_S)
        given_up = len(store.log(LOG).entries)
        store.calm()
        await beside
        await writer.write([Record(b"after")])
        await asyncio.sleep(30.0)
        running.cancel()
        return [entry.value for entry in store.log(LOG).entries[given_up:]]

    values = run_virtual(play())
    assert b"old" not in values
    assert values[-1] == b"after"
    assert b"beside" in values


def test_a_write_of_a_stopped_process_is_given_up_at_once_when_it_continues() -> None:
    """Guards against a write that counts only the time for which its process ran."""

    async def play() -> list[bytes]:
        store = MemoryStore()
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=1, may_renumber=True)
        old = writer.write([Record(b"old")], max_age_s=MAX_AGE_S)
        await asyncio.sleep(2 * MAX_AGE_S)
        running = asyncio.create_task(writer.run())
        with pytest.raises(StoreUnanswered):
            await old
        await writer.write([Record(b"after")], max_age_s=MAX_AGE_S)
        running.cancel()
        return [entry.value for entry in store.log(LOG).entries]

    assert run_virtual(play()) == [b"after"]
