"""What a host's view of the jobs tells its listeners, and when."""

from __future__ import annotations

import asyncio

from linkspan.host.job_book import JOBS, JobBook
from linkspan.jobs.records import Moved, Submitted, encode
from tests.hall_world import HallWorld, Lines, step
from tests.standins.memory_store import READ_RECORDS, MemoryStore, StoreLink
from tests.virtual_time import run_virtual


def test_listeners_hear_of_a_job_as_it_is_at_the_end_of_what_was_written() -> None:
    """An owner that had fallen behind started a job that had moved on long ago."""

    async def play() -> list[int | None]:
        world = HallWorld()
        store = MemoryStore()
        spec = world.new_job(step(1))
        book = JobBook(StoreLink(store, "host"), "life-1", Lines())  # type: ignore[arg-type]
        work = asyncio.create_task(book.follower.run())
        await asyncio.sleep(0.1)
        heard: list[int | None] = []
        book.listen(lambda job_id: heard.append(_shard(book, job_id)))
        store.silent.add("host")
        await asyncio.sleep(3.0)
        store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
        for _ in range(READ_RECORDS):
            store.put(JOBS, *encode(Submitted(world.new_job(step(1)), 7, 0.0, "life-x")))
        store.put(JOBS, *encode(Moved(spec.job_id, 1)))
        store.silent.clear()
        await asyncio.sleep(3.0)
        work.cancel()
        return heard

    heard = run_virtual(play())
    assert sorted(set(heard)) == [1, 7]
    assert len(heard) == READ_RECORDS + 1


def _shard(book: JobBook, job_id: str) -> int | None:
    entry = book.catalog.get(job_id)
    return entry.shard if entry else None
