"""What removes a submission removes it also where the removal is sent more than once."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.records import Finished, JobState, Submitted, Tombstone
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.kept_lines import Lines
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

HOST = "life-1"


def test_a_removal_that_did_not_arrive_at_first_removes_the_submission() -> None:
    """The submission stayed under its key, with nothing that would remove it."""

    async def play() -> list[bytes]:
        store = MemoryStore()
        job_registry = JobRegistry(StoreLink(store, "host"), HOST, Lines())  # type: ignore[arg-type]
        loops = [
            asyncio.create_task(loop)
            for loop in (job_registry.follower.run(), job_registry.writer.run())
        ]
        spec, end = await _submitted(job_registry)
        await _write_twice(store, job_registry, [end, Tombstone("s", spec.job_id, HOST)])
        kept = [
            entry.key for entry in (await StoreLink(store, "host").newest_records(JOBS)).entries
        ]
        for loop in loops:
            loop.cancel()
        return kept

    (kept,) = run_virtual(play())
    assert kept.startswith(b"f:")


def test_a_job_whose_end_is_removed_late_is_not_new_to_a_host_that_starts() -> None:
    """A host that listed the keys took a job that had ended for a new one, and ran it."""

    async def play() -> bool:
        store = MemoryStore()
        job_registry = JobRegistry(StoreLink(store, "host"), HOST, Lines())  # type: ignore[arg-type]
        loops = [
            asyncio.create_task(loop)
            for loop in (job_registry.follower.run(), job_registry.writer.run())
        ]
        spec, end = await _submitted(job_registry)
        submission = Tombstone("s", spec.job_id, HOST)
        await _write_twice(store, job_registry, [end, submission])
        await _write_twice(store, job_registry, [submission, Tombstone("f", spec.job_id)])
        store.forget(JOBS)
        late = JobRegistry(StoreLink(store, "late"), "life-2", Lines())  # type: ignore[arg-type]
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
    await job_registry.write([Submitted(spec, 0, 0.0, HOST)])
    return spec, Finished(spec.job_id, JobState.SUCCEEDED, 0, 0.0, spec.queue)


async def _write_twice(
    store: MemoryStore, job_registry: JobRegistry, records: list[Finished | Tombstone]
) -> None:
    """Write records whose first sending is not done and gets no answer."""
    store.silent.add("host")
    written = job_registry.write(records)
    await asyncio.sleep(0.5)
    store.silent.clear()
    await written
