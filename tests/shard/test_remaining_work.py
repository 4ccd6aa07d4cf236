"""Tests the remaining work of wide steps, from which each plan orders the steps."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.shard.attempt import FULL_PROGRESS, Attempt, Phase
from linkspan.shard.job_run import JobRun, new_run
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan

WIDTH = 160
"""Tasks of the widest step observed; the average is 39."""

PARTS = st.lists(st.sampled_from((None, 0, 35, 100, -1)), min_size=1, max_size=WIDTH)
"""Progress in percent that each task's run reports; None if no run exists, -1 if it is done."""


def run_with(parts: list[int | None]) -> JobRun:
    steps = (StepSpec(len(parts), Demand(2_000, 1)), StepSpec(3, Demand(1_000, 1), depends_on=(0,)))
    run = new_run(ShardJob(Submitted(JobSpec("0a", "q", "", steps), 0, 0.0, "h")), 0)
    for task, part in zip(run.steps[0].tasks, parts, strict=True):
        if part == -1:
            task.done = True
            run.steps[0].remaining_tasks -= 1
        elif part is not None:
            attempt = Attempt(task, 1, "e1", Phase.RUNNING, 0.0)
            attempt.progress = part
            task.attempts.append(attempt)
    return run


@given(PARTS)
def test_what_is_left_of_a_step_is_that_of_its_tasks(parts: list[int | None]) -> None:
    run = run_with(parts)
    left = [0.0 if p == -1 else 1.0 - (p or 0) / FULL_PROGRESS for p in parts]
    assert run.steps[0].remaining_share == max(left)
    assert abs(run.steps[0].remaining_task_shares - sum(left)) < 1e-9
    lengths = run.job.expected_durations_s
    open_work = sum(left) * 2_000 * lengths[0] if run.steps[0].remaining_tasks else 0.0
    assert abs(run.remaining_work - open_work - 3 * 1_000 * lengths[1]) < 1e-6


def test_a_plan_sums_the_remaining_work_of_a_job_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an owner that stands still for seconds, as a job has thousands of steps."""
    core = core_with(*(step(2, cpu=8_000) for _ in range(40)))
    sums = 0
    remaining_work = JobRun.remaining_work.fget
    assert remaining_work

    def count(run: JobRun) -> float:
        nonlocal sums
        sums += 1
        return float(remaining_work(run))

    monkeypatch.setattr(JobRun, "remaining_work", property(count))
    assert len(plan(core, 0.1)) == 2
    assert len(core.ready) == len(core.jobs[JOB].runs[0].steps)
    assert sums == 1
