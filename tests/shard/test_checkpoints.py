"""Tests from which checkpoint a task resumes."""

from __future__ import annotations

from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends
from tests.shard.test_failed_runs import disconnect_and_reconnect


def test_an_end_reported_again_keeps_the_later_checkpoint() -> None:
    """Guards against repeated work: a run that resumes from an older checkpoint than the newest."""
    core = core_with(step(1, checkpoints=True))
    first = plan(core, 0.1)[0]
    confirm_start(core, first, 0.2)
    stopped = EndedTask(1, first.task, first.run, EndKind.STOPPED, "a fifth")
    report_ends(core, first.executor_id, stopped, asked=0.3, now=0.5)
    second = plan(core, 0.6)[0]
    confirm_start(core, second, 0.7)
    saved = RunningTask(second.task, second.run, "one half", 50, None)
    core.on_report(second.executor_id, ExecutorReport(1.0, (saved,), ()), asked=0.9, now=1.0)
    if second.executor_id == first.executor_id:
        other = next(name for name in core.executors if name != first.executor_id)
        report_ends(core, other, stopped, asked=1.1, now=1.2)
    else:
        disconnect_and_reconnect(core, first.executor_id)
        report_ends(core, first.executor_id, stopped, asked=61.1, now=61.2)
    assert core.jobs[JOB].runs[0].steps[0].tasks[0].checkpoint == "one half"
