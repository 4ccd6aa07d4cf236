"""Tests the log line on a job that fails."""

from __future__ import annotations

from typing import Any

from linkspan.events import Event
from linkspan.shard.failures import Failures
from linkspan.shard.messages import EndedTask, EndKind
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends, submitted_job

LogLine = tuple[Event, dict[str, Any]]


def decision_lines(lines: list[LogLine]) -> list[dict[str, Any]]:
    return [fields for event, fields in lines if event is Event.JOB_DECIDED]


def test_the_line_on_a_failed_job_names_the_task_the_run_and_the_count() -> None:
    """Guards against a JOB_DECIDED line (525) without a reason: it held only the state `failed`."""
    lines: list[LogLine] = []
    core = core_with(
        step(2), executors=1, log=lambda event, **fields: lines.append((event, fields))
    )
    for number in range(1, QUEUE.max_attempts + 1):
        now = 10.0 * number
        order = next(o for o in plan(core, now) if o.task.index == 1)
        confirm_start(core, order, now + 0.1)
        end = EndedTask(number, order.task, order.run, EndKind.FAILED, "")
        report_ends(core, order.executor_id, end, asked=now + 0.2, now=now + 0.5)
    (line,) = decision_lines(lines)
    assert list(line)[:2] == ["job", "state"]
    assert line["reason"] == "a task failed as often as its queue allows"
    assert (line["task"], line["run"], line["failures"], line["most"]) == ("0.0.1", 3, 3, 3)


def test_a_next_owner_that_decides_by_the_record_logs_the_task_too() -> None:
    lines: list[LogLine] = []
    core = core_with(step(2))
    task = core.jobs[JOB].runs[0].steps[0].tasks[1]
    task.next_run, task.failed = 4, Failures(unidentified=3)
    next_owner = core_with(step(1), log=lambda event, **fields: lines.append((event, fields)))
    next_owner.jobs.clear()
    record = {0: encode_run(core.jobs[JOB].runs[0])}
    next_owner.add_job(submitted_job(step(2)), 0.0, inherited=True, progress=record)
    (line,) = decision_lines(lines)
    assert (line["task"], line["failures"], line["most"]) == ("0.0.1", 3, 3)
