"""Tests that standing tasks that have waited longest start first."""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, submitted_job

OLDER_JOB = "00000000000000bb"
NOW = 20.0
FULL = HallSummary(capacity=8_000, free_by_executor=((0, 0),))
ROOM_FOR_ONE = HallSummary(capacity=8_000, free=4_500, free_by_executor=((4_500, 32_000),))


def _displaced(core: ShardCore, job_id: str, *waiting_since: float) -> list[Task]:
    """Let the tasks of a job have run before and wait for another run."""
    tasks = list(core.jobs[job_id].runs[0].tasks())
    for task, since in zip(tasks, waiting_since, strict=True):
        task.next_run = 2
        task.waiting_since = task.ready_since = since
    return tasks


def test_the_task_of_a_step_that_has_waited_longest_starts_first() -> None:
    """Guards against a task that waits for seconds behind tasks of its step that came later."""
    core = core_with(step(3, standing=True, cpu=4_500), executors=0)
    _displaced(core, JOB, 17.0, 18.0, 10.0)
    add_executor(core, "e0")
    (order,) = plan(core, NOW)
    assert order.task.index == 2


def test_the_task_of_a_step_that_has_waited_longest_is_delegated_first() -> None:
    """Guards against the same wait between halls."""
    core = core_with(step(3, standing=True, cpu=4_500), executors=0)
    _displaced(core, JOB, 17.0, 18.0, 10.0)
    core.jobs[JOB].begun = True
    rebalancer = Rebalancer(core, summaries=lambda: {1: ROOM_FOR_ONE}, count_capable=lambda *_: 1)
    (handover,) = rebalancer.plan(FULL, NOW)
    assert handover.tasks == ((0, 2),)


def test_the_step_whose_task_has_waited_longest_comes_first() -> None:
    """Guards against a displaced task that waits behind tasks of older jobs that came later."""
    core = core_with(step(1, standing=True, cpu=4_500), executors=0)
    older = submitted_job(step(1, standing=True, cpu=4_500), job_id=OLDER_JOB, accepted=-50.0)
    core.add_job(older, 0.0)
    plan(core, 1.0)
    _displaced(core, OLDER_JOB, 18.0)
    _displaced(core, JOB, 10.0)
    add_executor(core, "e0")
    (order,) = plan(core, NOW)
    assert order.task.job_id == JOB
