"""Tests that the largest accepted job fits into the memory that an owner may use for it."""

from __future__ import annotations

import tracemalloc

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import MAX_REPEATED_TASKS, JobSpec, Schedule, check_job
from linkspan.shard.job_run import new_run
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB

OWNER_BYTES = 40_000_000
"""Minimum memory of a host, from which the limit on repeated tasks is derived."""


def test_the_largest_job_with_repetitions_fits_into_an_owner() -> None:
    """An owner holds all repetitions from the start; the limit assumes 300 bytes per task."""
    spec = JobSpec(JOB, QUEUE.name, "text", (step(1),), Schedule(MAX_REPEATED_TASKS, 0.0, 1.0))
    check_job(spec)
    tracemalloc.start()
    try:
        job = ShardJob(Submitted(spec, 0, 0.0, "host"))
        for repetition in range(spec.repetitions):
            job.runs[repetition] = new_run(job, repetition)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken < OWNER_BYTES
