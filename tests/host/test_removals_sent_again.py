"""A removal of a submission takes effect even where it has to be sent more than once.

Records whose first write is lost are sent again, perhaps behind others. A submission that stays
under its key although its job has ended makes a starting host run the job again.
"""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.records import Finished, JobState, Submitted, Tombstone
from linkspan.jobs.spec import JobSpec
from tests.event_recorder import EventRecorder
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

INCARNATION = "life-1"


def test_a_removal_that_did_not_arrive_at_first_removes_the_submission() -> None:
    """Guards against a submission that stays under its key with nothing left to remove it."""

    async def play() -> list[bytes]:
        store = MemoryStore()
        job_registry = JobRegistry(StoreLink(store, "host"), INCARNATION, EventRecorder())  # type: ignore[arg-type]
        loops = [
            asyncio.create_task(loop)
            for loop in (job_registry.follower.run(), job_registry.writer.run())
        ]
        spec, end = await _submitted(job_registry)
        await _write_twice(store, job_registry, [end, Tombstone("s", spec.job_id, INCARNATION)])
        kept = [
            entry.key for entry in (await StoreLink(store, "host").newest_records(JOBS)).entries
        ]
        for loop in loops:
            loop.cancel()
        return kept

    (kept,) = run_virtual(play())
    assert kept.startswith(b"f:")


def test_a_job_whose_end_is_removed_late_is_not_new_to_a_host_that_starts() -> None:
    """Guards against a host that reads a snapshot of the keys and runs an ended job as new."""

    async def play() -> bool:
        store = MemoryStore()
        job_registry = JobRegistry(StoreLink(store, "host"), INCARNATION, EventRecorder())  # type: ignore[arg-type]
        loops = [
            asyncio.create_task(loop)
            for loop in (job_registry.follower.run(), job_registry.writer.run())
        ]
        spec, end = await _submitted(job_registry)
        submission = Tombstone("s", spec.job_id, INCARNATION)
        await _write_twice(store, job_registry, [end, submission])
        await _write_twice(store, job_registry, [submission, Tombstone("f", spec.job_id)])
        store.forget(JOBS)
        late = JobRegistry(StoreLink(store, "late"), "life-2", EventRecorder())  # type: ignore[arg-type]
        loops.append(asyncio.create_task(late.follower.run()))
        await asyncio.sleep(1.0)
        assert late.follower.ready
        for loop in loops:
            loop.cancel()
        return late.catalog.get(spec.job_id) is not None

    assert not run_virtual(play())


async def _submitted(job_registry: JobRegistry) -> tuple[JobSpec, Finished]:
    """Write a submission; return the job and the record of its end."""
    spec = HallWorld().new_job(step(1))
    await job_registry.write([Submitted(spec, 0, 0.0, INCARNATION)])
    return spec, Finished(spec.job_id, JobState.SUCCEEDED, 0, 0.0, spec.queue)


async def _write_twice(
    store: MemoryStore, job_registry: JobRegistry, records: list[Finished | Tombstone]
) -> None:
    """Write records of which the first attempt is neither applied nor answered."""
    store.silent.add("host")
    written = job_registry.write(records)
    await asyncio.sleep(0.5)
    store.silent.clear()
    await written
