"""Tests what becomes of an end that is found after its job was moved to another hall."""

from __future__ import annotations

from linkspan.shard.messages import EndedTask, EndKind, TaskName
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, report_ends


def test_an_end_of_a_moved_job_is_not_acknowledged_before_the_other_hall_knows_it() -> None:
    """Guards against TWICE: the hall that has the job never hears of the end, and starts the task.

    A start of a former owner was carried out after the job had been moved as a whole.
    """
    core = core_with(step(1))
    core.remove_moved(JOB)
    end = EndedTask(1, TaskName(JOB, 0, 0, 0), 1, EndKind.DONE, "")
    report_ends(core, "e0", end, asked=5.0, now=5.1)
    executor = core.executors["e0"]
    executor.advance_acknowledged(5.2)
    assert executor.acknowledged == 0
