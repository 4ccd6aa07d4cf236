"""Reports of which a part is left out, since the records of a job in them are not read."""

from __future__ import annotations

from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, TaskName
from tests.hall_world import step
from tests.shard.builders import core_with, plan, started

UNREAD = "00000000000000bb"


def test_an_end_that_was_left_out_of_a_report_is_no_lost_run() -> None:
    """Else its task is started once more, though the executor lists it as done."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    started(core, order, 0.2)
    running = RunningTask(order.task, order.run, "", 50, None)
    core.on_report(order.executor_id, ExecutorReport(0.3, (running,), ()), asked=0.25, now=0.3)
    unread = EndedTask(1, TaskName(UNREAD, 0, 0, 0), 1, EndKind.DONE, "")
    done = EndedTask(2, order.task, order.run, EndKind.DONE, "")
    whole = ExecutorReport(1.0, (), (unread, done))
    core.on_report(order.executor_id, whole.without({UNREAD}), asked=0.9, now=1.0)
    assert core.orders == []
