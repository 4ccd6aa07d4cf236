"""Tests of what an owner keeps in memory of jobs that run many times."""

from __future__ import annotations

import tracemalloc
from itertools import count

import pytest

from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import EndedTask, EndKind
from tests.job_builders import QUEUE, step
from tests.repeated_jobs import WEEK_MINUTES, repeated_job
from tests.shard.builders import add_executor, confirm_start, plan, report_ends

OWNER_BYTES = 40_000_000
"""Minimum memory of a host for the jobs of a hall."""


def _core() -> ShardCore:
    core = ShardCore(0, Bounds())
    core.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    add_executor(core, "e0", 16_000)
    return core


def _make_durable(core: ShardCore) -> None:
    """Count all changes as recorded."""
    runs = list(core.dirty.values())
    core.dirty.clear()
    for run in runs:
        run.durable = run.version
    core.repetitions.on_durable(runs)


@pytest.mark.parametrize("inherited", [False, True])
@pytest.mark.parametrize(
    "jobs, times, tasks, first_s",
    [
        (64, WEEK_MINUTES, 1, 1e6),
        (24, 30_000, 1, 1e6),
        (64, 100, 100, 1e6),
        (64, WEEK_MINUTES, 1, -1e7),
        (64, 100, 100, -1e7),
    ],
)
def test_jobs_with_many_repetitions_fit_into_an_owner(
    jobs: int, times: int, tasks: int, first_s: float, inherited: bool
) -> None:
    """Guards against owners killed for their memory by what is due in days, or is overdue."""
    core = _core()
    tracemalloc.start()
    try:
        for number in range(jobs):
            job = repeated_job(number, times, step(tasks, cpu=100), first_s=first_s)
            core.add_job(job, 0.0, inherited=inherited)
            taken, _ = tracemalloc.get_traced_memory()
            assert taken < OWNER_BYTES, f"{number + 1} jobs"
        core.release_due(0.0, 0.0)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken < OWNER_BYTES
    if first_s < 0:
        # Each of the jobs has something to start, however many others are due.
        assert {step.run.job.job_id for step in core.ready} == set(core.jobs)


def test_all_repetitions_of_an_overdue_job_run_once_each() -> None:
    """Guards against repetitions that are skipped, or run again, as the next ones are opened."""
    times = 1_500
    core = _core()
    job = repeated_job(1, times, step(1, cpu=100), first_s=-1e6, interval_s=1.0)
    core.add_job(job, 0.0)
    started = []
    numbers = count(1)
    now = 0.1
    while core.jobs[job.spec.job_id].closing is False and now < 60.0:
        orders = plan(core, now)
        for order in orders:
            started.append(order.task.repetition)
            confirm_start(core, order, now)
        ends = [EndedTask(next(numbers), o.task, o.run, EndKind.DONE, "") for o in orders]
        report_ends(core, "e0", *ends, asked=now, now=now + 0.01)
        _make_durable(core)
        now += 0.1
    assert sorted(started) == list(range(times))
