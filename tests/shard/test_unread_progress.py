"""A job whose progress record does not decode: taken in as begun, and told of."""

from __future__ import annotations

import pytest

from linkspan.errors import RecordError
from linkspan.jobs.records import Delegation
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, RunningTask, TaskName
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, submitted

UNREAD = {0: b"["}


def with_unread_job(**lent: object) -> ShardCore:
    core = core_with(step(1))
    job = submitted(step(3, standing=True), job_id="0b")
    with pytest.raises(RecordError):
        core.add_job(job, 1.0, inherited=True, progress=UNREAD, **lent)  # type: ignore[arg-type]
    return core


def test_its_tasks_begin_above_all_runs_that_there_were() -> None:
    core = with_unread_job()
    assert core.jobs["0b"].begun
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 1, 2]
    assert min(order.run for order in orders) >= 1_000_000


def test_a_run_that_an_executor_still_lists_is_taken_over() -> None:
    core = with_unread_job()
    found = RunningTask(TaskName("0b", 0, 0, 1), 7, "", 100, None)
    core.on_report("e0", ExecutorReport(5.0, (found,), ()), asked=1.5, now=1.6)
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 2]


def test_tasks_that_other_shards_were_told_of_stay_there() -> None:
    core = with_unread_job(delegated_elsewhere={1: (Delegation(0, 2, 4),)})
    assert core.delegations("0b") == {1: (Delegation(0, 2, 4),)}
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 1]
