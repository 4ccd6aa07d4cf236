"""Tests of the limit on the memory that the jobs of a hall take, in virtual time."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from dataclasses import replace

import pytest

from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.footprint import JobFootprint
from linkspan.jobs.memory import max_hall_bytes
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import (
    Cancelled,
    Delegated,
    Finished,
    JobState,
    Moved,
    Submitted,
    Tombstone,
)
from linkspan.jobs.spec import MAX_TASKS, JobSpec
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from tests.hall_world import HallWorld
from tests.host.admission_builders import MEMORY_MB
from tests.job_builders import QUEUE, step
from tests.virtual_time import run_virtual

WIDE = step(MAX_TASKS, cpu=20)
BEYOND = 3 + max_hall_bytes(MEMORY_MB) // JobFootprint.of(JobSpec("", "", "", (WIDE,))).total_bytes
"""More wide jobs than one hall may hold, and fewer than two."""


async def _fill(world: HallWorld, jobs: int) -> dict[str, int]:
    """Submit wide jobs until one is refused, and return the answers by job."""
    answers = {}
    for _ in range(jobs):
        spec = world.new_job(WIDE)
        answers[spec.job_id] = await world.submit("east-host-0", spec)
        if answers[spec.job_id] != 200:
            break
    return answers


def test_jobs_that_no_owner_may_hold_are_refused_at_once() -> None:
    """Guards against accepted jobs that take each owner of a hall over its memory."""

    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        began = asyncio.get_running_loop().time()
        answers = await _fill(world, BEYOND)
        assert list(answers.values())[-1] == 503
        assert asyncio.get_running_loop().time() - began < 1.0
        await asyncio.sleep(0.5)
        (refused,) = world.log.named("JOB_REFUSED")
        assert refused["taken_bytes"] + refused["needed_bytes"] > refused["limit_bytes"]
        assert refused["retry_after_s"] >= 10
        # What is small has room still.
        assert await world.submit("east-host-0", world.new_job(step(1))) == 200
        # With the end of a job there is room for another one.
        first = next(iter(answers))
        assert await world.cancel("east-host-0", first) == 200
        await world.wait_for("east-host-0", first, "cancelled")
        await asyncio.sleep(1.0)
        assert await world.submit("east-host-0", world.new_job(WIDE)) == 200
        return world

    run_virtual(play())


def test_jobs_go_where_owners_may_hold_them() -> None:
    """Guards against refusals for the memory of one hall while another one has room."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        answers = await _fill(world, BEYOND)
        assert set(answers.values()) == {200}
        return world

    run_virtual(play())


@pytest.mark.parametrize("shape", [(1, 1), (10, 1), (1, 500), (100, 5)])
def test_the_estimate_covers_what_a_job_takes(shape: tuple[int, int]) -> None:
    """Guards against estimates under what an owner takes, as classes of the state grow."""
    steps, tasks = shape
    spec = JobSpec("0" * 16, QUEUE.name, "x" * 1_000, tuple(step(tasks) for _ in range(steps)))
    jobs = max(2_000 // (steps * tasks), 5)
    taken = _owner_bytes(spec, jobs) / jobs
    assert 0.6 * taken < JobFootprint.of(spec).total_bytes < 1.8 * taken


def _owner_bytes(spec: JobSpec, jobs: int) -> int:
    """Return the memory that jobs with a catalog entry and an open repetition take."""
    rows = [
        encode(Submitted(replace(spec, job_id=f"{number:016x}"), 0, 0.0, "host"))
        for number in range(jobs)
    ]
    catalog, core = JobCatalog(), ShardCore(0, Bounds())
    gc.collect()
    tracemalloc.start()
    try:
        for offset, (key, value) in enumerate(rows):
            record = decode(key, value)
            assert isinstance(record, Submitted)
            catalog.apply(offset, record)
            core.add_job(record, 0.0)
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_a_job_is_counted_until_it_is_finished() -> None:
    """Guards against a sum that keeps what is gone, so that all jobs are refused in the end."""
    spec = JobSpec("0" * 16, QUEUE.name, "x", (step(100),))
    own = JobFootprint.of(spec)
    catalog = JobCatalog()
    catalog.apply(0, Submitted(spec, 0, 0.0, "host"))
    catalog.apply(0, Submitted(spec, 0, 0.0, "host"))
    assert catalog.memory.of_shard(0) == own.total_bytes
    assert catalog.memory.of_shard(1) == own.record_bytes
    catalog.apply(1, Delegated(spec.job_id, 1, ()))
    assert catalog.memory.of_shard(1) == own.total_bytes
    catalog.apply(2, Tombstone("l", spec.job_id, "1"))
    catalog.apply(3, Moved(spec.job_id, 1))
    catalog.apply(4, Cancelled(spec.job_id))
    assert (catalog.memory.of_shard(0), catalog.memory.of_shard(1)) == (
        own.record_bytes,
        own.total_bytes,
    )
    catalog.apply(5, Finished(spec.job_id, JobState.CANCELLED, 1, 9.0, QUEUE.name))
    assert catalog.memory.of_shard(1) == 0
