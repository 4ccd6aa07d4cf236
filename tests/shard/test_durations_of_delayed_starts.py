"""Tests what is learnt of a run whose first start was lost."""

from __future__ import annotations

import pytest

from linkspan.shard.messages import EndedTask, EndKind, StartOrder
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends

LOST_FOR_S = 4.0
"""Time from the first start, which is lost, until the second one is answered."""

RAN_S = 0.5
"""Duration of the run."""


def test_the_time_for_which_a_start_was_lost_is_not_part_of_the_duration() -> None:
    """Guards against expected durations of seconds that are learnt from starts nobody carried out.

    The duration counts from the planned start. One lost start sets that of its step, the longest
    of all tasks, and that is learnt for the queue.
    """
    core = core_with(step(1, estimate_s=RAN_S), executors=1)
    (order,) = plan(core, 0.1)
    core.on_start_sent(order, 0.1)
    core.on_start_unanswered(order, 1.1)
    core.orders.clear()
    again = 0.1 + LOST_FOR_S
    report_ends(core, "e0", asked=again - 0.1, now=again - 0.05)
    assert [o.run for o in core.orders if isinstance(o, StartOrder)] == [order.run]
    core.on_start_sent(order, again)
    confirm_start(core, order, again)
    ended = again + RAN_S
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    job = core.jobs[JOB]
    report_ends(core, "e0", end, asked=ended, now=ended)
    assert job.measured_durations_s.get(0, RAN_S) == pytest.approx(RAN_S, abs=0.1)
