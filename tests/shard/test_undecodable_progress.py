"""Tests a job whose progress record does not decode: it does not move, and raises an error."""

from __future__ import annotations

import pytest

from linkspan.errors import RecordError
from linkspan.jobs.records import Delegation
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, RunningTask, TaskName
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, submitted_job

UNDECODABLE = {0: b"["}


def core_with_undecodable_progress(**delegations: object) -> ShardCore:
    core = core_with(step(1))
    job = submitted_job(step(3, standing=True), job_id="0b")
    with pytest.raises(RecordError):
        core.add_job(job, 1.0, inherited=True, progress=UNDECODABLE, **delegations)  # type: ignore[arg-type]
    return core


def test_runs_are_numbered_above_all_earlier_runs() -> None:
    core = core_with_undecodable_progress()
    assert core.jobs["0b"].start_ordered
    assert not core.jobs["0b"].begun
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 1, 2]
    assert min(order.run for order in orders) >= 1_000_000


def test_a_run_that_an_executor_still_lists_is_recovered() -> None:
    core = core_with_undecodable_progress()
    running = RunningTask(TaskName("0b", 0, 0, 1), 7, "", 100, None)
    core.on_report("e0", ExecutorReport(5.0, (running,), ()), asked=1.5, now=1.6)
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 2]


def test_tasks_delegated_to_other_shards_stay_there() -> None:
    core = core_with_undecodable_progress(delegated_elsewhere={1: (Delegation(0, 2, 4),)})
    assert core.delegations("0b", 10.0) == {1: (Delegation(0, 2, 4),)}
    orders = [order for order in plan(core, 2.0) if order.task.job_id != JOB]
    assert sorted(order.task.index for order in orders) == [0, 1]


def test_later_delegations_are_numbered_above_returned_ones() -> None:
    """Guards against TWICE: a delegation with an earlier one's number counts as returned."""
    core = core_with_undecodable_progress(returned=(Delegation(0, 1, 3), Delegation(0, 1, 2)))
    (task,) = core.hand_over_tasks("0b", 1, ((0, 1),))
    assert task.delegation_number == 4


def test_a_task_that_is_delegated_here_again_is_managed_here() -> None:
    """Guards against LOST: a delegation is taken only if its number is above the task's."""
    core = core_with_undecodable_progress(
        delegated_here=(Delegation(0, 1, 3),), returned=(Delegation(0, 1, 4),)
    )
    task = core.find_task(TaskName("0b", 0, 0, 1))
    assert task and task.managed_by is None
