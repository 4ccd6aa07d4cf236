"""Where a task resumes, by what its runs saved."""

from __future__ import annotations

from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report, started
from tests.shard.test_failed_runs import cut_off_and_back


def test_an_end_that_is_told_again_does_not_take_a_later_run_back() -> None:
    """Guards against work done twice: a run resumed behind what a later one had saved."""
    core = core_with(step(1, checkpoints=True))
    first = plan(core, 0.1)[0]
    started(core, first, 0.2)
    stopped = EndedTask(1, first.task, first.run, EndKind.STOPPED, "a fifth")
    report(core, first.executor_id, stopped, asked=0.3, now=0.5)
    second = plan(core, 0.6)[0]
    started(core, second, 0.7)
    saved = RunningTask(second.task, second.run, "one half", 50, None)
    core.on_report(second.executor_id, ExecutorReport(1.0, (saved,), ()), asked=0.9, now=1.0)
    if second.executor_id == first.executor_id:
        other = next(name for name in core.executors if name != first.executor_id)
        report(core, other, stopped, asked=1.1, now=1.2)
    else:
        cut_off_and_back(core, first.executor_id)
        report(core, first.executor_id, stopped, asked=61.1, now=61.2)
    assert core.jobs[JOB].runs[0].steps[0].tasks[0].checkpoint == "one half"
