"""Tasks at their crash limit start one after the other on an executor, but within a bound."""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import TaskName
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.answering_executors import STEP_S, AnsweringExecutors
from tests.shard.builders import JOB, add_executor, core_with, submitted_job

OTHER_JOB = "00000000000000bb"
READY_AT = 1.0


def _core_with_tasks_at_their_crash_limit(count: int, executors: int) -> ShardCore:
    """Return a core with empty executors and standing tasks that the next crash gives up."""
    core = core_with(step(count, standing=True, cpu=200), executors=0)
    for index in range(executors):
        add_executor(core, f"e{index}@1")
    run = core.jobs[JOB].runs[0]
    run.durable = float("inf")
    for task in run.tasks():
        core.set_crash_history(task, CrashHistory(4, 7))
        assert task.at_crash_limit
    core.open_steps(run, READY_AT)
    return core


def test_many_tasks_at_their_crash_limit_start_within_the_bound() -> None:
    """Guards against a wait of 3 s for each such task that starts first.

    An executor takes no other work for 3 s after the start of such a task, however long others have
    waited.
    """
    core = _core_with_tasks_at_their_crash_limit(20, executors=3)
    executors = AnsweringExecutors(core, READY_AT)
    executors.run_until(READY_AT + MAX_AWAY_S - STEP_S)
    waiting = [t.name.index for t in core.jobs[JOB].runs[0].tasks() if t.pending]
    assert waiting == []


def test_a_task_without_crashes_does_not_wait_for_all_tasks_at_their_crash_limit() -> None:
    """Guards against an executor that takes one such task after the other, and nothing else."""
    core = _core_with_tasks_at_their_crash_limit(4, executors=1)
    core.add_job(submitted_job(step(1, standing=True, cpu=200), job_id=OTHER_JOB), READY_AT)
    executors = AnsweringExecutors(core, READY_AT)
    executors.run_until(READY_AT + MAX_AWAY_S - STEP_S)
    assert TaskName(OTHER_JOB, 0, 0, 0) in executors.started_at
